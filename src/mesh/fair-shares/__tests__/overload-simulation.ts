/**
Simulates clients of many workspaces, processes that decide on admission, and backend servers of an overloaded service, without a network.

The overloaded service is either the one that requests go to, or one below it that each request calls once.
With the rule `today`, requests carry no workspace, so that they are refused whoever sends them.
*/
import {createManualClock} from '../../../shared/clock.js';
import {createRandom} from '../../../shared/random.js';
import {createAdmissionController, type AdmissionController} from '../../entry/admission.js';
import type {ServiceLoad} from '../../entry/refusal-levels.js';
import {createDependencies} from '../../entry/dependencies.js';
import {estimateServiceDemand, type DemandSample} from '../service-demand.js';
import {
  createDemandTracker, type CallOrigin, type DemandTracker, type ReportedDemand,
} from '../demand-tracker.js';

/** Load that a workspace sends. */
export type SimulatedWorkspace = {
  name: string;
  ratePerS: number;
  /** Time of its first request, in milliseconds. @default 0 */
  fromMs?: number;
  /** Mean service time of its requests, in milliseconds. @default SERVICE_MS */
  serviceMs?: number;
  /** Whether its clients send a refused request again at once. @default false */
  retriesAtOnce?: boolean;
  /** Zone of all its clients. @default clients in all zones */
  zone?: string;
};

/** Who decides: the rule without workspaces, or fair shares. */
export type Rule = 'today' | 'fair';

/** A simulated load. */
export type SimulationOptions = {
  rule: Rule;
  workspaces: readonly SimulatedWorkspace[];
  /** @default 'below' */
  overloaded?: 'first' | 'below';
  /** @default 25 */
  seconds?: number;
  /** Start of the time in which requests are counted, in seconds. @default 8 */
  countedFromS?: number;
  /** Time that a report takes, in milliseconds. @default 20 */
  reportDelayMs?: number;
  /** Backend servers that report the demand, by index; the others are of an earlier version. @default all */
  reportsDemand?: (index: number) => boolean;
  /** Time from which the zone is cut off from the others, in milliseconds, and the zone. */
  cut?: {zone: string; fromMs: number};
  /** Time at which all processes are restarted, in milliseconds. */
  restartAtMs?: number;
  /** Slots of all backend servers together. @default 40 */
  slots?: number;
  seed?: number;
};

/** Requests of a workspace in the counted time. */
export type Counted = {sent: number; served: number};

/** Share of the requests that were served, and the rate of all served requests. */
export type SimulationResult = {
  byWorkspace: ReadonlyMap<string, Counted>;
  shareOf: (isIncluded: (name: string) => boolean) => number;
  smallestShare: (isIncluded: (name: string) => boolean) => number;
  servedPerS: number;
};

type Request = {
  workspace: SimulatedWorkspace; zone: string; deadlineAt: number; attempt: number; isCounted: boolean; workMs: number;
};
type Run = {request: Request; origin: CallOrigin; backend: Backend; tracker: DemandTracker; startedAt: number; queuedAt: number; endsAt: number};
type Backend = {index: number; zone: string; running: Run[]; queued: Run[]; tracker: DemandTracker};
type Process = {zone: string; admission: AdmissionController};
type Report = {at: number; backend: Backend; running: number; queued: number; limit: number; demand: ReportedDemand | undefined};

const STEP_MS = 10;
const REPORT_MS = 250;
const UPDATE_MS = 100;
export const SERVICE_MS = 100;
const ZONES = ['a', 'b', 'c'];
const PROCESSES = 12;
const BACKENDS = 6;
const SLOTS = 40;
const DEADLINE_MS = 2500;
const TARGET_MS = 500;
/** Longest wait in the queue, in milliseconds. */
const QUEUE_MS = 600;
const ATTEMPTS_MAX = 4;
const ROUTE = {name: 'r', targets: [{service: 'first', weight: 1}]};

const silentLog = {
  write: () => undefined,
  count: () => undefined,
};

