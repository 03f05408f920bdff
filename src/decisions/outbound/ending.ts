/** Decides what follows when an attempt ends: forward, ask again, retry or reject. */
import type {Random} from '../../shared/random.js';
import {learnFraction, learntFraction, retryAfterMs} from './admission-feedback.js';
import {
  attemptAction, markGivenUp, rejectPending, removeCall, retryRatio,
} from './attempt.js';
import type {
  AttemptResult, Moment, OutboundAction, OutboundEvent,
} from './events.js';
import {observationOf} from './observation.js';
import {giveBack, grant, takeRetry} from './retry-budget.js';
import {
  backoffMs, judge, mayHaveRun, REASKS_MAX, retryAllowed, type RetryCase, type RetryReason,
} from './retry-policy.js';
import {
  endCall, endpointsInUse, noteFraction, type Observation,
} from './call-results.js';
import {hasOther} from './routing.js';
import type {Attempt, OutboundState, Pending} from './state.js';

/** Ends an attempt at its endpoint and notes what it showed. */
export const release = (state: OutboundState, attempt: Attempt, observation: Observation, moment: Moment): void => {
  endCall(state.routing, {record: attempt.record, probe: attempt.probe, observation}, moment);
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

const learn = (state: OutboundState, {call}: Pending, {record}: Attempt, {result, now}: {result: AttemptResult; now: number}): void => {
  if (result.kind !== 'responded' && result.kind !== 'rejected') {
    return;
  }

  const endpoints = endpointsInUse(state.routing, call.service);
  learnFraction(state.feedback, call, {fraction: result.fraction, endpoints}, now);
  noteFraction(state.routing, record, {priority: call.priority, fraction: result.fraction}, now);
};

/** Asks again on a new connection. The first ask may have been delivered, so its grant counts as spent. */
const askAgain = (pending: Pending, attempt: Attempt, {now, random}: Moment): OutboundAction[] => {
  const {service, requestKind, priority} = pending.call;
  attempt.ask++;
  attempt.granted = grant(pending.pool, pending.call.idempotent, random);
  attempt.timeoutMs = pending.deadlineAt - now;
  return [
    {
      kind: 'retry-counted', service, requestKind, priority, reason: 'silent-reask',
    },
    attemptAction(pending, attempt),
  ];
};

const forward = (state: OutboundState, pending: Pending, end: {attemptId: string; result: Extract<AttemptResult, {fraction: number}>; failed: boolean}, now: number): OutboundAction[] => {
  const {attemptId, result, failed} = end;
  removeCall(state, pending, now);
  if (failed || (result.kind === 'responded' && result.gaveUp)) {
    markGivenUp(state, pending.parentCallId);
  }

  const rejectedOutcome = result.kind === 'rejected' && !pending.maybeRun ? result.outcome : 'unknown';
  return [{
    kind: 'forward',
    callId: pending.callId,
    attemptId,
    fraction: result.fraction,
    retryBudget: pending.parentCallId === undefined ? pending.pool.left : 0,
    outcome: result.kind === 'responded' ? 'run' : rejectedOutcome,
  }];
};

type Ended = {attemptId: string; result: AttemptResult; retry: RetryReason | undefined};

const conclude = (state: OutboundState, pending: Pending, {attemptId, result, retry}: Ended, moment: Moment): OutboundAction[] => {
  switch (result.kind) {
    case 'responded':
    case 'rejected': {
      return forward(state, pending, {attemptId, result, failed: true}, moment.now);
    }

    case 'not-connected': {
      return rejectPending(state, pending, pending.clientBound ? 'ticket-host-unreachable' : 'retries-exhausted', moment);
    }

    case 'lost':
    case 'silent': {
      return rejectPending(state, pending, retry === undefined ? 'connection-lost' : 'retries-exhausted', moment);
    }

    case 'timed-out': {
      return rejectPending(state, pending, 'deadline', moment);
    }
  }
};

/** Wait before the retry; the same backend server is asked again only after the time that it asked for. */
const retryWaitMs = (state: OutboundState, pending: Pending, result: AttemptResult, random: Random): number => {
  const wait = backoffMs(pending.retries, random);
  const elsewhere = !pending.clientBound && hasOther(state.routing, pending.call.service, pending.tried);
  return result.kind === 'rejected' && !elsewhere ? Math.max(wait, result.retryAfterMs) : wait;
};

const isHopeless = (state: OutboundState, pending: Pending, result: AttemptResult, now: number): boolean =>
  result.kind === 'rejected' && (
    // The bound process has cancelled the ticket that it rejected.
    pending.clientBound
    || (result.reason === 'admission' && pending.call.admissionHash >= learntFraction(state.feedback, pending.call, now)));

const planRetry = (state: OutboundState, pending: Pending, ended: Ended & {retry: RetryReason}, moment: Moment): OutboundAction[] => {
  const {service, requestKind, priority} = pending.call;
  const bucket = state.routing.services.get(service)?.bucket;
  const wakeAt = moment.now + retryWaitMs(state, pending, ended.result, moment.random);
  const allowed = bucket !== undefined && wakeAt < pending.deadlineAt
    && !isHopeless(state, pending, ended.result, moment.now)
    && retryAllowed(bucket, retryRatio(state, pending.call), moment.now);
  if (!allowed || !takeRetry(pending.pool)) {
    return conclude(state, pending, ended, moment);
  }

  bucket.tokens--;
  pending.retries++;
  if (!pending.clientBound) {
    pending.binding = undefined;
  }

  state.waiting.set(pending.callId, wakeAt);
  return [
    {
      kind: 'retry-counted', service, requestKind, priority, reason: ended.retry,
    },
    {kind: 'wake', wakeAt},
  ];
};

const finishAttempt = (state: OutboundState, pending: Pending, event: Extract<OutboundEvent, {kind: 'attempt-ended'}>, moment: Moment): OutboundAction[] => {
  const attempt = pending.attempt!;
  const {result, attemptId} = event;
  const retryCase: RetryCase = {idempotent: pending.call.idempotent, replayable: event.replayable, askedBefore: attempt.ask > 1};
  pending.attempt = undefined;
  release(state, attempt, observationOf(result, {timeoutMs: attempt.timeoutMs, latencyMs: attempt.record.latencyMs}), moment);
  giveBack(pending.pool, attempt.granted, returnedTokens(result, attempt.granted));
  learn(state, pending, attempt, {result, now: moment.now});
  const verdict = judge(result, retryCase);
  if (verdict.kind === 'succeeded') {
    return forward(state, pending, {attemptId, result: result as Extract<AttemptResult, {kind: 'responded'}>, failed: false}, moment.now);
  }

  pending.maybeRun ||= mayHaveRun(result, retryCase);
  const {retry} = verdict;
  return retry === undefined
    ? conclude(state, pending, {attemptId, result, retry}, moment)
    : planRetry(state, pending, {attemptId, result, retry}, moment);
};

/** Decides on the end of an attempt; a late or repeated one has no effect. */
export const endAttempt = (state: OutboundState, event: Extract<OutboundEvent, {kind: 'attempt-ended'}>, moment: Moment): OutboundAction[] => {
  const pending = state.calls.get(event.callId);
  const attempt = pending?.attempt;
  if (pending === undefined || attempt?.attemptId !== event.attemptId || attempt.ask !== event.ask) {
    return [];
  }

  const asksAgain = event.result.kind === 'silent' && event.replayable && attempt.ask <= REASKS_MAX && moment.now < pending.deadlineAt;
  return asksAgain ? askAgain(pending, attempt, moment) : finishAttempt(state, pending, event, moment);
};
