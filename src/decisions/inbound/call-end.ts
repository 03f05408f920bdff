/** Handles calls that end at the backend server or whose callers disconnect. */
import {
  cancelRunning, cancelUnrunTicket, dispatchNext, endQueuedCall, reject, rejectCallers, removeCall, updateRunningCount,
} from './call-lifecycle.js';
import {addLoadSample} from './concurrency-limit.js';
import {ABANDONED_GRACE_MS, TIMEOUT_OVERLOAD_RATIO} from './constants.js';
import {stopTracking} from './dependency-bulkhead.js';
import type {BackendOutcome, EventOf} from './events.js';
import {removeQueued} from './queue.js';
import {addServiceTime, meanServiceMs} from './service-times.js';
import type {ActiveCall, DecisionContext} from './state.js';
import {recordTicketOutcome} from './ticket-ledger.js';

/** Handles a caller that has disconnected. */
export const handleCallerGone = (context: DecisionContext, {callId}: EventOf<'caller-gone'>): void => {
  const {state, now} = context;
  const active = state.calls.get(state.leaderIds.get(callId) ?? callId);
  state.leaderIds.delete(callId);
  if (!active?.callerIds.delete(callId) || active.callerIds.size > 0) {
    return;
  }

  if (active.run === undefined) {
    removeQueued(state.queue, active.call, active.callId);
    endQueuedCall(context, active, 'deadline');
  } else if (active.ticket === undefined) {
    // A call with a ticket keeps running: if it were cancelled, a resend could only be told that the outcome is unknown.
    active.abandonedAt = now;
    state.abandoned.add(active.callId);
  }
};

/** Cancels running calls that have had no caller for `ABANDONED_GRACE_MS`. */
export const cancelAbandoned = (context: DecisionContext): void => {
  const {state, now} = context;
  for (const callId of state.abandoned) {
    const active = state.calls.get(callId)!;
    if (now - active.abandonedAt! >= ABANDONED_GRACE_MS) {
      state.abandoned.delete(callId);
      cancelRunning(context, active);
    }
  }
};

const recordMeasurements = ({state, now}: DecisionContext, active: ActiveCall, outcome: BackendOutcome): void => {
  const {startedAt, subCalls} = active.run!;
  // A timeout is no sign of overload if the call was waiting for a dependency or was dispatched with little time left.
  const meanMs = meanServiceMs(state.serviceTimes, active.call.requestKind);
  const isOverloadTimeout = subCalls.inProgress.size === 0 && active.deadlineAt - startedAt >= meanMs * TIMEOUT_OVERLOAD_RATIO;
  // The 503 of a call with sub-calls usually passes on the rejection of a dependency.
  const isOwnRejection = outcome.kind === 'responded' && outcome.status === 503 && subCalls.usedDependencies.size === 0;
  const waitedMs = stopTracking(state.dependencies, subCalls, active.call.requestKind, now);
  if (active.isCancelled || startedAt < state.resumedAt) {
    return;
  }

  const slotMs = now - startedAt;
  if (outcome.kind === 'responded' && outcome.status !== 503) {
    const selfMs = Math.max(0, slotMs - waitedMs);
    const inflation = addServiceTime(state.serviceTimes, {requestKind: active.call.requestKind, slotMs, selfMs}, now);
    addLoadSample(state.limit, {kind: 'served', inflation});
  } else if (isOwnRejection || (outcome.kind === 'timed-out' && isOverloadTimeout)) {
    addLoadSample(state.limit, {kind: 'overloaded'});
  }
};

const answerJoinedCalls = (context: DecisionContext, active: ActiveCall, responseBytes: number | undefined): void => {
  const {state, actions} = context;
  const isReplayable = responseBytes !== undefined && responseBytes <= state.ledger.limits.responseBytes;
  for (const callerId of active.callerIds) {
    if (callerId === active.callId) {
      continue;
    }

    if (isReplayable) {
      actions.push({kind: 'replay', callId: callerId, leaderId: active.callId});
    } else {
      reject(context, callerId, active.call, {reason: 'response-not-kept', outcome: 'run'});
    }
  }
};

const endRun = (context: DecisionContext, active: ActiveCall, {outcome, responseBytes}: EventOf<'backend-ended'>): void => {
  const {state, actions} = context;
  const {ticket} = active;
  switch (outcome.kind) {
    case 'responded': {
      answerJoinedCalls(context, active, responseBytes);
      const isKept = ticket !== undefined && recordTicketOutcome(state.ledger, ticket.ticket, 'completed', responseBytes);
      if (!isKept && responseBytes !== undefined) {
        actions.push({kind: 'forget-response', leaderId: active.callId});
      }

      return;
    }

    case 'not-sent': {
      const outcome = cancelUnrunTicket(context, ticket);
      rejectCallers(context, active, {reason: 'backend-unreachable', outcome});
      if (ticket !== undefined && outcome === 'unknown') {
        recordTicketOutcome(state.ledger, ticket.ticket, 'unknown');
      }

      return;
    }

    case 'lost':
    case 'timed-out': {
      rejectCallers(context, active, {reason: outcome.kind === 'lost' ? 'backend-lost' : 'backend-timeout', outcome: 'unknown'});
      if (ticket !== undefined) {
        recordTicketOutcome(state.ledger, ticket.ticket, 'unknown');
      }
    }
  }
};

/** Handles the end of a call at the backend server; ignored if the call is not running. */
export const handleBackendEnded = (context: DecisionContext, event: EventOf<'backend-ended'>): void => {
  const {state, now} = context;
  const active = state.calls.get(event.callId);
  if (active?.run === undefined) {
    return;
  }

  updateRunningCount(state, active.call.requestKind, -1, now);
  recordMeasurements(context, active, event.outcome);
  endRun(context, active, event);
  removeCall(context, active);
  dispatchNext(context);
};
