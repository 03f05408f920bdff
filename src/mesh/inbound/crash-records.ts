/**
Records which requests are blamed for crashes of backend servers, so that one that crashes each backend server which runs it (a query of death) is not sent to all of them.

A record holds the crashes that a content is blamed for, and those that it is cleared of because it has run to its end since. Both sets only grow, so records of several processes can be
merged in any order. Calls that happen to run beside the one at fault are told from it in two ways: a crash is blamed on those that already have most crashes, and those with two are run
one at a time at each backend server. Crashes at the same moment count as one: they have a common cause, such as the loss of a zone.
*/
import {rendezvousOrder} from '../../shared/hash.js';
import {headOfId} from './request-content.js';

/** Crash of a backend server: `id` names the backend server and its start, `at` is in milliseconds since the Unix epoch. */
export type Crash = {id: string; at: number};

/** Crashes that the content of a request is blamed for, and the ids of those that it is cleared of. */
export type CrashRecord = {content: string; blamed: Crash[]; cleared: string[]};

/** How a request is treated. */
export type Suspicion =
  | {kind: 'none'}
  /** It was running when a backend server crashed. */
  | {kind: 'suspected'; crashes: number}
  /** It is run only while no other request like it runs at the same backend server. */
  | {kind: 'isolated'; crashes: number}
  /** It is not run for `retryAfterMs`. */
  | {kind: 'blocked'; crashes: number; retryAfterMs: number}
  /** The time for which it was blocked is over, and this process is the one that may run it once. */
  | {kind: 'on-trial'; crashes: number};

/** Records of one process. */
export type CrashRecords = {
  /** Whether nothing is suspected, so that requests need not be identified. */
  isEmpty: () => boolean;
  /** Whether a content with this hash of everything but its body is recorded. */
  hasHead: (head: string) => boolean;
  assess: (content: string) => Suspicion;
  /** Record of a content; undefined when there is none. */
  recordOf: (content: string) => CrashRecord | undefined;
  /** Blames a crash on the contents that were running and have most crashes already; returns the changed records. */
  blame: (crash: Crash, contents: readonly string[]) => CrashRecord[];
  /** Clears a content of its crashes after a run that has come to its end; returns the changed record. */
  clear: (content: string) => CrashRecord | undefined;
  /** Begins the one run of a content that is on trial. */
  beginTrial: (content: string) => void;
  /** Merges records of another process; returns those that changed here. */
  merge: (records: readonly CrashRecord[]) => CrashRecord[];
  /** All records, for a new peer. */
  all: () => CrashRecord[];
  /** Removes records whose crashes are long past. */
  removeExpired: () => void;
};

/** Options of the records. */
export type CrashRecordsOptions = {
  now: () => number;
  /** Name of this process. */
  self: string;
  /** Names of all processes; the one that may try a blocked request again is chosen among them. */
  nodes: () => readonly string[];
};

/** Crashes from which a request is isolated, and from which it is blocked. */
const ISOLATED_CRASHES = 2;
const BLOCKED_CRASHES = 3;
/** Time for which a request is blocked after the crash that blocks it, in milliseconds; doubled with each further crash. */
const BLOCK_MS = 60_000;
/** Time without a further crash after which a record is removed, in milliseconds: many times the longest time of a block. */
const RETENTION_MS = 4 * 60 * 60_000;
/** Such a time for a request that is not blocked, in milliseconds. */
const SUSPECTED_RETENTION_MS = 10 * 60_000;
/** Records that a process keeps; beyond it, those with the fewest crashes go first. */
const RECORDS_MAX = 5000;
/** Crashes of each kind that a record keeps; the newest ones count. */
const CRASHES_MAX = 8;

/** Crashes that follow each other within this time have a common cause, in milliseconds. */
const COMMON_CAUSE_MS = 20;

/** `blamed` holds the time of each crash by its id. */
type Entry = {
  blamed: Map<string, number>;
  cleared: Set<string>;
  /** Time at which the last crash became known. */
  changedAt: number;
  /** Time at which the content was last tried again, or left to another process. */
  triedAt: number;
};

/** Number of the crashes that a content is not cleared of; those with a common cause count as one. */
const countOf = ({blamed, cleared}: Entry): number => {
  const times = [...blamed].filter(([id]) => !cleared.has(id)).map(([, at]) => at).sort((a, b) => a - b);
  return times.filter((at, index) => index === 0 || at - times[index - 1]! > COMMON_CAUSE_MS).length;
};

const toRecord = (content: string, {blamed, cleared}: Entry): CrashRecord => ({content, blamed: [...blamed].map(([id, at]) => ({id, at})), cleared: [...cleared]});

/** Drops the oldest keys of a map or set that has grown too large. */
const keepNewest = (collection: Map<string, unknown> | Set<string>): void => {
  for (const key of [...collection.keys()].slice(0, -CRASHES_MAX)) {
    collection.delete(key);
  }
};

