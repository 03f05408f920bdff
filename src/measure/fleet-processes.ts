/** Starts a fleet of real `jujubewelld` processes on loopback, with an emulated platform and announcements but no backend servers. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {startAnnouncement} from '../emulator/backend-server/announcement.js';
import type {CallCounts} from '../emulator/platform/emulator.js';
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, hashObjects, type Configuration,
} from '../objects/configuration.js';
import {declaredObjectSchema, type BackendServer, type DeclaredObject} from '../objects/schema.js';
import {createPlatformClient, type PlatformClient} from '../platform/client.js';
import type {ProcessEvent} from '../daemon/event-log.js';
import type {ChildProcessHandle, ChildProcesses} from './child-processes.js';
import type {PortAllocator} from './ports.js';

/** One `jujubewelld` process with the announcements of its backend server. */
export type FleetProcess = {
  host: string;
  zone: string;
  peer: string;
  admin: string;
  child: ChildProcessHandle;
  /** Stops the announcements and kills the process. */
  kill: () => void;
};

/** Running fleet of processes with its emulated platform. */
export type ProcessFleet = {
  /** Running processes; a caller that kills one removes it. */
  processes: FleetProcess[];
  /** Writes a configuration with changed service descriptions to the platform; resolves with its sequence and the time of the response. */
  changeConfiguration: () => Promise<{sequence: number; acceptedAt: number}>;
  /** Fetches the calls that the platform counted since its start. */
  fetchPlatformCalls: () => Promise<CallCounts>;
  stop: () => Promise<void>;
};

/** Options of `startFleet`. */
export type ProcessFleetOptions = {
  /** Number of processes. */
  hosts: number;
  children: ChildProcesses;
  ports: PortAllocator;
};

const FLEET_KEY = 'measurement-fleet-key';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
/** Backend servers per service and zone. A zone summary lists up to 3, so every process learns all of them. */
const BACKEND_SERVERS_PER_SERVICE_AND_ZONE = 3;
/** Processes that start concurrently; limits the load on the machine during the start. */
const CONCURRENT_STARTS = 2;
/** The first process of each zone is a contact of all processes. */
const CONTACT_COUNT = ZONES.length;
const READY_TIMEOUT_MS = 90_000;
const READY_POLL_MS = 500;
const REQUEST_TIMEOUT_MS = 5000;

/** Fetches JSON; returns undefined when the process does not respond. */
const getJson = async <Value>(url: string): Promise<Value | undefined> => {
  try {
    const response = await request(url, {signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)});
    return await response.body.json() as Value;
  } catch {
    return undefined;
  }
};

/** Fetches the number of backend servers that a process lists as endpoints; undefined when it does not respond. */
export const fetchEndpointCount = async ({admin}: FleetProcess): Promise<number | undefined> => {
  const status = await getJson<{fleet: {backendServers: number}}>(`http://${admin}/status`);
  return status?.fleet.backendServers;
};

/** Fetches the event log of a process; empty when it does not respond. */
export const fetchEvents = async ({admin}: FleetProcess): Promise<ProcessEvent[]> => {
  const response = await getJson<{events: ProcessEvent[]}>(`http://${admin}/events`);
  return response?.events ?? [];
};

/** Fetches the metrics of a process and sums the series whose lines start with a prefix. */
export const sumCounterSeries = async ({admin}: FleetProcess, prefix: string): Promise<number> => {
  const response = await request(`http://${admin}/metrics`, {signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS)});
  const text = await response.body.text();
  return text.split('\n').filter(line => line.startsWith(prefix)).map(line => Number(line.split(' ').at(-1))).reduce((sum, value) => sum + value, 0);
};

const createObjects = (services: number, revision: number): DeclaredObject[] => Array.from({length: services}, (_, index) => [
  {kind: 'Service', name: `service-${index}`, spec: {description: index === revision % services ? `revision ${revision}` : 'unchanged'}},
  {
    kind: 'RequestKind', name: `read-${index}`, spec: {
      service: `service-${index}`, methods: ['GET'], path: '/*', idempotent: true,
    },
  },
]).flat().map(object => declaredObjectSchema.parse(object));

const createConfigurationWriter = (platform: PlatformClient, services: number) => {
  let sequence = 0;
  let version: number | undefined;
  return async () => {
    sequence++;
    const objects = createObjects(services, sequence);
    const configuration: Configuration = {
      sequence, hash: hashObjects(objects), acceptedAt: Date.now(), author: 'measure', writeId: `measure-${sequence}`, objects,
    };
    const written = await platform.write({
      kind: CONFIGURATION_KIND, name: CONFIGURATION_NAME, value: configuration, expectedVersion: version,
    });
    if (written.kind === 'error') {
      throw new Error(`the platform rejected configuration ${sequence}: ${written.error.message}`);
    }

    version = written.value.version;
    return {sequence, acceptedAt: Date.now()};
  };
};

