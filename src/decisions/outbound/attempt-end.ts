/** Handles the end of an attempt: forwards the result, resends on a new connection, retries or rejects the call. */
import type {Random} from '../../shared/random.js';
import {learnFraction, learntFraction, retryAfterMs} from './admission-feedback.js';
import {
  createAttemptAction, markParentGaveUp, rejectPendingCall, removePendingCall, retryRatio,
} from './attempt.js';
import type {
  AttemptResult, DecisionContext, OutboundAction, OutboundEvent,
} from './events.js';
import {classifyResult} from './result-classification.js';
import {returnTokens, grantTokens, takeRetryToken} from './retry-budget.js';
import {
  backoffMs, decideRetry, mayHaveRun, RESENDS_MAX, isRetryAllowed, type RetryConditions, type RetryReason,
} from './retry-policy.js';
import {
  recordCallEnd, countAveragedEndpoints, recordZoneFraction, type EndpointObservation,
} from './endpoint-feedback.js';
import {hasAlternative} from './routing.js';
import type {Attempt, OutboundState, PendingCall} from './state.js';

/** Takes an attempt out of flight at its endpoint and records the observation. */
export const recordAttemptEnd = (state: OutboundState, attempt: Attempt, observation: EndpointObservation, context: DecisionContext): void => {
  recordCallEnd(state.routing, {record: attempt.record, probe: attempt.probe, observation}, context);
};

const returnedTokens = (result: AttemptResult, granted: number): number => {
  switch (result.kind) {
    case 'responded':
    case 'rejected': {
      return result.retryBudget;
    }

    case 'not-connected': {
      return granted;
    }

    case 'lost':
    case 'silent':
    case 'timed-out': {
      return 0;
    }
  }
};

const learnFromResponse = (state: OutboundState, {call}: PendingCall, {record}: Attempt, {result, now}: {result: AttemptResult; now: number}): void => {
  if (result.kind !== 'responded' && result.kind !== 'rejected') {
    return;
  }

  const endpoints = countAveragedEndpoints(state.routing, call.service);
  learnFraction(state.feedback, call, {fraction: result.fraction, endpoints}, now);
  recordZoneFraction(state.routing, record, {priority: call.priority, fraction: result.fraction}, now);
};

/** Sends the attempt again on a new connection. The first send may have been delivered, so its tokens count as spent. */
const resendOnNewConnection = (pending: PendingCall, attempt: Attempt, {now, random}: DecisionContext): OutboundAction[] => {
  const {service, requestKind, priority} = pending.call;
  attempt.sendNumber++;
  attempt.grantedTokens = grantTokens(pending.pool, pending.call.idempotent, random);
  attempt.timeoutMs = pending.deadlineAt - now;
  return [
    {
      kind: 'retry-counted', service, requestKind, priority, reason: 'silent-reask',
    },
    createAttemptAction(pending, attempt),
  ];
};

const forward = (state: OutboundState, pending: PendingCall, end: {attemptId: string; result: Extract<AttemptResult, {fraction: number}>; failed: boolean}, now: number): OutboundAction[] => {
  const {attemptId, result, failed} = end;
  removePendingCall(state, pending, now);
  if (failed || (result.kind === 'responded' && result.gaveUp)) {
    markParentGaveUp(state, pending.parentCallId);
  }

  const rejectedOutcome = result.kind === 'rejected' && !pending.mayHaveRun ? result.outcome : 'unknown';
  return [{
    kind: 'forward',
    callId: pending.callId,
    attemptId,
    fraction: result.fraction,
    retryBudget: pending.parentCallId === undefined ? pending.pool.remaining : 0,
    outcome: result.kind === 'responded' ? 'run' : rejectedOutcome,
  }];
};

type AttemptEnd = {attemptId: string; result: AttemptResult; retry: RetryReason | undefined};

const endWithoutRetry = (state: OutboundState, pending: PendingCall, {attemptId, result, retry}: AttemptEnd, context: DecisionContext): OutboundAction[] => {
  switch (result.kind) {
    case 'responded':
    case 'rejected': {
      return forward(state, pending, {attemptId, result, failed: true}, context.now);
    }

    case 'not-connected': {
      return rejectPendingCall(state, pending, pending.clientBound ? 'ticket-host-unreachable' : 'retries-exhausted', context);
    }

    case 'lost':
    case 'silent': {
      return rejectPendingCall(state, pending, retry === undefined ? 'connection-lost' : 'retries-exhausted', context);
    }

    case 'timed-out': {
      return rejectPendingCall(state, pending, 'deadline', context);
    }
  }
};

