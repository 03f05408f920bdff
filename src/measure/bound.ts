/**
What the slots allow: the work that an ideal scheduler completes of the same offered requests.

It is a fluid model in steps of 100 ms. A request of a kind needs slot time at each service of its
tree of calls: its own mean service time plus the time that it waits for its sub-calls, because a
slot is held meanwhile. In each step, slot time is handed out in strict order of priority; within
a priority the client groups take turns by weight, and within a group the oldest request goes
first. A request that has not been served by its deadline, less its shortest latency, is lost.
Network, proxies, randomness and queueing cost nothing, so a real system stays below it.
*/
import type {DeployedKind, MeasuredDeployment, OfferedKind} from './deployments.js';

/** Length of a step. */
export const STEP_MS = 100;

/** Slot time per service that one request needs, in milliseconds. */
export type Demand = ReadonlyMap<string, number>;

/** State of the deployment at a time. */
export type Conditions = {
  /** Slots of a service that work. */
  slots: (service: string, atMs: number) => number;
  /** Factor on the service times of a service. */
  slowness: (service: string, atMs: number) => number;
};

/** Requests offered together: of one kind and group, in one step. */
export type Cohort = {kind: string; group: string; step: number; offered: number};

/** Cohort with what the ideal scheduler completed of it. */
export type ServedCohort = Cohort & {served: number};

const findKind = (deployment: MeasuredDeployment, service: string, method: string, path: string): DeployedKind =>
  deployment.services.find(({name}) => name === service)!.requestKinds
    .find(kind => kind.methods.includes(method) && (kind.path.endsWith('*') ? path.startsWith(kind.path.slice(0, -1)) : kind.path === path))!;

type Hold = {holdMs: number; demand: Map<string, number>};

const holdOf = (deployment: MeasuredDeployment, service: string, kind: DeployedKind, slowness: (service: string) => number): Hold => {
  const demand = new Map<string, number>();
  let holdMs = kind.serviceTime.meanMs * slowness(service);
  const add = (name: string, milliseconds: number) => demand.set(name, (demand.get(name) ?? 0) + milliseconds);
  for (const step of kind.steps ?? []) {
    const holds = step.map(call => ({
      times: call.times ?? 1,
      hold: holdOf(deployment, call.service, findKind(deployment, call.service, call.method ?? 'GET', call.path), slowness),
    }));
    holdMs += Math.max(...holds.map(({hold}) => hold.holdMs));
    for (const {times, hold} of holds) {
      for (const [name, milliseconds] of hold.demand) {
        add(name, milliseconds * times);
      }
    }
  }

  add(service, holdMs);
  return {holdMs, demand};
};

const offeredHold = (deployment: MeasuredDeployment, offered: OfferedKind, slowness: (service: string) => number): Hold =>
  holdOf(deployment, offered.service, findKind(deployment, offered.service, offered.method, offered.path), slowness);

/** Slot time that a request of an offered kind needs at each service. */
export const demandOf = (deployment: MeasuredDeployment, offered: OfferedKind, slowness: (service: string) => number = () => 1): Demand =>
  offeredHold(deployment, offered, slowness).demand;

/** Work of a request in slot milliseconds over all services, at normal speed. */
export const workOf = (deployment: MeasuredDeployment, offered: OfferedKind): number =>
  [...demandOf(deployment, offered).values()].reduce((sum, milliseconds) => sum + milliseconds, 0);

type Waiting = {cohort: ServedCohort; left: number};
type Line = {kind: OfferedKind; group: string; weight: number; waiting: Waiting[]};
type Step = {left: Map<string, number>; holds: Map<string, Hold>};

const EPSILON = 1e-6;

/** Serves up to an amount of the oldest requests of a line; returns how many. */
const serveLine = (line: Line, amount: number, {left, holds}: Step): number => {
  const [first] = line.waiting;
  if (first === undefined) {
    return 0;
  }

  const {demand} = holds.get(line.kind.kind)!;
  const possible = Math.min(amount, first.left, ...[...demand].map(([service, milliseconds]) => left.get(service)! / milliseconds));
  if (possible < EPSILON) {
    return 0;
  }

  for (const [service, milliseconds] of demand) {
    left.set(service, left.get(service)! - (possible * milliseconds));
  }

  first.left -= possible;
  first.cohort.served += possible;
  if (first.left < EPSILON) {
    line.waiting.shift();
  }

  return possible;
};

/** Lets the groups take turns until nothing more can be served. */
const servePriority = (lines: readonly Line[], step: Step) => {
  let served = 1;
  while (served > 0) {
    served = 0;
    for (const line of lines) {
      served += serveLine(line, line.weight, step);
    }
  }
};

const dropExpired = (line: Line, step: number, holdMs: number) => {
  line.waiting = line.waiting.filter(({cohort}) => ((step - cohort.step) * STEP_MS) + holdMs <= line.kind.deadlineMs);
};

/** Computes what the ideal scheduler completes of each cohort. */
export const boundOf = (deployment: MeasuredDeployment, cohorts: readonly Cohort[], conditions: Conditions): ServedCohort[] => {
  const result = cohorts.map(cohort => ({...cohort, served: 0}));
  const lines: Line[] = deployment.offered.flatMap(kind => deployment.groups.map(({name, weight}) => ({
    kind, group: name, weight, waiting: [],
  })));
  const lastStep = Math.max(0, ...cohorts.map(({step}) => step)) + Math.ceil(Math.max(...deployment.offered.map(({deadlineMs}) => deadlineMs)) / STEP_MS);
  const priorities = [...new Set(deployment.offered.map(({priority}) => priority))].sort((a, b) => a - b);
  for (let step = 0; step <= lastStep; step++) {
    const atMs = step * STEP_MS;
    const holds = new Map(deployment.offered.map(kind => [kind.kind, offeredHold(deployment, kind, service => conditions.slowness(service, atMs))]));
    const left = new Map(deployment.services.map(({name}) => [name, conditions.slots(name, atMs) * STEP_MS]));
    for (const line of lines) {
      const arrived = result.filter(cohort => cohort.step === step && cohort.kind === line.kind.kind && cohort.group === line.group);
      line.waiting.push(...arrived.map(cohort => ({cohort, left: cohort.offered})));
      dropExpired(line, step, holds.get(line.kind.kind)!.holdMs);
    }

    for (const priority of priorities) {
      servePriority(lines.filter(({kind}) => kind.priority === priority), {left, holds});
    }
  }

  return result;
};
