/**
Decides which processes read the configuration from the store, so that each process either hears of a recent reading or reads the store itself.

The first process of each zone, in an order that all of them compute alike, watches the store and reports each reading to the others. A process that has heard of no recent reading
reads the store as well, the later the lower its rank, so few processes call the store as long as one of them reaches it. Which process is reachable over a link says nothing about
whether the store answers it, so only readings count.
*/
import {rendezvousOrder} from '../../shared/hash.js';

/** Whether a process can be reached over a link; `connecting` until the first attempt has ended. */
export type Reachability = 'open' | 'connecting' | 'unreachable';

/** Durations of reading, in milliseconds; with them a change is known to each process that reaches the store within the bound they are derived from. */
export type ReadingTimes = {
  /** Longest wait of one watch of the configuration: the interval of readings without a change. */
  watchMs: number;
  /** Age from which the last known reading is too old to rely on. */
  staleMs: number;
  /** Delay between two groups of processes that begin to read. */
  groupDelayMs: number;
  /** Time in which the store has to respond. */
  responseMs: number;
};

/** A reading of the configuration in the store. */
export type Reading = {
  /** Process that read. */
  reader: string;
  /** Start of the reader. */
  incarnation: string;
  /** Increases with each reading of the reader. */
  sequence: number;
  /** Time from which the store held what was read, in milliseconds of this process's clock. */
  readAt: number;
};

/** Readings that a peer reports. */
export type PeerReadings = {
  /** Time of the last reading by the peer itself, in milliseconds of this process's clock; negative infinity for none. */
  ownAt: number;
  /** Last reading by any process that the configuration of this process reflects; undefined for none. */
  latest: Reading | undefined;
};

/** Part of one process in reading the store. */
export type StoreReaders = {
  /** Records that this process has read the configuration as the store held it at a time of the clock. */
  recordOwn: (readAt: number) => void;
  /** Records the readings that a peer reports. */
  recordPeer: (node: string, readings: PeerReadings) => void;
  /** Sets the processes of the zone, including this one; `isListed` tells whether they come from the store. */
  setMembers: (nodes: readonly string[], isListed: boolean) => void;
  /** Other processes to be linked with, for news of readings. */
  contacts: (reachability: (node: string) => Reachability) => string[];
  /** Whether this process reads the configuration now. */
  isReader: () => boolean;
  /** Whether this process reads for long enough to follow the member list as well. */
  isLastingReader: () => boolean;
  /** Updates what depends on time; called periodically. */
  tick: () => void;
  /** Last reading by any process that this one has heard of and reflects; undefined for none. */
  latest: () => Reading | undefined;
  /** Time of the last reading by this process; negative infinity for none. */
  ownAt: () => number;
  /** Rank of this process in its zone; 0 reads first. */
  rank: () => number;
  /** Longest pause between two attempts of this process while the store does not answer it, in milliseconds. */
  retryMaxMs: () => number;
};

/** Options of the store readers. */
export type StoreReadersOptions = {
  zone: string;
  /** Name of this process. */
  self: string;
  /** Differs with each start of this process. */
  incarnation: string;
  now: () => number;
  times: ReadingTimes;
  /** Called when a reading becomes known after a time without a recent one. */
  onNews: () => void;
};

/** Shares of the time within which a confirmed change has to be in force; what is left after the last group begins is for its request and for passing the news on. */
const WATCH_SHARE = 0.45;
const STALE_SHARE = 0.6;
const GROUPS_SHARE = 0.2;
const RESPONSE_SHARE = 0.3;
/** Factor by which the groups of processes that begin to read grow. */
const GROUP_GROWTH = 4;
/** Groups after the first process; the last one holds all that remain. */
const GROUPS_MAX = 5;
/** First reachable processes that are linked with; the second one reads soon after the first is lost. */
const CONTACTS_REACHABLE = 2;
/** First processes that are linked with at most, including those that cannot be reached. */
const CONTACTS_MAX = 5;
/** Time of reading after which the member list is followed too, in milliseconds: a list of all members is large. */
const LASTING_MS = 2000;
/** Interval between two attempts of all processes of a zone together while the store answers none of them, in milliseconds. */
const ZONE_RETRY_MS = 20;
/** Readers whose last reading is remembered. */
const READERS_MAX = 256;
/** Shortest bound of the pause between two attempts of one process, in milliseconds. */
const RETRY_MAX_MS = 1000;

/** Derives the durations from the time within which a confirmed change has to be in force, in milliseconds. */
export const readingTimes = (boundMs: number): ReadingTimes => ({
  watchMs: boundMs * WATCH_SHARE,
  staleMs: boundMs * STALE_SHARE,
  groupDelayMs: boundMs * GROUPS_SHARE / GROUPS_MAX,
  responseMs: boundMs * RESPONSE_SHARE,
});

