/**
Simulates clients, processes that refuse requests by the refusal level of a deep service, and the backend servers of that service, in virtual time and without a network.

Each request calls the service four times in sequence. The queues, the load reports and the choice of the backend server are those of the program.
*/
import {Buffer} from 'node:buffer';
import {createRandom} from '../../../shared/random.js';
import {createBackendLoadTracker, type BackendLoadTracker} from '../../inbound/backend-load-tracker.js';
import {createCallQueue, type CallQueue} from '../../inbound/call-queue.js';
import type {ActiveCall} from '../../inbound/inbound-call.js';
import {estimateServiceLoad} from '../../links/service-estimate.js';
import {createAgenda} from '../../members/__tests__/agenda.js';
import type {BackendLoad, CallHeader} from '../../message.js';
import type {RefusalLevels} from '../refusal-levels.js';
import {chooseCandidate} from '../selection.js';

/** Priority of a part of the requests, and its share of the demand. */
export type SimulatedRoute = {priority: number; share: number};

/** Fault of the load reports from `FAULT_FROM_MS` to `FAULT_TO_MS`: none arrive, each arrives a second time, or each arrives late. */
export type ReportFault = 'stopped' | 'twice' | 'late';

/** A simulated load. */
export type RefusalScenario = {
  /** Demand at a time in milliseconds, as a share of the capacity. */
  demandAt: (at: number) => number;
  /** Time from which all requests could be served, in milliseconds; the recovery is measured from it. */
  calmFromMs: number;
  /** Requests that arrive at once, as the time for which the service needs all of its capacity for them, in milliseconds. @default none */
  groups?: {everyMs: number; workMs: number; untilMs: number};
  /** Service time factor of a backend server, by index. @default 1 for each */
  slownessOf?: (index: number) => number;
  /** Time in which no backend server of the service accepts calls. */
  absence?: {fromMs: number; toMs: number};
  /** Time at which all processes restart and lose their levels. */
  restartAtMs?: number;
  reportFault?: ReportFault;
  /** Zone that gets no reports from the others during the fault. */
  cutZone?: number;
  /** @default 4 */
  backends?: number;
  /** @default 30 */
  serviceMs?: number;
  /** @default one priority */
  routes?: readonly SimulatedRoute[];
  /** Whether a priority is refused only once all that are less urgent are. @default false */
  refusesInOrder?: boolean;
};

/** What became of the requests; shares are of all requests. */
export type RefusalFigures = {
  requests: number;
  /** Share served within the target latency. */
  inTime: number;
  /** Share served before the deadline. */
  served: number;
  /** Share of attempts refused at the start while slots were idle and no call was queued. */
  refusedIdle: number;
  /** Share that failed after at least one call had run. */
  failedLate: number;
  /** Share that failed at the first call. */
  failedEarly: number;
  /** Calls that ran for requests that failed, as a share of all calls that ran. */
  wastedCalls: number;
  /** Time from the end of the load until the last request that was refused or failed, in milliseconds. */
  recoveryMs: number;
  /** Lowest share served in time by priority. */
  inTimeByPriority: ReadonlyMap<number, number>;
  /** Largest refusal level. */
  levelMax: number;
};

type Route = {name: string; priority: number; share: number};
type Request = {route: Route; arrivedAt: number; process: Process; calls: number; attempt: number};
type Backend = {
  index: number; zone: number; isPresent: boolean; tracker: BackendLoadTracker; queue: CallQueue; calls: Map<string, QueuedCall>;
  publishedAt: number; publishedQueueLength: number;
};
type QueuedCall = {active: ActiveCall; onEnd: (ran: boolean) => void};
type Link = {backend: Backend; load: BackendLoad; isPresent: boolean; sentSinceReport: number};
type Process = {index: number; zone: number; links: Link[]; levels: RefusalLevels; updatedAt: number};

