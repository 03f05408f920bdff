/** Handles changes of the backend server and of its policy. */
import type {Policy} from '../../objects/policy.js';
import {dispatchNext, endQueuedCalls} from './call-lifecycle.js';
import {changeBound, resetLimit} from './concurrency-limit.js';
import type {EventOf} from './events.js';
import {removeOverdue} from './queue.js';
import type {Backend, DecisionContext} from './state.js';

/** Creates the backend server's state from its slots and policy. `bound` limits all running calls: a rule for the whole service applies to every request kind, so it bounds their sum. */
const createBackend = (policy: Policy, service: string, slots: number): Backend & {bound: number} => {
  const treatments = policy.treatments.get(service) ?? [];
  const bounds = treatments.map(({concurrency}) => concurrency ?? slots);
  return {
    service,
    slots,
    treatments: new Map(treatments.map(treatment => [treatment.requestKind, treatment])),
    concurrencyByKind: new Map(treatments.flatMap(({requestKind, concurrency}) => concurrency === undefined ? [] : [[requestKind, concurrency]])),
    bound: Math.min(slots, bounds.length === 0 ? slots : Math.max(...bounds)),
  };
};

/** Handles an announcement of the backend server. */
export const handleBackendAnnounced = (context: DecisionContext, event: EventOf<'backend-announced'>): void => {
  const {state, now} = context;
  const previousService = state.backend?.service;
  const {bound, ...backend} = createBackend(state.policy, event.service, Math.max(0, event.slots));
  state.backend = backend;
  if (previousService === event.service) {
    changeBound(state.limit, bound);
  } else {
    resetLimit(state.limit, bound, now + event.coldStartMs);
  }

  dispatchNext(context);
};

/** Handles the departure of the backend server; its running calls end by their own events. */
export const handleBackendLeft = (context: DecisionContext): void => {
  context.state.backend = undefined;
  endQueuedCalls(context, removeOverdue(context.state.queue, Number.POSITIVE_INFINITY), () => 'no-backend-server');
};

/** Applies a new policy. */
export const handlePolicyChanged = (context: DecisionContext, {policy}: EventOf<'policy-changed'>): void => {
  const {state} = context;
  state.policy = policy;
  if (state.backend !== undefined) {
    const {bound, ...backend} = createBackend(policy, state.backend.service, state.backend.slots);
    state.backend = backend;
    changeBound(state.limit, bound);
    dispatchNext(context);
  }
};
