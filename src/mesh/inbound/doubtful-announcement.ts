/** Holds an announcement that may be a late one of a backend server that is gone, until its sender has shown that it runs. */
import type {Announcement} from './announcement.js';

/** The latest announcement that is in doubt. */
export type DoubtfulAnnouncement = {
  /** Whether an announcement repeats the one that is held, long enough after it: late ones arrive together. `knownHeardAt` is when the known backend server was last heard of, in milliseconds of the clock; it is alive if that was later. */
  isRepeatedBy: (announcement: Announcement, knownHeardAt: number) => boolean;
  /** Holds an announcement; of several from one start, the first one counts for the time. */
  hold: (announcement: Announcement) => void;
  /** Takes the held announcement out. */
  take: () => Announcement | undefined;
};

type Held = {latest: Announcement; firstAt: number; firstSequence: number};

/** Time after which an announcement counts as a repetition, as a share of the interval of announcements. */
const REPEATED_AFTER_SHARE = 0.5;

const isSameStart = (a: Announcement, b: Announcement): boolean => a.instance === b.instance && a.startedAt === b.startedAt;

/** Holds nothing at first; `announcementMs` is the interval of announcements. */
export const createDoubtfulAnnouncement = ({now, announcementMs}: {now: () => number; announcementMs: number}): DoubtfulAnnouncement => {
  let held: Held | undefined;
  return {
    isRepeatedBy: (announcement, knownHeardAt) => held !== undefined
      && isSameStart(held.latest, announcement)
      && announcement.sequence > held.firstSequence
      && now() - held.firstAt >= announcementMs * REPEATED_AFTER_SHARE
      && knownHeardAt <= held.firstAt,
    hold(announcement) {
      held = held !== undefined && isSameStart(held.latest, announcement)
        ? {...held, latest: announcement.sequence > held.latest.sequence ? announcement : held.latest}
        : {latest: announcement, firstAt: now(), firstSequence: announcement.sequence};
    },
    take() {
      const taken = held?.latest;
      held = undefined;
      return taken;
    },
  };
};
