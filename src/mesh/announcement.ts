/** Keeps what the backend server beside this process says of itself, and orders it. */

/** What a backend server announces. */
export type Announcement = {
  instance: string;
  service: string;
  /** `ip:port` on this host. */
  address: string;
  slots: number;
  state: 'ready' | 'draining';
  /** Grows with each announcement of one start. */
  sequence: number;
  /** Start of the backend server, in milliseconds since the Unix epoch. */
  startedAt: number;
  /** Time for which it stays slow after its start, in milliseconds. */
  coldMs: number;
};

/** The backend server of this host; `left` is one that has said that it is gone. */
export type LocalBackend =
  | {kind: 'none'}
  | {kind: 'announced'; announcement: Announcement; heardAt: number; drainingSince: number | undefined}
  | {kind: 'left'; instance: string; startedAt: number; leftAt: number; previous: Announcement | undefined};

/** What an announcement changed. */
export type AnnouncementChange = 'new-instance' | 'draining' | 'refreshed' | 'outdated';

const startTimeOf = (local: LocalBackend): number => {
  switch (local.kind) {
    case 'none': {
      return Number.NEGATIVE_INFINITY;
    }

    case 'announced': {
      return local.announcement.startedAt;
    }

    case 'left': {
      return local.startedAt;
    }
  }
};

/**
Takes an announcement in. One that is older than what is known changes nothing: it may have been delayed on the way, and its sender may be gone.
A drain is never taken back within one start of the backend server.
*/
export const takeAnnouncement = (local: LocalBackend, announcement: Announcement, now: number): {local: LocalBackend; change: AnnouncementChange} => {
  if (announcement.startedAt < startTimeOf(local)) {
    return {local, change: 'outdated'};
  }

  const drainingSince = announcement.state === 'draining' ? now : undefined;
  if (announcement.startedAt > startTimeOf(local) || local.kind === 'none') {
    return {
      local: {
        kind: 'announced', announcement, heardAt: now, drainingSince,
      },
      change: 'new-instance',
    };
  }

  if (local.kind === 'left' || announcement.sequence <= local.announcement.sequence) {
    return {local, change: 'outdated'};
  }

  const startsDraining = drainingSince !== undefined && local.drainingSince === undefined;
  return {
    local: {
      kind: 'announced',
      announcement: {...announcement, state: local.drainingSince === undefined ? announcement.state : 'draining'},
      heardAt: now,
      drainingSince: local.drainingSince ?? drainingSince,
    },
    change: startsDraining ? 'draining' : 'refreshed',
  };
};

/** Takes in that an instance has left. An instance that is not the announced one changes nothing. */
export const takeLeave = (local: LocalBackend, instance: string, now: number): LocalBackend => {
  if (local.kind !== 'announced' || local.announcement.instance !== instance) {
    return local;
  }

  return {
    kind: 'left', instance, startedAt: local.announcement.startedAt, leftAt: now, previous: local.announcement,
  };
};
