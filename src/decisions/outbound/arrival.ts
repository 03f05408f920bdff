/** Decides on calls that arrive: rejects, holds or sends them. */
import {HOP_COUNT_MAX} from '../../shared/constants.js';
import {admit} from './admission-feedback.js';
import {
  isClientBound, reject, retryRatio, send,
} from './attempt.js';
import type {Moment, OutboundAction, OutboundRejection} from './events.js';
import {joinPool} from './retry-budget.js';
import {creditCall} from './retry-policy.js';
import type {
  Arrival, Held, OutboundState, Pending,
} from './state.js';

/** Part of its remaining time that a client's call may wait here to be admitted. */
const HOLD_SHARE = 0.4;
/** Usual time between two checks of a held call, in milliseconds. */
const HOLD_CHECK_MS = 100;
/** Calls that are held at most; their bodies stay unread at the client. */
const HELD_MAX = 10_000;

const refusal = (state: OutboundState, {call, boundEndpoint}: Arrival): OutboundRejection | undefined => {
  if (call.remainingMs <= 0) {
    return 'deadline';
  }

  if (call.hops >= HOP_COUNT_MAX) {
    return 'hop-limit';
  }

  return boundEndpoint !== undefined || state.routing.services.has(call.service) ? undefined : 'no-backend-server';
};

const accept = (state: OutboundState, event: Arrival, fraction: number, now: number): Pending => {
  const {callId, call, parentCallId, boundHost, boundIncarnation, boundEndpoint} = event;
  const pending: Pending = {
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
    tried: [],
    maybeRun: false,
    attempt: undefined,
  };
  state.calls.set(callId, pending);
  return pending;
};

const begin = (state: OutboundState, event: Arrival, fraction: number, moment: Moment): OutboundAction[] => {
  const {call} = event;
  const service = state.routing.services.get(call.service);
  if (service !== undefined) {
    creditCall(service.bucket, retryRatio(state, call));
  }

  return send(state, accept(state, event, fraction, moment.now), moment);
};

const rejectUnadmitted = (state: OutboundState, event: Arrival, moment: Moment): OutboundAction =>
  reject(state, {...event, reason: 'admission', outcome: isClientBound(event) ? 'unknown' : 'not-run'}, moment);

/** Keeps a call that is not admitted: a short surge passes while it waits, and a rejected client would come back with more load. */
const hold = (state: OutboundState, event: Arrival, {now, random}: Moment): void => {
  state.held.set(event.callId, {
    event, arrivedAt: now, until: now + (event.call.remainingMs * HOLD_SHARE), wakeAt: now + (HOLD_CHECK_MS * (0.5 + random())),
  });
};

const admitOrHold = (state: OutboundState, event: Arrival, moment: Moment): OutboundAction[] => {
  const admission = admit(state.feedback, event.call, moment.now);
  // The work above a sub-call has been spent, so it is not rejected here; the request's first hop is thinned instead.
  if (admission.admitted || event.parentCallId !== undefined) {
    return begin(state, event, admission.fraction, moment);
  }

  if (state.held.size >= HELD_MAX) {
    return [rejectUnadmitted(state, event, moment)];
  }

  hold(state, event, moment);
  return [];
};

const recheck = (state: OutboundState, held: Held, moment: Moment): OutboundAction[] => {
  const {now, random} = moment;
  const {event} = held;
  const remainingMs = event.call.remainingMs - (now - held.arrivedAt);
  const call = {...event.call, remainingMs};
  const admission = admit(state.feedback, call, now);
  if (admission.admitted && remainingMs > 0) {
    state.held.delete(event.callId);
    return begin(state, {...event, call}, admission.fraction, moment);
  }

  if (now >= held.until) {
    state.held.delete(event.callId);
    return [rejectUnadmitted(state, event, moment)];
  }

  held.wakeAt = now + (HOLD_CHECK_MS * (0.5 + random()));
  return [];
};

/** Sends or rejects held calls whose check is due. */
export const checkHeld = (state: OutboundState, moment: Moment): OutboundAction[] =>
  [...state.held.values()].filter(({wakeAt}) => wakeAt <= moment.now).flatMap(held => recheck(state, held, moment));

/** Decides on a call that arrives. */
export const arrive = (state: OutboundState, event: Arrival, moment: Moment): OutboundAction[] => {
  const {call} = event;
  if (state.calls.has(event.callId) || state.held.has(event.callId)) {
    return [];
  }

  const outcome = isClientBound(event) ? 'unknown' : 'not-run';
  const refused = refusal(state, event);
  if (refused !== undefined) {
    const reason = refused === 'no-backend-server' && isClientBound(event) ? 'ticket-host-unreachable' : refused;
    return [reject(state, {...event, reason, outcome}, moment)];
  }

  return admitOrHold(state, event, moment);
};
