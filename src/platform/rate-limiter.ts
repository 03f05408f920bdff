/** Rate limiter for calls to the platform: a token bucket, and exponential backoff with jitter after failures. */
import type {Random} from '../shared/random.js';

/** Options of a rate limiter. */
export type RateLimiterOptions = {
  /** Sustained rate, in calls per second. @default 20 */
  ratePerSecond?: number;
  /** Capacity of the token bucket: calls that may start at the same time. @default 20 */
  burst?: number;
  /** Upper bound of the first backoff delay, in milliseconds. @default 100 */
  backoffBaseMs?: number;
  /** Upper bound of all backoff delays, in milliseconds. @default 2000 */
  backoffMaxMs?: number;
};

/** State of a rate limiter, updated in place. */
export type RateLimiter = {
  options: Required<RateLimiterOptions>;
  /** Tokens at `refilledAt`; negative while calls wait for a token. */
  tokens: number;
  /** Time of the last refill, in milliseconds of the clock. */
  refilledAt: number;
  /** Number of failures since the last response that was not a failure. */
  consecutiveFailures: number;
  /** Time before which no call may start, in milliseconds of the clock. */
  backoffUntil: number;
};

// The platform serves 2,000 reads/s. Most of the 21,000 processes get the configuration from peers: only watchers,
// relays and aggregators call the platform (about 3 per zone), so 20 calls/s from each of them stay below that.
const DEFAULT_RATE_PER_SECOND = 20;
const DEFAULT_BURST = 20;
const DEFAULT_BACKOFF_BASE_MS = 100;
// A configuration must be in effect everywhere within 3 s, so a recovered platform must be noticed sooner than that.
const DEFAULT_BACKOFF_MAX_MS = 2000;

const MS_PER_SECOND = 1000;

/** Creates a rate limiter with a full token bucket. */
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

/** Takes a token for a call and returns the time to wait before it may start, in milliseconds. */
export const reserveToken = (limiter: RateLimiter, now: number): number => {
  const {ratePerSecond, burst} = limiter.options;
  limiter.tokens = Math.min(burst, limiter.tokens + (((now - limiter.refilledAt) * ratePerSecond) / MS_PER_SECOND)) - 1;
  limiter.refilledAt = now;
  const tokenWaitMs = limiter.tokens >= 0 ? 0 : (-limiter.tokens * MS_PER_SECOND) / ratePerSecond;
  return Math.max(tokenWaitMs, limiter.backoffUntil - now, 0);
};

/** Returns the token of a call that was cancelled before it started. */
export const returnToken = (limiter: RateLimiter): void => {
  limiter.tokens = Math.min(limiter.options.burst, limiter.tokens + 1);
};

/** Records a response that is not a failure: the next backoff starts from its base again. */
export const recordResponse = (limiter: RateLimiter): void => {
  limiter.consecutiveFailures = 0;
};

/** Records a failed call. The next call waits for a random fraction of a bound that doubles with each failure. */
export const recordFailure = (limiter: RateLimiter, now: number, random: Random): void => {
  const {backoffBaseMs, backoffMaxMs} = limiter.options;
  const backoffBoundMs = Math.min(backoffMaxMs, backoffBaseMs * (2 ** Math.min(limiter.consecutiveFailures, 30)));
  limiter.consecutiveFailures += 1;
  limiter.backoffUntil = Math.max(limiter.backoffUntil, now + (random() * backoffBoundMs));
};
