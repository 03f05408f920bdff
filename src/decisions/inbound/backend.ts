/** Follows the backend server and the policy for it. */
import type {Policy} from '../../objects/policy.js';
import {dispatchNext, rejectQueue} from './calls.js';
import {changeBound, resetLimit} from './concurrency-limit.js';
import type {EventOf} from './events.js';
import {removeOverdue} from './queue.js';
import type {Backend, Decision} from './state.js';

/** Sets the bounds of calls in flight. A rule for the whole service bounds their sum, since it applies to every request kind. */
const describeBackend = (policy: Policy, service: string, slots: number): Backend & {bound: number} => {
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

/** Notes that the backend server has announced itself. */
export const announce = (decision: Decision, event: EventOf<'backend-announced'>): void => {
  const {state, now} = decision;
  const known = state.backend?.service;
  const {bound, ...backend} = describeBackend(state.policy, event.service, Math.max(0, event.slots));
  state.backend = backend;
  if (known === event.service) {
    changeBound(state.limit, bound);
  } else {
    resetLimit(state.limit, bound, now + event.coldStartMs);
  }

  dispatchNext(decision);
};

/** Notes that the backend server has left; its running calls end by their own events. */
export const loseBackend = (decision: Decision): void => {
  decision.state.backend = undefined;
  rejectQueue(decision, removeOverdue(decision.state.queue, Number.POSITIVE_INFINITY), () => 'no-backend-server');
};

/** Puts a policy into effect. */
export const changePolicy = (decision: Decision, {policy}: EventOf<'policy-changed'>): void => {
  const {state} = decision;
  state.policy = policy;
  if (state.backend !== undefined) {
    const {bound, ...backend} = describeBackend(policy, state.backend.service, state.backend.slots);
    state.backend = backend;
    changeBound(state.limit, bound);
    dispatchNext(decision);
  }
};
