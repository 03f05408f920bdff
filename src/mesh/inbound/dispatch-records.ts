/** Records which non-idempotent calls have been dispatched to the backend server, so that none is dispatched twice. */

/** Dispatched non-idempotent calls, by request id. */
export type DispatchRecords = {
  /** Records the dispatch of a call; returns false when it was recorded before. */
  record: (requestId: string) => boolean;
  /** Removes the record of a call that did not run. */
  remove: (requestId: string) => void;
  /** Removes records that are past their retention, and the oldest ones beyond the maximum. */
  removeExpired: () => void;
};

/** Time for which records are kept, in milliseconds: longer than any caller waits. */
const RETENTION_MS = 60_000;
const RECORDS_MAX = 50_000;

/** Creates an empty set of records. */
export const createDispatchRecords = (now: () => number): DispatchRecords => {
  const recordedAt = new Map<string, number>();
  return {
    record(requestId) {
      if (recordedAt.has(requestId)) {
        return false;
      }

      recordedAt.set(requestId, now());
      return true;
    },
    remove(requestId) {
      recordedAt.delete(requestId);
    },
    removeExpired() {
      const oldestKept = now() - RETENTION_MS;
      for (const [requestId, at] of recordedAt) {
        if (at > oldestKept && recordedAt.size < RECORDS_MAX) {
          break;
        }

        recordedAt.delete(requestId);
      }
    },
  };
};
