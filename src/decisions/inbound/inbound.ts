/** Decides which calls for the backend server of this host are queued, dispatched or rejected. */
import {DEFAULT_DRAIN_MS} from '../../objects/policy.js';
import type {Random} from '../../shared/random.js';
import {updateAdmission} from './admission.js';
import {handleCallArrived} from './arrival.js';
import {handleBackendAnnounced, handleBackendLeft, handlePolicyChanged} from './backend.js';
import {
  cancelRunning, dispatchNext, endQueuedCall, endQueuedCalls,
} from './call-lifecycle.js';
import {allowedCalls, updateLimit} from './concurrency-limit.js';
import {
  PROCESS_PAUSE_MS, QUEUE_FILL_TARGET, SERVICE_TIME_DEFAULT_MS, WINDOW_MS,
} from './constants.js';
import {detectSlowDependencies, endSubCall, startSubCall} from './dependency-bulkhead.js';
import {isDrainComplete, mustCancelCalls, startDrain} from './drain.js';
import {cancelAbandoned, handleBackendEnded, handleCallerGone} from './call-end.js';
import type {EventOf, InboundAction, InboundEvent} from './events.js';
import {removeOverdue, removeQueued} from './queue.js';
import type {DecisionContext, InboundState} from './state.js';
import {
  advanceLedgerClock, cancelTicket, expireTickets, queryTicket,
} from './ticket-ledger.js';

export type {
  BackendOutcome, InboundAction, InboundEvent, InboundRejection, RejectionOutcome,
} from './events.js';
export {
  createInboundState, inboundLoad, responseFraction, type InboundOptions, type InboundState,
} from './state.js';

const handleSubCall = ({state, now}: DecisionContext, event: EventOf<'sub-call-started' | 'sub-call-ended'>): void => {
  const active = state.calls.get(event.callId);
  if (active?.run === undefined) {
    return;
  }

  if (event.kind === 'sub-call-started') {
    startSubCall(state.dependencies, active.run.subCalls, event.service, now);
  } else {
    active.fraction = Math.min(active.fraction, event.fraction);
    endSubCall(state.dependencies, active.run.subCalls, event.service, now);
  }
};

const handleTicketRequest = (context: DecisionContext, event: EventOf<'ticket-query-asked' | 'ticket-cancel-asked'>): void => {
  const {state, actions} = context;
  const {askId, ticket} = event;
  const reference = {ticket, expiresAt: event.ticketExpiresAt, incarnation: event.ticketIncarnation};
  advanceLedgerClock(state.ledger, event.epochMs);
  if (event.kind === 'ticket-query-asked') {
    actions.push({kind: 'ticket-state', askId, ...queryTicket(state.ledger, reference)});
    return;
  }

  const {queuedCallId, ...answer} = cancelTicket(state.ledger, reference);
  actions.push({kind: 'ticket-state', askId, ...answer});
  if (queuedCallId !== undefined) {
    const queued = state.calls.get(queuedCallId)!;
    removeQueued(state.queue, queued.call, queuedCallId);
    endQueuedCall(context, queued, 'ticket-cancelled');
  }
};

const handleDrainStarted = ({state, now}: DecisionContext): void => {
  const drainMs = state.policy.drainMs.get(state.backend?.service ?? '') ?? DEFAULT_DRAIN_MS;
  state.drain = startDrain(state.drain, drainMs, now);
};

const updateDrain = (context: DecisionContext): void => {
  const {state, now, actions} = context;
  if (state.drain.kind === 'draining' && mustCancelCalls(state.drain, now)) {
    state.drain.isCancelling = true;
    endQueuedCalls(context, removeOverdue(state.queue, Number.POSITIVE_INFINITY), () => 'draining');
    for (const active of state.calls.values()) {
      cancelRunning(context, active);
    }
  }

  if (isDrainComplete(state.drain, state.calls.size)) {
    state.drain = {kind: 'drained'};
    actions.push({kind: 'drained'});
  }
};

