/** Derives from the result of an attempt what it tells about its backend server. */
import type {AttemptResult} from './events.js';
import type {EndpointObservation} from './endpoint-feedback.js';

/** Shortest timeout whose passing counts as a failure, in milliseconds; callers with short deadlines would eject all. */
const TIMEOUT_FAILURE_MIN_MS = 500;
/** The same, as a multiple of the usual latency. */
const TIMEOUT_FAILURE_LATENCY_FACTOR = 3;

/** Rejections that concern the call alone. */
const CALL_SPECIFIC_REASONS: ReadonlySet<string> = new Set([
  'deadline', 'hop-limit', 'ticket-missing', 'ticket-expired', 'ticket-other-incarnation', 'ticket-cancelled', 'dependency-slow',
]);

const classifyResponse = (result: Extract<AttemptResult, {kind: 'responded'}>): EndpointObservation => {
  const {status, durationMs: latencyMs, load} = result;
  if (status < 500) {
    return {kind: 'success', latencyMs, load};
  }

  if (result.gaveUp) {
    return {kind: 'inconclusive'};
  }

  switch (status) {
    case 502:
    case 504: {
      return {kind: 'failure', cause: 'other'};
    }

    case 503: {
      return {kind: 'overloaded', load};
    }

    default: {
      return {kind: 'inconclusive'};
    }
  }
};

const classifyRejection = (result: Extract<AttemptResult, {kind: 'rejected'}>): EndpointObservation => {
  if (result.gaveUp || CALL_SPECIFIC_REASONS.has(result.reason)) {
    return {kind: 'inconclusive'};
  }

  if (result.reason === 'draining') {
    return {kind: 'draining'};
  }

  return result.reason === 'no-backend-server' || result.outcome === 'unknown'
    ? {kind: 'failure', cause: 'other'}
    : {kind: 'overloaded', load: result.load};
};

/** Returns what the result tells, given the attempt's timeout and the usual latency of the endpoint in milliseconds. */
export const classifyResult = (result: AttemptResult, attempt: {timeoutMs: number; latencyMs: number}): EndpointObservation => {
  switch (result.kind) {
    case 'responded': {
      return classifyResponse(result);
    }

    case 'rejected': {
      return classifyRejection(result);
    }

    case 'not-connected': {
      return {kind: 'failure', cause: 'connect'};
    }

    case 'lost':
    case 'silent': {
      return {kind: 'failure', cause: 'other'};
    }

    case 'timed-out': {
      const minimumMs = Math.max(TIMEOUT_FAILURE_MIN_MS, attempt.latencyMs * TIMEOUT_FAILURE_LATENCY_FACTOR);
      return attempt.timeoutMs >= minimumMs ? {kind: 'failure', cause: 'other'} : {kind: 'inconclusive'};
    }
  }
};
