/** Decides on calls that end at the backend server or whose callers go. */
import {
  cancelRunning, countRunning, dispatchNext, endWaiting, forgetCall, reject, rejectCallers, unrunOutcome,
} from './calls.js';
import {addLoadSample} from './concurrency-limit.js';
import {ABANDONED_MS, TIMEOUT_RATIO} from './constants.js';
import {closeSubCalls} from './dependency-share.js';
import type {BackendOutcome, EventOf} from './events.js';
import {removeQueued} from './queue.js';
import {addServiceTime, usualServiceMs} from './service-times.js';
import type {ActiveCall, Decision} from './state.js';
import {endTicket} from './ticket-ledger.js';

/** Notes that the caller of a call has gone. */
export const leave = (decision: Decision, {callId}: EventOf<'caller-gone'>): void => {
  const {state, now} = decision;
  const active = state.calls.get(state.joined.get(callId) ?? callId);
  state.joined.delete(callId);
  if (!active?.callers.delete(callId) || active.callers.size > 0) {
    return;
  }

  if (active.run === undefined) {
    removeQueued(state.queue, active.call, active.callId);
    endWaiting(decision, active, 'deadline');
  } else if (active.ticket === undefined) {
    // Under a ticket the call goes on: cancelled, its outcome would stay unknown to the resend.
    active.abandonedAt = now;
    state.abandoned.add(active.callId);
  }
};

/** Cancels running calls that have had no caller for a while. */
export const cancelAbandoned = (decision: Decision): void => {
  const {state, now} = decision;
  for (const callId of state.abandoned) {
    const active = state.calls.get(callId)!;
    if (now - active.abandonedAt! >= ABANDONED_MS) {
      state.abandoned.delete(callId);
      cancelRunning(decision, active);
    }
  }
};

const measure = ({state, now}: Decision, active: ActiveCall, outcome: BackendOutcome): void => {
  const {startedAt, subCalls} = active.run!;
  // A call that waits for a dependency, or that had little time from the start, says nothing about the backend server.
  const usualMs = usualServiceMs(state.serviceTimes, active.call.requestKind);
  const isTimeoutOverload = subCalls.open.size === 0 && active.deadlineAt - startedAt >= usualMs * TIMEOUT_RATIO;
  const waitedMs = closeSubCalls(state.dependencies, subCalls, active.call.requestKind, now);
  if (active.isCancelled || startedAt < state.resumedAt) {
    return;
  }

  const heldMs = now - startedAt;
  if (outcome.kind === 'responded' && outcome.status !== 503) {
    const ownMs = Math.max(0, heldMs - waitedMs);
    const inflation = addServiceTime(state.serviceTimes, {requestKind: active.call.requestKind, heldMs, ownMs}, now);
    addLoadSample(state.limit, {kind: 'served', inflation});
  } else if (outcome.kind === 'responded' || (outcome.kind === 'timed-out' && isTimeoutOverload)) {
    addLoadSample(state.limit, {kind: 'overloaded'});
  }
};

const answerJoined = (decision: Decision, active: ActiveCall, responseBytes: number | undefined): void => {
  const {state, actions} = decision;
  const isReplayable = responseBytes !== undefined && responseBytes <= state.ledger.limits.responseBytes;
  for (const callerId of active.callers) {
    if (callerId === active.callId) {
      continue;
    }

    if (isReplayable) {
      actions.push({kind: 'replay', callId: callerId, leaderId: active.callId});
    } else {
      reject(decision, callerId, active.call, {reason: 'response-not-kept', outcome: 'run'});
    }
  }
};

const endRun = (decision: Decision, active: ActiveCall, {outcome, responseBytes}: EventOf<'backend-ended'>): void => {
  const {state, actions} = decision;
  const {ticket} = active;
  switch (outcome.kind) {
    case 'responded': {
      answerJoined(decision, active, responseBytes);
      const isKept = ticket !== undefined && endTicket(state.ledger, ticket.ticket, 'completed', responseBytes);
      if (!isKept && responseBytes !== undefined) {
        actions.push({kind: 'forget-response', leaderId: active.callId});
      }

      return;
    }

    case 'not-sent': {
      const outcome = unrunOutcome(decision, ticket);
      rejectCallers(decision, active, {reason: 'backend-unreachable', outcome});
      if (ticket !== undefined && outcome === 'unknown') {
        endTicket(state.ledger, ticket.ticket, 'unknown');
      }

      return;
    }

    case 'lost':
    case 'timed-out': {
      rejectCallers(decision, active, {reason: outcome.kind === 'lost' ? 'backend-lost' : 'backend-timeout', outcome: 'unknown'});
      if (ticket !== undefined) {
        endTicket(state.ledger, ticket.ticket, 'unknown');
      }
    }
  }
};

/** Decides on the end of a call at the backend server; one for a call that is not running has no effect. */
export const finish = (decision: Decision, event: EventOf<'backend-ended'>): void => {
  const {state, now} = decision;
  const active = state.calls.get(event.callId);
  if (active?.run === undefined) {
    return;
  }

  countRunning(state, active.call.requestKind, -1, now);
  measure(decision, active, event.outcome);
  endRun(decision, active, event);
  forgetCall(decision, active);
  dispatchNext(decision);
};