const addBlamed = ({blamed}: Entry, crashes: readonly Crash[]): boolean => {
  const added = crashes.filter(({id}) => !blamed.has(id));
  for (const {id, at} of added) {
    blamed.set(id, at);
  }

  keepNewest(blamed);
  return added.length > 0;
};

const addCleared = ({cleared}: Entry, ids: readonly string[]): boolean => {
  const added = ids.filter(id => !cleared.has(id));
  for (const id of added) {
    cleared.add(id);
  }

  keepNewest(cleared);
  return added.length > 0;
};

/** Creates empty records. */
export const createCrashRecords = (options: CrashRecordsOptions): CrashRecords => {
  const {now, self} = options;
  const entries = new Map<string, Entry>();
  const heads = new Map<string, number>();

  const changeHeadCount = (content: string, difference: number): void => {
    const head = headOfId(content);
    const count = (heads.get(head) ?? 0) + difference;
    if (count === 0) {
      heads.delete(head);
    } else {
      heads.set(head, count);
    }
  };

  const remove = (content: string): void => {
    if (entries.delete(content)) {
      changeHeadCount(content, -1);
    }
  };

  const removeSurplus = (): void => {
    if (entries.size <= RECORDS_MAX) {
      return;
    }

    const [least] = [...entries].sort(([, a], [, b]) => countOf(a) - countOf(b) || a.changedAt - b.changedAt);
    remove(least![0]);
  };

  const entryOf = (content: string): Entry => {
    const known = entries.get(content);
    if (known !== undefined) {
      return known;
    }

    const entry: Entry = {
      blamed: new Map(), cleared: new Set(), changedAt: now(), triedAt: Number.NEGATIVE_INFINITY,
    };
    entries.set(content, entry);
    changeHeadCount(content, 1);
    removeSurplus();
    return entry;
  };

  const countFor = (content: string): number => {
    const entry = entries.get(content);
    return entry === undefined ? 0 : countOf(entry);
  };

  const blockMs = (crashes: number): number => BLOCK_MS * (2 ** (crashes - BLOCKED_CRASHES));

  const assessBlocked = (content: string, entry: Entry, crashes: number): Suspicion => {
    const blockedUntil = Math.max(entry.changedAt, entry.triedAt) + blockMs(crashes);
    if (now() < blockedUntil) {
      return {kind: 'blocked', crashes, retryAfterMs: blockedUntil - now()};
    }

    const [chosen] = rendezvousOrder(content, options.nodes());
    if (chosen === undefined || chosen === self) {
      return {kind: 'on-trial', crashes};
    }

    // The next choice is made after as long again, so that the order of all processes is not computed for each request.
    entry.triedAt = now();
    return {kind: 'blocked', crashes, retryAfterMs: blockMs(crashes)};
  };

  const mergeRecord = ({content, blamed, cleared}: CrashRecord): CrashRecord | undefined => {
    const entry = entryOf(content);
    const isBlamed = addBlamed(entry, blamed);
    const isCleared = addCleared(entry, cleared);
    if (isBlamed) {
      entry.changedAt = now();
    }

    return isBlamed || isCleared ? toRecord(content, entry) : undefined;
  };

  return {
    isEmpty: () => entries.size === 0,
    hasHead: head => heads.has(head),
    assess(content) {
      const entry = entries.get(content);
      const crashes = entry === undefined ? 0 : countOf(entry);
      if (entry === undefined || crashes === 0) {
        return {kind: 'none'};
      }

      if (crashes >= BLOCKED_CRASHES) {
        return assessBlocked(content, entry, crashes);
      }

      return {kind: crashes >= ISOLATED_CRASHES ? 'isolated' : 'suspected', crashes};
    },
    recordOf(content) {
      const entry = entries.get(content);
      return entry === undefined ? undefined : toRecord(content, entry);
    },
    blame(crash, contents) {
      const distinct = [...new Set(contents)];
      const most = Math.max(0, ...distinct.map(content => countFor(content)));
      return distinct
        .filter(content => countFor(content) === most)
        .map(content => mergeRecord({content, blamed: [crash], cleared: []}))
        .filter(record => record !== undefined);
    },
    clear(content) {
      const entry = entries.get(content);
      return entry === undefined || countOf(entry) === 0 ? undefined : mergeRecord({content, blamed: [], cleared: [...entry.blamed.keys()]});
    },
    beginTrial(content) {
      entryOf(content).triedAt = now();
    },
    merge: records => records.map(record => mergeRecord(record)).filter(record => record !== undefined),
    all: () => [...entries].map(([content, entry]) => toRecord(content, entry)),
    removeExpired() {
      for (const [content, entry] of entries) {
        const retentionMs = countOf(entry) >= BLOCKED_CRASHES ? RETENTION_MS : SUSPECTED_RETENTION_MS;
        if (now() - Math.max(entry.changedAt, entry.triedAt) > retentionMs) {
          remove(content);
        }
      }
    },
  };
};
