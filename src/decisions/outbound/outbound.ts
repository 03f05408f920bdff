/** Decides on outgoing calls: admission, choice of the endpoint, retries and rejections. */
import type {Random} from '../../shared/random.js';
import {dropIdleRows} from './admission-feedback.js';
import {handleCallArrival, recheckDeferredCalls} from './arrival.js';
import {rejectPendingCall, removePendingCall, sendCall} from './attempt.js';
import {handleAttemptEnd, recordAttemptEnd} from './attempt-end.js';
import type {
  Endpoint, DecisionContext, OutboundAction, OutboundEvent,
} from './events.js';
import {
  closeParent, expireParentPools, expireRequestPools, openParent,
} from './retry-budget.js';
import {queueDueProbes} from './endpoint-feedback.js';
import {replaceEndpoints, updateEndpoints} from './endpoint-records.js';
import {chooseForTicket} from './routing.js';
import type {OutboundState, PendingCall} from './state.js';

export type * from './events.js';
export {createOutboundState, type OutboundState} from './state.js';

/** Interval of the clean-up of expired state, in milliseconds. */
const CLEANUP_INTERVAL_MS = 1000;
/** Time after its deadline at which a call whose attempt never ended is rejected, in milliseconds. */
export const OVERDUE_GRACE_MS = 5000;

/** Chooses the endpoint for a new ticket of a service; undefined when none can take calls. */
export const chooseTicketEndpoint = (state: OutboundState, request: {service: string; priority: number}, now: number, random: Random): Endpoint | undefined =>
  chooseForTicket(state.routing, {...request, avoidedHosts: []}, {now, random});

const cancelAttempt = (state: OutboundState, pending: PendingCall, context: DecisionContext): OutboundAction[] => {
  const {attempt, callId} = pending;
  if (attempt === undefined) {
    return [];
  }

  recordAttemptEnd(state, attempt, {kind: 'inconclusive'}, context);
  return [{kind: 'cancel-attempt', callId, attemptId: attempt.attemptId}];
};

const handleCallerGone = (state: OutboundState, callId: string, context: DecisionContext): OutboundAction[] => {
  state.deferredCalls.delete(callId);
  const pending = state.calls.get(callId);
  if (pending === undefined) {
    return [];
  }

  removePendingCall(state, pending, context.now);
  return cancelAttempt(state, pending, context);
};

const endOverdueCalls = (state: OutboundState, context: DecisionContext): OutboundAction[] =>
  [...state.calls.values()]
    .filter(pending => pending.deadlineAt + OVERDUE_GRACE_MS <= context.now)
    .flatMap(pending => {
      pending.mayHaveRun ||= pending.attempt !== undefined;
      return [...cancelAttempt(state, pending, context), ...rejectPendingCall(state, pending, 'deadline', context)];
    });

const cleanUpExpired = (state: OutboundState, context: DecisionContext): OutboundAction[] => {
  if (context.now - state.cleanedUpAt < CLEANUP_INTERVAL_MS) {
    return [];
  }

  state.cleanedUpAt = context.now;
  expireRequestPools(state.budgets, context.now);
  expireParentPools(state.budgets, context.now);
  dropIdleRows(state.feedback, service => state.routing.services.has(service), context.now);
  return endOverdueCalls(state, context);
};

const sendDueRetries = (state: OutboundState, context: DecisionContext): OutboundAction[] => {
  const due = [...state.retryTimes].filter(([, wakeAt]) => wakeAt <= context.now);
  return due.flatMap(([callId]) => {
    state.retryTimes.delete(callId);
    return sendCall(state, state.calls.get(callId)!, context);
  });
};

const handleTick = (state: OutboundState, context: DecisionContext): OutboundAction[] => {
  queueDueProbes(state.routing, context.now);
  return [...sendDueRetries(state, context), ...recheckDeferredCalls(state, context), ...cleanUpExpired(state, context)];
};

/** Handles one event and returns the actions to perform; `now` is in milliseconds of a monotonic clock. */
export const decideOutbound = (state: OutboundState, event: OutboundEvent, now: number, random: Random): OutboundAction[] => {
  const context = {now, random};
  switch (event.kind) {
    case 'call-arrived': {
      return handleCallArrival(state, event, context);
    }

    case 'attempt-ended': {
      return handleAttemptEnd(state, event, context);
    }

    case 'caller-gone': {
      return handleCallerGone(state, event.callId, context);
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
      return handleTick(state, context);
    }
  }
};
