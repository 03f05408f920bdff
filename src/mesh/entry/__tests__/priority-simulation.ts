/**
Simulates clients, processes that decide on admission, and chains of calls to one overloaded service, without a network.

Each request calls the overloaded service several times in sequence. These calls wait in the order of their arrival, since they have the priority of the called route, not that of the client's request.
A request that fails there has wasted the calls that it made; its client sends it again only if it is idempotent. A request that is refused at its start is sent again after its `Retry-After`.
*/
import {createManualClock} from '../../../shared/clock.js';
import {createRandom} from '../../../shared/random.js';
import {createAdmissionController} from '../admission.js';
import {createDependencies} from '../dependencies.js';
import type {ServiceLoad} from '../refusal-levels.js';
import {createPreviousAdmission} from './previous-admission.js';

/** Requests of one priority; `share` is their part of the demand. */
export type SimulatedKind = {priority: number; share: number; worth: number; isIdempotent: boolean};

/** A simulated load. */
export type PrioritySimulationOptions = {
  rule: 'previous' | 'current';
  kinds: readonly SimulatedKind[];
  /** Demand of the first attempts, as a factor of the capacity. */
  demand: number;
  shape: 'steady' | 'oscillation' | 'surge' | 'surge of the most urgent';
  /** Processes with the previous rule beside those with the current one, as during an upgrade. @default 0 */
  previousProcesses?: number;
  /** Whether each priority arrives at processes of its own. @default false */
  isSeparated?: boolean;
  /** Attempts that a client makes for a request. @default 4 */
  attemptsMax?: number;
  /** @default 3 */
  seed?: number;
};

/** Outcome of the requests of one priority that arrived in the counted time; `admittedShare` is the part that was admitted in one of its attempts. */
export type KindResult = {priority: number; sent: number; served: number; admittedShare: number; servedShare: number};

/** Outcome of a simulated load; `wastedShare` is the part of the calls that were made for requests that failed. */
export type PrioritySimulationResult = {kinds: KindResult[]; servedShare: number; worthShare: number; wastedShare: number; usedShare: number};

type Counts = {sent: number; admitted: number; served: number};
type Request = {kind: SimulatedKind; counts: Counts; deadlineAt: number; attempt: number; callsMade: number; endsAt: number; queueUntil: number; isCounted: boolean; wasAdmitted: boolean};

const STEP_MS = 10;
const SECONDS = 50;
const COUNTED_FROM_MS = 8000;
const PROCESSES = 15;
const UPDATE_MS = 100;
const REPORT_MS = 250;
const SLOTS = 24;
const CALL_MS = 30;
const CALLS_PER_REQUEST = 4;
/** Time that the services above take for each of their calls, in milliseconds. */
const BETWEEN_CALLS_MS = 10;
/** Target latency of a call to the overloaded service, in milliseconds. */
const CALL_TARGET_MS = 150;
const TARGET_MS = 1500;
const DEADLINE_MS = 5000;
const RETRY_AFTER_TARGET_SHARE = 0.2;
const SECOND_MS = 1000;
/** Requests that the capacity suffices for, per step. */
const CAPACITY_PER_STEP = SLOTS * STEP_MS / (CALL_MS * CALLS_PER_REQUEST);
const OSCILLATION = {amplitude: 0.55, periodMs: 13_000, groupSize: 8};
const SURGE = {fromMs: 20_000, toMs: 23_000, factor: 1.7};
const URGENT_SURGE_FACTOR = 4;
const COUNTED_TO_MS = (SECONDS * SECOND_MS) - DEADLINE_MS;

const silentLog = {
  write: () => undefined,
  count: () => undefined,
};

const requestKind = ({priority}: SimulatedKind, isClientRetry: boolean) => ({
  route: {name: `priority-${priority}`, targets: [{service: 'first', weight: 1}]}, priority, workspace: undefined, isClientRetry,
});