const SERVICE = 'below';
const ZONES = 3;
const PROCESSES = 24;
/** Processes beside the backend servers that call the service; they get a load with each result. */
const CALLING_PROCESSES = 8;
const BACKENDS = 4;
const SLOTS = 30;
const SERVICE_MS = 30;
const CALLS_PER_REQUEST = 4;
/** Work of the services above before the first call, and between two calls, in milliseconds. */
const FIRST_HOP_MS = 15;
const HOP_MS = 4;
const TARGET_MS = 1500;
const DEADLINE_MS = 5000;
const CALL_TARGET_MS = 300;
const REFUSALS_MAX = 4;
const TRANSIT_MS = 2;
const REPORT_TRANSIT_MS = 10;
const REPORT_MS = 250;
/** Interval at which processes that don't call the service get its load while no call is queued, in milliseconds. */
const PONG_MS = 2000;
const UPDATE_MS = 100;
const LATE_MS = 400;
const RETRY_AFTER_MS = TARGET_MS * 0.2;
const STEP_MS = 5;
const RETRY_WINDOW_MS = 10_000;
const PRIORITY_FACTOR = 0.7;
const ADMITTED_SHARE_MIN = 0.1;
const IDLE_SHARE_MIN = 0.1;

export const FAULT_FROM_MS = 8000;
export const FAULT_TO_MS = 12_000;
/** Time in which requests arrive, in milliseconds. */
export const ARRIVALS_MS = 39_000;
const END_MS = ARRIVALS_MS + DEADLINE_MS + (RETRY_AFTER_MS * 2);

const NO_BODY = Buffer.alloc(0);
const HEADER: CallHeader = {
  requestId: '', service: SERVICE, method: 'GET', path: '/', rawHeaders: [], idempotent: true, isRepeat: false, priority: 0,
  route: 'call', remainingMs: 0, targetMs: 0, crashRecord: undefined, isTrial: false,
};

