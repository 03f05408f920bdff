/** Opens links to the members that this process needs, and closes those that it no longer needs. */
import type {Member} from '../message.js';
import type {Reachability} from '../members/store-readers.js';
import type {PeerLink} from './peer-link.js';

/** Outgoing links of one process. */
export type LinkTable = {
  /** Opens a link to each of the members, and lets go of the others. */
  setWanted: (members: readonly Member[]) => void;
  /** Link to a member; undefined when there is none. */
  linkTo: (node: string) => PeerLink | undefined;
  /** Open links with their members. */
  open: () => ReadonlyArray<{member: Member; link: PeerLink}>;
  reachability: (node: string) => Reachability;
  /** Whether the link to a member has been open, or its backend server present, recently enough to count on it. */
  isUsable: (member: Member) => boolean;
  /** Drives all links; called periodically. */
  tick: () => void;
  /** Restarts the liveness timers of all links. */
  resetLiveness: () => void;
  close: () => void;
};

/** Options of the table. */
export type LinkTableOptions = {
  now: () => number;
  createLink: (member: Member) => PeerLink;
};

type TableEntry = {member: Member; link: PeerLink; unwantedSince: number | undefined; absentSince: number | undefined};

/** Time for which a link that is no longer wanted stays open, in milliseconds, so that a brief change of the members moves no links. */
const UNWANTED_MS = 5000;
/** Time without a link, or without a backend server behind it, after which a member is passed over, in milliseconds: longer than a restart of a process takes. */
const UNUSABLE_AFTER_MS = 2000;
/** Time for which a member is passed over before it is tried again, in milliseconds. */
const PASSED_OVER_MS = 10_000;

/** Creates a table without links. */
export const createLinkTable = ({now, createLink}: LinkTableOptions): LinkTable => {
  const entries = new Map<string, TableEntry>();
  const passedOverUntil = new Map<string, number>();
  let openLinks: Array<{member: Member; link: PeerLink}> = [];

  const updateOpenLinks = (): void => {
    openLinks = [...entries.values()].filter(({link}) => link.isOpen()).map(({member, link}) => ({member, link}));
  };

  const addEntry = (member: Member): void => {
    const known = entries.get(member.node);
    if (known?.member.address === member.address) {
      entries.set(member.node, {...known, member, unwantedSince: undefined});
      return;
    }

    known?.link.close();
    const link = createLink(member);
    entries.set(member.node, {
      member, link, unwantedSince: undefined, absentSince: now(),
    });
    link.tick();
  };

  const isPassedOver = (node: string): boolean => (passedOverUntil.get(node) ?? Number.NEGATIVE_INFINITY) > now();

  /** Notes since when a member has had no ready backend server, and passes it over when that lasts. */
  const observe = (entry: TableEntry): void => {
    const isReady = entry.link.state().kind === 'ready';
    entry.absentSince = isReady ? undefined : (entry.absentSince ?? now());
    if (entry.absentSince !== undefined && now() - entry.absentSince > UNUSABLE_AFTER_MS) {
      entry.absentSince = now();
      passedOverUntil.set(entry.member.node, now() + PASSED_OVER_MS);
    } else if (isReady) {
      passedOverUntil.delete(entry.member.node);
    }
  };

  const closeUnwanted = (): void => {
    for (const [node, {link, unwantedSince}] of entries) {
      if (unwantedSince !== undefined && now() - unwantedSince > UNWANTED_MS && link.isIdle()) {
        entries.delete(node);
        link.close();
      }
    }
  };

  return {
    setWanted(members) {
      const wanted = new Set(members.map(({node}) => node));
      for (const member of members) {
        addEntry(member);
      }

      for (const [node, entry] of entries) {
        if (!wanted.has(node)) {
          entry.unwantedSince ??= now();
        }
      }

      updateOpenLinks();
    },
    linkTo: node => entries.get(node)?.link,
    open: () => openLinks,
    reachability(node) {
      const link = entries.get(node)?.link;
      if (link === undefined) {
        return 'connecting';
      }

      return link.isOpen() ? 'open' : (now() - link.changedAt() > UNUSABLE_AFTER_MS ? 'unreachable' : 'connecting');
    },
    isUsable: ({node}) => !isPassedOver(node),
    tick() {
      for (const entry of entries.values()) {
        entry.link.tick();
        observe(entry);
      }

      closeUnwanted();
      updateOpenLinks();
    },
    resetLiveness() {
      for (const {link} of entries.values()) {
        link.resetLiveness();
      }
    },
    close() {
      for (const {link} of entries.values()) {
        link.close();
      }
    },
  };
};
