/** Bounds the memory that is released and not collected yet: when much of it waits, it starts a garbage collection, and long reads wait for it. */

/** Memory of a process, in bytes, with what is released and not collected yet. */
export type MemoryUsage = {bufferBytes: number; objectBytes: number};

/** Released memory of a process. */
export type ReleasedMemory = {
  /** Whether there is room for another long message. */
  hasRoom: () => boolean;
  /** Whether a long read may go on. If not, `onReadable` is called when it may. */
  mayRead: (onReadable: () => void) => boolean;
  /** Starts a collection if one is due, and lets reads go on when there is room; called periodically. */
  update: () => void;
};

/** Options of released memory; all sizes are in bytes. */
export type ReleasedMemoryOptions = {
  now: () => number;
  /** Memory of all buffers up to which nothing is collected and no read waits. */
  bufferBytesMin: number;
  /** Released memory above which a collection starts and long reads wait. */
  releasedBytesMax: number;
  usage: () => MemoryUsage;
  /** Memory that is known to be in use. */
  heldBytes: () => number;
  /** Finds the garbage collector when it is first needed. Without one, nothing is collected and no read waits. */
  findCollector: () => (() => void) | undefined;
  /** Called after each collection; `pauseMs` is its duration in milliseconds. */
  onCollected: (collection: {releasedBytes: number; pauseMs: number}) => void;
};

/** Shortest interval between two collections, in milliseconds. */
const INTERVAL_MIN_MS = 100;
/** Shortest interval as a multiple of the last pause, so that collections take at most a sixth of the time. */
const INTERVAL_PAUSE_FACTOR = 5;
/** Age up to which a measurement is used again, in milliseconds. */
const MEASUREMENT_AGE_MAX_MS = 2;

/** Creates the bound for a process that has released nothing. */
export const createReleasedMemory = (options: ReleasedMemoryOptions): ReleasedMemory => {
  const {now, bufferBytesMin, releasedBytesMax} = options;
  const waiting = new Set<() => void>();
  let collector: {collect: (() => void) | undefined} | undefined;
  let collectableAt = Number.NEGATIVE_INFINITY;
  let measuredAt = Number.NEGATIVE_INFINITY;
  let releasedBytes = 0;
  /** Least memory since the last collection that is not known to be in use; what exceeds it counts as released. */
  let unknownBytesMin = Number.POSITIVE_INFINITY;

  const measure = (): void => {
    measuredAt = now();
    const {bufferBytes, objectBytes} = options.usage();
    const unknownBytes = bufferBytes + objectBytes - options.heldBytes();
    unknownBytesMin = Math.min(unknownBytesMin, unknownBytes);
    releasedBytes = bufferBytes > bufferBytesMin ? unknownBytes - unknownBytesMin : 0;
  };

  const collect = (run: () => void): void => {
    const releasedBefore = releasedBytes;
    const startedAt = now();
    run();
    const pauseMs = now() - startedAt;
    collectableAt = now() + Math.max(INTERVAL_MIN_MS, INTERVAL_PAUSE_FACTOR * pauseMs);
    unknownBytesMin = Number.POSITIVE_INFINITY;
    measure();
    options.onCollected({releasedBytes: releasedBefore, pauseMs});
  };

  const measureAndCollect = (): void => {
    measure();
    if (releasedBytes <= releasedBytesMax || now() < collectableAt) {
      return;
    }

    collector ??= {collect: options.findCollector()};
    if (collector.collect !== undefined) {
      collect(collector.collect);
    }
  };

  const mustWait = (): boolean => releasedBytes > releasedBytesMax && collector?.collect !== undefined;

  const hasRoom = (): boolean => {
    if (now() - measuredAt >= MEASUREMENT_AGE_MAX_MS) {
      measureAndCollect();
    }

    return !mustWait();
  };

  return {
    hasRoom,
    mayRead(onReadable) {
      if (hasRoom()) {
        return true;
      }

      waiting.add(onReadable);
      return false;
    },
    update() {
      measureAndCollect();
      if (mustWait()) {
        return;
      }

      const readable = [...waiting];
      waiting.clear();
      for (const onReadable of readable) {
        onReadable();
      }
    },
  };
};