/** Runs a load with one seed. */
const simulateOnce = (scenario: RefusalScenario, createLevels: () => RefusalLevels, seed: number): RefusalFigures => {
  const {
    demandAt, calmFromMs, groups, slownessOf = () => 1, absence, restartAtMs, reportFault, cutZone, backends: backendCount = BACKENDS, serviceMs = SERVICE_MS, refusesInOrder = false,
  } = scenario;
  const routes = (scenario.routes ?? [{priority: 1, share: 1}]).map((route): Route => ({...route, name: `priority-${route.priority}`}));
  const agenda = createAgenda();
  // Separate generators, so that two rules get the same arrivals.
  const arrivalRandom = createRandom(seed);
  const runRandom = createRandom(seed + 1);
  const decisionRandom = createRandom(seed + 2);
  let time = 0;
  let sequence = 0;
  const now = (): number => time;
  const after = (milliseconds: number, run: () => void): void => {
    agenda.add(time + milliseconds, run);
  };

  let requests = 0;
  let refusedIdle = 0;
  let failedLate = 0;
  let failedEarly = 0;
  let calls = 0;
  let wastedCalls = 0;
  let lastLossAt = 0;
  let levelMax = 0;
  let served = 0;
  const countsByPriority = new Map(routes.map(({priority}) => [priority, {requests: 0, inTime: 0}]));

  const backends = Array.from({length: backendCount}, (_, index): Backend => {
    const tracker = createBackendLoadTracker(now, RETRY_WINDOW_MS);
    return {
      index, zone: index % ZONES, isPresent: true, tracker, calls: new Map(), publishedAt: -index * REPORT_MS / backendCount, publishedQueueLength: 0,
      queue: createCallQueue({
        now, serviceMs: tracker.serviceMs, limit: () => SLOTS, rateWaitMs: () => 0,
      }),
    };
  });
  const backendCounts = new Map(Array.from({length: ZONES}, (_, zone) => [`${zone}`, backends.filter(backend => backend.zone === zone).length]));
  const loadOf = ({tracker, queue}: Backend): BackendLoad => tracker.report({queued: queue.length(), limit: SLOTS, perSecondMax: undefined});
  const processes = Array.from({length: PROCESSES}, (_, index): Process => ({
    index, zone: index % ZONES, levels: createLevels(), updatedAt: 0, links: backends.map(backend => ({
      backend, load: loadOf(backend), isPresent: true, sentSinceReport: 0,
    })),
  }));
  const callers = processes.slice(0, CALLING_PROCESSES);

  const isFaulty = (): boolean => time >= FAULT_FROM_MS && time < FAULT_TO_MS;

  const applyReport = (link: Link, load: BackendLoad): void => {
    link.load = load;
    link.sentSinceReport = 0;
  };

  const deliver = ({zone}: Process, link: Link, load: BackendLoad, transitMs: number): void => {
    if (isFaulty() && (reportFault === 'stopped' || (cutZone !== undefined && (zone === cutZone) !== (link.backend.zone === cutZone)))) {
      return;
    }

    after(transitMs + (isFaulty() && reportFault === 'late' ? LATE_MS : 0), () => {
      applyReport(link, load);
    });
    if (isFaulty() && reportFault === 'twice') {
      after(transitMs + LATE_MS, () => {
        applyReport(link, load);
      });
    }
  };

  const end = (backend: Backend, key: string, ran: boolean): void => {
    const {onEnd} = backend.calls.get(key)!;
    backend.calls.delete(key);
    onEnd(ran);
  };

  const dispatch = (backend: Backend, key: string): void => {
    const run = {route: HEADER.route, startedAt: time};
    backend.tracker.recordStart(run);
    after(serviceMs * slownessOf(backend.index) * (0.5 + runRandom()), () => {
      backend.tracker.recordEnd(run);
      backend.tracker.recordSuccess(run);
      calls++;
      end(backend, key, true);
      dispatchQueued(backend);
    });
  };

  const dispatchQueued = (backend: Backend): void => {
    while (backend.tracker.running() < SLOTS && backend.queue.length() > 0) {
      const {taken, dropped} = backend.queue.takeNext();
      for (const key of dropped) {
        end(backend, key, false);
      }

      if (taken !== undefined) {
        dispatch(backend, taken);
      }
    }
  };

  const submit = (backend: Backend, call: QueuedCall): void => {
    const {key} = call.active.inbound;
    if (!backend.isPresent) {
      call.onEnd(false);
      return;
    }

    backend.calls.set(key, call);
    backend.tracker.recordArrival(false);
    if (backend.tracker.running() < SLOTS && backend.queue.length() === 0) {
      dispatch(backend, key);
    } else if (backend.queue.add(call.active) !== undefined) {
      end(backend, key, false);
    }
  };

  const recordLoss = (): void => {
    lastLossAt = Math.max(lastLossAt, time);
  };

  const fail = (request: Request): void => {
    recordLoss();
    wastedCalls += request.calls;
    if (request.calls > 0) {
      failedLate++;
    } else {
      failedEarly++;
    }
  };

  const succeed = ({arrivedAt, route}: Request): void => {
    served++;
    countsByPriority.get(route.priority)!.inTime += time - arrivedAt <= TARGET_MS ? 1 : 0;
  };

  /** Sends the next call of a request from a process beside the calling service. */
  const call = (request: Request, caller: Process, tried: ReadonlySet<string>): void => {
    const deadlineAt = request.arrivedAt + DEADLINE_MS;
    const present = caller.links.filter(({isPresent}) => isPresent);
    const chosen = chooseCandidate(present.map(link => ({
      destination: link, node: `${link.backend.index}`, zone: `${link.backend.zone}`, load: link.load, sentSinceReport: link.sentSinceReport, isLive: true, coldMs: 0, failureRate: 0,
    })), {
      zone: `${caller.zone}`, route: HEADER.route, targetMs: CALL_TARGET_MS, excludedNodes: tried, requiresLive: false,
    }, runRandom);
    if (time >= deadlineAt || chosen === undefined) {
      fail(request);
      return;
    }

    const {destination: link, node} = chosen;
    const {backend} = link;
    link.sentSinceReport++;
    const onEnd = (ran: boolean): void => {
      deliver(caller, link, loadOf(backend), TRANSIT_MS);
      after(TRANSIT_MS, () => {
        handleResult({request, caller, tried: new Set([...tried, node])}, ran);
      });
    };

    after(TRANSIT_MS, () => {
      sequence++;
      const active: ActiveCall = {
        inbound: {
          key: `${sequence}`, call: {...HEADER, priority: request.route.priority, targetMs: CALL_TARGET_MS}, body: NO_BODY, onResult: () => undefined,
        }, arrivedAt: time, deadlineAt, run: undefined, ended: false,
      };
      submit(backend, {active, onEnd});
    });
  };

  const handleResult = ({request, caller, tried}: {request: Request; caller: Process; tried: ReadonlySet<string>}, ran: boolean): void => {
    if (!ran) {
      if (tried.size < Math.min(REFUSALS_MAX, backendCount)) {
        call(request, caller, tried);
      } else {
        fail(request);
      }

      return;
    }

    const progressed = {...request, calls: request.calls + 1};
    if (time > request.arrivedAt + DEADLINE_MS) {
      fail(progressed);
    } else if (progressed.calls === CALLS_PER_REQUEST) {
      succeed(progressed);
    } else {
      after(HOP_MS, () => {
        call(progressed, caller, new Set());
      });
    }
  };

  const isIdle = (): boolean => {
    const present = backends.filter(({isPresent}) => isPresent);
    const running = present.reduce((sum, {tracker}) => sum + tracker.running(), 0);
    return present.length > 0 && running < present.length * SLOTS * (1 - IDLE_SHARE_MIN) && present.every(({queue}) => queue.length() === 0);
  };

  const admittedShare = (level: number, {priority, share}: Route): number => {
    if (refusesInOrder) {
      const moreUrgent = routes.filter(route => route.priority < priority).reduce((sum, route) => sum + route.share, 0);
      return (1 - level - moreUrgent) / share;
    }

    return 1 - (level * (PRIORITY_FACTOR ** routes.filter(route => route.priority > priority).length));
  };

  const decide = (request: Request): void => {
    const {route, process, attempt} = request;
    const admitted = Math.min(1, Math.max(ADMITTED_SHARE_MIN, admittedShare(process.levels.of(SERVICE), route)));
    if (decisionRandom() < (attempt > 1 ? Math.sqrt(admitted) : admitted)) {
      const caller = callers[Math.floor(runRandom() * callers.length)]!;
      after(FIRST_HOP_MS, () => {
        call(request, caller, new Set());
      });
      return;
    }

    recordLoss();
    refusedIdle += isIdle() ? 1 : 0;
    if (attempt === 1) {
      after(RETRY_AFTER_MS * (1 + decisionRandom()), () => {
        decide({...request, attempt: 2});
      });
    }
  };

  const arrive = (): void => {
    const position = arrivalRandom();
    let before = 0;
    const route = routes.find(({share}) => {
      before += share;
      return position < before;
    }) ?? routes.at(-1)!;
    requests++;
    countsByPriority.get(route.priority)!.requests++;
    decide({
      route, arrivedAt: time, process: processes[Math.floor(arrivalRandom() * PROCESSES)]!, calls: 0, attempt: 1,
    });
  };

  /** Requests per millisecond that the service can serve while all of its backend servers are as fast as usual. */
  const capacityPerMs = backendCount * SLOTS / serviceMs / CALLS_PER_REQUEST;

  const arriveAll = (): void => {
    const expected = demandAt(time) * capacityPerMs * STEP_MS;
    const arrivals = Math.floor(expected) + (arrivalRandom() < expected % 1 ? 1 : 0);
    const grouped = groups !== undefined && time > 0 && time < groups.untilMs && time % groups.everyMs === 0 ? Math.round(groups.workMs * capacityPerMs) : 0;
    for (let arrival = 0; arrival < arrivals + grouped; arrival++) {
      arrive();
    }
  };

  const publish = (backend: Backend): void => {
    if (time - backend.publishedAt < REPORT_MS || !backend.isPresent) {
      return;
    }

    const load = loadOf(backend);
    if (load.queued > 0 || backend.publishedQueueLength > 0) {
      backend.publishedAt = time;
      backend.publishedQueueLength = load.queued;
      for (const process of processes) {
        deliver(process, process.links[backend.index]!, load, REPORT_TRANSIT_MS);
      }
    }
  };

  const setPresence = (isPresent: boolean): void => {
    for (const backend of backends) {
      backend.isPresent = isPresent;
    }

    after(REPORT_TRANSIT_MS, () => {
      for (const link of processes.flatMap(({links}) => links)) {
        link.isPresent = isPresent;
      }
    });
  };

  const update = (process: Process): void => {
    const samples = process.links.map(({backend, load, isPresent}) => ({zone: `${backend.zone}`, load: isPresent ? load : undefined}));
    process.levels.update(SERVICE, estimateServiceLoad(samples, backendCounts), time - process.updatedAt);
    process.updatedAt = time;
    levelMax = Math.max(levelMax, process.levels.of(SERVICE));
  };

  const tick = (): void => {
    if (absence !== undefined && (time === absence.fromMs || time === absence.toMs)) {
      setPresence(time === absence.toMs);
    }

    for (const process of processes) {
      if (time === restartAtMs) {
        process.levels = createLevels();
      }

      if ((time + (process.index * STEP_MS)) % PONG_MS === 0) {
        for (const link of process.links) {
          deliver(process, link, loadOf(link.backend), REPORT_TRANSIT_MS);
        }
      }

      if ((time + (process.index * STEP_MS)) % UPDATE_MS === 0) {
        update(process);
      }
    }

    for (const backend of backends) {
      for (const key of backend.queue.removeOverdue(time)) {
        end(backend, key, false);
      }

      publish(backend);
    }
  };

  for (let at = 0; at < END_MS; at += STEP_MS) {
    for (let event = agenda.takeUntil(at); event !== undefined; event = agenda.takeUntil(at)) {
      time = Math.max(time, event.at);
      event.run();
    }

    time = at;
    if (at < ARRIVALS_MS) {
      arriveAll();
    }

    tick();
  }

  const inTime = [...countsByPriority.values()].reduce((sum, counts) => sum + counts.inTime, 0);
  return {
    requests,
    inTime: inTime / requests,
    served: served / requests,
    refusedIdle: refusedIdle / requests,
    failedLate: failedLate / requests,
    failedEarly: failedEarly / requests,
    wastedCalls: wastedCalls / calls,
    recoveryMs: Math.max(0, lastLossAt - calmFromMs),
    inTimeByPriority: new Map([...countsByPriority].map(([priority, counts]) => [priority, counts.inTime / counts.requests])),
    levelMax,
  };
};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Runs a load with each seed and returns the means. */
export const simulateRefusals = (scenario: RefusalScenario, createLevels: () => RefusalLevels, seeds: readonly number[]): RefusalFigures => {
  const results = seeds.map(seed => simulateOnce(scenario, createLevels, seed));
  const meanOf = (figureOf: (figures: RefusalFigures) => number): number => mean(results.map(figures => figureOf(figures)));
  return {
    requests: meanOf(({requests}) => requests),
    inTime: meanOf(({inTime}) => inTime),
    served: meanOf(({served}) => served),
    refusedIdle: meanOf(({refusedIdle}) => refusedIdle),
    failedLate: meanOf(({failedLate}) => failedLate),
    failedEarly: meanOf(({failedEarly}) => failedEarly),
    wastedCalls: meanOf(({wastedCalls}) => wastedCalls),
    recoveryMs: meanOf(({recoveryMs}) => recoveryMs),
    inTimeByPriority: new Map([...results[0]!.inTimeByPriority.keys()].map(priority => [priority, meanOf(({inTimeByPriority}) => inTimeByPriority.get(priority)!)])),
    levelMax: Math.max(...results.map(({levelMax}) => levelMax)),
  };
};

/** Formats figures for a log. */
export const formatFigures = ({requests, inTime, served, refusedIdle, failedLate, failedEarly, wastedCalls, recoveryMs, inTimeByPriority, levelMax}: RefusalFigures): string => [
  `requests ${Math.round(requests)}`,
  `in time ${inTime.toFixed(3)}`,
  `served ${served.toFixed(3)}`,
  `refused while idle ${refusedIdle.toFixed(3)}`,
  `failed late ${failedLate.toFixed(3)}`,
  `failed early ${failedEarly.toFixed(3)}`,
  `wasted calls ${wastedCalls.toFixed(3)}`,
  `recovery ${Math.round(recoveryMs)} ms`,
  `level max ${levelMax.toFixed(2)}`,
  ...(inTimeByPriority.size > 1 ? [[...inTimeByPriority].map(([priority, share]) => `p${priority} ${share.toFixed(3)}`).join(' ')] : []),
].join(', ');
