/** Decides what happens to calls for the backend server of this host. */
import {DEFAULT_DRAIN_MS} from '../../objects/policy.js';
import type {Random} from '../../shared/random.js';
import {updateAdmission} from './admission.js';
import {arrive} from './arrival.js';
import {announce, changePolicy, loseBackend} from './backend.js';
import {
  cancelRunning, dispatchNext, endWaiting, rejectQueue,
} from './calls.js';
import {allowedCalls, updateLimit} from './concurrency-limit.js';
import {
  PAUSE_MS, QUEUE_FILL, SERVICE_TIME_DEFAULT_MS, WINDOW_MS,
} from './constants.js';
import {endSubCall, startSubCall, updateDependencies} from './dependency-share.js';
import {endsNow, mustCancel, startDrain} from './drain.js';
import {cancelAbandoned, finish, leave} from './ending.js';
import type {EventOf, InboundAction, InboundEvent} from './events.js';
import {removeOverdue, removeQueued} from './queue.js';
import type {Decision, InboundState} from './state.js';
import {
  advanceLedger, cancelTicket, expireTickets, queryTicket,
} from './ticket-ledger.js';

export type {
  BackendOutcome, InboundAction, InboundEvent, InboundRejection, RejectionOutcome,
} from './events.js';
export {
  createInboundState, inboundLoad, responseFraction, type InboundOptions, type InboundState,
} from './state.js';

const noteSubCall = ({state, now}: Decision, event: EventOf<'sub-call-started' | 'sub-call-ended'>): void => {
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

const answerAsk = (decision: Decision, event: EventOf<'ticket-query-asked' | 'ticket-cancel-asked'>): void => {
  const {state, actions} = decision;
  const {askId, ticket} = event;
  const reference = {ticket, expiresAt: event.ticketExpiresAt, incarnation: event.ticketIncarnation};
  advanceLedger(state.ledger, event.epochMs);
  if (event.kind === 'ticket-query-asked') {
    actions.push({kind: 'ticket-state', askId, ...queryTicket(state.ledger, reference)});
    return;
  }

  const {waitingId, ...answer} = cancelTicket(state.ledger, reference);
  actions.push({kind: 'ticket-state', askId, ...answer});
  if (waitingId !== undefined) {
    const waiting = state.calls.get(waitingId)!;
    removeQueued(state.queue, waiting.call, waitingId);
    endWaiting(decision, waiting, 'ticket-cancelled');
  }
};

const beginDrain = ({state, now}: Decision): void => {
  const drainMs = state.policy.drainMs.get(state.backend?.service ?? '') ?? DEFAULT_DRAIN_MS;
  state.drain = startDrain(state.drain, drainMs, now);
};

const updateDrain = (decision: Decision): void => {
  const {state, now, actions} = decision;
  if (state.drain.kind === 'draining' && mustCancel(state.drain, now)) {
    state.drain.isCancelling = true;
    rejectQueue(decision, removeOverdue(state.queue, Number.POSITIVE_INFINITY), () => 'draining');
    for (const active of state.calls.values()) {
      cancelRunning(decision, active);
    }
  }

  if (endsNow(state.drain, state.calls.size)) {
    state.drain = {kind: 'drained'};
    actions.push({kind: 'drained'});
  }
};

const updateWindow = ({state, now, actions}: Decision): void => {
  const {window, admission, limit, queue} = state;
  const elapsedMs = now - window.startedAt;
  if (elapsedMs < WINDOW_MS) {
    return;
  }

  const capacity = state.backend === undefined ? 0 : allowedCalls(limit);
  const busyMs = window.busyMs + (state.runningCount * (now - window.busyUntil));
  const wasThinned = admission.exhaustedFrom;
  updateAdmission(admission, {
    elapsedMs,
    capacity,
    utilisation: busyMs / Math.max(1, capacity * elapsedMs),
    isQueueEmpty: queue.length === 0,
    queueRejections: window.queueRejections,
    queueRoomMs: (capacity * state.usualQueueMs * QUEUE_FILL) - (queue.length * (state.serviceTimes.meanMs ?? SERVICE_TIME_DEFAULT_MS)),
    minimumShares: state.policy.minimumShares,
  });
  updateLimit(limit, now);
  state.window = {
    startedAt: now, busyMs: 0, busyUntil: now, queueRejections: 0,
  };
  if (admission.exhaustedFrom !== wasThinned) {
    const cause = Number.isFinite(admission.exhaustedFrom)
      ? `demand exceeds ${capacity} slots; priority ${admission.exhaustedFrom - 1} is thinned and lower ones keep no more than their minimum shares`
      : 'demand fits again; every call is admitted';
    actions.push({kind: 'report', cause});
  }
};

const tick = (decision: Decision, {epochMs}: EventOf<'tick'>): void => {
  const {state, now, actions} = decision;
  advanceLedger(state.ledger, epochMs);
  for (const leaderId of expireTickets(state.ledger)) {
    actions.push({kind: 'forget-response', leaderId});
  }

  const overdue = removeOverdue(state.queue, now);
  state.window.queueRejections += overdue.length;
  rejectQueue(decision, overdue, ({deadlineAt}) => deadlineAt <= now ? 'deadline' : 'queue-time');
  cancelAbandoned(decision);
  for (const {service, isSlow} of updateDependencies(state.dependencies, state.backend?.slots ?? 0, now)) {
    const cause = isSlow
      ? `${service} is slow; calls that need it may hold half of the slots`
      : `${service} answers in its usual time again`;
    actions.push({kind: 'report', cause});
  }

  updateWindow(decision);
  dispatchNext(decision);
};

const apply = (decision: Decision, event: InboundEvent): void => {
  switch (event.kind) {
    case 'call-arrived': {
      arrive(decision, event);
      return;
    }

    case 'backend-ended': {
      finish(decision, event);
      return;
    }

    case 'caller-gone': {
      leave(decision, event);
      return;
    }

    case 'sub-call-started':
    case 'sub-call-ended': {
      noteSubCall(decision, event);
      return;
    }

    case 'ticket-query-asked':
    case 'ticket-cancel-asked': {
      answerAsk(decision, event);
      return;
    }

    case 'backend-announced': {
      announce(decision, event);
      return;
    }

    case 'backend-left': {
      loseBackend(decision);
      return;
    }

    case 'drain-started': {
      beginDrain(decision);
      return;
    }

    case 'policy-changed': {
      changePolicy(decision, event);
      return;
    }

    case 'tick': {
      tick(decision, event);
    }
  }
};

/** Decides on one event; `now` is in milliseconds of a clock that never goes back. */
export const decideInbound = (state: InboundState, event: InboundEvent, now: number, random: Random): InboundAction[] => {
  if (now - state.now > PAUSE_MS) {
    state.resumedAt = now;
    state.dependencies.resumedAt = now;
  }

  state.now = Math.max(state.now, now);
  const decision: Decision = {
    state, now: state.now, random, actions: [],
  };
  apply(decision, event);
  updateDrain(decision);
  return decision.actions;
};
