/** Simulates callers that choose among uneven backend servers, in virtual time and without a network. */
import {Buffer} from 'node:buffer';
import {createRandom, type Random} from '../../../shared/random.js';
import {createBackendLoadTracker, type BackendLoadTracker} from '../../inbound/backend-load-tracker.js';
import {createCallQueue, type CallQueue} from '../../inbound/call-queue.js';
import type {ActiveCall} from '../../inbound/inbound-call.js';
import {createLinkLiveness, type LinkLiveness} from '../../links/link-liveness.js';
import {chooseSubset, createRings} from '../../links/subset.js';
import {createAgenda} from '../../members/__tests__/agenda.js';
import type {BackendLoad, CallHeader, Member} from '../../message.js';
import type {chooseCandidate, Candidate} from '../selection.js';

/** `slowsWhenFull`: the service time rises by a quarter while more and more slots are in use. */
export type BackendKind = {speed: number; slowsWhenFull: boolean};

/**
 * `group`: one zone sends so much more that the total rises by half; `freeze`: the fastest backend server completes nothing;
 * `restart`: all processes lose what they know. Each begins at `EVENT_AT_MS`.
 */
export type LoadEvent = 'group' | 'freeze' | 'restart';

/** `stopped`: the callers get no reports for two seconds; `twice`: each report arrives a second time, `REPEAT_AFTER_MS` later. */
export type ReportFault = 'stopped' | 'twice';

/** What is simulated. */
export type Scenario = {
  callers: number;
  backends: readonly BackendKind[];
  /** Slots of each backend server. */
  slots: number;
  /** Share of the capacity of all backend servers that the callers ask for. */
  utilization: number;
  /** Age of a load report when it arrives, in milliseconds. */
  reportAgeMs: number;
  event?: LoadEvent;
  reportFault?: ReportFault;
};

/** Results of a simulation; shares are between 0 and 1, and requests that were not served count with the time of their deadline. */
export type Figures = {
  requests: number;
  p50Ms: number;
  p99Ms: number;
  /** Share of the requests served within the target latency. */
  inTime: number;
  /** Share of the attempts that the queues of the backend servers refused. */
  refused: number;
  /** Utilization of the busiest backend server, divided by the mean. */
  spread: number;
  /** Calls to the backend server with most calls, divided by the mean. */
  arrivalSpread: number;
  /** Share of the calls that went to another zone. */
  otherZone: number;
  /** Mean processor time of a choice, in microseconds. */
  choiceUs: number;
};

/** Chooses a backend server; replaceable, so that two choices run side by side. */
export type Choice = typeof chooseCandidate;

const ZONES = 3;
const SERVICE = 'orders';
const ROUTE = 'orders/list';
/** Mean service time of a backend server of speed 1. */
const SERVICE_MS = 40;
/** Standard deviation of the logarithm of the service time. */
const SERVICE_SIGMA = 0.6;
const TARGET_MS = 200;
const DEADLINE_MS = 1000;
const REFUSALS_MAX = 4;

const SLOW_PERIOD_MS = 300;
const SLOW_FACTOR = 2.5;
/** Mean time between two slow periods of one backend server. */
const SLOW_EVERY_MS = 3000;
const FULL_FACTOR = 1.25;
/** Share of the slots in use from which a backend server that slows down when full does so. */
const FULL_FROM = 0.75;

const OWN_ZONE_TRANSIT_MS = 0.5;
const OTHER_ZONE_TRANSIT_MS = 2;
const TICK_MS = 50;
const LOAD_INTERVAL_MS = 250;
const RECONNECT_MAX_MS = 100;
const CONNECT_WAIT_MS = 500;
const CONNECT_POLL_MS = 20;
const RETRY_WINDOW_MS = 5000;

/** Start of the event, of the fault of the reports, and of the measurement. */
export const EVENT_AT_MS = 3000;
const EVENT_MS = 2000;
const GROUP_GROWTH = 0.5;
const REPEAT_AFTER_MS = 50;
const MEASURED_MS = 6000;

const END_MS = EVENT_AT_MS + MEASURED_MS;

const NO_BODY = Buffer.alloc(0);
const HEADER: CallHeader = {
  requestId: '', service: SERVICE, method: 'GET', path: '/', rawHeaders: [], idempotent: true, isRepeat: false, priority: 0,
  route: ROUTE, remainingMs: 0, targetMs: 0, crashRecord: undefined, isTrial: false,
};

