/** Moves calls from the queue to the backend server, and rejects those that cannot go there. */
import type {Treatment} from '../../objects/policy.js';
import type {Call} from '../../shared/call.js';
import {fractionOf, retryAfterMs} from './admission.js';
import {allowedCalls} from './concurrency-limit.js';
import {SERVICE_TIME_MARGIN} from './constants.js';
import {isHeldBack, openSubCalls} from './dependency-share.js';
import type {InboundRejection, RejectionOutcome} from './events.js';
import {takeNext, type QueuedCall, type QueueVerdict} from './queue.js';
import {neededServiceMs} from './service-times.js';
import type {ActiveCall, Decision, InboundState} from './state.js';
import {
  cancelForGood, releaseTicket, startTicket, type TicketReference,
} from './ticket-ledger.js';

type Verdict = {reason: InboundRejection; outcome: RejectionOutcome};

/** Rejects one call. */
export const reject = ({state, random, actions}: Decision, callId: string, call: Call, verdict: Verdict): void => {
  const fraction = fractionOf(state.admission, call.priority, call.group);
  actions.push({
    kind: 'reject', callId, ...verdict, retryAfterMs: retryAfterMs(fraction, random), fraction,
  });
};

/** Rejects every call that waits for an active one. */
export const rejectCallers = (decision: Decision, active: ActiveCall, verdict: Verdict): void => {
  for (const callerId of active.callers) {
    reject(decision, callerId, active.call, verdict);
  }
};

/** Drops an active call. */
export const forgetCall = ({state}: Decision, active: ActiveCall): void => {
  state.calls.delete(active.callId);
  state.abandoned.delete(active.callId);
  for (const callerId of active.callers) {
    state.joined.delete(callerId);
  }

  if (state.ledger.attempts.get(active.attemptKey) === active.callId) {
    state.ledger.attempts.delete(active.attemptKey);
  }
};

/** What may be said of a call that has not run: `not-run` only once its ticket can never run, and `unknown` when the ledger is too full to record that. */
export const unrunOutcome = ({state}: Decision, ticket: TicketReference | undefined): 'not-run' | 'unknown' =>
  ticket === undefined || cancelForGood(state.ledger, ticket) ? 'not-run' : 'unknown';

/** Ends a call that was never dispatched and is no longer in the queue; a cancellation has already been recorded. */
export const endWaiting = (decision: Decision, active: ActiveCall, reason: InboundRejection): void => {
  const {ticket, callers} = active;
  // Without a caller nothing is said, and the caller may be about to ask again on a new connection.
  const outcome = reason === 'ticket-cancelled' || callers.size === 0 ? 'not-run' : unrunOutcome(decision, ticket);
  rejectCallers(decision, active, {reason, outcome});
  forgetCall(decision, active);
  if (ticket !== undefined) {
    releaseTicket(decision.state.ledger, ticket);
  }
};

/** Treatment of a call by the policy; undefined for a request kind that is not declared. */
export const treatmentOf = ({backend}: InboundState, call: Call): Treatment | undefined => backend?.treatments.get(call.requestKind);

const isKindAtBound = ({backend, runningByKind}: InboundState, requestKind: string): boolean =>
  (runningByKind.get(requestKind) ?? 0) >= (backend?.concurrencyByKind.get(requestKind) ?? Number.POSITIVE_INFINITY);

/** Counts a call that starts or ends at the backend server. */
export const countRunning = (state: InboundState, requestKind: string, change: 1 | -1, now: number): void => {
  const {window} = state;
  window.busyMs += state.runningCount * (now - window.busyUntil);
  window.busyUntil = now;
  state.runningCount += change;
  const running = (state.runningByKind.get(requestKind) ?? 0) + change;
  if (running === 0) {
    state.runningByKind.delete(requestKind);
  } else {
    state.runningByKind.set(requestKind, running);
  }
};

const dispatch = ({state, now, actions}: Decision, active: ActiveCall): void => {
  const {callId, call, ticket} = active;
  active.run = {startedAt: now, subCalls: openSubCalls(state.dependencies, call.requestKind)};
  countRunning(state, call.requestKind, 1, now);
  if (ticket !== undefined) {
    startTicket(state.ledger, ticket.ticket);
  }

  actions.push({kind: 'dispatch', callId, timeoutMs: active.deadlineAt - now});
};

/** Reason for which a call at the head of the queue is rejected, or undefined when it may run. */
const refusalAtDequeue = ({state, now}: Decision, queued: QueuedCall, {call}: ActiveCall): InboundRejection | undefined => {
  const hasWaited = now > queued.arrivedAt;
  const neededMs = neededServiceMs(state.serviceTimes, call.requestKind, now) * (hasWaited ? SERVICE_TIME_MARGIN : 1);
  const remainingMs = queued.deadlineAt - now;
  if (remainingMs <= 0 || remainingMs < neededMs) {
    return 'deadline';
  }

  if (hasWaited && now >= queued.queueUntil) {
    return 'queue-time';
  }

  return isHeldBack(state.dependencies, call.requestKind, state.backend!.slots) ? 'dependency-slow' : undefined;
};

/** Dispatches waiting calls as long as slots are free. */
export const dispatchNext = (decision: Decision): void => {
  const {state} = decision;
  const judge = (queued: QueuedCall): QueueVerdict => {
    const active = state.calls.get(queued.callId)!;
    const refusal = refusalAtDequeue(decision, queued, active);
    if (refusal !== undefined) {
      state.window.queueRejections++;
      endWaiting(decision, active, refusal);
      return 'drop';
    }

    return 'take';
  };

  const isKindBlocked = (requestKind: string): boolean => isKindAtBound(state, requestKind);

  while (state.backend !== undefined && state.queue.length > 0 && state.runningCount < allowedCalls(state.limit)) {
    const {taken} = takeNext(state.queue, {isKindBlocked, judge});
    if (taken === undefined) {
      return;
    }

    dispatch(decision, state.calls.get(taken.callId)!);
  }
};

/** Lets a call wait for an active one. */
export const join = ({state, actions}: Decision, callId: string, leaderId: string): void => {
  const active = state.calls.get(leaderId)!;
  active.callers.add(callId);
  active.abandonedAt = undefined;
  state.abandoned.delete(leaderId);
  state.joined.set(callId, leaderId);
  actions.push({kind: 'join', callId, leaderId});
};

/** Aborts a running call; what became of it stays unknown. */
export const cancelRunning = ({state, actions}: Decision, active: ActiveCall): void => {
  if (active.isCancelled) {
    return;
  }

  active.isCancelled = true;
  state.ledger.attempts.delete(active.attemptKey);
  actions.push({kind: 'cancel', callId: active.callId});
};

/** Rejects calls that have been removed from the queue. */
export const rejectQueue = (decision: Decision, queued: QueuedCall[], reasonOf: (call: QueuedCall) => InboundRejection): void => {
  for (const call of queued) {
    endWaiting(decision, decision.state.calls.get(call.callId)!, reasonOf(call));
  }
};
