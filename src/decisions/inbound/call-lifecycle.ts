/** Steps in the life of a call that several events share: dispatch, join, rejection and cancellation. */
import type {Treatment} from '../../objects/policy.js';
import type {CallContext} from '../../shared/call-context.js';
import {admittedFraction, retryAfterMs} from './admission.js';
import {allowedCalls} from './concurrency-limit.js';
import {SERVICE_TIME_MARGIN} from './constants.js';
import {isBlockedByDependency, startTracking} from './dependency-bulkhead.js';
import type {InboundRejection, RejectionOutcome} from './events.js';
import {takeNext, type DequeueDecision, type QueuedCall} from './queue.js';
import {neededServiceMs} from './service-times.js';
import type {ActiveCall, DecisionContext, InboundState} from './state.js';
import {
  recordCancellation, releaseTicket, markTicketRunning, type TicketReference,
} from './ticket-ledger.js';

type Rejection = {reason: InboundRejection; outcome: RejectionOutcome};

/** Rejects one call, with the admitted fraction and retry-after of its client group. */
export const reject = ({state, random, actions}: DecisionContext, callId: string, call: CallContext, rejection: Rejection): void => {
  const fraction = admittedFraction(state.admission, call.priority, call.group);
  actions.push({
    kind: 'reject', callId, ...rejection, retryAfterMs: retryAfterMs(fraction, random), fraction,
  });
};

/** Rejects every caller that waits for an active call. */
export const rejectCallers = (context: DecisionContext, active: ActiveCall, rejection: Rejection): void => {
  for (const callerId of active.callerIds) {
    reject(context, callerId, active.call, rejection);
  }
};

/** Removes an active call from the state. */
export const removeCall = ({state}: DecisionContext, active: ActiveCall): void => {
  state.calls.delete(active.callId);
  state.abandoned.delete(active.callId);
  for (const callerId of active.callerIds) {
    state.leaderIds.delete(callerId);
  }

  if (state.ledger.attemptLeaders.get(active.attemptKey) === active.callId) {
    state.ledger.attemptLeaders.delete(active.attemptKey);
  }
};

/** Cancels the ticket of a call that has not run, and returns the outcome to report: `unknown` if the ledger is too full to guarantee that the ticket never runs. */
export const cancelUnrunTicket = ({state}: DecisionContext, ticket: TicketReference | undefined): 'not-run' | 'unknown' =>
  ticket === undefined || recordCancellation(state.ledger, ticket) ? 'not-run' : 'unknown';

/** Ends a call that has left the queue without being dispatched. For the reason `ticket-cancelled` the ledger already holds the cancellation. */
export const endQueuedCall = (context: DecisionContext, active: ActiveCall, reason: InboundRejection): void => {
  const {ticket, callerIds} = active;
  // Without a caller no outcome is reported, and the ticket must stay usable for a caller that resends on a new connection.
  const outcome = reason === 'ticket-cancelled' || callerIds.size === 0 ? 'not-run' : cancelUnrunTicket(context, ticket);
  rejectCallers(context, active, {reason, outcome});
  removeCall(context, active);
  if (ticket !== undefined) {
    releaseTicket(context.state.ledger, ticket);
  }
};

/** Returns the policy's treatment of a call; undefined if its request kind is not declared. */
export const treatmentOf = ({backend}: InboundState, call: CallContext): Treatment | undefined => backend?.treatments.get(call.requestKind);

const isKindAtLimit = ({backend, runningByKind}: InboundState, requestKind: string): boolean =>
  (runningByKind.get(requestKind) ?? 0) >= (backend?.concurrencyByKind.get(requestKind) ?? Number.POSITIVE_INFINITY);

/** Updates the running calls and the busy time when a call starts or ends at the backend server. */
export const updateRunningCount = (state: InboundState, requestKind: string, change: 1 | -1, now: number): void => {
  const {window} = state;
  window.busyMs += state.runningCount * (now - window.busyMeasuredAt);
  window.busyMeasuredAt = now;
  state.runningCount += change;
  const running = (state.runningByKind.get(requestKind) ?? 0) + change;
  if (running === 0) {
    state.runningByKind.delete(requestKind);
  } else {
    state.runningByKind.set(requestKind, running);
  }
};

const dispatch = ({state, now, actions}: DecisionContext, active: ActiveCall): void => {
  const {callId, call, ticket} = active;
  active.run = {startedAt: now, subCalls: startTracking(state.dependencies, call.requestKind)};
  updateRunningCount(state, call.requestKind, 1, now);
  if (ticket !== undefined) {
    markTicketRunning(state.ledger, ticket.ticket);
  }

  actions.push({kind: 'dispatch', callId, timeoutMs: active.deadlineAt - now});
};

/** Returns the reason to reject a call at the head of the queue; undefined if it may run. */
const findDequeueRejection = ({state, now}: DecisionContext, queued: QueuedCall, {call}: ActiveCall): InboundRejection | undefined => {
  const hasWaited = now > queued.arrivedAt;
  const neededMs = neededServiceMs(state.serviceTimes, call.requestKind, now) * (hasWaited ? SERVICE_TIME_MARGIN : 1);
  const remainingMs = queued.deadlineAt - now;
  if (remainingMs <= 0 || remainingMs < neededMs) {
    return 'deadline';
  }

  if (hasWaited && now >= queued.queueUntil) {
    return 'queue-time';
  }

  return isBlockedByDependency(state.dependencies, call.requestKind, state.backend!.slots) ? 'dependency-slow' : undefined;
};

/** Dispatches queued calls while slots are free. */
export const dispatchNext = (context: DecisionContext): void => {
  const {state} = context;
  const decide = (queued: QueuedCall): DequeueDecision => {
    const active = state.calls.get(queued.callId)!;
    const reason = findDequeueRejection(context, queued, active);
    if (reason !== undefined) {
      state.window.queueRejections++;
      endQueuedCall(context, active, reason);
      return 'drop';
    }

    return 'take';
  };

  const isKindBlocked = (requestKind: string): boolean => isKindAtLimit(state, requestKind);

  while (state.backend !== undefined && state.queue.length > 0 && state.runningCount < allowedCalls(state.limit)) {
    const {taken} = takeNext(state.queue, {isKindBlocked, decide});
    if (taken === undefined) {
      return;
    }

    dispatch(context, state.calls.get(taken.callId)!);
  }
};

/** Makes a call wait for the response of an active one, its leader. */
export const joinCall = ({state, actions}: DecisionContext, callId: string, leaderId: string): void => {
  const active = state.calls.get(leaderId)!;
  active.callerIds.add(callId);
  active.abandonedAt = undefined;
  state.abandoned.delete(leaderId);
  state.leaderIds.set(callId, leaderId);
  actions.push({kind: 'join', callId, leaderId});
};

/** Aborts a running call; its outcome stays unknown. */
export const cancelRunning = ({state, actions}: DecisionContext, active: ActiveCall): void => {
  if (active.isCancelled) {
    return;
  }

  active.isCancelled = true;
  state.ledger.attemptLeaders.delete(active.attemptKey);
  actions.push({kind: 'cancel', callId: active.callId});
};

/** Ends calls that have been removed from the queue. */
export const endQueuedCalls = (context: DecisionContext, queued: QueuedCall[], reasonOf: (call: QueuedCall) => InboundRejection): void => {
  for (const call of queued) {
    endQueuedCall(context, context.state.calls.get(call.callId)!, reasonOf(call));
  }
};
