/** Starts a deployment as real processes on loopback, behind `jujubewelld` or behind the naive proxy, which is the baseline. */
import {
  mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import type {CounterReport} from '../emulator/backend-server/counters.js';
import type {Run} from '../emulator/backend-server/runs.js';
import type {BackendServerSettingsInput, ControlCommand} from '../emulator/backend-server/settings.js';
import type {NaiveSettingsInput} from '../naive/settings.js';
import {CONFIGURATION_KIND, CONFIGURATION_NAME, hashObjects} from '../objects/configuration.js';
import {declaredObjectSchema, type DeclaredObject} from '../objects/schema.js';
import type {ChildProcessHandle, ChildProcesses} from './child-processes.js';
import type {DeployedService, MeasuredDeployment} from './deployments.js';
import type {PortAllocator} from './ports.js';

/** System under test: `jujubewell`, or the naive proxy as the baseline. */
export type SystemKind = 'jujubewell' | 'naive';

/** Host of a deployment, with the loopback addresses (`ip:port`) that its processes listen on. */
export type HostAddresses = {
  name: string;
  zone: string;
  service: DeployedService;
  entry: string;
  peer: string;
  local: string;
  admin: string;
  backend: string;
  backendAdmin: string;
};

/** Host with its two running processes: the `jujubewelld` or naive proxy, and the backend server. */
export type MeasuredHost = HostAddresses & {process: ChildProcessHandle; backendServer: ChildProcessHandle};

/** Deployment that runs under one of the two systems. */
export type MeasuredSystem = {
  kind: SystemKind;
  /** Address of the platform, `ip:port`; empty for the baseline, which has none. */
  platform: string;
  hosts: MeasuredHost[];
  /** Sends a control command to the emulated backend server of a host. */
  controlBackendServer: (host: MeasuredHost, change: ControlCommand) => Promise<void>;
  /** Fetches the run records of all backend servers that respond. */
  fetchRuns: () => Promise<Run[]>;
  /** Fetches the counters of all backend servers that respond. */
  fetchCounters: () => Promise<CounterReport[]>;
  /** Stops all processes and deletes their settings files. */
  stop: () => Promise<void>;
};

/** Options of `startSystem`. */
export type SystemOptions = {
  kind: SystemKind;
  deployment: MeasuredDeployment;
  seed: number;
  children: ChildProcesses;
  ports: PortAllocator;
};

/** Fleet key of the measured processes; a constant is safe because they only listen on loopback. */
export const FLEET_KEY = 'measurement-fleet-key';

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 100;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Requests per slot that a backend server queues before it sheds. */
const QUEUE_LENGTH_PER_SLOT = 4;
const PLAYGROUND_DIRECTORY = fileURLToPath(new URL('../../playground', import.meta.url));

const allocateAddresses = async ({deployment, ports}: SystemOptions): Promise<HostAddresses[]> => {
  const placements = deployment.services.flatMap(service => Array.from({length: service.backendServers}, (_, index) => ({service, index})));
  const hosts: HostAddresses[] = [];
  for (const [position, {service, index}] of placements.entries()) {
    /* eslint-disable no-await-in-loop */
    hosts.push({
      name: `${service.name}-${index}`,
      zone: ZONES[position % ZONES.length]!,
      service,
      entry: await ports.next(),
      peer: await ports.next(),
      local: await ports.next(),
      admin: await ports.next(),
      backend: await ports.next(),
      backendAdmin: await ports.next(),
    });
    /* eslint-enable no-await-in-loop */
  }

  return hosts;
};

const formatPorts = (addresses: readonly string[]): string => addresses.map(address => address.split(':')[1]).join(',');

const startBackendServer = (host: HostAddresses, index: number, {children, seed}: SystemOptions): ChildProcessHandle => {
  const {service} = host;
  const settings: BackendServerSettingsInput = {
    name: host.name,
    service: service.name,
    address: host.backend,
    admin: host.backendAdmin,
    local: host.local,
    slots: service.slots,
    connections: service.connections,
    overflow: {kind: 'queue', length: service.slots * QUEUE_LENGTH_PER_SLOT},
    requestKinds: service.requestKinds,
    seed: (seed * 1000) + index,
  };
  return children.start({name: `backend server ${host.name}`, program: 'emulator/backend-server/main.js', argument: JSON.stringify(settings)});
};

const startNaiveProxy = (host: HostAddresses, hosts: readonly HostAddresses[], {children, deployment}: SystemOptions): ChildProcessHandle => {
  const settings: NaiveSettingsInput = {
    entry: host.entry,
    local: host.local,
    services: deployment.services.map(({name}) => ({name, backendServers: hosts.filter(({service}) => service.name === name).map(({backend}) => backend)})),
    connectionsPerBackendServer: Math.floor(Math.min(...deployment.services.map(({connections}) => connections)) / hosts.length),
  };
  return children.start({
    name: `naive proxy ${host.name}`, program: 'naive/main.js', argument: JSON.stringify(settings), preload: 'measure/silent-connections.js', environment: {SILENT_PORTS: formatPorts([host.entry])},
  });
};

const startDaemon = (host: HostAddresses, hosts: readonly HostAddresses[], platform: string, context: {directory: string; children: ChildProcesses}): ChildProcessHandle => {
  const settingsFile = path.join(context.directory, `${host.name}.json`);
  writeFileSync(settingsFile, JSON.stringify({
    host: host.name,
    zone: host.zone,
    entry: host.entry,
    peer: host.peer,
    local: host.local,
    admin: host.admin,
    platform: `http://${platform}`,
    contacts: hosts.map(({peer}) => peer),
    fleetKey: FLEET_KEY,
    log: {level: 'error', format: 'json'},
  }));
  return context.children.start({
    name: `jujubewelld ${host.name}`, program: 'daemon/main.js', argument: settingsFile, preload: 'measure/silent-connections.js', environment: {SILENT_PORTS: formatPorts([host.entry, host.peer])},
  });
};

const readObjects = (deployment: MeasuredDeployment): DeclaredObject[] => {
  const directory = path.join(PLAYGROUND_DIRECTORY, deployment.name);
  return readdirSync(directory).filter(file => file.endsWith('.json')).sort()
    .flatMap(file => declaredObjectSchema.array().parse(JSON.parse(readFileSync(path.join(directory, file), 'utf8'))));
};

const startPlatform = async ({children, deployment, ports}: SystemOptions): Promise<string> => {
  const address = await ports.next();
  const child = children.start({name: 'platform', program: 'emulator/platform/main.js', argument: JSON.stringify({port: Number(address.split(':')[1])})});
  await child.waitForFirstLine();
  const objects = readObjects(deployment);
  const response = await request(`http://${address}/objects/${CONFIGURATION_KIND}/${CONFIGURATION_NAME}`, {
    method: 'PUT',
    headers: {'content-type': 'application/json', 'if-none-match': '*'},
    body: JSON.stringify({
      sequence: 1, hash: hashObjects(objects), acceptedAt: Date.now(), author: 'measure', writeId: 'measure-1', objects,
    }),
  });
  if (response.statusCode !== 200) {
    throw new Error(`the platform rejected the configuration: ${await response.body.text()}`);
  }

  await response.body.dump();
  return address;
};

const getJson = async <Value>(url: string): Promise<Value | undefined> => {
  try {
    const response = await request(url, {signal: AbortSignal.timeout(5000)});
    return await response.body.json() as Value;
  } catch {
    return undefined;
  }
};

type DaemonStatus = {fleet: {backendServers: number; sequence: number}};

const waitForCompleteFleet = async (hosts: readonly MeasuredHost[]): Promise<void> => {
  const end = Date.now() + READY_TIMEOUT_MS;
  let statuses: Array<DaemonStatus | undefined> = [];
  while (Date.now() < end) {
    /* eslint-disable no-await-in-loop */
    statuses = await Promise.all(hosts.map(async host => getJson<DaemonStatus>(`http://${host.admin}/status`)));
    if (statuses.every(status => status?.fleet.backendServers === hosts.length && status.fleet.sequence === 1)) {
      return;
    }

    const exited = hosts.find(host => host.process.hasExited());
    if (exited !== undefined) {
      await exited.process.waitForOutput();
    }

    await delay(READY_POLL_MS);
    /* eslint-enable no-await-in-loop */
  }

  throw new Error(`the fleet was not complete after ${READY_TIMEOUT_MS} ms; last status: ${JSON.stringify(statuses.map(status => status?.fleet))}`);
};

/** Starts all processes and waits until they are ready; each `jujubewelld` then knows all backend servers. */
export const startSystem = async (options: SystemOptions): Promise<MeasuredSystem> => {
  const {kind, children} = options;
  const directory = mkdtempSync(path.join(tmpdir(), 'jujubewell-measure-'));
  const addresses = await allocateAddresses(options);
  const platform = kind === 'jujubewell' ? await startPlatform(options) : '';
  const hosts = addresses.map((host, index) => ({
    ...host,
    process: kind === 'jujubewell' ? startDaemon(host, addresses, platform, {directory, children}) : startNaiveProxy(host, addresses, options),
    backendServer: startBackendServer(host, index, options),
  }));
  await Promise.all(hosts.map(async host => host.backendServer.waitForFirstLine()));
  await (kind === 'jujubewell' ? waitForCompleteFleet(hosts) : Promise.all(hosts.map(async host => host.process.waitForFirstLine())));
  return {
    kind,
    platform,
    hosts,
    async controlBackendServer(host, change) {
      const response = await request(`http://${host.backendAdmin}/control`, {method: 'POST', body: JSON.stringify(change)});
      await response.body.dump();
    },
    async fetchRuns() {
      const records = await Promise.all(hosts.map(async host => getJson<Run[]>(`http://${host.backendAdmin}/runs`)));
      return records.flatMap(record => record ?? []);
    },
    async fetchCounters() {
      const reports = await Promise.all(hosts.map(async host => getJson<CounterReport>(`http://${host.backendAdmin}/counters`)));
      return reports.filter(report => report !== undefined);
    },
    async stop() {
      await children.stopAll();
      rmSync(directory, {recursive: true});
    },
  };
};
