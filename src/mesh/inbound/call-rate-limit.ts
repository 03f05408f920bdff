/** Limits the rate of the calls to the backend server of this host to the requests per second that it names in its responses. */

/** Rate limit of one backend server; without a stated rate, calls are not limited. */
export type CallRateLimit = {
  /**
  Applies the rate that a response states, undefined for none. `dispatchedAt` is the time at which its call was dispatched, in milliseconds of the clock.
  Returns whether the rate has changed.
  */
  applyStatement: (perSecond: number | undefined, dispatchedAt: number) => boolean;
  /** Applies a rate that was stated to another process, unless a response to this one has said more since. Returns whether the rate has changed. */
  recall: (perSecond: number) => boolean;
  /** Rate in force, in calls per second; undefined when there is none. */
  perSecond: () => number | undefined;
  /** Time until this many further calls may have been dispatched, in milliseconds. */
  waitMs: (calls: number) => number;
  /** Counts a dispatched call. */
  recordDispatch: () => void;
  /** Removes the limit, because the backend server has been replaced. */
  reset: () => void;
};

/** Calls that may be dispatched at once after a pause, as the time in which the rate allows them, in seconds. */
const BURST_S = 0.25;
/** Lowest rate, in calls per second: only the response to a further call can raise a limit of zero. */
const RATE_MIN_PER_S = 0.2;
const SECOND_MS = 1000;

/** Creates a rate limit without a stated rate. */
export const createCallRateLimit = (now: () => number): CallRateLimit => {
  let rate: number | undefined;
  let hasStatement = false;
  /** Time at which a response last stated a rate. */
  let statedAt = Number.NEGATIVE_INFINITY;
  /** Calls that may be dispatched at `refilledAt`. */
  let tokens = 0;
  let refilledAt = now();

  const burst = (): number => rate === undefined ? Number.POSITIVE_INFINITY : Math.max(1, rate * BURST_S);

  const refill = (): void => {
    if (rate !== undefined) {
      tokens = Math.min(burst(), tokens + ((now() - refilledAt) * rate / SECOND_MS));
    }

    refilledAt = now();
  };

  const setRate = (perSecond: number | undefined): boolean => {
    refill();
    const next = perSecond === undefined ? undefined : Math.max(RATE_MIN_PER_S, perSecond);
    if (next === rate) {
      return false;
    }

    const wasUnlimited = rate === undefined;
    rate = next;
    tokens = wasUnlimited ? burst() : Math.min(burst(), tokens);
    return true;
  };

  return {
    applyStatement(perSecond, dispatchedAt) {
      hasStatement = true;
      if (perSecond !== undefined) {
        statedAt = now();
        return setRate(perSecond);
      }

      // A response to a call that was dispatched before the rate was stated may be older than the statement.
      return dispatchedAt >= statedAt && setRate(undefined);
    },
    recall: perSecond => !hasStatement && setRate(perSecond),
    perSecond: () => rate,
    waitMs(calls) {
      refill();
      return rate === undefined ? 0 : Math.max(0, (calls - tokens) * SECOND_MS / rate);
    },
    recordDispatch() {
      refill();
      tokens -= rate === undefined ? 0 : 1;
    },
    reset() {
      rate = undefined;
      hasStatement = false;
      statedAt = Number.NEGATIVE_INFINITY;
    },
  };
};
