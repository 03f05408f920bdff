/** Decides which failures are retried, how long to wait, and how many retries a service may get. */
import type {Random} from '../../shared/random.js';
import type {AttemptResult} from './events.js';

/** Asks on a new connection for one attempt at most. */
export const REASKS_MAX = 2;
/** Longest first backoff, in milliseconds; it doubles per retry. */
const BACKOFF_BASE_MS = 25;
const BACKOFF_MAX_MS = 1000;
/** Retries that a service may save up. It bounds the burst after a quiet time. */
const RATIO_BURST = 20;
/** Retries that a quiet service may save up without calls, and the time to save one, in milliseconds. */
const QUIET_RETRIES = 3;
const QUIET_REFILL_MS = 1000;

/** Statuses by which a backend server says that it did not complete the call. */
const RETRIED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/** Rejections that another attempt would meet again. */
const FINAL_REASONS: ReadonlySet<string> = new Set([
  'deadline', 'hop-limit', 'ticket-missing', 'ticket-expired', 'ticket-other-incarnation', 'ticket-cancelled',
]);

/** Why a retry is made. */
export type RetryReason = 'rejected' | 'not-connected' | 'lost' | 'silent' | 'timed-out' | 'status';

/** What a result means for the call. `failed` tells that the call did not succeed; a retry then depends on `retry`. */
export type Verdict =
  | {kind: 'succeeded'}
  | {kind: 'failed'; retry: RetryReason | undefined};

/** What the rules for retries need to know about a call. */
export type RetryCase = {
  idempotent: boolean;
  replayable: boolean;
  /** An earlier ask of the same attempt got no answer, so it may have been delivered. */
  askedBefore: boolean;
};

const whenIdempotent = (retryCase: RetryCase, reason: RetryReason): RetryReason | undefined =>
  (retryCase.idempotent ? reason : undefined);

const retryReason = (result: AttemptResult, retryCase: RetryCase): RetryReason | undefined => {
  switch (result.kind) {
    case 'responded': {
      return result.gaveUp ? undefined : whenIdempotent(retryCase, 'status');
    }

    case 'rejected': {
      if (result.gaveUp || FINAL_REASONS.has(result.reason)) {
        return undefined;
      }

      return result.outcome === 'not-run' ? 'rejected' : whenIdempotent(retryCase, 'rejected');
    }

    case 'not-connected': {
      return retryCase.askedBefore ? whenIdempotent(retryCase, 'lost') : 'not-connected';
    }

    case 'lost':
    case 'silent':
    case 'timed-out': {
      return whenIdempotent(retryCase, result.kind);
    }
  }
};

/** Judges the result of an attempt by the rules of section 3.5 of the design page. */
export const judge = (result: AttemptResult, retryCase: RetryCase): Verdict => {
  if (result.kind === 'responded' && !RETRIED_STATUSES.has(result.status)) {
    return {kind: 'succeeded'};
  }

  return {kind: 'failed', retry: retryCase.replayable ? retryReason(result, retryCase) : undefined};
};

/** Tells whether the backend server may have run the call, given how its attempt ended. */
export const mayHaveRun = (result: AttemptResult, retryCase: RetryCase): boolean => {
  switch (result.kind) {
    case 'rejected': {
      // The ledger of a ticket covers every ask under it; an idempotent call has none, so an unanswered ask may have run.
      return result.outcome === 'unknown' || (retryCase.askedBefore && retryCase.idempotent);
    }

    case 'not-connected': {
      return retryCase.askedBefore;
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
export type RatioBucket = {tokens: number; refilledAt: number};

/** Creates the bucket of a service. */
export const createRatioBucket = (now: number): RatioBucket => ({tokens: QUIET_RETRIES, refilledAt: now});

/** Credits a call with the retries that it allows on average. */
export const creditCall = (bucket: RatioBucket, ratio: number): void => {
  bucket.tokens = Math.max(bucket.tokens, Math.min(RATIO_BURST, bucket.tokens + ratio));
};

const refillQuiet = (bucket: RatioBucket, now: number): void => {
  const refill = (now - bucket.refilledAt) / QUIET_REFILL_MS;
  bucket.refilledAt = now;
  bucket.tokens = Math.max(bucket.tokens, Math.min(QUIET_RETRIES, bucket.tokens + refill));
};

/** Tells whether the service may get a retry now; `ratio` 0 allows none. */
export const retryAllowed = (bucket: RatioBucket, ratio: number, now: number): boolean => {
  refillQuiet(bucket, now);
  return ratio > 0 && bucket.tokens >= 1;
};
