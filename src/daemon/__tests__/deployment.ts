/** Test deployment on loopback: emulated platform, nodes and backend servers, all in the test process. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {request} from 'undici';
import {createPlatformEmulator} from '../../emulator/platform/emulator.js';
import {CONFIGURATION_KIND, CONFIGURATION_NAME, hashObjects} from '../../objects/configuration.js';
import type {DeclaredObject} from '../../objects/schema.js';
import {createPlatformClient} from '../../platform/client.js';
import {createNode, type Node} from '../node.js';
import {parseSettings, type Settings} from '../settings.js';

/** Backend server of a test: its service, slots and request handler. */
export type Backend = {service: string; slots?: number; handle: (request: IncomingMessage, response: ServerResponse, body: Buffer, localAddress: string) => void};

/** Host of a test deployment, with its node and backend server. */
export type Host = {node: Node; settings: Settings; entry: string; backend: RunningBackend};

/** Running backend server of a host. */
export type RunningBackend = {stopAnnouncing: () => Promise<void>; close: () => Promise<void>};

/** Running test deployment. */
export type Deployment = {
  hosts: Host[];
  /** Address of the platform, `ip:port`. */
  platform: string;
  stop: () => Promise<void>;
};

const silentLog = {
  error() {}, warn() {}, info() {}, debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
};

const freePorts = async (count: number): Promise<number[]> => {
  const servers = Array.from({length: count}, () => createServer());
  const ports = await Promise.all(servers.map(async server => new Promise<number>(resolve => {
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as AddressInfo).port);
    });
  })));
  await Promise.all(servers.map(async server => new Promise(resolve => {
    server.close(resolve);
  })));
  return ports;
};

const startBackend = async (backend: Backend, index: number, local: string): Promise<RunningBackend> => {
  const server = createServer(async (incoming, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of incoming as AsyncIterable<Buffer>) {
      chunks.push(chunk);
    }

    backend.handle(incoming, response, Buffer.concat(chunks), local);
  });
  const port = await new Promise<number>(resolve => {
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
  const announcement = JSON.stringify({
    kind: 'BackendServer', name: `b${index}`, spec: {
      service: backend.service, address: `127.0.0.1:${port}`, slots: backend.slots ?? 4, connections: 400,
    },
  });
  const announce = async () => {
    const reply = await request(`http://${local}/.jujubewell/backend-server`, {method: 'PUT', body: announcement});
    await reply.body.dump();
  };

  await announce();
  let lastAnnouncement: Promise<void> = Promise.resolve();
  const timer = setInterval(() => {
    lastAnnouncement = announce();
  }, 1000);
  return {
    /** Stops the announcements and waits for the last one, whose connection would be reset if the node stopped first. */
    async stopAnnouncing() {
      clearInterval(timer);
      await lastAnnouncement;
    },
    async close() {
      server.closeAllConnections();
      return new Promise<void>(resolve => {
        server.close(() => {
          resolve();
        });
      });
    },
  };
};

/** Waits until a condition holds; fails after a time (20 s) that is only reached when something is wrong. */
export const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  for (let attempt = 0; attempt < 400; attempt++) {
    // eslint-disable-next-line no-await-in-loop
    if (await condition()) {
      return;
    }

    // eslint-disable-next-line no-await-in-loop
    await new Promise(resolve => {
      setTimeout(resolve, 50);
    });
  }

  throw new Error('the condition was not met in time; see the events of the nodes');
};

/** Starts a deployment with one host per backend server and waits until all hosts know each other. */
export const startDeployment = async (objects: readonly DeclaredObject[], backends: readonly Backend[], zones: readonly string[] = ['north']): Promise<Deployment> => {
  const platform = createPlatformEmulator({latencyMs: 1});
  const platformAddress = await platform.start();
  const operatorClient = createPlatformClient({address: platformAddress});
  await operatorClient.write({
    kind: CONFIGURATION_KIND,
    name: CONFIGURATION_NAME,
    expectedVersion: undefined,
    value: {
      sequence: 1, hash: hashObjects(objects), acceptedAt: Date.now(), author: 'test', writeId: 'test-1', objects,
    },
  });
  const ports = await freePorts(backends.length * 4);
  const address = (index: number) => `127.0.0.1:${ports[index]}`;
  const contacts = backends.map((_, index) => address((index * 4) + 1));
  const hosts = await Promise.all(backends.map(async (backend, index) => {
    const parsed = parseSettings({
      host: `h${index}`,
      zone: zones[index % zones.length],
      entry: address(index * 4),
      peer: address((index * 4) + 1),
      local: address((index * 4) + 2),
      admin: address((index * 4) + 3),
      platform: `http://${platformAddress}`,
      contacts,
      fleetKey: 'test-key-0123456789',
      stopTimeoutMs: 5000,
    });
    if (parsed.kind === 'error') {
      throw new Error(JSON.stringify(parsed.error));
    }

    const settings = parsed.value;
    const node = createNode({settings, log: silentLog, platform: createPlatformClient({address: platformAddress})});
    await node.start();
    const running = await startBackend(backend, index, settings.local);
    return {
      node, settings, entry: settings.entry, backend: running,
    };
  }));
  await waitUntil(async () => {
    const checks = await Promise.all(hosts.map(async ({settings}) => {
      const reply = await request(`http://${settings.admin}/status`);
      const {fleet} = await reply.body.json() as {fleet: {backendServers: number; sequence: number}};
      return fleet.backendServers === hosts.length && fleet.sequence === 1;
    }));
    return checks.every(Boolean);
  });
  return {
    hosts,
    platform: platformAddress,
    async stop() {
      await Promise.all(hosts.map(async host => host.backend.stopAnnouncing()));
      await Promise.all(hosts.map(async host => host.node.stop()));
      await Promise.all(hosts.map(async host => host.backend.close()));
      await operatorClient.close();
      await platform.stop();
    },
  };
};
