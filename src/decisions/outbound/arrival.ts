/** Handles calls that arrive: rejects, defers or sends them. */
import {HOP_COUNT_MAX} from '../../shared/constants.js';
import {admit} from './admission-feedback.js';
import {
  isClientBound, createRejection, retryRatio, sendCall,
} from './attempt.js';
import type {DecisionContext, OutboundAction, OutboundRejection} from './events.js';
import {joinPool} from './retry-budget.js';
import {creditBucket} from './retry-policy.js';
import type {
  CallArrival, DeferredCall, OutboundState, PendingCall,
} from './state.js';

/** Part of its remaining time that a client's call may wait for admission. */
const ADMISSION_WAIT_SHARE = 0.4;
/** Mean time between two admission checks of a deferred call, in milliseconds. */
const ADMISSION_CHECK_INTERVAL_MS = 100;
/** Maximum number of deferred calls; their bodies are not read from the client while they wait. */
const DEFERRED_CALLS_MAX = 10_000;

const findRejectionReason = (state: OutboundState, {call, boundEndpoint}: CallArrival): OutboundRejection | undefined => {
  if (call.remainingMs <= 0) {
    return 'deadline';
  }

  if (call.hops >= HOP_COUNT_MAX) {
    return 'hop-limit';
  }

  return boundEndpoint !== undefined || state.routing.services.has(call.service) ? undefined : 'no-backend-server';
};

const addPendingCall = (state: OutboundState, event: CallArrival, fraction: number, now: number): PendingCall => {
  const {callId, call, parentCallId, boundHost, boundIncarnation, boundEndpoint} = event;
  const pending: PendingCall = {
    callId,
    call,
    parentCallId,
    binding: boundHost === undefined ? undefined : {host: boundHost, incarnation: boundIncarnation, endpoint: boundEndpoint},
    clientBound: isClientBound(event),
    pool: joinPool(state.budgets, call, parentCallId),
    deadlineAt: now + call.remainingMs,
    fraction,
    attempts: 0,
    retries: 0,
    triedHosts: [],
    mayHaveRun: false,
    attempt: undefined,
  };
  state.calls.set(callId, pending);
  return pending;
};

const startPendingCall = (state: OutboundState, event: CallArrival, fraction: number, context: DecisionContext): OutboundAction[] => {
  const {call} = event;
  const service = state.routing.services.get(call.service);
  if (service !== undefined) {
    creditBucket(service.retryBucket, retryRatio(state, call));
  }

  return sendCall(state, addPendingCall(state, event, fraction, context.now), context);
};

const rejectUnadmitted = (state: OutboundState, event: CallArrival, context: DecisionContext): OutboundAction =>
  createRejection(state, {...event, reason: 'admission', outcome: isClientBound(event) ? 'unknown' : 'not-run'}, context);

/** Defers a call that is not admitted: a short surge may pass while it waits, and a rejected client would retry and add load. */
const deferCall = (state: OutboundState, event: CallArrival, {now, random}: DecisionContext): void => {
  state.deferredCalls.set(event.callId, {
    event, arrivedAt: now, admitBy: now + (event.call.remainingMs * ADMISSION_WAIT_SHARE), nextCheckAt: now + (ADMISSION_CHECK_INTERVAL_MS * (0.5 + random())),
  });
};

const admitOrDefer = (state: OutboundState, event: CallArrival, context: DecisionContext): OutboundAction[] => {
  const admission = admit(state.feedback, event.call, context.now);
  // Rejecting a sub-call would waste the work done by its callers; admission is applied at the request's first hop instead.
  if (admission.admitted || event.parentCallId !== undefined) {
    return startPendingCall(state, event, admission.fraction, context);
  }

  if (state.deferredCalls.size >= DEFERRED_CALLS_MAX) {
    return [rejectUnadmitted(state, event, context)];
  }

  deferCall(state, event, context);
  return [];
};

const recheckDeferredCall = (state: OutboundState, deferred: DeferredCall, context: DecisionContext): OutboundAction[] => {
  const {now, random} = context;
  const {event} = deferred;
  const remainingMs = event.call.remainingMs - (now - deferred.arrivedAt);
  const call = {...event.call, remainingMs};
  const admission = admit(state.feedback, call, now);
  if (admission.admitted && remainingMs > 0) {
    state.deferredCalls.delete(event.callId);
    return startPendingCall(state, {...event, call}, admission.fraction, context);
  }

  if (now >= deferred.admitBy) {
    state.deferredCalls.delete(event.callId);
    return [rejectUnadmitted(state, event, context)];
  }

  deferred.nextCheckAt = now + (ADMISSION_CHECK_INTERVAL_MS * (0.5 + random()));
  return [];
};

/** Sends or rejects deferred calls whose admission check is due. */
export const recheckDeferredCalls = (state: OutboundState, context: DecisionContext): OutboundAction[] =>
  [...state.deferredCalls.values()].filter(({nextCheckAt}) => nextCheckAt <= context.now).flatMap(deferred => recheckDeferredCall(state, deferred, context));

/** Rejects, defers or sends a call that arrives; a known call id has no effect. */
export const handleCallArrival = (state: OutboundState, event: CallArrival, context: DecisionContext): OutboundAction[] => {
  const {call} = event;
  if (state.calls.has(event.callId) || state.deferredCalls.has(event.callId)) {
    return [];
  }

  const outcome = isClientBound(event) ? 'unknown' : 'not-run';
  const rejectionReason = findRejectionReason(state, event);
  if (rejectionReason !== undefined) {
    const reason = rejectionReason === 'no-backend-server' && isClientBound(event) ? 'ticket-host-unreachable' : rejectionReason;
    return [createRejection(state, {...event, reason, outcome}, context)];
  }

  return admitOrDefer(state, event, context);
};