type Result = 'answered' | 'refused';

type Call = {active: ActiveCall; onResult: (result: Result) => void};

type Backend = {
  member: Member;
  kind: BackendKind;
  tracker: BackendLoadTracker;
  queue: CallQueue;
  calls: Map<string, Call>;
  running: Map<string, number>;
  slowUntil: number;
  frozenUntil: number;
  links: Link[];
  publishedAt: number;
  publishedQueueLength: number;
  /** Slot time in use, in milliseconds, up to `busyAt`. */
  busyMs: number;
  busyAt: number;
  arrivals: number;
};

/** Link of a caller to a backend server, with what `peer-link.ts` keeps of it. */
type Link = {
  backend: Backend;
  transitMs: number;
  isOpen: boolean;
  load: BackendLoad;
  sentSinceReport: number;
  liveness: LinkLiveness;
};

type Caller = {member: Member; links: Link[]};

type Request = {
  arrivedAt: number;
  life: number;
  tried: Set<string>;
  refusals: number;
  ended: boolean;
  sent: {key: string; backend: Backend} | undefined;
};

/** Capacity of a service in calls per millisecond, without the time that slow periods take. */
const capacityPerMs = (backends: readonly BackendKind[], slots: number): number => {
  const slowShare = SLOW_PERIOD_MS / SLOW_EVERY_MS;
  const speed = backends.reduce((total, kind) => total + (kind.speed / (kind.slowsWhenFull ? FULL_FACTOR : 1)), 0);
  return speed * slots * (1 - slowShare + (slowShare / SLOW_FACTOR)) / SERVICE_MS;
};

const createMembers = (count: number, name: string, service: string): Member[] => Array.from({length: count}, (_, index) => ({
  node: `${name}-${index}`, address: `${name}-${index}`, zone: `zone-${index % ZONES}`, service,
}));

const percentile = (sorted: readonly number[], share: number): number => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;

const createLogNormal = (random: Random): () => number => () => {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp((SERVICE_SIGMA * normal) - ((SERVICE_SIGMA ** 2) / 2));
};

