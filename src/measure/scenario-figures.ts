/**
Figures of one system in one scenario, computed from the records of clients and of backend servers.

"In the trigger" means scheduled between the start and the end of the scenario's trigger. The work of a
request is the slot time that it needs over all services at normal speed (`slotWorkMs`).

- `goodputRatio`: work of the completed requests in the trigger, over the work that an ideal scheduler
  completes of the requests offered in the trigger (`simulateIdealScheduler`).
- `recoverySeconds`: from the end of the trigger to the first of four consecutive windows of 250 ms in
  which the share of completed requests (by scheduled time) is at least 99 % of that before the
  trigger and the median latency at most twice that before it. Without such windows, it is the
  time to the end of the load and `recovered` is false.
- `ranks`: per priority, `successRatio` is completed over offered requests in the trigger, and
  `p99Milliseconds` the latency of the completed ones from their scheduled time.
- `otherWorkRatio`: work of the completed requests in the trigger that do not belong to the flood, over
  the work that the ideal scheduler completes of them, with the same priorities and group weights;
  null when the ideal scheduler completes none of them.
- `retriesPerRequestMax`: the largest number of retries that processes made for one client request, counted
  at the backend servers; resends by the client are excluded. Per client attempt and position in
  the call tree, it is the number of calls that arrived, less the runs of the calling position.
  Attempts that failed before they reached a backend server are not counted.
- `duplicateRuns`: runs beyond the first of the same non-idempotent request, identified by the id inside
  its body, over all backend servers.
- `falseNotRun`: non-idempotent requests for which a client received a `not-run` rejection after a backend
  server had begun to run them. `notRunAnswers` is the number of all `not-run` rejections of
  non-idempotent requests. Both are 0 for a system that never states an outcome.
- `truncatedAnswers`: responses with status 200 that were incomplete or belonged to another request.
- `cutRequests`: client attempts whose connection broke before a response, excluding the client's own restarts
  and timeouts.
- `wastedWorkRatio`: share of the slot time of backend servers that was not spent on the first completed
  run of a call of a completed request.
*/
import {countDuplicateRuns, type Run} from '../emulator/backend-server/runs.js';
import {latencyHistogram, type RequestRecord} from '../load/results.js';
import {
  simulateIdealScheduler, STEP_MS, slotWorkMs, type Cohort, type Conditions, type ServedCohort,
} from './ideal-scheduler.js';
import type {MeasuredDeployment} from './deployments.js';
import type {Scenario} from './scenario.js';

/** Success ratio and latency of the requests of one priority in the trigger. */
export type PriorityFigures = {priority: number; offered: number; successRatio: number; p99Milliseconds: number};

/** Figures of a system in a scenario; the module comment defines each. */
export type ScenarioFigures = {
  goodputRatio: number;
  recoverySeconds: number;
  recovered: boolean;
  ranks: PriorityFigures[];
  otherWorkRatio: number | null;
  retriesPerRequestMax: number;
  duplicateRuns: number;
  falseNotRun: number;
  notRunAnswers: number;
  truncatedAnswers: number;
  cutRequests: number;
  wastedWorkRatio: number;
};

/** Records of a scenario run, from which the figures are computed. */
export type ScenarioRecords = {
  deployment: MeasuredDeployment;
  scenario: Scenario;
  conditions: Conditions;
  /** Start of the schedule, in milliseconds since the Unix epoch. */
  startedAt: number;
  requests: readonly RequestRecord[];
  runs: readonly Run[];
};

const RECOVERY_WINDOW_MS = 250;
const RECOVERY_WINDOWS = 4;
const RECOVERY_SUCCESS_RATIO = 0.99;
const RECOVERY_LATENCY_FACTOR = 2;

const scheduledBetween = (requests: readonly RequestRecord[], fromMs: number, toMs: number): RequestRecord[] =>
  requests.filter(({scheduledMs}) => scheduledMs >= fromMs && scheduledMs < toMs);

const successRatio = (requests: readonly RequestRecord[]): number =>
  requests.length === 0 ? 1 : requests.filter(({completed}) => completed).length / requests.length;