/** Runs a simulated load. */
export const simulateOverload = (options: SimulationOptions): SimulationResult => {
  const {
    rule, workspaces, overloaded = 'below', seconds = 25, countedFromS = 8, reportDelayMs = 20, reportsDemand = () => true, cut, restartAtMs, slots = SLOTS, seed = 3,
  } = options;
  const random = createRandom(seed);
  const clock = createManualClock();
  const {now} = clock;
  const slotsPerBackend = slots / BACKENDS;
  const counted = new Map(workspaces.map(({name}) => [name, {sent: 0, served: 0}]));
  let reports: Report[] = [];
  let backends: Backend[] = [];
  let processes: Process[] = [];
  let returning: Array<{at: number; request: Request}> = [];

  const isReachable = (from: string, to: string): boolean => cut === undefined || now() < cut.fromMs || (from === cut.zone) === (to === cut.zone);

  /** Newest report of each reachable backend server that has arrived. */
  const received = (zone: string): Report[] => backends
    .filter(backend => isReachable(zone, backend.zone))
    .map(backend => reports.findLast(report => report.backend === backend && report.at + reportDelayMs <= now()))
    .filter(report => report !== undefined);

  const serviceLoad = (zone: string, service: string): ServiceLoad => {
    const usable = backends.filter(backend => isReachable(zone, backend.zone));
    if (service !== overloaded) {
      return {
        backends: usable.length, running: 0, queued: 0, limit: 1000,
      };
    }

    const loads = received(zone);
    const sum = (figureOf: (report: Report) => number) => loads.reduce((total, report) => total + figureOf(report), 0);
    return {
      backends: usable.length, running: sum(({running}) => running), queued: sum(({queued}) => queued), limit: Math.max(1, sum(({limit}) => limit)), serviceMs: SERVICE_MS,
    };
  };

  const createProcess = (index: number): Process => {
    const zone = ZONES[index % ZONES.length]!;
    const dependencies = createDependencies({now, onLearnt: () => undefined});
    if (overloaded === 'below') {
      dependencies.merge([{route: ROUTE.name, priority: 1, service: 'below'}]);
    }

    return {
      zone,
      admission: createAdmissionController({
        now,
        log: silentLog,
        dependencies,
        serviceLoad: service => serviceLoad(zone, service),
        workspaceDemand(service) {
          const samples = service === 'first' ? received(zone).map(({at, backend, demand}): DemandSample => ({zone: backend.zone, demand, ageMs: now() - at - reportDelayMs})) : [];
          return estimateServiceDemand(samples, new Map(ZONES.map(name => [name, backends.filter(backend => backend.zone === name).length])));
        },
      }),
    };
  };

  const restart = (): void => {
    reports = [];
    backends = Array.from({length: BACKENDS}, (_, index) => ({
      index, zone: ZONES[index % ZONES.length]!, running: [], queued: [], tracker: createDemandTracker(now),
    }));
    processes = Array.from({length: PROCESSES}, (_, index) => createProcess(index));
  };

  const refuse = (request: Request, retryAfterMs: number): void => {
    const remainingMs = request.deadlineAt - now();
    const waitMs = request.workspace.retriesAtOnce ? STEP_MS : Math.min(retryAfterMs, remainingMs / 3);
    if (request.attempt < ATTEMPTS_MAX || request.workspace.retriesAtOnce) {
      returning.push({at: now() + waitMs, request: {...request, attempt: request.attempt + 1}});
    }
  };

  const send = (request: Request): void => {
    if (request.deadlineAt - now() < SERVICE_MS) {
      return;
    }

    const local = processes.filter(({zone}) => zone === request.zone);
    const {admission, zone} = local[Math.floor(random() * local.length)]!;
    const workspace = rule === 'fair' ? {name: request.workspace.name} : undefined;
    const admissionRequest = {
      route: ROUTE, priority: 1, workspace, isClientRetry: request.attempt > 1,
    };
    const origin = admission.callOrigin(admissionRequest);
    if (!admission.admit(admissionRequest, random)) {
      refuse(request, admission.retryAfterMs(workspace, request.deadlineAt - now()) ?? TARGET_MS * 0.2 * (1 + random()));
      return;
    }

    const reachable = backends.filter(backend => isReachable(zone, backend.zone));
    const [one, two] = [reachable[Math.floor(random() * reachable.length)]!, reachable[Math.floor(random() * reachable.length)]!];
    const backend = one.queued.length + one.running.length <= two.queued.length + two.running.length ? one : two;
    // Without a queue of its own, the first service runs on any of its backend servers while the one below is waited for.
    const first = overloaded === 'first' ? backend : reachable[Math.floor(random() * reachable.length)]!;
    backend.queued.push({
      request, origin, backend, tracker: first.tracker, startedAt: now(), queuedAt: now(), endsAt: 0,
    });
  };

  const runBackend = (backend: Backend): void => {
    const ended = backend.running.filter(({endsAt}) => endsAt <= now());
    backend.running = backend.running.filter(({endsAt}) => endsAt > now());
    for (const {request, tracker, startedAt, origin} of ended) {
      if (rule === 'fair') {
        tracker.record(origin, now() - startedAt);
      }

      if (request.isCounted && now() <= request.deadlineAt) {
        counted.get(request.workspace.name)!.served++;
      }
    }

    for (const {request} of backend.queued.filter(({queuedAt}) => now() - queuedAt > QUEUE_MS)) {
      refuse(request, QUEUE_MS);
    }

    backend.queued = backend.queued.filter(({queuedAt}) => now() - queuedAt <= QUEUE_MS);
    const free = Math.max(0, Math.floor(slotsPerBackend + (backend.index / BACKENDS)) - backend.running.length);
    for (const run of backend.queued.splice(0, free)) {
      run.startedAt = overloaded === 'first' ? now() : run.startedAt;
      run.endsAt = now() + run.request.workMs;
      backend.running.push(run);
    }
  };

  const countedToMs = (seconds * 1000) - DEADLINE_MS;
  const arrive = (workspace: SimulatedWorkspace): void => {
    if (now() < (workspace.fromMs ?? 0)) {
      return;
    }

    const expected = workspace.ratePerS * STEP_MS / 1000;
    const arrivals = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
    for (let arrival = 0; arrival < arrivals; arrival++) {
      const isCounted = now() >= countedFromS * 1000 && now() < countedToMs;
      counted.get(workspace.name)!.sent += isCounted ? 1 : 0;
      send({
        workspace, zone: workspace.zone ?? ZONES[Math.floor(random() * ZONES.length)]!, deadlineAt: now() + DEADLINE_MS, attempt: 1, isCounted, workMs: (workspace.serviceMs ?? SERVICE_MS) * (0.5 + random()),
      });
    }
  };

  restart();
  while (now() < seconds * 1000) {
    if (now() === restartAtMs) {
      restart();
    }

    for (const workspace of workspaces) {
      arrive(workspace);
    }

    const due = returning.filter(({at}) => at <= now());
    returning = returning.filter(({at}) => at > now());
    for (const {request} of due) {
      send(request);
    }

    for (const backend of backends) {
      runBackend(backend);
      // Reports of different backend servers leave at different moments.
      if ((now() + (backend.index * 40)) % REPORT_MS === 0) {
        reports.push({
          at: now(), backend, running: backend.running.length, queued: backend.queued.length, limit: slotsPerBackend, demand: reportsDemand(backend.index) ? backend.tracker.report() : undefined,
        });
      }
    }

    reports = reports.filter(({at}) => now() - at < 8000);
    clock.advance(STEP_MS);
    if (now() % UPDATE_MS === 0) {
      for (const {admission} of processes) {
        admission.update();
      }
    }
  }

  const shareOf = (isIncluded: (name: string) => boolean): number => {
    const included = [...counted].filter(([name]) => isIncluded(name)).map(([, figures]) => figures);
    return included.reduce((sum, {served}) => sum + served, 0) / included.reduce((sum, {sent}) => sum + sent, 0);
  };

  return {
    byWorkspace: counted,
    shareOf,
    smallestShare: isIncluded => Math.min(...[...counted].filter(([name, {sent}]) => isIncluded(name) && sent > 0).map(([, {sent, served}]) => served / sent)),
    servedPerS: [...counted.values()].reduce((sum, {served}) => sum + served, 0) * 1000 / (countedToMs - (countedFromS * 1000)),
  };
};
