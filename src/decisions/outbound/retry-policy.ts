/** Decides which failures are retried, how long to wait, and how many retries a service may get. */
import type {Random} from '../../shared/random.js';
import type {AttemptResult} from './events.js';

/** Asks on a new connection for one attempt at most. */
export const RESENDS_MAX = 2;
/** Longest first backoff, in milliseconds; it doubles per retry. */
const BACKOFF_BASE_MS = 25;
const BACKOFF_MAX_MS = 1000;
/** Retries that a service may save up. It bounds the burst after a quiet time. */
const RETRY_BURST_MAX = 20;
/** Retries that a quiet service may save up without calls, and the time to save one, in milliseconds. */
const IDLE_RETRIES = 3;
const IDLE_REFILL_INTERVAL_MS = 1000;

/** Statuses by which a backend server says that it did not complete the call. */
const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Rejections that another attempt would meet again. */
const NON_RETRYABLE_REASONS: ReadonlySet<string> = new Set([
  'deadline', 'hop-limit', 'ticket-missing', 'ticket-expired', 'ticket-other-incarnation', 'ticket-cancelled',
]);

/** Why a retry is made. */
export type RetryReason = 'rejected' | 'not-connected' | 'lost' | 'silent' | 'timed-out' | 'status';

/** What a result means for the call. `failed` tells that the call did not succeed; a retry then depends on `retry`. */
export type RetryDecision =
  | {kind: 'succeeded'}
  | {kind: 'failed'; retry: RetryReason | undefined};

/** What the rules for retries need to know about a call. */
export type RetryConditions = {
  idempotent: boolean;
  replayable: boolean;
  /** An earlier ask of the same attempt got no answer, so it may have been delivered. */
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

/** Judges the result of an attempt by the rules of section 3.5 of the design page. */
export const decideRetry = (result: AttemptResult, conditions: RetryConditions): RetryDecision => {
  if (result.kind === 'responded' && !RETRYABLE_STATUSES.has(result.status)) {
    return {kind: 'succeeded'};
  }

  return {kind: 'failed', retry: conditions.replayable ? retryReason(result, conditions) : undefined};
};

/** Tells whether the backend server may have run the call, given how its attempt ended. */
export const mayHaveRun = (result: AttemptResult, conditions: RetryConditions): boolean => {
  switch (result.kind) {
    case 'rejected': {
      // The ledger of a ticket covers every ask under it; an idempotent call has none, so an unanswered ask may have run.
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

/** Wait before the next attempt in milliseconds, spread so that failed calls do not return together. */
export const backoffMs = (retries: number, random: Random): number =>
  Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * (2 ** retries)) * (0.5 + (random() / 2));

/** Retries that a service may still get, filled by its calls. */
export type RetryBucket = {tokens: number; refilledAt: number};

/** Creates the bucket of a service. */
export const createRetryBucket = (now: number): RetryBucket => ({tokens: IDLE_RETRIES, refilledAt: now});

/** Credits a call with the retries that it allows on average. */
export const creditBucket = (bucket: RetryBucket, ratio: number): void => {
  bucket.tokens = Math.max(bucket.tokens, Math.min(RETRY_BURST_MAX, bucket.tokens + ratio));
};

const refillIdleBucket = (bucket: RetryBucket, now: number): void => {
  const refill = (now - bucket.refilledAt) / IDLE_REFILL_INTERVAL_MS;
  bucket.refilledAt = now;
  bucket.tokens = Math.max(bucket.tokens, Math.min(IDLE_RETRIES, bucket.tokens + refill));
};

/** Tells whether the service may get a retry now; `ratio` 0 allows none. */
export const isRetryAllowed = (bucket: RetryBucket, ratio: number, now: number): boolean => {
  refillIdleBucket(bucket, now);
  return ratio > 0 && bucket.tokens >= 1;
};
