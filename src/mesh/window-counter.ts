/** Counts events in a sliding window. */

/** Counter of the events within a sliding window. */
export type WindowCounter = {
  /** Counts an event that happens now. */
  add: () => void;
  /** Number of events within the window. */
  count: () => number;
  /** Number of events within the last tenth to fifth of the window. */
  countRecent: () => number;
};

/** Buckets that a window is divided into; the oldest one is dropped as the window slides. */
const BUCKETS = 10;

/** Creates an empty counter. */
export const createWindowCounter = (now: () => number, windowMs: number): WindowCounter => {
  const bucketMs = windowMs / BUCKETS;
  const counts = Array.from({length: BUCKETS}, () => 0);
  let currentBucket = Math.floor(now() / bucketMs);
  let total = 0;

  const advance = (): void => {
    const bucket = Math.floor(now() / bucketMs);
    const passed = Math.min(BUCKETS, bucket - currentBucket);
    for (let step = 1; step <= passed; step++) {
      const index = (currentBucket + step) % BUCKETS;
      total -= counts[index]!;
      counts[index] = 0;
    }

    currentBucket = Math.max(currentBucket, bucket);
  };

  return {
    add() {
      advance();
      counts[currentBucket % BUCKETS]!++;
      total++;
    },
    count() {
      advance();
      return total;
    },
    countRecent() {
      advance();
      return counts[currentBucket % BUCKETS]! + counts[(currentBucket + BUCKETS - 1) % BUCKETS]!;
    },
  };
};
