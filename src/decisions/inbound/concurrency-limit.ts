/** Adaptive concurrency limit for the backend server, based on latency and overload responses. */
import {
  INFLATION_SAMPLES_MIN, INFLATION_THRESHOLD, LIMIT_CUT_LATENCY, LIMIT_CUT_MAX, LIMIT_FLOOR_LATENCY, LIMIT_STEP, OVERLOAD_SHARE_MIN,
} from './constants.js';

/** Load signal derived from the end of a call at the backend server. */
export type LoadSample =
  /** `inflation` is the ratio of the service time to the baseline without load. */
  | {kind: 'served'; inflation: number}
  /** The backend server responded with 503 or timed out. */
  | {kind: 'overloaded'};

/** State of a concurrency limit. */
export type ConcurrencyLimit = {
  /** Upper bound: the slots, or less by policy. */
  bound: number;
  /** Current limit in calls; may be fractional. */
  current: number;
  /** Increment of the next raise. */
  step: number;
  /** End of the cold start; until then, slow responses are no sign of load. */
  coldStartUntil: number;
  /** Sample counts of the current window. */
  served: number;
  overloaded: number;
  /** Inflation samples since the last evaluation. */
  inflationSum: number;
  inflationCount: number;
};

/** Creates a limit of zero, for use before a backend server is announced. */
export const createConcurrencyLimit = (): ConcurrencyLimit => ({
  bound: 0, current: 0, step: LIMIT_STEP, coldStartUntil: 0, served: 0, overloaded: 0, inflationSum: 0, inflationCount: 0,
});

const clearWindow = (limit: ConcurrencyLimit): void => {
  limit.served = 0;
  limit.overloaded = 0;
};

const clearInflation = (limit: ConcurrencyLimit): void => {
  limit.inflationSum = 0;
  limit.inflationCount = 0;
};

/** Resets the limit to its upper bound, for a newly announced backend server. */
export const resetLimit = (limit: ConcurrencyLimit, bound: number, coldStartUntil: number): void => {
  limit.bound = bound;
  limit.current = bound;
  limit.step = LIMIT_STEP;
  limit.coldStartUntil = coldStartUntil;
  clearWindow(limit);
  clearInflation(limit);
};

/** Changes the upper bound; a limit at the old bound moves to the new one. */
export const changeBound = (limit: ConcurrencyLimit, bound: number): void => {
  const isAtBound = limit.current >= limit.bound;
  limit.bound = bound;
  limit.current = isAtBound ? bound : Math.min(limit.current, bound);
};

/** Returns the maximum number of concurrent calls to the backend server. */
export const allowedCalls = ({bound, current}: ConcurrencyLimit): number => Math.min(bound, Math.max(1, Math.floor(current)));

/** Adds the load signal of a call that has ended. */
export const addLoadSample = (limit: ConcurrencyLimit, sample: LoadSample): void => {
  switch (sample.kind) {
    case 'served': {
      limit.served++;
      limit.inflationSum += sample.inflation;
      limit.inflationCount++;
      return;
    }

    case 'overloaded': {
      limit.overloaded++;
    }
  }
};

/** Evaluates the mean inflation once enough samples have been collected, and then clears them. */
const isLatencyInflated = (limit: ConcurrencyLimit, now: number): boolean => {
  if (limit.inflationCount < INFLATION_SAMPLES_MIN) {
    return false;
  }

  const mean = limit.inflationSum / limit.inflationCount;
  clearInflation(limit);
  return now >= limit.coldStartUntil && mean > INFLATION_THRESHOLD;
};

const cutLimit = (limit: ConcurrencyLimit, share: number, floor: number): void => {
  limit.current = Math.max(Math.min(limit.current, floor), limit.current * (1 - Math.min(LIMIT_CUT_MAX, share)));
  limit.step = LIMIT_STEP;
};

const raiseLimit = (limit: ConcurrencyLimit): void => {
  limit.current = Math.min(limit.bound, limit.current + limit.step);
  limit.step = Math.min(limit.bound, limit.step * 2);
};

/** Lowers or raises the limit at the end of a window. */
export const updateLimit = (limit: ConcurrencyLimit, now: number): void => {
  const overloadShare = limit.overloaded / Math.max(1, limit.overloaded + limit.served);
  if (overloadShare >= OVERLOAD_SHARE_MIN) {
    cutLimit(limit, overloadShare, 1);
  } else if (isLatencyInflated(limit, now)) {
    cutLimit(limit, LIMIT_CUT_LATENCY, limit.bound * LIMIT_FLOOR_LATENCY);
  } else {
    raiseLimit(limit);
  }

  clearWindow(limit);
};