const latencyPercentileMs = (requests: readonly RequestRecord[], percentile: number): number =>
  requests.some(({completed}) => completed) ? latencyHistogram(requests).getValueAtPercentile(percentile) / 1000 : 0;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const groupIntoCohorts = (requests: readonly RequestRecord[]): Cohort[] => {
  const cohorts = new Map<string, Cohort>();
  for (const {kind, group, scheduledMs} of requests) {
    const step = Math.floor(scheduledMs / STEP_MS);
    const key = `${kind}/${group}/${step}`;
    const cohort = cohorts.get(key) ?? {
      kind, group, step, offered: 0,
    };
    cohort.offered++;
    cohorts.set(key, cohort);
  }

  return [...cohorts.values()];
};

type WorkFilter = (work: {kind: string; group: string}) => boolean;

const createFloodFilter = ({deployment, scenario}: ScenarioRecords): WorkFilter => {
  const lowestPriority = Math.max(...deployment.offered.map(({priority}) => priority));
  const kinds = scenario.flood === undefined
    ? deployment.offered.filter(({priority}) => priority === lowestPriority).map(({kind}) => kind)
    : scenario.flood.kinds;
  const groups = scenario.flood?.groups;
  return work => (kinds?.includes(work.kind) ?? true) && (groups?.includes(work.group) ?? true);
};

/** Completed work over the work that the ideal scheduler completes; null when it completes none. */
const computeWorkRatio = (records: ScenarioRecords, idealCohorts: readonly ServedCohort[], matches: WorkFilter): number | null => {
  const {deployment, scenario: {trigger}} = records;
  const work = new Map(deployment.offered.map(offered => [offered.kind, slotWorkMs(deployment, offered)]));
  const completed = scheduledBetween(records.requests, trigger.fromMs, trigger.toMs).filter(request => request.completed && matches(request));
  const idealInTrigger = idealCohorts.filter(cohort => cohort.step * STEP_MS >= trigger.fromMs && cohort.step * STEP_MS < trigger.toMs && matches(cohort));
  const idealWork = sum(idealInTrigger.map(({kind, served}) => served * work.get(kind)!));
  return idealWork === 0 ? null : sum(completed.map(({kind}) => work.get(kind)!)) / idealWork;
};

const computeRecovery = ({requests, scenario}: ScenarioRecords): Pick<ScenarioFigures, 'recoverySeconds' | 'recovered'> => {
  const {trigger, durationMs} = scenario;
  const before = scheduledBetween(requests, 0, trigger.fromMs);
  const neededSuccess = successRatio(before) * RECOVERY_SUCCESS_RATIO;
  const allowedLatency = latencyPercentileMs(before, 50) * RECOVERY_LATENCY_FACTOR;
  const count = Math.floor((durationMs - trigger.toMs) / RECOVERY_WINDOW_MS);
  const meetsCriteria = Array.from({length: count}, (_, index) => {
    const fromMs = trigger.toMs + (index * RECOVERY_WINDOW_MS);
    const window = scheduledBetween(requests, fromMs, fromMs + RECOVERY_WINDOW_MS);
    return successRatio(window) >= neededSuccess && latencyPercentileMs(window, 50) <= allowedLatency;
  });
  const firstRecovered = meetsCriteria.findIndex((_, index) => index + RECOVERY_WINDOWS <= meetsCriteria.length && meetsCriteria.slice(index, index + RECOVERY_WINDOWS).every(Boolean));
  return firstRecovered === -1
    ? {recoverySeconds: (durationMs - trigger.toMs) / 1000, recovered: false}
    : {recoverySeconds: firstRecovered * RECOVERY_WINDOW_MS / 1000, recovered: true};
};

const computePriorityFigures = ({requests, scenario: {trigger}, deployment}: ScenarioRecords): PriorityFigures[] =>
  [...new Set(deployment.offered.map(({priority}) => priority))].sort((a, b) => a - b).map(priority => {
    const requestsOfPriority = scheduledBetween(requests, trigger.fromMs, trigger.toMs).filter(request => request.priority === priority);
    return {
      priority, offered: requestsOfPriority.length, successRatio: successRatio(requestsOfPriority), p99Milliseconds: latencyPercentileMs(requestsOfPriority, 99),
    };
  });

