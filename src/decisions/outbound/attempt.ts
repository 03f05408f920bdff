/** Sends calls: chooses an endpoint for an attempt, or rejects the call. */
import {DEFAULT_RETRY_RATIO, findRequestKind} from '../../objects/policy.js';
import type {Call} from '../../shared/call.js';
import {learntFraction, retryAfterMs} from './admission-feedback.js';
import type {
  Moment, OutboundAction, OutboundRejection, Outcome,
} from './events.js';
import {grant, leavePool} from './retry-budget.js';
import {startCall} from './call-results.js';
import {findBound, isFull, type Binding} from './endpoint-records.js';
import {chooseEndpoint, type Choice} from './routing.js';
import type {
  Arrival, Attempt, OutboundState, Pending,
} from './state.js';

/** Whether a client gave the ticket, so that other copies of the call may be on their way. */
export const isClientBound = (event: Arrival): boolean => event.boundHost !== undefined && event.rebindable !== true;

/** Notes at a call that one of its sub-calls was given up on. */
export const markGivenUp = (state: OutboundState, parentCallId: string | undefined): void => {
  const pool = parentCallId === undefined ? undefined : state.budgets.parents.get(parentCallId);
  if (pool !== undefined) {
    pool.gaveUp = true;
  }
};

type Rejection = {callId: string; call: Call; parentCallId?: string | undefined; reason: OutboundRejection; outcome: Outcome};

/** Rejection of a call, with a wait that spreads returning callers. */
export const reject = (state: OutboundState, rejection: Rejection, {now, random}: Moment): OutboundAction => {
  const {callId, call, parentCallId, reason, outcome} = rejection;
  const fraction = learntFraction(state.feedback, call, now);
  markGivenUp(state, parentCallId);
  return {
    kind: 'reject', callId, reason, outcome, retryAfterMs: retryAfterMs(fraction, random), fraction,
  };
};

/** Ends the bookkeeping of a call. */
export const removeCall = (state: OutboundState, pending: Pending, now: number): void => {
  state.calls.delete(pending.callId);
  state.waiting.delete(pending.callId);
  leavePool(state.budgets, pending.pool, pending.call.requestId, now);
};

/** Ends a call by a rejection. An earlier send of a client's ticket is unknown here, so `not-run` would be a guess. */
export const rejectPending = (state: OutboundState, pending: Pending, reason: OutboundRejection, moment: Moment): OutboundAction[] => {
  removeCall(state, pending, moment.now);
  const outcome = pending.maybeRun || pending.clientBound ? 'unknown' : 'not-run';
  return [reject(state, {...pending, reason, outcome}, moment)];
};

const chooseBound = (state: OutboundState, pending: Pending, binding: Binding, now: number): Choice | {kind: 'unreachable'} => {
  const record = findBound(state.routing, pending.call.service, binding, now);
  if (record === undefined) {
    return {kind: 'unreachable'};
  }

  // A draining host still answers for its tickets; its inbound side rejects work that is new.
  return isFull(record) ? {kind: 'full'} : {kind: 'chosen', record, probe: false};
};

const chooseFree = (state: OutboundState, {call, tried}: Pending, moment: Moment): Choice =>
  chooseEndpoint(state.routing, {service: call.service, priority: call.priority, avoided: tried}, moment);

const chooseTarget = (state: OutboundState, pending: Pending, moment: Moment): Choice | {kind: 'unreachable'} => {
  if (pending.binding === undefined) {
    return chooseFree(state, pending, moment);
  }

  const bound = chooseBound(state, pending, pending.binding, moment.now);
  if (bound.kind === 'chosen' || pending.clientBound) {
    return bound;
  }

  // Nothing was sent under the ticket that this process issued, so another one is safe.
  pending.binding = undefined;
  return chooseFree(state, pending, moment);
};

/** Action that sends an attempt. */
export const attemptAction = (pending: Pending, attempt: Attempt): OutboundAction => ({
  kind: 'attempt',
  callId: pending.callId,
  attemptId: attempt.attemptId,
  ask: attempt.ask,
  endpoint: attempt.record.endpoint,
  retryBudget: attempt.granted,
  fraction: pending.fraction,
  timeoutMs: attempt.timeoutMs,
  newConnection: attempt.ask > 1,
  ticketNeeded: !pending.call.idempotent && pending.binding === undefined,
});

const startAttempt = (state: OutboundState, pending: Pending, choice: Extract<Choice, {kind: 'chosen'}>, {now, random}: Moment): OutboundAction => {
  pending.attempts++;
  pending.tried.push(choice.record.endpoint.host);
  pending.attempt = {
    attemptId: `${pending.callId}.${pending.attempts}`,
    ask: 1,
    record: choice.record,
    probe: choice.probe,
    granted: grant(pending.pool, pending.call.idempotent, random),
    timeoutMs: pending.deadlineAt - now,
  };
  startCall(state.routing, choice.record);
  return attemptAction(pending, pending.attempt);
};

/** Sends a call to the endpoint that routing chooses, or rejects it. */
export const send = (state: OutboundState, pending: Pending, moment: Moment): OutboundAction[] => {
  if (moment.now >= pending.deadlineAt) {
    return rejectPending(state, pending, 'deadline', moment);
  }

  const choice = chooseTarget(state, pending, moment);
  switch (choice.kind) {
    case 'chosen': {
      return [startAttempt(state, pending, choice, moment)];
    }

    case 'absent': {
      return rejectPending(state, pending, 'no-backend-server', moment);
    }

    case 'full': {
      return rejectPending(state, pending, 'backend-servers-full', moment);
    }

    case 'unreachable': {
      return rejectPending(state, pending, 'ticket-host-unreachable', moment);
    }
  }
};

/** Retries per call that the policy allows for a request kind. */
export const retryRatio = (state: OutboundState, {service, requestKind}: Call): number =>
  findRequestKind(state.policy, service, requestKind)?.retryRatio ?? DEFAULT_RETRY_RATIO;