const isSurge = (at: number): boolean => at >= SURGE.fromMs && at < SURGE.toMs;

/** Demand at a time, as a factor of the mean. */
const demandFactor = (shape: PrioritySimulationOptions['shape'], at: number): number => {
  switch (shape) {
    case 'steady':
    case 'surge of the most urgent': {
      return 1;
    }

    case 'oscillation': {
      return 1 + (OSCILLATION.amplitude * Math.sin(2 * Math.PI * at / OSCILLATION.periodMs));
    }

    case 'surge': {
      return isSurge(at) ? SURGE.factor : 1;
    }
  }
};

/** Runs a simulated load. */
export const simulatePriorities = ({rule, kinds, demand, shape, previousProcesses = 0, isSeparated = false, attemptsMax = 4, seed = 3}: PrioritySimulationOptions): PrioritySimulationResult => {
  const random = createRandom(seed);
  const clock = createManualClock();
  const {now} = clock;
  const countsByKind = new Map(kinds.map(kind => [kind, {sent: 0, admitted: 0, served: 0}]));
  let reported: ServiceLoad = {
    backends: 4, running: 0, queued: 0, limit: SLOTS,
  };
  let queued: Request[] = [];
  let running: Request[] = [];
  /** Requests whose client sends them again, or whose next call follows. */
  let delayed: Array<{at: number; request: Request}> = [];
  let callsMade = 0;
  let callsWasted = 0;

  const createProcess = (index: number) => {
    if (rule === 'previous' || index < previousProcesses) {
      return createPreviousAdmission({now, priorities: kinds.map(({priority}) => priority), serviceLoad: () => reported});
    }

    const dependencies = createDependencies({now, onLearnt: () => undefined});
    dependencies.merge(kinds.map(kind => ({route: requestKind(kind, false).route.name, priority: kind.priority, service: 'below'})));
    return createAdmissionController({
      now, log: silentLog, dependencies, serviceLoad: () => reported, workspaceDemand: () => undefined,
    });
  };

  const processes = Array.from({length: PROCESSES}, (_, index) => createProcess(index));

  /** Index of the process that a client sends a request to. */
  const chooseProcess = ({kind}: Request): number => {
    const index = Math.floor(random() * PROCESSES);
    return isSeparated ? (index - (index % kinds.length) + kinds.indexOf(kind)) % PROCESSES : index;
  };

  const sendAgain = (request: Request): void => {
    const at = now() + (TARGET_MS * RETRY_AFTER_TARGET_SHARE * (1 + random()));
    if (request.attempt < attemptsMax && at < request.deadlineAt) {
      delayed.push({at, request: {...request, attempt: request.attempt + 1, callsMade: 0}});
    }
  };

  const fail = (request: Request): void => {
    callsWasted += request.isCounted ? request.callsMade : 0;
    if (request.kind.isIdempotent) {
      sendAgain(request);
    }
  };

  const call = (request: Request): void => {
    const waitMaxMs = Math.min((request.deadlineAt - now()) / 2, CALL_TARGET_MS + CALL_MS);
    if ((queued.length + 1) * CALL_MS / SLOTS > waitMaxMs) {
      fail(request);
    } else {
      request.queueUntil = now() + waitMaxMs;
      queued.push(request);
    }
  };

  const send = (request: Request): void => {
    const process = processes[chooseProcess(request)]!;
    if (process.admit(requestKind(request.kind, request.attempt > 1), random)) {
      request.counts.admitted += request.isCounted && !request.wasAdmitted ? 1 : 0;
      request.wasAdmitted = true;
      call(request);
    } else {
      sendAgain(request);
    }
  };

  const finish = (request: Request): void => {
    if (request.isCounted && now() <= request.deadlineAt) {
      request.counts.served++;
    } else if (request.isCounted) {
      callsWasted += CALLS_PER_REQUEST;
    }
  };

  const runService = (): void => {
    const ended = running.filter(({endsAt}) => endsAt <= now());
    running = running.filter(({endsAt}) => endsAt > now());
    for (const request of ended) {
      request.callsMade++;
      callsMade += request.isCounted ? 1 : 0;
      if (request.callsMade === CALLS_PER_REQUEST) {
        finish(request);
      } else {
        delayed.push({at: now() + BETWEEN_CALLS_MS, request});
      }
    }

    const overdue = queued.filter(({queueUntil}) => queueUntil < now());
    queued = queued.filter(({queueUntil}) => queueUntil >= now());
    for (const request of overdue) {
      fail(request);
    }

    for (const request of queued.splice(0, SLOTS - running.length)) {
      request.endsAt = now() + CALL_MS;
      running.push(request);
    }
  };

  const findKind = (): SimulatedKind => {
    const drawn = random();
    return kinds.find((_, index) => drawn < kinds.slice(0, index + 1).reduce((sum, {share}) => sum + share, 0)) ?? kinds.at(-1)!;
  };

  const countArrivals = (expected: number): number => Math.floor(expected) + (random() < expected % 1 ? 1 : 0);

  /** Kinds of the requests that arrive in this step. */
  const arrivals = (): SimulatedKind[] => {
    const groupSize = shape === 'oscillation' ? OSCILLATION.groupSize : 1;
    const expected = demand * CAPACITY_PER_STEP * demandFactor(shape, now());
    const [mostUrgent] = kinds;
    const added = shape === 'surge of the most urgent' && isSurge(now()) ? countArrivals(expected * mostUrgent!.share * (URGENT_SURGE_FACTOR - 1)) : 0;
    return [
      ...Array.from({length: countArrivals(expected / groupSize) * groupSize}, findKind),
      ...Array.from({length: added}, () => mostUrgent!),
    ];
  };

  const arrive = (): void => {
    for (const kind of arrivals()) {
      const counts = countsByKind.get(kind)!;
      const isCounted = now() >= COUNTED_FROM_MS && now() < COUNTED_TO_MS;
      counts.sent += isCounted ? 1 : 0;
      send({
        kind, counts, deadlineAt: now() + DEADLINE_MS, attempt: 1, callsMade: 0, endsAt: 0, queueUntil: 0, isCounted, wasAdmitted: false,
      });
    }
  };

  while (now() < SECONDS * SECOND_MS) {
    arrive();
    const due = delayed.filter(({at}) => at <= now());
    delayed = delayed.filter(({at}) => at > now());
    for (const {request} of due) {
      if (request.callsMade > 0) {
        call(request);
      } else {
        send(request);
      }
    }

    runService();
    if (now() % REPORT_MS === 0) {
      reported = {
        backends: 4, running: running.length, queued: queued.length, limit: SLOTS,
      };
    }

    clock.advance(STEP_MS);
    if (now() % UPDATE_MS === 0) {
      for (const process of processes) {
        process.update();
      }
    }
  }

  const outcomes = kinds.map(kind => ({...countsByKind.get(kind)!, priority: kind.priority, worth: kind.worth}));
  const sumOf = (figureOf: (outcome: (typeof outcomes)[number]) => number): number => outcomes.reduce((sum, outcome) => sum + figureOf(outcome), 0);
  return {
    kinds: outcomes.map(({priority, sent, admitted, served}) => ({
      priority, sent, served, admittedShare: admitted / sent, servedShare: served / sent,
    })),
    servedShare: sumOf(({served}) => served) / sumOf(({sent}) => sent),
    worthShare: sumOf(({served, worth}) => served * worth) / sumOf(({sent, worth}) => sent * worth),
    wastedShare: callsWasted / callsMade,
    usedShare: sumOf(({served}) => served) * STEP_MS / (CAPACITY_PER_STEP * (COUNTED_TO_MS - COUNTED_FROM_MS)),
  };
};