/** Group of a rank: 0 for the first process, then groups that end at ranks 3, 15, 63 and so on. */
const groupOf = (rank: number): number => Math.min(GROUPS_MAX, Math.ceil(Math.log(rank + 1) / Math.log(GROUP_GROWTH)));

/** Creates the part of a process that knows no other one and has heard of no reading. */
export const createStoreReaders = (options: StoreReadersOptions): StoreReaders => {
  const {zone, self, now, times} = options;
  const createdAt = now();
  /** Last known reading by each other process of the zone. */
  const readAtByNode = new Map<string, number>();
  let order: readonly string[] = [self];
  let ranks = new Map([[self, 0]]);
  let isListed = false;
  /** Last known reading of each reader. A reading counts once: passed on in a circle, its age would be lowered by the time in transit again and again. */
  const sequences = new Map<string, number>();
  let latest: Reading | undefined;
  let ownAt = Number.NEGATIVE_INFINITY;
  let ownSequence = 0;
  let readingSince: number | undefined;

  const isFresh = (readAt: number): boolean => now() - readAt <= times.staleMs;

  const knownAt = (): number => latest?.readAt ?? Number.NEGATIVE_INFINITY;

  const recordSequence = (start: string, sequence: number): void => {
    sequences.delete(start);
    sequences.set(start, sequence);
    if (sequences.size > READERS_MAX) {
      sequences.delete(sequences.keys().next().value!);
    }
  };

  const recordReader = (node: string, readAt: number): void => {
    if (node !== self && ranks.has(node)) {
      readAtByNode.set(node, Math.max(readAtByNode.get(node) ?? Number.NEGATIVE_INFINITY, readAt));
    }
  };

  const learnReading = (reading: Reading): void => {
    const start = `${reading.reader}/${reading.incarnation}`;
    if (reading.sequence <= (sequences.get(start) ?? 0)) {
      return;
    }

    recordSequence(start, reading.sequence);
    recordReader(reading.reader, reading.readAt);
    const isNews = !isFresh(knownAt()) && isFresh(reading.readAt);
    latest = reading.readAt > knownAt() ? reading : latest;
    if (isNews) {
      options.onNews();
    }
  };

  const rank = (): number => ranks.get(self) ?? 0;

  /** Process of the zone with the best rank that is known to read; undefined when there is none. */
  const firstReader = (): string | undefined =>
    [...readAtByNode].filter(([, readAt]) => isFresh(readAt)).map(([node]) => node).sort((a, b) => ranks.get(a)! - ranks.get(b)!)[0];

  const isReadByBetterRanked = (): boolean => [...readAtByNode].some(([node, readAt]) => isFresh(readAt) && ranks.get(node)! < rank());

  const isFirst = (): boolean => rank() === 0 && isListed;

  /** Whether this process has begun to read and no process before it does. */
  const isContinuing = (): boolean => isFresh(ownAt) && !isReadByBetterRanked();

  const isDue = (): boolean => now() - Math.max(knownAt(), createdAt) > times.staleMs + (groupOf(rank()) * times.groupDelayMs);

  const isReader = (): boolean => isFirst() || isDue() || (now() - createdAt > times.staleMs && isContinuing());

  return {
    recordOwn(readAt) {
      ownAt = Math.max(ownAt, readAt);
      ownSequence++;
      learnReading({
        reader: self, incarnation: options.incarnation, sequence: ownSequence, readAt,
      });
    },
    recordPeer(node, readings) {
      recordReader(node, readings.ownAt);
      if (readings.latest !== undefined) {
        learnReading(readings.latest);
      }
    },
    setMembers(nodes, isFromStore) {
      order = rendezvousOrder(zone, nodes);
      ranks = new Map(order.map((node, index) => [node, index]));
      isListed = isFromStore;
      for (const node of [...readAtByNode.keys()].filter(known => !ranks.has(known))) {
        readAtByNode.delete(node);
      }
    },
    contacts(reachability) {
      const reader = firstReader();
      const contacts: string[] = [];
      let reachable = 0;
      for (const node of order) {
        if (reachable === CONTACTS_REACHABLE) {
          break;
        }

        if (node !== self) {
          contacts.push(node);
        }

        reachable += node === self || reachability(node) !== 'unreachable' ? 1 : 0;
      }

      const nearest = contacts.slice(-CONTACTS_MAX);
      return reader === undefined || nearest.includes(reader) ? nearest : [...nearest, reader];
    },
    isReader,
    isLastingReader: () => isFirst() || (readingSince !== undefined && now() - readingSince >= LASTING_MS),
    tick() {
      readingSince = isReader() && isFresh(ownAt) ? (readingSince ?? now()) : undefined;
    },
    latest: () => latest,
    ownAt: () => ownAt,
    rank,
    retryMaxMs: () => Math.max(RETRY_MAX_MS, order.length * ZONE_RETRY_MS),
  };
};