/** Runs a scenario with one seed and returns what the measured requests experienced. */
const simulateOnce = (scenario: Scenario, choose: Choice, seed: number) => {
  const {slots, reportAgeMs, event, reportFault} = scenario;
  const agenda = createAgenda();
  // Separate generators, so that two choices get the same arrivals and slow periods.
  const arrivalRandom = createRandom(seed);
  const periodRandom = createRandom(seed + 1);
  const choiceRandom = createRandom(seed + 2);
  const transitRandom = createRandom(seed + 4);
  const logNormal = createLogNormal(createRandom(seed + 3));
  let time = 0;
  let sequence = 0;
  /** Raised when all processes restart, so that earlier callbacks are dropped. */
  let life = 0;
  const now = (): number => time;
  const latencies: number[] = [];
  let attempts = 0;
  let refusals = 0;
  let otherZone = 0;
  let choices = 0;
  let choiceMs = 0;

  const isMeasured = (at: number): boolean => at >= EVENT_AT_MS && at < END_MS;
  const isDuringEvent = (): boolean => time >= EVENT_AT_MS && time < EVENT_AT_MS + EVENT_MS;

  /** Runs a callback later unless all processes have restarted by then. */
  const after = (milliseconds: number, run: () => void): void => {
    const startedIn = life;
    agenda.add(time + milliseconds, () => {
      if (startedIn === life) {
        run();
      }
    });
  };

  const transit = ({transitMs}: Link): number => transitMs * (0.5 + transitRandom());

  const createInbound = (): Pick<Backend, 'tracker' | 'queue'> => {
    const tracker = createBackendLoadTracker(now, RETRY_WINDOW_MS);
    return {
      tracker, queue: createCallQueue({
        now, serviceMs: tracker.serviceMs, limit: () => slots, rateWaitMs: () => 0,
      }),
    };
  };

  const backendMembers = createMembers(scenario.backends.length, 'backend', SERVICE);
  const callerMembers = createMembers(scenario.callers, 'caller', 'web');
  const backends = backendMembers.map((member, index): Backend => ({
    member, kind: scenario.backends[index]!, ...createInbound(), calls: new Map(), running: new Map(), slowUntil: 0, frozenUntil: 0,
    links: [], publishedAt: 0, publishedQueueLength: 0, busyMs: 0, busyAt: 0, arrivals: 0,
  }));
  const speedMax = Math.max(...backends.map(({kind}) => kind.speed));
  const fastest = backends.find(({kind}) => kind.speed === speedMax)!;
  const report = ({tracker, queue}: Backend): BackendLoad => tracker.report({queued: queue.length(), limit: slots, perSecondMax: undefined});
  const rings = createRings([...callerMembers, ...backendMembers]);
  const callers = callerMembers.map((member): Caller => ({
    member, links: chooseSubset(rings, member, SERVICE, () => true).map(({node}) => {
      const backend = backends.find(({member: {node: other}}) => other === node)!;
      const link: Link = {
        backend, transitMs: backend.member.zone === member.zone ? OWN_ZONE_TRANSIT_MS : OTHER_ZONE_TRANSIT_MS,
        isOpen: true, load: report(backend), sentSinceReport: 0, liveness: createLinkLiveness(now),
      };
      backend.links.push(link);
      return link;
    }),
  }));

  const applyReport = (link: Link, load: BackendLoad): void => {
    link.load = {...load, routes: load.routes.length === 0 ? link.load.routes : load.routes};
    link.sentSinceReport = 0;
  };

  const deliverReport = (link: Link, load: BackendLoad): void => {
    if (reportFault === 'stopped' && isDuringEvent()) {
      return;
    }

    after(reportAgeMs, () => {
      applyReport(link, load);
    });
    if (reportFault === 'twice') {
      after(reportAgeMs + REPEAT_AFTER_MS, () => {
        applyReport(link, load);
      });
    }
  };

  const updateBusy = (backend: Backend): void => {
    const from = Math.max(EVENT_AT_MS, backend.busyAt);
    const until = Math.min(END_MS, time);
    backend.busyMs += Math.max(0, until - from) * backend.tracker.running();
    backend.busyAt = time;
  };

  const endCall = (backend: Backend, key: string, result: Result): void => {
    const call = backend.calls.get(key)!;
    backend.calls.delete(key);
    call.onResult(result);
  };

  const endRun = (backend: Backend, key: string): void => {
    updateBusy(backend);
    backend.tracker.recordEnd({route: ROUTE, startedAt: backend.running.get(key)!});
    backend.running.delete(key);
  };

  const completeRun = (backend: Backend, key: string): void => {
    const startedAt = backend.running.get(key);
    if (startedAt === undefined) {
      return;
    }

    if (time < backend.frozenUntil) {
      after(EVENT_MS, () => {
        completeRun(backend, key);
      });
      return;
    }

    endRun(backend, key);
    backend.tracker.recordSuccess({route: ROUTE, startedAt});
    endCall(backend, key, 'answered');
    dispatchQueued(backend);
  };

  const dispatch = (backend: Backend, key: string): void => {
    const {speed, slowsWhenFull} = backend.kind;
    updateBusy(backend);
    backend.running.set(key, time);
    backend.tracker.recordStart({route: ROUTE, startedAt: time});
    const usedShare = backend.tracker.running() / slots;
    const fullFactor = slowsWhenFull ? 1 + ((FULL_FACTOR - 1) * Math.max(0, usedShare - FULL_FROM) / (1 - FULL_FROM)) : 1;
    const slowFactor = time < backend.slowUntil ? SLOW_FACTOR : 1;
    after(SERVICE_MS / speed * logNormal() * fullFactor * slowFactor, () => {
      completeRun(backend, key);
    });
  };

  const dispatchQueued = (backend: Backend): void => {
    while (backend.tracker.running() < slots && backend.queue.length() > 0) {
      const {taken, dropped} = backend.queue.takeNext();
      for (const key of dropped) {
        endCall(backend, key, 'refused');
      }

      if (taken !== undefined) {
        dispatch(backend, taken);
      }
    }
  };

  const submit = (backend: Backend, call: Call): void => {
    const {key} = call.active.inbound;
    backend.calls.set(key, call);
    backend.tracker.recordArrival(false);
    if (isMeasured(time)) {
      backend.arrivals++;
    }

    if (backend.tracker.running() < slots && backend.queue.length() === 0) {
      dispatch(backend, key);
    } else if (backend.queue.add(call.active) !== undefined) {
      endCall(backend, key, 'refused');
    }
  };

  const cancel = (backend: Backend, key: string): void => {
    const call = backend.calls.get(key);
    if (call === undefined) {
      return;
    }

    backend.calls.delete(key);
    if (backend.running.has(key)) {
      endRun(backend, key);
      dispatchQueued(backend);
    } else {
      backend.queue.remove(call.active);
    }
  };

  const endRequest = (request: Request, latencyMs: number): void => {
    request.ended = true;
    if (isMeasured(request.arrivedAt)) {
      latencies.push(latencyMs);
    }
  };

  const candidatesOf = (caller: Caller): Array<Candidate<Link>> => caller.links.filter(({isOpen}) => isOpen).map(link => ({
    destination: link, node: link.backend.member.node, zone: link.backend.member.zone, load: link.load,
    sentSinceReport: link.sentSinceReport, isLive: link.liveness.isLive(), coldMs: 0, failureRate: 0,
  }));

  const chooseLink = (caller: Caller, request: Request): Link | undefined => {
    const candidates = candidatesOf(caller);
    const startedAt = performance.now();
    const chosen = choose(candidates, {
      zone: caller.member.zone, route: ROUTE, targetMs: TARGET_MS, excludedNodes: request.tried, requiresLive: false,
    }, choiceRandom);
    choiceMs += performance.now() - startedAt;
    choices++;
    return chosen?.destination;
  };

  const attempt = (caller: Caller, request: Request): void => {
    if (request.ended) {
      return;
    }

    const link = chooseLink(caller, request);
    if (link === undefined) {
      if (request.tried.size === 0 && time - request.arrivedAt < CONNECT_WAIT_MS) {
        after(CONNECT_POLL_MS, () => {
          attempt(caller, request);
        });
      } else {
        endRequest(request, DEADLINE_MS);
      }

      return;
    }

    send(caller, request, link);
  };

  const send = (caller: Caller, request: Request, link: Link): void => {
    const {backend} = link;
    sequence++;
    const key = String(sequence);
    request.tried.add(backend.member.node);
    request.sent = {key, backend};
    link.sentSinceReport++;
    link.liveness.recordCall();
    if (isMeasured(request.arrivedAt)) {
      attempts++;
      otherZone += backend.member.zone === caller.member.zone ? 0 : 1;
    }

    const onResult = (result: Result): void => {
      const load = report(backend);
      after(transit(link), () => {
        link.liveness.recordReceived();
        deliverReport(link, load);
        handleResult(caller, request, result);
      });
    };

    after(transit(link), () => {
      const call: CallHeader = {...HEADER, remainingMs: request.arrivedAt + DEADLINE_MS - time, targetMs: request.arrivedAt + TARGET_MS - time};
      submit(backend, {
        onResult, active: {
          inbound: {
            key, call, body: NO_BODY, onResult() {
              throw new Error('not used');
            },
          }, arrivedAt: time, deadlineAt: request.arrivedAt + DEADLINE_MS, run: undefined, ended: false,
        },
      });
    });
  };

  const handleResult = (caller: Caller, request: Request, result: Result): void => {
    if (request.ended) {
      return;
    }

    request.sent = undefined;
    if (result === 'answered') {
      endRequest(request, time - request.arrivedAt);
      return;
    }

    request.refusals++;
    refusals += isMeasured(request.arrivedAt) ? 1 : 0;
    if (request.refusals >= REFUSALS_MAX) {
      endRequest(request, DEADLINE_MS);
    } else {
      attempt(caller, request);
    }
  };

  const startRequest = (caller: Caller): void => {
    const request: Request = {
      arrivedAt: time, life, tried: new Set(), refusals: 0, ended: false, sent: undefined,
    };
    attempt(caller, request);
    after(DEADLINE_MS, () => {
      if (request.ended) {
        return;
      }

      endRequest(request, DEADLINE_MS);
      const {sent} = request;
      if (sent !== undefined) {
        after(OTHER_ZONE_TRANSIT_MS, () => {
          cancel(sent.backend, sent.key);
        });
      }
    });
  };

  /** Poisson arrivals over all callers, at the highest rate; those beyond the rate of the moment are left out. */
  const ratePerMs = scenario.utilization * capacityPerMs(scenario.backends, slots);
  const scheduleArrivals = (): void => {
    const at = time - (Math.log(1 - arrivalRandom()) / (ratePerMs * (1 + GROUP_GROWTH)));
    agenda.add(at, () => {
      const isExtra = arrivalRandom() * (1 + GROUP_GROWTH) >= 1;
      const index = Math.floor(arrivalRandom() * callers.length);
      if (!isExtra) {
        startRequest(callers[index]!);
      } else if (event === 'group' && isDuringEvent()) {
        startRequest(callers[index - (index % ZONES)]!);
      }

      scheduleArrivals();
    });
  };

  const schedulePeriods = (backend: Backend): void => {
    agenda.add(time - (Math.log(1 - periodRandom()) * SLOW_EVERY_MS), () => {
      backend.slowUntil = time + SLOW_PERIOD_MS;
      schedulePeriods(backend);
    });
  };

  const publishLoad = (backend: Backend): void => {
    const load = report(backend);
    if (time - backend.publishedAt < LOAD_INTERVAL_MS || (load.queued === 0 && backend.publishedQueueLength === 0)) {
      return;
    }

    backend.publishedAt = time;
    backend.publishedQueueLength = load.queued;
    for (const link of backend.links.filter(({isOpen}) => isOpen)) {
      after(transit(link), () => {
        link.liveness.recordReceived();
        deliverReport(link, load);
      });
    }
  };

  const tickBackend = (backend: Backend): void => {
    for (const key of backend.queue.removeOverdue(time)) {
      endCall(backend, key, 'refused');
    }

    publishLoad(backend);
    agenda.add(time + TICK_MS, () => {
      tickBackend(backend);
    });
  };

  const ping = (link: Link): void => {
    link.liveness.recordPing();
    after(transit(link), () => {
      const load = report(link.backend);
      after(transit(link), () => {
        link.liveness.recordReceived();
        deliverReport(link, load);
      });
    });
  };

  const tickCaller = (caller: Caller): void => {
    for (const link of caller.links.filter(({isOpen, liveness}) => isOpen && liveness.isPingDue())) {
      ping(link);
    }

    agenda.add(time + TICK_MS, () => {
      tickCaller(caller);
    });
  };

  const restart = (): void => {
    life++;
    for (const backend of backends) {
      updateBusy(backend);
      Object.assign(backend, createInbound());
      backend.calls.clear();
      backend.running.clear();
    }

    for (const link of callers.flatMap(({links}) => links)) {
      link.isOpen = false;
      after(transitRandom() * RECONNECT_MAX_MS, () => {
        link.isOpen = true;
        link.load = {...report(link.backend), routes: []};
        link.sentSinceReport = 0;
        link.liveness.reset();
      });
    }
  };

  scheduleArrivals();
  for (const backend of backends) {
    schedulePeriods(backend);
    agenda.add(periodRandom() * TICK_MS, () => {
      tickBackend(backend);
    });
  }

  for (const caller of callers) {
    agenda.add(periodRandom() * TICK_MS, () => {
      tickCaller(caller);
    });
  }

  agenda.add(EVENT_AT_MS, () => {
    if (event === 'freeze') {
      fastest.frozenUntil = time + EVENT_MS;
    } else if (event === 'restart') {
      restart();
    }
  });

  for (let next = agenda.takeUntil(END_MS + DEADLINE_MS); next !== undefined; next = agenda.takeUntil(END_MS + DEADLINE_MS)) {
    time = next.at;
    next.run();
  }

  return {
    latencies, attempts, refusals, otherZone, choices, choiceMs,
    busyMs: backends.map(({busyMs}) => busyMs),
    arrivals: backends.map(({arrivals}) => arrivals),
  };
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
const mean = (values: readonly number[]): number => sum(values) / values.length;
const maxToMean = (values: readonly number[]): number => Math.max(...values) / mean(values);

/** Runs a scenario with several seeds and pools the figures. */
export const simulate = (scenario: Scenario, choose: Choice, seeds: readonly number[]): Figures => {
  const runs = seeds.map(seed => simulateOnce(scenario, choose, seed));
  const latencies = runs.flatMap(run => run.latencies).sort((a, b) => a - b);
  const attempts = sum(runs.map(run => run.attempts));
  return {
    requests: latencies.length,
    p50Ms: percentile(latencies, 0.5),
    p99Ms: percentile(latencies, 0.99),
    inTime: latencies.filter(latency => latency <= TARGET_MS).length / latencies.length,
    refused: sum(runs.map(run => run.refusals)) / attempts,
    spread: mean(runs.map(run => maxToMean(run.busyMs))),
    arrivalSpread: mean(runs.map(run => maxToMean(run.arrivals))),
    otherZone: sum(runs.map(run => run.otherZone)) / attempts,
    choiceUs: sum(runs.map(run => run.choiceMs)) * 1000 / sum(runs.map(run => run.choices)),
  };
};

const SPEEDS = [0.5, 1, 1, 1.5];

/** Backend servers of uneven speed; of each four, one slows down when it is nearly full. */
const createKinds = (count: number): BackendKind[] =>
  Array.from({length: count}, (_, index) => ({speed: SPEEDS[index % SPEEDS.length]!, slowsWhenFull: index % SPEEDS.length === 1}));

const FEW: Scenario = {
  callers: 61, backends: createKinds(4), slots: 8, utilization: 0.75, reportAgeMs: 10,
};
const MANY: Scenario = {
  callers: 76, backends: createKinds(29), slots: 4, utilization: 0.75, reportAgeMs: 10,
};

/** Load patterns, by title. */
export const SCENARIOS: ReadonlyArray<{title: string; scenario: Scenario}> = [
  {title: '4 backend servers, 30 %', scenario: {...FEW, utilization: 0.3}},
  {title: '4 backend servers, 50 %', scenario: {...FEW, utilization: 0.5}},
  {title: '4 backend servers, 75 %', scenario: FEW},
  {title: '4 backend servers, 95 %', scenario: {...FEW, utilization: 0.95}},
  {title: '29 backend servers, 30 %', scenario: {...MANY, utilization: 0.3}},
  {title: '29 backend servers, 50 %', scenario: {...MANY, utilization: 0.5}},
  {title: '29 backend servers, 75 %', scenario: MANY},
  {title: '29 backend servers, 95 %', scenario: {...MANY, utilization: 0.95}},
  {title: 'group arrival, 4', scenario: {...FEW, event: 'group'}},
  {title: 'group arrival, 29', scenario: {...MANY, event: 'group'}},
  {title: 'fast one unresponsive, 4', scenario: {...FEW, event: 'freeze'}},
  {title: 'fast one unresponsive, 29', scenario: {...MANY, event: 'freeze'}},
  {title: 'all restarted, 4', scenario: {...FEW, event: 'restart'}},
  {title: 'all restarted, 29', scenario: {...MANY, event: 'restart'}},
  {title: 'reports 50 ms old, 75 %', scenario: {...FEW, reportAgeMs: 50}},
  {title: 'reports 50 ms old, 95 %', scenario: {...FEW, reportAgeMs: 50, utilization: 0.95}},
  {title: 'reports 200 ms old, 75 %', scenario: {...FEW, reportAgeMs: 200}},
  {title: 'reports 200 ms old, 95 %', scenario: {...FEW, reportAgeMs: 200, utilization: 0.95}},
  {title: 'reports 200 ms old, 29', scenario: {...MANY, reportAgeMs: 200}},
  {title: 'reports stop', scenario: {...FEW, reportFault: 'stopped'}},
  {title: 'reports arrive twice', scenario: {...FEW, reportFault: 'twice'}},
];

/** One line of the table in the design note. */
export const formatFigures = ({p50Ms, p99Ms, inTime, refused, spread, arrivalSpread, otherZone, choiceUs}: Figures): string => [
  p50Ms.toFixed(0),
  p99Ms.toFixed(0),
  `${(inTime * 100).toFixed(2)} %`,
  `${(refused * 100).toFixed(2)} %`,
  spread.toFixed(2),
  arrivalSpread.toFixed(2),
  `${(otherZone * 100).toFixed(0)} %`,
  choiceUs.toFixed(1),
].join(' | ');
