/** Sends calls: chooses the endpoint of an attempt, or rejects the call. */
import {DEFAULT_RETRY_RATIO, findTreatmentByRequestKind} from '../../objects/policy.js';
import type {CallContext} from '../../shared/call-context.js';
import {learntFraction, retryAfterMs} from './admission-feedback.js';
import type {
  DecisionContext, OutboundAction, OutboundRejection, Outcome,
} from './events.js';
import {grantTokens, leavePool} from './retry-budget.js';
import {recordCallStart} from './endpoint-feedback.js';
import {findBoundEndpoint, isFull, type TicketBinding} from './endpoint-records.js';
import {chooseEndpoint, type EndpointChoice} from './routing.js';
import type {
  CallArrival, Attempt, OutboundState, PendingCall,
} from './state.js';

/** Whether a client supplied the ticket, so that other copies of the call may be in flight. */
export const isClientBound = (event: CallArrival): boolean => event.boundHost !== undefined && event.rebindable !== true;

/** Marks the pool of a parent call, one of whose sub-calls failed for good. */
export const markParentGaveUp = (state: OutboundState, parentCallId: string | undefined): void => {
  const pool = parentCallId === undefined ? undefined : state.budgets.parents.get(parentCallId);
  if (pool !== undefined) {
    pool.gaveUp = true;
  }
};

type RejectedCall = {callId: string; call: CallContext; parentCallId?: string | undefined; reason: OutboundRejection; outcome: Outcome};

/** Creates the rejection of a call, with a random retry-after that spreads the retries of callers. */
export const createRejection = (state: OutboundState, rejection: RejectedCall, {now, random}: DecisionContext): OutboundAction => {
  const {callId, call, parentCallId, reason, outcome} = rejection;
  const fraction = learntFraction(state.feedback, call, now);
  markParentGaveUp(state, parentCallId);
  return {
    kind: 'reject', callId, reason, outcome, retryAfterMs: retryAfterMs(fraction, random), fraction,
  };
};

/** Removes a call from the state. */
export const removePendingCall = (state: OutboundState, pending: PendingCall, now: number): void => {
  state.calls.delete(pending.callId);
  state.retryTimes.delete(pending.callId);
  leavePool(state.budgets, pending.pool, pending.call.requestId, now);
};

/** Rejects a pending call. With a client's ticket the outcome is `unknown`, because earlier sends of it are not known here. */
export const rejectPendingCall = (state: OutboundState, pending: PendingCall, reason: OutboundRejection, context: DecisionContext): OutboundAction[] => {
  removePendingCall(state, pending, context.now);
  const outcome = pending.mayHaveRun || pending.clientBound ? 'unknown' : 'not-run';
  return [createRejection(state, {...pending, reason, outcome}, context)];
};

const chooseBoundEndpoint = (state: OutboundState, pending: PendingCall, binding: TicketBinding, now: number): EndpointChoice | {kind: 'unreachable'} => {
  const record = findBoundEndpoint(state.routing, pending.call.service, binding, now);
  if (record === undefined) {
    return {kind: 'unreachable'};
  }

  // A draining host still serves its tickets; its inbound side rejects new work.
  return isFull(record) ? {kind: 'full'} : {kind: 'chosen', record, probe: false};
};

const chooseUnboundEndpoint = (state: OutboundState, {call, triedHosts}: PendingCall, context: DecisionContext): EndpointChoice =>
  chooseEndpoint(state.routing, {service: call.service, priority: call.priority, avoidedHosts: triedHosts}, context);

const chooseAttemptEndpoint = (state: OutboundState, pending: PendingCall, context: DecisionContext): EndpointChoice | {kind: 'unreachable'} => {
  if (pending.binding === undefined) {
    return chooseUnboundEndpoint(state, pending, context);
  }

  const bound = chooseBoundEndpoint(state, pending, pending.binding, context.now);
  if (bound.kind === 'chosen' || pending.clientBound) {
    return bound;
  }

  // Nothing was sent with the ticket, which this process issued, so a new ticket is safe.
  pending.binding = undefined;
  return chooseUnboundEndpoint(state, pending, context);
};

/** Creates the action that sends an attempt. */
export const createAttemptAction = (pending: PendingCall, attempt: Attempt): OutboundAction => ({
  kind: 'attempt',
  callId: pending.callId,
  attemptId: attempt.attemptId,
  sendNumber: attempt.sendNumber,
  endpoint: attempt.record.endpoint,
  retryBudget: attempt.grantedTokens,
  fraction: pending.fraction,
  timeoutMs: attempt.timeoutMs,
  newConnection: attempt.sendNumber > 1,
  ticketNeeded: !pending.call.idempotent && pending.binding === undefined,
});

const startAttempt = (state: OutboundState, pending: PendingCall, choice: Extract<EndpointChoice, {kind: 'chosen'}>, {now, random}: DecisionContext): OutboundAction => {
  pending.attempts++;
  pending.triedHosts.push(choice.record.endpoint.host);
  pending.attempt = {
    attemptId: `${pending.callId}.${pending.attempts}`,
    sendNumber: 1,
    record: choice.record,
    probe: choice.probe,
    grantedTokens: grantTokens(pending.pool, pending.call.idempotent, random),
    timeoutMs: pending.deadlineAt - now,
  };
  recordCallStart(state.routing, choice.record);
  return createAttemptAction(pending, pending.attempt);
};

/** Sends a call to the endpoint that routing chooses, or rejects the call when there is none. */
export const sendCall = (state: OutboundState, pending: PendingCall, context: DecisionContext): OutboundAction[] => {
  if (context.now >= pending.deadlineAt) {
    return rejectPendingCall(state, pending, 'deadline', context);
  }

  const choice = chooseAttemptEndpoint(state, pending, context);
  switch (choice.kind) {
    case 'chosen': {
      return [startAttempt(state, pending, choice, context)];
    }

    case 'absent': {
      return rejectPendingCall(state, pending, 'no-backend-server', context);
    }

    case 'full': {
      return rejectPendingCall(state, pending, 'backend-servers-full', context);
    }

    case 'unreachable': {
      return rejectPendingCall(state, pending, 'ticket-host-unreachable', context);
    }
  }
};

/** Retries per call that the policy allows for the request kind of a call. */
export const retryRatio = (state: OutboundState, {service, requestKind}: CallContext): number =>
  findTreatmentByRequestKind(state.policy, service, requestKind)?.retryRatio ?? DEFAULT_RETRY_RATIO;
