/** Remembers which calls that must not run twice have been passed on to the backend server. */

/** Records of such calls, by request id. */
export type DispatchRecords = {
  /** Records that a call is passed on; false when it has been before. */
  record: (requestId: string) => boolean;
  /** The call has not run after all. */
  remove: (requestId: string) => void;
  /** Drops records that no caller can ask for any more. */
  removeExpired: () => void;
};

/** Time for which records are kept, in milliseconds; longer than any caller waits. */
const RETENTION_MS = 60_000;
const RECORDS_MAX = 50_000;

/** Creates empty records. */
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
      const expiresBefore = now() - RETENTION_MS;
      for (const [requestId, at] of recordedAt) {
        if (at > expiresBefore && recordedAt.size < RECORDS_MAX) {
          break;
        }

        recordedAt.delete(requestId);
      }
    },
  };
};
