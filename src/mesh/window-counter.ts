/** Counts events in a sliding window. */

/** Counter of a window. */
export type WindowCounter = {
  add: () => void;
  /** Events within the window. */
  count: () => number;
  /** Events within the newest parts of the window, a tenth to a fifth of it. */
  countRecent: () => number;
};

/** Parts of a window that are counted apart, so that it slides. */
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
