/** Classifies the result of an attempt by what it shows about the endpoint. */
import type {AttemptResult} from './events.js';
import type {EndpointObservation} from './endpoint-feedback.js';

/** Shortest timeout whose expiry counts as a failure, in milliseconds. Without it, callers with short deadlines would eject every endpoint. */
const TIMEOUT_FAILURE_MIN_MS = 500;
/** Shortest timeout whose expiry counts as a failure, as a multiple of the endpoint's mean latency. */
const TIMEOUT_FAILURE_LATENCY_FACTOR = 3;

/** Rejection reasons that are caused by the call and show nothing about the endpoint. */
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

/** Returns the observation for a result, given the attempt's timeout and the endpoint's mean latency in milliseconds. */
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