const waitUntil = async (condition: () => Promise<boolean>, timeoutMessage: string): Promise<void> => {
  const end = Date.now() + READY_TIMEOUT_MS;
  while (!await condition()) { // eslint-disable-line no-await-in-loop
    if (Date.now() > end) {
      throw new Error(`${timeoutMessage} within ${READY_TIMEOUT_MS} ms`);
    }

    await delay(READY_POLL_MS); // eslint-disable-line no-await-in-loop
  }
};

const haveAllEndpoints = async (processes: readonly FleetProcess[]): Promise<boolean> => {
  const counts = await Promise.all(processes.map(async process => fetchEndpointCount(process)));
  return counts.every(count => count === processes.length);
};

/** Starts a fleet and waits until every process lists all backend servers and has a configuration. */
export const startFleet = async ({hosts, children, ports}: ProcessFleetOptions): Promise<ProcessFleet> => {
  const directory = mkdtempSync(path.join(tmpdir(), 'jujubewell-fleet-'));
  const agent = new Agent();
  const services = Math.ceil(hosts / (ZONES.length * BACKEND_SERVERS_PER_SERVICE_AND_ZONE));
  const platformAddress = await ports.next();
  const platformChild = children.start({name: 'platform', program: 'emulator/platform/main.js', argument: JSON.stringify({port: Number(platformAddress.split(':')[1])})});
  await platformChild.waitForFirstLine();
  const platform = createPlatformClient({address: platformAddress});
  const changeConfiguration = createConfigurationWriter(platform, services);
  await changeConfiguration();
  const contacts: string[] = [];
  for (let index = 0; index < CONTACT_COUNT; index++) {
    contacts.push(await ports.next()); // eslint-disable-line no-await-in-loop
  }

  const startProcess = async (index: number): Promise<FleetProcess> => {
    const host = `host-${index}`;
    const zone = ZONES[index % ZONES.length]!;
    const peer = contacts[index] ?? await ports.next();
    const [entry, local, admin] = [await ports.next(), await ports.next(), await ports.next()];
    const settingsFile = path.join(directory, `${host}.json`);
    writeFileSync(settingsFile, JSON.stringify({
      host, zone, entry, peer, local, admin, contacts, platform: `http://${platformAddress}`, fleetKey: FLEET_KEY, log: {level: 'error', format: 'json'},
    }));
    const child = children.start({name: `jujubewelld ${host}`, program: 'daemon/main.js', argument: settingsFile});
    const process: FleetProcess = {
      host, zone, peer, admin, child, kill() {
        announcement.cancel();
        child.sendSignal('SIGKILL');
      },
    };
    await waitUntil(async () => await fetchEndpointCount(process) !== undefined, `${host} did not start`);
    const backendServer: BackendServer = {
      kind: 'BackendServer',
      name: host,
      labels: {},
      spec: {
        service: `service-${Math.floor(index / ZONES.length) % services}`, address: '127.0.0.1:1', slots: 40, connections: 350, coldStartMs: 0,
      },
    };
    const announcement = startAnnouncement(agent, local, backendServer);
    announcements.push(announcement);
    return process;
  };

  const announcements: Array<ReturnType<typeof startAnnouncement>> = [];
  const processes: FleetProcess[] = [];
  for (let first = 0; first < hosts; first += CONCURRENT_STARTS) {
    const batch = Array.from({length: Math.min(CONCURRENT_STARTS, hosts - first)}, (_, index) => first + index);
    processes.push(...await Promise.all(batch.map(async index => startProcess(index)))); // eslint-disable-line no-await-in-loop
  }

  await waitUntil(async () => haveAllEndpoints(processes), 'the processes did not list all backend servers');
  return {
    processes,
    changeConfiguration,
    async fetchPlatformCalls() {
      const calls = await getJson<CallCounts>(`http://${platformAddress}/.emulator/counts`);
      if (calls === undefined) {
        throw new Error('the emulated platform does not respond');
      }

      return calls;
    },
    async stop() {
      for (const announcement of announcements) {
        announcement.cancel();
      }

      for (const {child} of processes) {
        child.sendSignal('SIGKILL');
      }

      await platform.close();
      await children.stopAll();
      await agent.destroy();
      rmSync(directory, {recursive: true});
    },
  };
};
