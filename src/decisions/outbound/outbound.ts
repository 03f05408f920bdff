/** Decides where calls that leave this process go, and what follows when an attempt fails. */
import type {Random} from '../../shared/random.js';
import {dropIdleRows} from './admission-feedback.js';
import {arrive, checkHeld} from './arrival.js';
import {rejectPending, removeCall, send} from './attempt.js';
import {endAttempt, release} from './ending.js';
import type {
  Endpoint, Moment, OutboundAction, OutboundEvent,
} from './events.js';
import {
  closeParent, expireParents, expirePools, openParent,
} from './retry-budget.js';
import {offerProbes} from './call-results.js';
import {replaceEndpoints, updateEndpoints} from './endpoint-records.js';
import {chooseForTicket} from './routing.js';
import type {OutboundState, Pending} from './state.js';

export type * from './events.js';
export {createOutboundState, type OutboundState} from './state.js';

/** Interval of the clean-up of what has expired, in milliseconds. */
const SWEEP_INTERVAL_MS = 1000;
/** Time after its deadline at which a call whose attempt never ended is dropped, in milliseconds. */
export const OVERDUE_GRACE_MS = 5000;

/** Chooses the endpoint that a new ticket for the service is bound to; undefined when none can take calls. */
export const chooseTicketEndpoint = (state: OutboundState, wish: {service: string; priority: number}, now: number, random: Random): Endpoint | undefined =>
  chooseForTicket(state.routing, {...wish, avoided: []}, {now, random});

const abandon = (state: OutboundState, pending: Pending, moment: Moment): OutboundAction[] => {
  const {attempt, callId} = pending;
  if (attempt === undefined) {
    return [];
  }

  release(state, attempt, {kind: 'nothing'}, moment);
  return [{kind: 'cancel-attempt', callId, attemptId: attempt.attemptId}];
};

const leave = (state: OutboundState, callId: string, moment: Moment): OutboundAction[] => {
  state.held.delete(callId);
  const pending = state.calls.get(callId);
  if (pending === undefined) {
    return [];
  }

  removeCall(state, pending, moment.now);
  return abandon(state, pending, moment);
};

const dropOverdue = (state: OutboundState, moment: Moment): OutboundAction[] =>
  [...state.calls.values()]
    .filter(pending => pending.deadlineAt + OVERDUE_GRACE_MS <= moment.now)
    .flatMap(pending => {
      pending.maybeRun ||= pending.attempt !== undefined;
      return [...abandon(state, pending, moment), ...rejectPending(state, pending, 'deadline', moment)];
    });

const sweep = (state: OutboundState, moment: Moment): OutboundAction[] => {
  if (moment.now - state.sweptAt < SWEEP_INTERVAL_MS) {
    return [];
  }

  state.sweptAt = moment.now;
  expirePools(state.budgets, moment.now);
  expireParents(state.budgets, moment.now);
  dropIdleRows(state.feedback, service => state.routing.services.has(service), moment.now);
  return dropOverdue(state, moment);
};

const wake = (state: OutboundState, moment: Moment): OutboundAction[] => {
  const due = [...state.waiting].filter(([, wakeAt]) => wakeAt <= moment.now);
  return due.flatMap(([callId]) => {
    state.waiting.delete(callId);
    return send(state, state.calls.get(callId)!, moment);
  });
};

const tick = (state: OutboundState, moment: Moment): OutboundAction[] => {
  offerProbes(state.routing, moment.now);
  return [...wake(state, moment), ...checkHeld(state, moment), ...sweep(state, moment)];
};

/** Decides on one event; `now` is in milliseconds of a clock that never goes back. */
export const decideOutbound = (state: OutboundState, event: OutboundEvent, now: number, random: Random): OutboundAction[] => {
  const moment = {now, random};
  switch (event.kind) {
    case 'call-arrived': {
      return arrive(state, event, moment);
    }

    case 'attempt-ended': {
      return endAttempt(state, event, moment);
    }

    case 'caller-gone': {
      return leave(state, event.callId, moment);
    }

    case 'parent-opened': {
      openParent(state.budgets, event, now);
      return [];
    }

    case 'parent-closed': {
      const {parentCallId} = event;
      return [{kind: 'parent-left', parentCallId, ...closeParent(state.budgets, parentCallId)}];
    }

    case 'endpoints-changed': {
      replaceEndpoints(state.routing, event.endpoints, now);
      return [];
    }

    case 'endpoints-updated': {
      updateEndpoints(state.routing, event, now);
      return [];
    }

    case 'policy-changed': {
      state.policy = event.policy;
      return [];
    }

    case 'tick': {
      return tick(state, moment);
    }
  }
};