const groupBy = <Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> => {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }

  return groups;
};

const parentPath = (callPath: string): string => callPath.includes('/') ? callPath.slice(0, callPath.lastIndexOf('/')) : '';

/** Number of retries in one client attempt, over its whole call tree. */
const countRetries = (calls: readonly Run[]): number => {
  const callsByPath = groupBy(calls, ({callPath}) => callPath);
  return sum([...callsByPath].map(([callPath, arrived]) => {
    const expected = callPath === '' ? 1 : (callsByPath.get(parentPath(callPath)) ?? []).filter(({startedAt}) => startedAt !== undefined).length;
    // At least one: a caller whose run record was lost with its host still made one call.
    return Math.max(0, arrived.length - Math.max(1, expected));
  }));
};

/** Largest number of retries that processes made for one request. */
export const retriesPerRequestMax = (runs: readonly Run[]): number => {
  const requests = groupBy(runs, ({requestId}) => requestId);
  const retries = [...requests.values()].map(calls => sum([...groupBy(calls, ({sending}) => String(sending)).values()].map(callsOfAttempt => countRetries(callsOfAttempt))));
  return retries.sort((a, b) => a - b).at(-1) ?? 0;
};

/** Number of non-idempotent requests that were rejected as not run after a backend server had begun to run them. */
export const countFalseNotRun = ({requests, runs, startedAt}: Pick<ScenarioRecords, 'requests' | 'runs' | 'startedAt'>): number => {
  const firstRun = new Map<string, number>();
  for (const run of runs) {
    if (run.callPath === '' && !run.idempotent && run.startedAt !== undefined) {
      firstRun.set(run.bodyId, Math.min(firstRun.get(run.bodyId) ?? Infinity, run.startedAt));
    }
  }

  return requests.filter(request => !request.idempotent
    && request.notRunAtMs.some(atMs => startedAt + atMs > (firstRun.get(request.id) ?? Infinity))).length;
};

/** Share of the slot time that was not spent on the first completed run of a call of a completed request. */
export const wastedWorkRatio = (requests: readonly RequestRecord[], runs: readonly Run[]): number => {
  const completed = new Set(requests.filter(request => request.completed).map(({id}) => id));
  const usefulSlotMs = new Map<string, number>();
  for (const run of runs.filter(({requestId, end}) => end === 'completed' && completed.has(requestId))) {
    const key = `${run.requestId} ${run.callPath} ${run.service}`;
    usefulSlotMs.set(key, usefulSlotMs.get(key) ?? run.slotMs);
  }

  const totalSlotMs = sum(runs.map(({slotMs}) => slotMs));
  return totalSlotMs === 0 ? 0 : 1 - (sum([...usefulSlotMs.values()]) / totalSlotMs);
};

/** Computes the figures of a scenario run. */
export const computeFigures = (records: ScenarioRecords): ScenarioFigures => {
  const {deployment, conditions, requests, runs} = records;
  const idealCohorts = simulateIdealScheduler(deployment, groupIntoCohorts(requests), conditions);
  const isFlood = createFloodFilter(records);
  return {
    goodputRatio: computeWorkRatio(records, idealCohorts, () => true) ?? 1,
    ...computeRecovery(records),
    ranks: computePriorityFigures(records),
    otherWorkRatio: computeWorkRatio(records, idealCohorts, work => !isFlood(work)),
    retriesPerRequestMax: retriesPerRequestMax(runs),
    duplicateRuns: countDuplicateRuns(runs),
    falseNotRun: countFalseNotRun(records),
    notRunAnswers: sum(requests.filter(({idempotent}) => !idempotent).map(({notRunAtMs}) => notRunAtMs.length)),
    truncatedAnswers: sum(requests.map(({truncated, swapped}) => truncated + swapped)),
    cutRequests: sum(requests.map(({cut}) => cut)),
    wastedWorkRatio: wastedWorkRatio(requests, runs),
  };
};
