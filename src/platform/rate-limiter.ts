/** Pace of calls to the platform: a token bucket and a jittered backoff after failures. */
import type {Random} from '../shared/random.js';

/** Options of a pace. */
export type PaceOptions = {
  /** Calls per second in the long run. @default 20 */
  ratePerSecond?: number;
  /** Calls that may follow each other at once. @default 20 */
  burst?: number;
  /** Upper bound of the first backoff, in milliseconds. @default 100 */
  backoffBaseMs?: number;
  /** Upper bound of every backoff, in milliseconds. @default 2000 */
  backoffMaxMs?: number;
};

/** State of a pace, changed in place. */
export type Pace = {
  options: Required<PaceOptions>;
  /** Tokens at `refilledAt`; negative while calls wait for theirs. */
  tokens: number;
  refilledAt: number;
  /** Failures since the last answer. */
  failures: number;
  /** Time before which no call starts. */
  notBefore: number;
};

// 21,000 processes read the configuration from peers; only watchers, relays and
// aggregators call the platform (about 3 per zone), so 20 calls/s each stays below its 2,000 reads/s.
const DEFAULT_RATE_PER_SECOND = 20;
const DEFAULT_BURST = 20;
const DEFAULT_BACKOFF_BASE_MS = 100;
// A configuration is in effect everywhere within 3 s, so a recovered platform has to be noticed sooner.
const DEFAULT_BACKOFF_MAX_MS = 2000;

const SECOND_MS = 1000;

/** Creates a pace with a full bucket. */
export const createPace = (options: PaceOptions, now: number): Pace => {
  const {
    ratePerSecond = DEFAULT_RATE_PER_SECOND,
    burst = DEFAULT_BURST,
    backoffBaseMs = DEFAULT_BACKOFF_BASE_MS,
    backoffMaxMs = DEFAULT_BACKOFF_MAX_MS,
  } = options;
  return {
    options: {
      ratePerSecond, burst, backoffBaseMs, backoffMaxMs,
    },
    tokens: burst,
    refilledAt: now,
    failures: 0,
    notBefore: now,
  };
};

/** Takes a token and returns the milliseconds to wait before the call may start. */
export const takeTurn = (pace: Pace, now: number): number => {
  const {ratePerSecond, burst} = pace.options;
  pace.tokens = Math.min(burst, pace.tokens + (((now - pace.refilledAt) * ratePerSecond) / SECOND_MS)) - 1;
  pace.refilledAt = now;
  const tokenWaitMs = pace.tokens >= 0 ? 0 : (-pace.tokens * SECOND_MS) / ratePerSecond;
  return Math.max(tokenWaitMs, pace.notBefore - now, 0);
};

/** Returns the token of a call that gave up before it started. */
export const returnTurn = (pace: Pace): void => {
  pace.tokens = Math.min(pace.options.burst, pace.tokens + 1);
};

/** Notes an answer, which ends the backoff. */
export const noteAnswer = (pace: Pace): void => {
  pace.failures = 0;
};

/** Notes a call without an answer; the next one waits a random part of a bound that doubles with each failure. */
export const noteFailure = (pace: Pace, now: number, random: Random): void => {
  const {backoffBaseMs, backoffMaxMs} = pace.options;
  const bound = Math.min(backoffMaxMs, backoffBaseMs * (2 ** Math.min(pace.failures, 30)));
  pace.failures += 1;
  pace.notBefore = Math.max(pace.notBefore, now + (random() * bound));
};
