/** Runs one scenario against one system and computes its figures. */
import {setTimeout as delay} from 'node:timers/promises';
import {groupMac} from '../daemon/entry.js';
import {buildResult, type LoadResult, type LoadSummary} from '../load/results.js';
import type {LoadSettingsInput} from '../load/settings.js';
import type {Conditions} from './bound.js';
import {createChildren, type Child, type Children} from './children.js';
import {deployments, type MeasuredDeployment} from './deployments.js';
import {computeFigures, type Figures} from './figures.js';
import {createPorts} from './ports.js';
import type {Scenario, ScenarioEvent} from './scenario.js';
import {
  FLEET_KEY, startSystem, type MeasuredHost, type System, type SystemKind,
} from './system.js';

/** Result of one system in one scenario. */
export type SystemResult = Figures & {
  /** Summaries per kind over the whole run. */
  kinds: LoadSummary[];
  /** Summaries per priority over the whole run. */
  priorities: LoadSummary[];
  offered: number;
  /** Largest delay of a sending behind its schedule; a large one means that the load tool was overloaded. */
  maxStartLateMs: number;
  /** Processor time of the processes of the system over all hosts, and of the emulated backend servers, in seconds. */
  processorSeconds: {system: number; backendServers: number};
  /** Processes that ended without being told to, or that had to be killed. */
  unexpectedEnds: string[];
};

/** Options of a run. */
export type RunOptions = {
  scenario: Scenario;
  system: SystemKind;
  seed: number;
  onProgress: (text: string) => void;
  /**
   * Load before the measured time, in milliseconds.
   * @default 10000
   */
  warmUpMs?: number;
  /** Called with the result while the system still runs; the system stops when it returns. */
  onResult?: (result: SystemResult, system: System) => Promise<void>;
};

/**
Load before the measured time, in milliseconds. Without it the figures show how long 13 processes take to compile their
code at the same time (a first call cost 5 ms of processor time, one after 4,000 others 1 ms).
*/
const WARM_UP_MS = 10_000;
/** Names of the load processes, which their request ids begin with. */
const LOAD_NAME = 'l';
const WARM_UP_NAME = 'w';
const LOAD_PROCESSES = 3;
const DEVICES_PER_PROCESS = 100;
/** Time for the load processes to start, compute their schedules and begin together. */
const LOAD_START_MS = 2500;

/** State of a deployment over time that the events of a scenario cause. */
export const conditionsOf = (deployment: MeasuredDeployment, scenario: Scenario): Conditions => ({
  slots(service, atMs) {
    const {backendServers, slots} = deployment.services.find(({name}) => name === service)!;
    const gone = scenario.events.filter(event => (event.kind === 'lost-host' || event.kind === 'stopped-host') && event.service === service && event.atMs <= atMs);
    return (backendServers - gone.length) * slots;
  },
  slowness(service, atMs) {
    const found = scenario.events.find((event): event is Extract<ScenarioEvent, {kind: 'slowness'}> =>
      event.kind === 'slowness' && event.service === service && event.fromMs <= atMs && atMs < event.toMs);
    return found?.factor ?? 1;
  },
});

type Load = Pick<RunOptions, 'scenario' | 'seed' | 'onProgress'> & {name: string};

