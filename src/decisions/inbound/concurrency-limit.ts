/** Adapts how many calls the backend server gets at the same time. */
import {
  LIMIT_FLOOR_LATENCY, INFLATION_THRESHOLD, INFLATION_SAMPLES_MIN, LIMIT_CUT_LATENCY, LIMIT_CUT_MAX, LIMIT_STEP, OVERLOAD_SHARE_MIN,
} from './constants.js';

/** How a call at the backend server ended, as far as its load is concerned. */
export type LoadSample =
  /** `inflation` is the ratio of its service time to that of an unloaded backend server. */
  | {kind: 'served'; inflation: number}
  /** The backend server answered 503 or did not answer in time. */
  | {kind: 'overloaded'};

/** State of a concurrency limit. */
export type ConcurrencyLimit = {
  /** Upper bound: the slots, or less by policy. */
  bound: number;
  /** Limit as a fractional number of calls. */
  current: number;
  /** Next raise. */
  step: number;
  /** End of the cold start; slow responses before it say nothing about load. */
  coldStartUntil: number;
  /** Samples of the current window. */
  served: number;
  overloaded: number;
  /** Inflation since it was last judged. */
  inflationSum: number;
  inflationCount: number;
};

/** Creates a limit of zero, for a backend server that is not there yet. */
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

/** Starts at the bound, for a backend server that has just been announced. */
export const resetLimit = (limit: ConcurrencyLimit, bound: number, coldStartUntil: number): void => {
  limit.bound = bound;
  limit.current = bound;
  limit.step = LIMIT_STEP;
  limit.coldStartUntil = coldStartUntil;
  clearWindow(limit);
  clearInflation(limit);
};

/** Changes the upper bound; a limit that stood at the old one follows. */
export const changeBound = (limit: ConcurrencyLimit, bound: number): void => {
  const isAtBound = limit.current >= limit.bound;
  limit.bound = bound;
  limit.current = isAtBound ? bound : Math.min(limit.current, bound);
};

/** Calls that the backend server may have at the same time. */
export const allowedCalls = ({bound, current}: ConcurrencyLimit): number => Math.min(bound, Math.max(1, Math.floor(current)));

/** Adds the end of a call. */
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

/** Whether enough samples have come since the last judgement and their mean is high. */
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

/** Adapts the limit at the end of a window. */
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
