/** Joins, replays, queues or rejects calls that arrive. */
import type {CallContext} from '../../shared/call-context.js';
import {isAdmitted, observeDemand} from './admission.js';
import {
  cancelUnrunTicket, dispatchNext, endQueuedCall, joinCall, reject, treatmentOf,
} from './call-lifecycle.js';
import {allowedCalls} from './concurrency-limit.js';
import {
  QUEUE_LENGTH_MAX, QUEUE_TIME_SHARE_FIRST_HOP, QUEUE_TIME_SHARE_SUB_CALL, RECENT_EWMA_WEIGHT, SERVICE_TIME_DEFAULT_MS,
} from './constants.js';
import {isBlockedByDependency} from './dependency-bulkhead.js';
import type {EventOf, InboundRejection} from './events.js';
import {displaceLast, enqueue} from './queue.js';
import {meanServiceMs} from './service-times.js';
import type {ActiveCall, DecisionContext, InboundState} from './state.js';
import {
  advanceLedgerClock, claimTicket, resolveTicket, type TicketReference, type TicketResolution,
} from './ticket-ledger.js';

const findPreconditionRejection = (state: InboundState, call: CallContext): InboundRejection | undefined => {
  if (state.backend === undefined) {
    return 'no-backend-server';
  }

  if (state.drain.kind !== 'none') {
    return 'draining';
  }

  return !call.idempotent && call.ticket === undefined ? 'ticket-missing' : undefined;
};

const recordDemand = (state: InboundState, call: CallContext): void => {
  const weight = treatmentOf(state, call)?.weights.get(call.group) ?? 1;
  observeDemand(state.admission, call, weight, meanServiceMs(state.serviceTimes, call.requestKind));
};

const findOverloadRejection = (state: InboundState, call: CallContext): InboundRejection | undefined => {
  // A blocked call cannot use a slot. Counted as demand, it would throttle other request kinds while slots stay free.
  if (isBlockedByDependency(state.dependencies, call.requestKind, state.backend!.slots)) {
    return 'dependency-slow';
  }

  recordDemand(state, call);
  // The request of a sub-call has already consumed work, so the sub-call is queued; admission at the first hop throttles later requests.
  return call.hops > 1 || isAdmitted(state.admission, call) ? undefined : 'admission';
};

const handleKnownTicket = (context: DecisionContext, event: EventOf<'call-arrived'>, resolution: Exclude<TicketResolution, {kind: 'new'}>): void => {
  const {callId, call} = event;
  switch (resolution.kind) {
    case 'join': {
      joinCall(context, callId, resolution.leaderId);
      return;
    }

    case 'replay': {
      context.actions.push({kind: 'replay', callId, leaderId: resolution.leaderId});
      return;
    }

    case 'refused': {
      reject(context, callId, call, {reason: resolution.reason, outcome: resolution.outcome});
    }
  }
};

/** Returns the maximum queue length: the calls that the backend server completes within the call's maximum queue time. */
const maxQueueLength = (state: InboundState, maxQueuedMs: number): number => {
  const limit = allowedCalls(state.limit);
  const meanMs = Math.max(1, state.serviceTimes.meanMs ?? SERVICE_TIME_DEFAULT_MS);
  return Math.min(QUEUE_LENGTH_MAX, limit * Math.max(1, maxQueuedMs / meanMs));
};

/** Returns the maximum queue time of a call: the one of the policy, or else a share of the remaining time. */
const computeMaxQueuedMs = (state: InboundState, call: CallContext): number =>
  treatmentOf(state, call)?.queueMs ?? call.remainingMs * (call.hops > 1 ? QUEUE_TIME_SHARE_SUB_CALL : QUEUE_TIME_SHARE_FIRST_HOP);

const enqueueCall = (context: DecisionContext, active: ActiveCall): void => {
  const {state, now} = context;
  const {callId, call, deadlineAt} = active;
  const maxQueuedMs = computeMaxQueuedMs(state, call);
  state.meanMaxQueuedMs += (maxQueuedMs - state.meanMaxQueuedMs) * RECENT_EWMA_WEIGHT;
  state.calls.set(callId, active);
  if (active.ticket === undefined) {
    state.ledger.attemptLeaders.set(active.attemptKey, callId);
  }

  enqueue(state.queue, {
    callId, priority: call.priority, requestKind: call.requestKind, arrivedAt: now, deadlineAt, queueUntil: now + maxQueuedMs,
  });
  dispatchNext(context);
  if (state.queue.length > maxQueueLength(state, maxQueuedMs)) {
    const last = displaceLast(state.queue)!;
    state.window.queueRejections++;
    endQueuedCall(context, state.calls.get(last.callId)!, last.priority > call.priority ? 'displaced' : 'queue-time');
  }
};

const tryClaimTicket = ({ledger}: InboundState, ticket: TicketReference | undefined, callId: string): InboundRejection | undefined =>
  ticket === undefined || claimTicket(ledger, ticket, callId) ? undefined : 'ledger-full';

const attemptKeyOf = ({requestId, attemptId, requestKind}: CallContext): string => `${requestKind} ${requestId} ${attemptId}`;

const handleNewCall = (context: DecisionContext, event: EventOf<'call-arrived'>, ticket: TicketReference | undefined): void => {
  const {state, now} = context;
  const {callId, call} = event;
  const rejectionReason = findPreconditionRejection(state, call) ?? findOverloadRejection(state, call) ?? tryClaimTicket(state, ticket, callId);
  if (rejectionReason !== undefined) {
    reject(context, callId, call, {reason: rejectionReason, outcome: cancelUnrunTicket(context, ticket)});
    return;
  }

  enqueueCall(context, {
    callId,
    call,
    ticket,
    attemptKey: attemptKeyOf(call),
    deadlineAt: now + call.remainingMs,
    callerIds: new Set([callId]),
    abandonedAt: undefined,
    isCancelled: false,
    fraction: 1,
    run: undefined,
  });
};

/** Handles the arrival of a call; a call id that is already known is ignored. */
export const handleCallArrived = (context: DecisionContext, event: EventOf<'call-arrived'>): void => {
  const {state} = context;
  const {callId, call} = event;
  advanceLedgerClock(state.ledger, event.epochMs);
  if (state.calls.has(callId) || state.leaderIds.has(callId)) {
    return;
  }

  if (call.ticket === undefined) {
    const leaderId = state.ledger.attemptLeaders.get(attemptKeyOf(call));
    if (leaderId === undefined) {
      handleNewCall(context, event, undefined);
    } else {
      joinCall(context, callId, leaderId);
    }

    return;
  }

  const ticket = {ticket: call.ticket, expiresAt: event.ticketExpiresAt, incarnation: event.ticketIncarnation};
  const resolution = resolveTicket(state.ledger, ticket);
  if (resolution.kind === 'new') {
    handleNewCall(context, event, ticket);
  } else {
    handleKnownTicket(context, event, resolution);
  }
};
