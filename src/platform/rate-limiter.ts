/** Pace of calls to the platform: a token bucket and a jittered backoff after failures. */
import type {Random} from '../shared/random.js';

/** Options of a pace. */
export type RateLimiterOptions = {
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
export type RateLimiter = {
  options: Required<RateLimiterOptions>;
  /** Tokens at `refilledAt`; negative while calls wait for theirs. */
  tokens: number;
  refilledAt: number;
  /** Failures since the last answer. */
  consecutiveFailures: number;
  /** Time before which no call starts. */
  backoffUntil: number;
};

// 21,000 processes read the configuration from peers; only watchers, relays and
// aggregators call the platform (about 3 per zone), so 20 calls/s each stays below its 2,000 reads/s.
const DEFAULT_RATE_PER_SECOND = 20;
const DEFAULT_BURST = 20;
const DEFAULT_BACKOFF_BASE_MS = 100;
// A configuration is in effect everywhere within 3 s, so a recovered platform has to be noticed sooner.
const DEFAULT_BACKOFF_MAX_MS = 2000;

const MS_PER_SECOND = 1000;

/** Creates a pace with a full bucket. */
export const createRateLimiter = (options: RateLimiterOptions, now: number): RateLimiter => {
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
    consecutiveFailures: 0,
    backoffUntil: now,
  };
};

/** Takes a token and returns the milliseconds to wait before the call may start. */
export const reserveToken = (limiter: RateLimiter, now: number): number => {
  const {ratePerSecond, burst} = limiter.options;
  limiter.tokens = Math.min(burst, limiter.tokens + (((now - limiter.refilledAt) * ratePerSecond) / MS_PER_SECOND)) - 1;
  limiter.refilledAt = now;
  const tokenWaitMs = limiter.tokens >= 0 ? 0 : (-limiter.tokens * MS_PER_SECOND) / ratePerSecond;
  return Math.max(tokenWaitMs, limiter.backoffUntil - now, 0);
};

/** Returns the token of a call that gave up before it started. */
export const returnToken = (limiter: RateLimiter): void => {
  limiter.tokens = Math.min(limiter.options.burst, limiter.tokens + 1);
};

/** Notes an answer, which ends the backoff. */
export const recordResponse = (limiter: RateLimiter): void => {
  limiter.consecutiveFailures = 0;
};

/** Notes a call without an answer; the next one waits a random part of a bound that doubles with each failure. */
export const recordFailure = (limiter: RateLimiter, now: number, random: Random): void => {
  const {backoffBaseMs, backoffMaxMs} = limiter.options;
  const backoffBoundMs = Math.min(backoffMaxMs, backoffBaseMs * (2 ** Math.min(limiter.consecutiveFailures, 30)));
  limiter.consecutiveFailures += 1;
  limiter.backoffUntil = Math.max(limiter.backoffUntil, now + (random() * backoffBoundMs));
};
