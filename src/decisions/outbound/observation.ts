/** Derives from the result of an attempt what it tells about its backend server. */
import type {AttemptResult} from './events.js';
import type {Observation} from './call-results.js';

/** Shortest timeout whose passing counts as a failure, in milliseconds; callers with short deadlines would eject all. */
const TIMEOUT_FAILURE_MIN_MS = 500;
/** The same, as a multiple of the usual latency. */
const TIMEOUT_FAILURE_LATENCIES = 3;

/** Rejections that concern the call alone. */
const REASONS_OF_CALL: ReadonlySet<string> = new Set([
  'deadline', 'hop-limit', 'ticket-missing', 'ticket-expired', 'ticket-other-incarnation', 'ticket-cancelled', 'dependency-slow',
]);

const observeResponse = (result: Extract<AttemptResult, {kind: 'responded'}>): Observation => {
  const {status, durationMs: latencyMs, load} = result;
  if (status < 500) {
    return {kind: 'success', latencyMs, load};
  }

  if (result.gaveUp) {
    return {kind: 'nothing'};
  }

  switch (status) {
    case 502:
    case 504: {
      return {kind: 'failure', cause: 'other'};
    }

    case 503: {
      return {kind: 'refusal', load};
    }

    default: {
      return {kind: 'nothing'};
    }
  }
};

const observeRejection = (result: Extract<AttemptResult, {kind: 'rejected'}>): Observation => {
  if (result.gaveUp || REASONS_OF_CALL.has(result.reason)) {
    return {kind: 'nothing'};
  }

  if (result.reason === 'draining') {
    return {kind: 'leaving'};
  }

  return result.reason === 'no-backend-server' || result.outcome === 'unknown'
    ? {kind: 'failure', cause: 'other'}
    : {kind: 'refusal', load: result.load};
};

/** Returns what the result tells, given the attempt's timeout and the usual latency of the endpoint in milliseconds. */
export const observationOf = (result: AttemptResult, attempt: {timeoutMs: number; latencyMs: number}): Observation => {
  switch (result.kind) {
    case 'responded': {
      return observeResponse(result);
    }

    case 'rejected': {
      return observeRejection(result);
    }

    case 'not-connected': {
      return {kind: 'failure', cause: 'connect'};
    }

    case 'lost':
    case 'silent': {
      return {kind: 'failure', cause: 'other'};
    }

    case 'timed-out': {
      const patienceMs = Math.max(TIMEOUT_FAILURE_MIN_MS, attempt.latencyMs * TIMEOUT_FAILURE_LATENCIES);
      return attempt.timeoutMs >= patienceMs ? {kind: 'failure', cause: 'other'} : {kind: 'nothing'};
    }
  }
};