const updateWindow = ({state, now, actions}: DecisionContext): void => {
  const {window, admission, limit, queue} = state;
  const elapsedMs = now - window.startedAt;
  if (elapsedMs < WINDOW_MS) {
    return;
  }

  const capacity = state.backend === undefined ? 0 : allowedCalls(limit);
  const busyMs = window.busyMs + (state.runningCount * (now - window.busyMeasuredAt));
  const previousExhaustedPriority = admission.firstExhaustedPriority;
  updateAdmission(admission, {
    elapsedMs,
    capacity,
    utilisation: busyMs / Math.max(1, capacity * elapsedMs),
    isQueueEmpty: queue.length === 0,
    queueRejections: window.queueRejections,
    spareQueueMs: (capacity * state.meanMaxQueuedMs * QUEUE_FILL_TARGET) - (queue.length * (state.serviceTimes.meanMs ?? SERVICE_TIME_DEFAULT_MS)),
    minimumShares: state.policy.minimumShares,
  });
  updateLimit(limit, now);
  state.window = {
    startedAt: now, busyMs: 0, busyMeasuredAt: now, queueRejections: 0,
  };
  if (admission.firstExhaustedPriority !== previousExhaustedPriority) {
    const cause = Number.isFinite(admission.firstExhaustedPriority)
      ? `demand exceeds ${capacity} slots; priority ${admission.firstExhaustedPriority - 1} is throttled and lower priorities get at most their minimum shares`
      : 'demand is within the capacity again; all calls are admitted';
    actions.push({kind: 'report', cause});
  }
};

const handleTick = (context: DecisionContext, {epochMs}: EventOf<'tick'>): void => {
  const {state, now, actions} = context;
  advanceLedgerClock(state.ledger, epochMs);
  for (const leaderId of expireTickets(state.ledger)) {
    actions.push({kind: 'forget-response', leaderId});
  }

  const overdue = removeOverdue(state.queue, now);
  state.window.queueRejections += overdue.length;
  endQueuedCalls(context, overdue, ({deadlineAt}) => deadlineAt <= now ? 'deadline' : 'queue-time');
  cancelAbandoned(context);
  for (const {service, isSlow} of detectSlowDependencies(state.dependencies, state.backend?.slots ?? 0, now)) {
    const cause = isSlow
      ? `${service} is slow; calls that depend on it may use at most half of the slots`
      : `${service} responds at its usual latency again`;
    actions.push({kind: 'report', cause});
  }

  updateWindow(context);
  dispatchNext(context);
};

const applyEvent = (context: DecisionContext, event: InboundEvent): void => {
  switch (event.kind) {
    case 'call-arrived': {
      handleCallArrived(context, event);
      return;
    }

    case 'backend-ended': {
      handleBackendEnded(context, event);
      return;
    }

    case 'caller-gone': {
      handleCallerGone(context, event);
      return;
    }

    case 'sub-call-started':
    case 'sub-call-ended': {
      handleSubCall(context, event);
      return;
    }

    case 'ticket-query-asked':
    case 'ticket-cancel-asked': {
      handleTicketRequest(context, event);
      return;
    }

    case 'backend-announced': {
      handleBackendAnnounced(context, event);
      return;
    }

    case 'backend-left': {
      handleBackendLeft(context);
      return;
    }

    case 'drain-started': {
      handleDrainStarted(context);
      return;
    }

    case 'policy-changed': {
      handlePolicyChanged(context, event);
      return;
    }

    case 'tick': {
      handleTick(context, event);
    }
  }
};

/** Handles one event and returns the actions to perform; `now` is in milliseconds of a monotonic clock. */
export const decideInbound = (state: InboundState, event: InboundEvent, now: number, random: Random): InboundAction[] => {
  if (now - state.now > PROCESS_PAUSE_MS) {
    state.resumedAt = now;
    state.dependencies.resumedAt = now;
  }

  state.now = Math.max(state.now, now);
  const context: DecisionContext = {
    state, now: state.now, random, actions: [],
  };
  applyEvent(context, event);
  updateDrain(context);
  return context.actions;
};
