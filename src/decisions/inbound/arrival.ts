/** Decides on calls that arrive. */
import type {Call} from '../../shared/call.js';
import {isAdmitted, observeDemand} from './admission.js';
import {
  dispatchNext, endWaiting, join, reject, treatmentOf, unrunOutcome,
} from './calls.js';
import {allowedCalls} from './concurrency-limit.js';
import {
  QUEUE_LENGTH_MAX, QUEUE_SHARE_DEEPER, QUEUE_SHARE_FIRST_HOP, RECENT_SMOOTHING, SERVICE_TIME_DEFAULT_MS,
} from './constants.js';
import {isHeldBack} from './dependency-share.js';
import type {EventOf, InboundRejection} from './events.js';
import {displaceLast, enqueue} from './queue.js';
import {usualServiceMs} from './service-times.js';
import type {ActiveCall, Decision, InboundState} from './state.js';
import {
  advanceLedger, askTicket, claimTicket, type TicketAnswer, type TicketReference,
} from './ticket-ledger.js';

const refusalOfNew = (state: InboundState, call: Call): InboundRejection | undefined => {
  if (state.backend === undefined) {
    return 'no-backend-server';
  }

  if (state.drain.kind !== 'none') {
    return 'draining';
  }

  return !call.idempotent && call.ticket === undefined ? 'ticket-missing' : undefined;
};

const countDemand = (state: InboundState, call: Call): void => {
  const weight = treatmentOf(state, call)?.weights.get(call.group) ?? 1;
  observeDemand(state.admission, call, weight, usualServiceMs(state.serviceTimes, call.requestKind));
};

const refusalUnderLoad = (state: InboundState, call: Call): InboundRejection | undefined => {
  // A call that is held back cannot use a slot; as demand it would thin other request kinds for slots that stay free.
  if (isHeldBack(state.dependencies, call.requestKind, state.backend!.slots)) {
    return 'dependency-slow';
  }

  countDemand(state, call);
  // Work has been spent on a sub-call's request already; it waits in the queue, and its first hop thins the next ones.
  return call.hops > 1 || isAdmitted(state.admission, call) ? undefined : 'admission';
};

const refuseTicket = (decision: Decision, event: EventOf<'call-arrived'>, answer: Exclude<TicketAnswer, {kind: 'new'}>): void => {
  const {callId, call} = event;
  switch (answer.kind) {
    case 'join': {
      join(decision, callId, answer.leaderId);
      return;
    }

    case 'replay': {
      decision.actions.push({kind: 'replay', callId, leaderId: answer.leaderId});
      return;
    }

    case 'refused': {
      reject(decision, callId, call, {reason: answer.reason, outcome: answer.outcome});
    }
  }
};

/** Longest queue in calls: what the backend server works off within the call's queue time. */
const queueLengthMax = (state: InboundState, queueMs: number): number => {
  const limit = allowedCalls(state.limit);
  const meanMs = Math.max(1, state.serviceTimes.meanMs ?? SERVICE_TIME_DEFAULT_MS);
  return Math.min(QUEUE_LENGTH_MAX, limit * Math.max(1, queueMs / meanMs));
};

/** Longest wait of a call: by policy, else a share of its remaining time. */
const queueTimeMs = (state: InboundState, call: Call): number =>
  treatmentOf(state, call)?.queueMs ?? call.remainingMs * (call.hops > 1 ? QUEUE_SHARE_DEEPER : QUEUE_SHARE_FIRST_HOP);

const enqueueCall = (decision: Decision, active: ActiveCall): void => {
  const {state, now} = decision;
  const {callId, call, deadlineAt} = active;
  const queueMs = queueTimeMs(state, call);
  state.usualQueueMs += (queueMs - state.usualQueueMs) * RECENT_SMOOTHING;
  state.calls.set(callId, active);
  if (active.ticket === undefined) {
    state.ledger.attempts.set(active.attemptKey, callId);
  }

  enqueue(state.queue, {
    callId, priority: call.priority, requestKind: call.requestKind, arrivedAt: now, deadlineAt, queueUntil: now + queueMs,
  });
  dispatchNext(decision);
  if (state.queue.length > queueLengthMax(state, queueMs)) {
    const last = displaceLast(state.queue)!;
    state.window.queueRejections++;
    endWaiting(decision, state.calls.get(last.callId)!, last.priority > call.priority ? 'displaced' : 'queue-time');
  }
};

const refusalOfLedger = ({ledger}: InboundState, ticket: TicketReference | undefined, callId: string): InboundRejection | undefined =>
  ticket === undefined || claimTicket(ledger, ticket, callId) ? undefined : 'ledger-full';

const attemptKeyOf = ({requestId, attemptId, requestKind}: Call): string => `${requestKind} ${requestId} ${attemptId}`;

const startCall = (decision: Decision, event: EventOf<'call-arrived'>, ticket: TicketReference | undefined): void => {
  const {state, now} = decision;
  const {callId, call} = event;
  const refusal = refusalOfNew(state, call) ?? refusalUnderLoad(state, call) ?? refusalOfLedger(state, ticket, callId);
  if (refusal !== undefined) {
    reject(decision, callId, call, {reason: refusal, outcome: unrunOutcome(decision, ticket)});
    return;
  }

  enqueueCall(decision, {
    callId,
    call,
    ticket,
    attemptKey: attemptKeyOf(call),
    deadlineAt: now + call.remainingMs,
    callers: new Set([callId]),
    abandonedAt: undefined,
    isCancelled: false,
    fraction: 1,
    run: undefined,
  });
};

/** Decides on a call that arrives. */
export const arrive = (decision: Decision, event: EventOf<'call-arrived'>): void => {
  const {state} = decision;
  const {callId, call} = event;
  advanceLedger(state.ledger, event.epochMs);
  if (state.calls.has(callId) || state.joined.has(callId)) {
    return;
  }

  if (call.ticket === undefined) {
    const leaderId = state.ledger.attempts.get(attemptKeyOf(call));
    if (leaderId === undefined) {
      startCall(decision, event, undefined);
    } else {
      join(decision, callId, leaderId);
    }

    return;
  }

  const ticket = {ticket: call.ticket, expiresAt: event.ticketExpiresAt, incarnation: event.ticketIncarnation};
  const answer = askTicket(state.ledger, ticket);
  if (answer.kind === 'new') {
    startCall(decision, event, ticket);
  } else {
    refuseTicket(decision, event, answer);
  }
};
