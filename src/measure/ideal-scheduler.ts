/**
Upper bound of the work that a system can complete: that of an ideal scheduler for the same offered requests.

The scheduler is a fluid model in steps of 100 ms. A request needs slot time at each service of its
call tree: the mean service time there plus the time that it waits for its sub-calls, because it
holds the slot meanwhile. In each step, slot time is assigned in strict order of priority; within
a priority the client groups take turns by weight, and within a group the oldest request goes
first. A request that is not served by its deadline, less its shortest latency, is dropped.
Network, proxies, random variation and queueing cost nothing, so a real system stays below the bound.
*/
import type {DeployedRequestKind, MeasuredDeployment, OfferedRequestKind} from './deployments.js';

/** Length of a step of the model, in milliseconds. */
export const STEP_MS = 100;

/** Slot time per service that one request needs, in milliseconds. */
export type SlotDemand = ReadonlyMap<string, number>;

/** Working slots and slowdown of the services of a deployment over time. */
export type Conditions = {
  /** Number of working slots of a service. */
  slots: (service: string, atMs: number) => number;
  /** Factor on the service times of a service; 1 is normal speed. */
  slowness: (service: string, atMs: number) => number;
};

/** Requests of one kind and client group that are offered in the same step. */
export type Cohort = {kind: string; group: string; step: number; offered: number};

/** Cohort with the number of its requests that the ideal scheduler completes. */
export type ServedCohort = Cohort & {served: number};

const findKind = (deployment: MeasuredDeployment, service: string, method: string, path: string): DeployedRequestKind =>
  deployment.services.find(({name}) => name === service)!.requestKinds
    .find(kind => kind.methods.includes(method) && (kind.path.endsWith('*') ? path.startsWith(kind.path.slice(0, -1)) : kind.path === path))!;

/** Time that a call holds its own slot, and the slot time that its call tree needs per service. */
type CallCost = {slotHoldMs: number; demand: Map<string, number>};

const computeCallCost = (deployment: MeasuredDeployment, service: string, kind: DeployedRequestKind, slowness: (service: string) => number): CallCost => {
  const demand = new Map<string, number>();
  let slotHoldMs = kind.serviceTime.meanMs * slowness(service);
  const add = (name: string, milliseconds: number) => demand.set(name, (demand.get(name) ?? 0) + milliseconds);
  for (const step of kind.steps ?? []) {
    const subCalls = step.map(call => ({
      times: call.times ?? 1,
      cost: computeCallCost(deployment, call.service, findKind(deployment, call.service, call.method ?? 'GET', call.path), slowness),
    }));
    slotHoldMs += Math.max(...subCalls.map(({cost}) => cost.slotHoldMs));
    for (const {times, cost} of subCalls) {
      for (const [name, milliseconds] of cost.demand) {
        add(name, milliseconds * times);
      }
    }
  }

  add(service, slotHoldMs);
  return {slotHoldMs, demand};
};

const computeOfferedCost = (deployment: MeasuredDeployment, offered: OfferedRequestKind, slowness: (service: string) => number): CallCost =>
  computeCallCost(deployment, offered.service, findKind(deployment, offered.service, offered.method, offered.path), slowness);

/** Slot time that a request needs at each service, in milliseconds. */
export const slotDemandOf = (deployment: MeasuredDeployment, offered: OfferedRequestKind, slowness: (service: string) => number = () => 1): SlotDemand =>
  computeOfferedCost(deployment, offered, slowness).demand;

/** Slot time that a request needs over all services at normal speed, in milliseconds. */
export const slotWorkMs = (deployment: MeasuredDeployment, offered: OfferedRequestKind): number =>
  [...slotDemandOf(deployment, offered).values()].reduce((sum, milliseconds) => sum + milliseconds, 0);

type QueuedCohort = {cohort: ServedCohort; remaining: number};
type RequestQueue = {kind: OfferedRequestKind; group: string; weight: number; cohorts: QueuedCohort[]};
type StepState = {remainingSlotMs: Map<string, number>; costs: Map<string, CallCost>};

/** Number of requests below which a remainder is a rounding error. */
const EPSILON = 1e-6;

/** Serves up to a number of requests of the oldest cohort in a queue; returns how many, which may be a fraction. */
const serveQueue = (queue: RequestQueue, requests: number, {remainingSlotMs, costs}: StepState): number => {
  const [oldest] = queue.cohorts;
  if (oldest === undefined) {
    return 0;
  }

  const {demand} = costs.get(queue.kind.kind)!;
  const servable = Math.min(requests, oldest.remaining, ...[...demand].map(([service, milliseconds]) => remainingSlotMs.get(service)! / milliseconds));
  if (servable < EPSILON) {
    return 0;
  }

  for (const [service, milliseconds] of demand) {
    remainingSlotMs.set(service, remainingSlotMs.get(service)! - (servable * milliseconds));
  }

  oldest.remaining -= servable;
  oldest.cohort.served += servable;
  if (oldest.remaining < EPSILON) {
    queue.cohorts.shift();
  }

  return servable;
};

/** Serves the queues of one priority in weighted turns until no queue can be served further. */
const servePriority = (queues: readonly RequestQueue[], state: StepState) => {
  let served = 1;
  while (served > 0) {
    served = 0;
    for (const queue of queues) {
      served += serveQueue(queue, queue.weight, state);
    }
  }
};

const dropExpired = (queue: RequestQueue, step: number, slotHoldMs: number) => {
  queue.cohorts = queue.cohorts.filter(({cohort}) => ((step - cohort.step) * STEP_MS) + slotHoldMs <= queue.kind.deadlineMs);
};

/** Computes how many requests of each cohort the ideal scheduler completes. */
export const simulateIdealScheduler = (deployment: MeasuredDeployment, cohorts: readonly Cohort[], conditions: Conditions): ServedCohort[] => {
  const result = cohorts.map(cohort => ({...cohort, served: 0}));
  const queues: RequestQueue[] = deployment.offered.flatMap(kind => deployment.groups.map(({name, weight}) => ({
    kind, group: name, weight, cohorts: [],
  })));
  const lastStep = Math.max(0, ...cohorts.map(({step}) => step)) + Math.ceil(Math.max(...deployment.offered.map(({deadlineMs}) => deadlineMs)) / STEP_MS);
  const priorities = [...new Set(deployment.offered.map(({priority}) => priority))].sort((a, b) => a - b);
  for (let step = 0; step <= lastStep; step++) {
    const atMs = step * STEP_MS;
    const costs = new Map(deployment.offered.map(kind => [kind.kind, computeOfferedCost(deployment, kind, service => conditions.slowness(service, atMs))]));
    const remainingSlotMs = new Map(deployment.services.map(({name}) => [name, conditions.slots(name, atMs) * STEP_MS]));
    for (const queue of queues) {
      const arrived = result.filter(cohort => cohort.step === step && cohort.kind === queue.kind.kind && cohort.group === queue.group);
      queue.cohorts.push(...arrived.map(cohort => ({cohort, remaining: cohort.offered})));
      dropExpired(queue, step, costs.get(queue.kind.kind)!.slotHoldMs);
    }

    for (const priority of priorities) {
      servePriority(queues.filter(({kind}) => kind.priority === priority), {remainingSlotMs, costs});
    }
  }

  return result;
};
