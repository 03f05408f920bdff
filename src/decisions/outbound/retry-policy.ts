/** Decides which failures are retried, after which backoff, and how many retries a service may get. */
import type {Random} from '../../shared/random.js';
import type {AttemptResult} from './events.js';

/** Maximum number of resends of one attempt on a new connection. */
export const RESENDS_MAX = 2;
/** Upper bound of the first backoff, in milliseconds; it doubles per retry. */
const BACKOFF_BASE_MS = 25;
const BACKOFF_MAX_MS = 1000;
/** Maximum number of retry tokens of a service; bounds the burst after an idle time. */
const RETRY_BURST_MAX = 20;
/** Retry tokens that a service accrues without calls, and the time to accrue one, in milliseconds. */
const IDLE_RETRIES = 3;
const IDLE_REFILL_INTERVAL_MS = 1000;

/** Statuses by which a backend server reports that it did not complete the call. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Rejection reasons that another attempt would get again. */
const NON_RETRYABLE_REASONS: ReadonlySet<string> = new Set([
  'deadline', 'hop-limit', 'ticket-missing', 'ticket-expired', 'ticket-other-incarnation', 'ticket-cancelled',
]);

/** Why a retry is made. */
export type RetryReason = 'rejected' | 'not-connected' | 'lost' | 'silent' | 'timed-out' | 'status';

/** Outcome of an attempt for its call; `retry` is the reason of a retry, undefined when the failure must not be retried. */
export type RetryDecision =
  | {kind: 'succeeded'}
  | {kind: 'failed'; retry: RetryReason | undefined};

/** Properties of a call and its attempt that decide on a retry. */
export type RetryConditions = {
  idempotent: boolean;
  /** Whether the request body can be sent again. */
  replayable: boolean;
  /** Whether an earlier send of the same attempt got no answer, so that it may have been delivered. */
  isResend: boolean;
};

const ifIdempotent = (conditions: RetryConditions, reason: RetryReason): RetryReason | undefined =>
  (conditions.idempotent ? reason : undefined);

const retryReason = (result: AttemptResult, conditions: RetryConditions): RetryReason | undefined => {
  switch (result.kind) {
    case 'responded': {
      return result.gaveUp ? undefined : ifIdempotent(conditions, 'status');
    }

    case 'rejected': {
      if (result.gaveUp || NON_RETRYABLE_REASONS.has(result.reason)) {
        return undefined;
      }

      return result.outcome === 'not-run' ? 'rejected' : ifIdempotent(conditions, 'rejected');
    }

    case 'not-connected': {
      return conditions.isResend ? ifIdempotent(conditions, 'lost') : 'not-connected';
    }

    case 'lost':
    case 'silent':
    case 'timed-out': {
      return ifIdempotent(conditions, result.kind);
    }
  }
};

/** Decides whether an attempt succeeded and, if not, whether the call is retried; implements section 3.5 of the design page. */
export const decideRetry = (result: AttemptResult, conditions: RetryConditions): RetryDecision => {
  if (result.kind === 'responded' && !RETRYABLE_STATUSES.has(result.status)) {
    return {kind: 'succeeded'};
  }

  return {kind: 'failed', retry: conditions.replayable ? retryReason(result, conditions) : undefined};
};

/** Whether the backend server may have run the call, given the result of the attempt. */
export const mayHaveRun = (result: AttemptResult, conditions: RetryConditions): boolean => {
  switch (result.kind) {
    case 'rejected': {
      // A ticket's ledger covers every send with it. An idempotent call has no ticket, so an unanswered earlier send may have run.
      return result.outcome === 'unknown' || (conditions.isResend && conditions.idempotent);
    }

    case 'not-connected': {
      return conditions.isResend;
    }

    case 'responded':
    case 'lost':
    case 'silent':
    case 'timed-out': {
      return true;
    }
  }
};

/** Backoff before the next attempt in milliseconds, with jitter so that failed calls do not return together. */
export const backoffMs = (retries: number, random: Random): number =>
  Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * (2 ** retries)) * (0.5 + (random() / 2));

/** Token bucket of the retries of a service, filled by its calls. */
export type RetryBucket = {tokens: number; refilledAt: number};

/** Creates the bucket of a new service. */
export const createRetryBucket = (now: number): RetryBucket => ({tokens: IDLE_RETRIES, refilledAt: now});

/** Adds the retries that one call allows on average. */
export const creditBucket = (bucket: RetryBucket, ratio: number): void => {
  bucket.tokens = Math.max(bucket.tokens, Math.min(RETRY_BURST_MAX, bucket.tokens + ratio));
};

const refillIdleBucket = (bucket: RetryBucket, now: number): void => {
  const refill = (now - bucket.refilledAt) / IDLE_REFILL_INTERVAL_MS;
  bucket.refilledAt = now;
  bucket.tokens = Math.max(bucket.tokens, Math.min(IDLE_RETRIES, bucket.tokens + refill));
};

/** Whether the service may get a retry now; `ratio` 0 allows none. */
export const isRetryAllowed = (bucket: RetryBucket, ratio: number, now: number): boolean => {
  refillIdleBucket(bucket, now);
  return ratio > 0 && bucket.tokens >= 1;
};
