/** Runs one scenario against one system and computes its figures. */
import {setTimeout as delay} from 'node:timers/promises';
import {groupMac} from '../daemon/entry.js';
import {buildResult, type LoadResult, type LoadSummary} from '../load/results.js';
import type {LoadSettingsInput} from '../load/settings.js';
import type {Conditions} from './ideal-scheduler.js';
import {createChildProcesses, type ChildProcessHandle, type ChildProcesses} from './child-processes.js';
import {deployments, type MeasuredDeployment} from './deployments.js';
import {computeFigures, type ScenarioFigures} from './scenario-figures.js';
import {createPortAllocator} from './ports.js';
import type {Scenario, ScenarioEvent} from './scenario.js';
import {
  FLEET_KEY, startSystem, type MeasuredHost, type MeasuredSystem, type SystemKind,
} from './measured-system.js';

/** Result of one system in one scenario. */
export type SystemResult = ScenarioFigures & {
  /** Summaries per request kind over the whole run. */
  kinds: LoadSummary[];
  /** Summaries per priority over the whole run. */
  priorities: LoadSummary[];
  /** Number of requests that were scheduled. */
  offered: number;
  /** Largest delay of a request start behind its schedule, in milliseconds; a large one means that the load generator was overloaded. */
  maxStartLateMs: number;
  /** Processor time of the processes of the system and of the emulated backend servers, in seconds, without the hosts that the scenario stops. */
  processorSeconds: {system: number; backendServers: number};
  /** Processes that exited during the run although the scenario does not stop their host. */
  unexpectedEnds: string[];
};

/** Options of `runScenario`. */
export type ScenarioRunOptions = {
  scenario: Scenario;
  system: SystemKind;
  seed: number;
  onProgress: (text: string) => void;
  /**
   * Length of the warm-up load before the measurement, in milliseconds.
   * @default 10000
   */
  warmUpMs?: number;
  /** Called with the result while the system still runs; the system stops when it returns. */
  onResult?: (result: SystemResult, system: MeasuredSystem) => Promise<void>;
};

/**
Length of the warm-up load before the measurement, in milliseconds. Without it the figures include the JIT compilation
of 13 processes at the same time: a first call costs 5 ms of processor time, a call after 4,000 others 1 ms.
*/
const WARM_UP_MS = 10_000;
/** Prefixes of the names of load processes. Request ids start with them, which tells measured requests from those of the warm-up. */
const LOAD_NAME_PREFIX = 'l';
const WARM_UP_NAME_PREFIX = 'w';
const LOAD_PROCESSES = 3;
const DEVICES_PER_PROCESS = 100;
/** Delay before the load, in which all load processes start and compute their schedules, so that they begin together. */
const LOAD_START_MS = 2500;

/** Derives the working slots and the slowdown of each service over time from the events of a scenario. */
export const createConditions = (deployment: MeasuredDeployment, scenario: Scenario): Conditions => ({
  slots(service, atMs) {
    const {backendServers, slots} = deployment.services.find(({name}) => name === service)!;
    const lostHosts = scenario.events.filter(event => (event.kind === 'lost-host' || event.kind === 'stopped-host') && event.service === service && event.atMs <= atMs);
    return (backendServers - lostHosts.length) * slots;
  },
  slowness(service, atMs) {
    const slownessEvent = scenario.events.find((event): event is Extract<ScenarioEvent, {kind: 'slowness'}> =>
      event.kind === 'slowness' && event.service === service && event.fromMs <= atMs && atMs < event.toMs);
    return slownessEvent?.factor ?? 1;
  },
});

type LoadOptions = Pick<ScenarioRunOptions, 'scenario' | 'seed' | 'onProgress'> & {name: string};

const createLoadSettings = (options: LoadOptions, deployment: MeasuredDeployment, system: MeasuredSystem, index: number): LoadSettingsInput => {
  const {scenario, seed} = options;
  return {
    entries: system.hosts.map(({entry}) => entry),
    seed: (seed * 10) + index,
    name: `${options.name}${index}`,
    durationMs: scenario.durationMs,
    devices: DEVICES_PER_PROCESS,
    kinds: deployment.offered.map(({kind, ratePerSecond, ...offered}) => ({...offered, name: kind, ratePerSecond: ratePerSecond * scenario.loadFactor / LOAD_PROCESSES})),
    groups: deployment.groups.map(({name, share}) => ({name, share, header: `${name}.${groupMac(name, FLEET_KEY)}`})),
    phases: scenario.events.filter(event => event.kind === 'rate').map(({kind: _, ...phase}) => phase),
    restarts: scenario.events.filter(event => event.kind === 'restart').map(({kind: _, ...restart}) => restart),
    client: scenario.client,
    startAt: Date.now() + LOAD_START_MS,
  };
};

type ScheduledAction = {atMs: number; run: () => Promise<void>};

const hostsOfService = (system: MeasuredSystem, service: string): MeasuredHost[] => system.hosts.filter(host => host.service.name === service);

const findHost = (system: MeasuredSystem, {service, index}: {service: string; index: number}): MeasuredHost => {
  const host = hostsOfService(system, service)[index];
  if (host === undefined) {
    throw new Error(`${service} has no host ${index}; use a lower index in the scenario`);
  }

  return host;
};

const killHost = async (system: MeasuredSystem, host: MeasuredHost) => {
  host.process.sendSignal('SIGKILL');
  await system.controlBackendServer(host, {kind: 'crash'});
};

const stopHost = async (host: MeasuredHost) => {
  host.backendServer.sendSignal('SIGTERM');
  host.process.sendSignal('SIGTERM');
};

const setSlowness = async (system: MeasuredSystem, service: string, factor: number) => {
  await Promise.all(hostsOfService(system, service).map(async host => system.controlBackendServer(host, {kind: 'slowness', factor})));
};