const loadSettings = (options: Load, deployment: MeasuredDeployment, system: System, index: number): LoadSettingsInput => {
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

type Happening = {atMs: number; perform: () => Promise<void>};

const hostsOf = (system: System, service: string): MeasuredHost[] => system.hosts.filter(host => host.service.name === service);

const hostAt = (system: System, {service, index}: {service: string; index: number}): MeasuredHost => {
  const host = hostsOf(system, service)[index];
  if (host === undefined) {
    throw new Error(`${service} has no host ${index}; use a lower index in the scenario`);
  }

  return host;
};

const loseHost = async (system: System, host: MeasuredHost) => {
  host.process.signal('SIGKILL');
  await system.control(host, {kind: 'crash'});
};

const stopHost = async (host: MeasuredHost) => {
  host.backendServer.signal('SIGTERM');
  host.process.signal('SIGTERM');
};

const setSlowness = async (system: System, service: string, factor: number) => {
  await Promise.all(hostsOf(system, service).map(async host => system.control(host, {kind: 'slowness', factor})));
};

/** Connections from other hosts go silent: for the baseline, other hosts connect to the backend server itself. */
const silence = async (system: System, service: string) => {
  await Promise.all(hostsOf(system, service).map(async host => {
    host.process.signal('SIGUSR2');
    if (system.kind === 'naive') {
      await system.control(host, {kind: 'freeze-connections'});
    }
  }));
};

const happeningsOf = (system: System, event: ScenarioEvent): Happening[] => {
  switch (event.kind) {
    case 'restart':
    case 'rate': {
      // The load processes perform these.
      return [];
    }

    case 'slowness': {
      return [
        {atMs: event.fromMs, perform: async () => setSlowness(system, event.service, event.factor)},
        {atMs: event.toMs, perform: async () => setSlowness(system, event.service, 1)},
      ];
    }

    case 'lost-host': {
      return [{atMs: event.atMs, perform: async () => loseHost(system, hostAt(system, event))}];
    }

    case 'stopped-host': {
      return [{atMs: event.atMs, perform: async () => stopHost(hostAt(system, event))}];
    }

    case 'silent-connections': {
      return [{atMs: event.atMs, perform: async () => silence(system, event.service)}];
    }
  }
};

const perform = async (system: System, scenario: Scenario, startAt: number) => {
  const happenings = scenario.events.flatMap(event => happeningsOf(system, event));
  await Promise.all(happenings.map(async happening => {
    await delay(Math.max(0, startAt + happening.atMs - Date.now()));
    await happening.perform();
  }));
};

const runLoad = async (options: Load, deployment: MeasuredDeployment, system: System, children: Children): Promise<LoadResult[]> => {
  const settings = Array.from({length: LOAD_PROCESSES}, (_, index) => loadSettings(options, deployment, system, index));
  const loads = settings.map((each, index) => children.start({
    name: `load ${options.name}${index}`,
    program: 'load/main.js',
    argument: JSON.stringify(each),
    onErrorLine(line) {
      options.onProgress(`load ${options.name}${index}: ${line}`);
    },
  }));
  const [outputs] = await Promise.all([
    Promise.all(loads.map(async load => load.output())),
    perform(system, options.scenario, settings[0]!.startAt!),
  ]);
  return outputs.map(output => JSON.parse(output) as LoadResult);
};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

const secondsOf = (children: readonly Child[]): number => sum(children.filter(child => !child.ended()).map(child => child.cpuMs() / 1000));

const warmUpOf = (scenario: Scenario, durationMs: number): Scenario => ({...scenario, durationMs, events: []});

const processorSecondsOf = (hosts: readonly MeasuredHost[]): SystemResult['processorSeconds'] => ({
  system: secondsOf(hosts.map(host => host.process)), backendServers: secondsOf(hosts.map(host => host.backendServer)),
});

const goneOnPurpose = (scenario: Scenario): Set<string> => new Set(scenario.events.flatMap(event =>
  event.kind === 'lost-host' || event.kind === 'stopped-host' ? [`${event.service}-${event.index}`] : []));

/** Runs a scenario against a system; all processes have ended when it returns. */
export const runScenario = async (options: RunOptions): Promise<SystemResult> => {
  const {scenario} = options;
  const deployment = deployments.get(scenario.deployment)!;
  const children = createChildren();
  try {
    options.onProgress(`starting ${options.system}`);
    const system = await startSystem({
      kind: options.system, deployment, seed: options.seed, children, ports: createPorts(),
    });
    try {
      await runLoad({...options, name: WARM_UP_NAME, scenario: warmUpOf(scenario, options.warmUpMs ?? WARM_UP_MS)}, deployment, system, children);
      const before = new Map(system.hosts.map(host => [host.name, processorSecondsOf([host])]));
      const loads = await runLoad({...options, name: LOAD_NAME}, deployment, system, children);
      const gone = goneOnPurpose(scenario);
      const unexpectedEnds = system.hosts.filter(({name}) => !gone.has(name)).flatMap(host => [host.process, host.backendServer])
        .filter(child => child.ended()).map(({name}) => name);
      const running = system.hosts.filter(({name}) => !gone.has(name));
      const after = processorSecondsOf(running);
      const processorSeconds = {
        system: after.system - sum(running.map(({name}) => before.get(name)!.system)),
        backendServers: after.backendServers - sum(running.map(({name}) => before.get(name)!.backendServers)),
      };
      const runs = await system.runs();
      const startedAt = Math.min(...loads.map(load => load.startedAt));
      const requests = loads.flatMap(load => load.records);
      const summary = buildResult(startedAt, requests);
      const result: SystemResult = {
        ...computeFigures({
          deployment, scenario, conditions: conditionsOf(deployment, scenario), startedAt, requests, runs: runs.filter(({requestId}) => requestId.startsWith(LOAD_NAME)),
        }),
        kinds: summary.kinds,
        priorities: summary.priorities,
        offered: requests.length,
        processorSeconds,
        maxStartLateMs: Math.max(...loads.map(load => load.maxStartLateMs)),
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
