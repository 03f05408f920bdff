/** Remembers which calls that must not run twice have been passed on to the backend server. */

/** Records of such calls, by request id. */
export type RunRecords = {
  /** Records that a call is passed on; false when it has been before. */
  begin: (requestId: string) => boolean;
  /** The call has not run after all. */
  withdraw: (requestId: string) => void;
  /** Drops records that no caller can ask for any more. */
  forget: () => void;
};

/** Time for which records are kept, in milliseconds; longer than any caller waits. */
const KEPT_MS = 60_000;
const RECORDS_MAX = 50_000;

/** Creates empty records. */
export const createRunRecords = (now: () => number): RunRecords => {
  const begun = new Map<string, number>();
  return {
    begin(requestId) {
      if (begun.has(requestId)) {
        return false;
      }

      begun.set(requestId, now());
      return true;
    },
    withdraw(requestId) {
      begun.delete(requestId);
    },
    forget() {
      const before = now() - KEPT_MS;
      for (const [requestId, at] of begun) {
        if (at > before && begun.size < RECORDS_MAX) {
          break;
        }

        begun.delete(requestId);
      }
    },
  };
};