/** Delay before the retry. Without an alternative endpoint, the retry-after of a rejection is respected. */
const retryDelayMs = (state: OutboundState, pending: PendingCall, result: AttemptResult, random: Random): number => {
  const backoff = backoffMs(pending.retries, random);
  const canRetryElsewhere = !pending.clientBound && hasAlternative(state.routing, pending.call.service, pending.triedHosts);
  return result.kind === 'rejected' && !canRetryElsewhere ? Math.max(backoff, result.retryAfterMs) : backoff;
};

const isRetryFutile = (state: OutboundState, pending: PendingCall, result: AttemptResult, now: number): boolean =>
  result.kind === 'rejected' && (
    // The process that rejected the call has cancelled its ticket.
    pending.clientBound
    || (result.reason === 'admission' && pending.call.admissionHash >= learntFraction(state.feedback, pending.call, now)));

const scheduleRetry = (state: OutboundState, pending: PendingCall, end: AttemptEnd & {retry: RetryReason}, context: DecisionContext): OutboundAction[] => {
  const {service, requestKind, priority} = pending.call;
  const bucket = state.routing.services.get(service)?.retryBucket;
  const wakeAt = context.now + retryDelayMs(state, pending, end.result, context.random);
  const allowed = bucket !== undefined && wakeAt < pending.deadlineAt
    && !isRetryFutile(state, pending, end.result, context.now)
    && isRetryAllowed(bucket, retryRatio(state, pending.call), context.now);
  if (!allowed || !takeRetryToken(pending.pool)) {
    return endWithoutRetry(state, pending, end, context);
  }

  bucket.tokens--;
  pending.retries++;
  if (!pending.clientBound) {
    pending.binding = undefined;
  }

  state.retryTimes.set(pending.callId, wakeAt);
  return [
    {
      kind: 'retry-counted', service, requestKind, priority, reason: end.retry,
    },
    {kind: 'wake', wakeAt},
  ];
};

const finishAttempt = (state: OutboundState, pending: PendingCall, event: Extract<OutboundEvent, {kind: 'attempt-ended'}>, context: DecisionContext): OutboundAction[] => {
  const attempt = pending.attempt!;
  const {result, attemptId} = event;
  const conditions: RetryConditions = {idempotent: pending.call.idempotent, replayable: event.replayable, isResend: attempt.sendNumber > 1};
  pending.attempt = undefined;
  recordAttemptEnd(state, attempt, classifyResult(result, {timeoutMs: attempt.timeoutMs, latencyMs: attempt.record.latencyMs}), context);
  returnTokens(pending.pool, attempt.grantedTokens, returnedTokens(result, attempt.grantedTokens));
  learnFromResponse(state, pending, attempt, {result, now: context.now});
  const decision = decideRetry(result, conditions);
  if (decision.kind === 'succeeded') {
    return forward(state, pending, {attemptId, result: result as Extract<AttemptResult, {kind: 'responded'}>, failed: false}, context.now);
  }

  pending.mayHaveRun ||= mayHaveRun(result, conditions);
  const {retry} = decision;
  return retry === undefined
    ? endWithoutRetry(state, pending, {attemptId, result, retry}, context)
    : scheduleRetry(state, pending, {attemptId, result, retry}, context);
};

/** Handles the end of an attempt; a late or repeated event has no effect. */
export const handleAttemptEnd = (state: OutboundState, event: Extract<OutboundEvent, {kind: 'attempt-ended'}>, context: DecisionContext): OutboundAction[] => {
  const pending = state.calls.get(event.callId);
  const attempt = pending?.attempt;
  if (pending === undefined || attempt?.attemptId !== event.attemptId || attempt.sendNumber !== event.sendNumber) {
    return [];
  }

  const isResent = event.result.kind === 'silent' && event.replayable && attempt.sendNumber <= RESENDS_MAX && context.now < pending.deadlineAt;
  return isResent ? resendOnNewConnection(pending, attempt, context) : finishAttempt(state, pending, event, context);
};