/** Silences the connections from other hosts. In the baseline, other hosts connect to the backend servers directly, so these freeze their connections too. */
const silenceConnections = async (system: MeasuredSystem, service: string) => {
  await Promise.all(hostsOfService(system, service).map(async host => {
    host.process.sendSignal('SIGUSR2');
    if (system.kind === 'naive') {
      await system.controlBackendServer(host, {kind: 'freeze-connections'});
    }
  }));
};

const createActions = (system: MeasuredSystem, event: ScenarioEvent): ScheduledAction[] => {
  switch (event.kind) {
    case 'restart':
    case 'rate': {
      // Handled by the load processes.
      return [];
    }

    case 'slowness': {
      return [
        {atMs: event.fromMs, run: async () => setSlowness(system, event.service, event.factor)},
        {atMs: event.toMs, run: async () => setSlowness(system, event.service, 1)},
      ];
    }

    case 'lost-host': {
      return [{atMs: event.atMs, run: async () => killHost(system, findHost(system, event))}];
    }

    case 'stopped-host': {
      return [{atMs: event.atMs, run: async () => stopHost(findHost(system, event))}];
    }

    case 'silent-connections': {
      return [{atMs: event.atMs, run: async () => silenceConnections(system, event.service)}];
    }
  }
};

const runEvents = async (system: MeasuredSystem, scenario: Scenario, startAt: number) => {
  const actions = scenario.events.flatMap(event => createActions(system, event));
  await Promise.all(actions.map(async action => {
    await delay(Math.max(0, startAt + action.atMs - Date.now()));
    await action.run();
  }));
};

const runLoad = async (options: LoadOptions, deployment: MeasuredDeployment, system: MeasuredSystem, children: ChildProcesses): Promise<LoadResult[]> => {
  const settings = Array.from({length: LOAD_PROCESSES}, (_, index) => createLoadSettings(options, deployment, system, index));
  const loadProcesses = settings.map((loadSettings, index) => children.start({
    name: `load ${options.name}${index}`,
    program: 'load/main.js',
    argument: JSON.stringify(loadSettings),
    onErrorLine(line) {
      options.onProgress(`load ${options.name}${index}: ${line}`);
    },
  }));
  const [outputs] = await Promise.all([
    Promise.all(loadProcesses.map(async loadProcess => loadProcess.waitForOutput())),
    runEvents(system, options.scenario, settings[0]!.startAt!),
  ]);
  return outputs.map(output => JSON.parse(output) as LoadResult);
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const sumProcessorSeconds = (children: readonly ChildProcessHandle[]): number => sum(children.filter(child => !child.hasExited()).map(child => child.readProcessorTimeMs() / 1000));

const createWarmUpScenario = (scenario: Scenario, durationMs: number): Scenario => ({...scenario, durationMs, events: []});

const readProcessorSeconds = (hosts: readonly MeasuredHost[]): SystemResult['processorSeconds'] => ({
  system: sumProcessorSeconds(hosts.map(host => host.process)), backendServers: sumProcessorSeconds(hosts.map(host => host.backendServer)),
});

const intentionallyStoppedHosts = (scenario: Scenario): Set<string> => new Set(scenario.events.flatMap(event =>
  event.kind === 'lost-host' || event.kind === 'stopped-host' ? [`${event.service}-${event.index}`] : []));

/** Runs a scenario against a system; all processes have ended when it returns. */
export const runScenario = async (options: ScenarioRunOptions): Promise<SystemResult> => {
  const {scenario} = options;
  const deployment = deployments.get(scenario.deployment)!;
  const children = createChildProcesses();
  try {
    options.onProgress(`starting ${options.system}`);
    const system = await startSystem({
      kind: options.system, deployment, seed: options.seed, children, ports: createPortAllocator(),
    });
    try {
      await runLoad({...options, name: WARM_UP_NAME_PREFIX, scenario: createWarmUpScenario(scenario, options.warmUpMs ?? WARM_UP_MS)}, deployment, system, children);
      const secondsBefore = new Map(system.hosts.map(host => [host.name, readProcessorSeconds([host])]));
      const loadResults = await runLoad({...options, name: LOAD_NAME_PREFIX}, deployment, system, children);
      const intentionallyStopped = intentionallyStoppedHosts(scenario);
      const unexpectedEnds = system.hosts.filter(({name}) => !intentionallyStopped.has(name)).flatMap(host => [host.process, host.backendServer])
        .filter(child => child.hasExited()).map(({name}) => name);
      const running = system.hosts.filter(({name}) => !intentionallyStopped.has(name));
      const secondsAfter = readProcessorSeconds(running);
      const processorSeconds = {
        system: secondsAfter.system - sum(running.map(({name}) => secondsBefore.get(name)!.system)),
        backendServers: secondsAfter.backendServers - sum(running.map(({name}) => secondsBefore.get(name)!.backendServers)),
      };
      const runs = await system.fetchRuns();
      const startedAt = Math.min(...loadResults.map(load => load.startedAt));
      const requests = loadResults.flatMap(load => load.records);
      const summary = buildResult(startedAt, requests);
      const result: SystemResult = {
        ...computeFigures({
          deployment, scenario, conditions: createConditions(deployment, scenario), startedAt, requests, runs: runs.filter(({requestId}) => requestId.startsWith(LOAD_NAME_PREFIX)),
        }),
        kinds: summary.kinds,
        priorities: summary.priorities,
        offered: requests.length,
        processorSeconds,
        maxStartLateMs: Math.max(...loadResults.map(load => load.maxStartLateMs)),
        unexpectedEnds,
      };
      await options.onResult?.(result, system);
      return result;
    } finally {
      await system.stop();
    }
  } finally {
    await children.stopAll();
  }
};
