/** A small deployment on loopback: the project's program for the hosts, started as deploy/system.toml says, between stand-ins for the platform's store, the upstreams and the platform itself. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createBackendServer} from './backend-server.mjs';
import {createStore} from './store.mjs';

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

/** Bounds of `sites/rogge-nord.toml`, as SYSTEM.md states them. */
export const BOUNDS = {
  seedLagS: 3, addressReuseS: 2, stabilityWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, stretchMaxMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 48, recoveryS: 15,
};
const HEARTBEAT_MS = 1500;
/** Delay before the platform starts a process again that has ended, in milliseconds. */
const RESTART_MS = 500;
const READY_WITHIN_MS = 20_000;

export const sleep = async milliseconds => new Promise(resolve => {
  setTimeout(resolve, milliseconds);
});

/** A case that cannot run, which is exit code 2. */
export class CannotRun extends Error {}

const isFree = async (host, port) => new Promise(resolve => {
  const server = createServer();
  server.once('error', () => {
    resolve(false);
  });
  server.listen(port, host, () => {
    server.close(() => {
      resolve(true);
    });
  });
});

/** Finds ports that are free on all of the given addresses. */
const findPorts = async (hosts, count) => {
  for (let attempt = 0; attempt < 50; attempt++) {
    const first = 10_000 + Math.floor(Math.random() * 20_000);
    const ports = Array.from({length: count}, (_, index) => first + index);
    const free = await Promise.all(hosts.flatMap(host => ports.map(async port => isFree(host, port)))); // eslint-disable-line no-await-in-loop
    if (free.every(Boolean)) {
      return ports;
    }
  }

  throw new CannotRun('no free ports were found');
};

const lookUp = (fields, name) => {
  let value = fields;
  for (const part of name.split('.')) {
    value = value?.[part];
  }

  return value;
};

/** Fills in the settings template; only the placeholders that it uses are known here. */
const renderTemplate = (template, fields) => template.replaceAll(/{{([^{}]+)}}/g, (_, placeholder) => {
  const [name, format] = placeholder.split('|');
  if (/[#^/@,]/.test(name)) {
    throw new CannotRun(`the settings template has a placeholder that is not known here: ${placeholder}`);
  }

  const value = lookUp(fields, name);
  return format === 'json' ? JSON.stringify(value) : String(value ?? '');
});

const deployValue = (text, name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)?.[1];

/** Creates a deployment; `hosts` lists service and zone of each machine. */
export const createDeployment = async ({hosts: plan, configuration, record, memoryMb, backendOptions = () => ({})}) => {
  const deployFile = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [program, ...programArguments] = deployValue(deployFile, 'run').split(' ');
  const template = readFileSync(path.join(ROOT, deployValue(deployFile, 'template')), 'utf8');
  if (!existsSync(path.join(ROOT, programArguments.at(-1)))) {
    throw new CannotRun('the program is not built; run the build of deploy/system.toml first');
  }

  const subnet = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
  const storeHost = `${subnet}.250`;
  const ips = plan.map((_, index) => `${subnet}.${index + 1}`);
  const [inbound, outbound, ready, control, application, storePort] = await findPorts([storeHost, ...ips], 6);
  const folder = mkdtempSync(path.join(tmpdir(), 'jujubewell-review-'));
  const store = createStore();
  await store.listen(storeHost, storePort);
  store.put('config', 'main', {spec: configuration});
  let stopping = false;

  const createHost = ({service, zone, slots = 45}, index) => {
    const ip = ips[index];
    const name = `sidecar-${zone}-${index + 1}`;
    const settingsPath = path.join(folder, `${name}.json`);
    const fields = {
      node: name,
      role: 'host',
      machineClass: 'sidecar',
      serves: ['sidecar'],
      ip,
      zone,
      heartbeatMs: HEARTBEAT_MS,
      appAddress: `${ip}:${application}`,
      service,
      listen: {
        inbound: `${ip}:${inbound}`, outbound: `${ip}:${outbound}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`,
      },
      bounds: BOUNDS,
      platform: {address: `${storeHost}:${storePort}`},
    };
    writeFileSync(settingsPath, renderTemplate(template, fields));
    const createBackend = (backendService, generation, backendSlots = slots) => createBackendServer({
      instance: `i-${index + 1}-${generation}-${process.pid}`, service: backendService, zone, host: ip, port: application, slots: backendSlots, record, ...backendOptions({service: backendService, zone, index}),
    });
    const backend = createBackend(service, 1);
    const host = {
      name, ip, zone, service, backend, backends: [backend], entry: {host: ip, port: outbound}, control: {host: ip, port: control}, child: undefined, ends: [], log: '', isStopping: false, peakMb: 0,
    };

    host.start = () => {
      const child = spawn(program, programArguments, {
        cwd: ROOT, env: {PATH: process.env.PATH, HOME: folder, JUJUBEWELL_BOOT: settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
      });
      host.child = child;
      host.startedAt = performance.now();
      host.isStopping = false;
      const keep = chunk => {
        host.log = (host.log + chunk).slice(-400_000);
      };

      child.stdout.on('data', keep);
      child.stderr.on('data', keep);
      child.on('exit', (code, signal) => {
        const byItself = !host.isStopping && !stopping;
        record('process ended', {
          node: name, code, signal, byItself,
        });
        if (byItself) {
          host.ends.push({at: performance.now(), reason: /^(?:FATAL ERROR:|\w*Error\b).*$/m.exec(host.log.slice(-6000))?.[0]});
          record('its last words', {node: name, text: host.ends.at(-1).reason});
        }

        if (!stopping && !host.staysDown) {
          setTimeout(() => {
            if (!stopping) {
              host.start();
            }
          }, RESTART_MS);
        }
      });
    };

    /** Starts an upstream of another service at the address of the one that is gone. */
    host.replaceBackend = async ({service: otherService, slots: otherSlots}) => {
      host.backend.releaseAddress();
      host.backend = createBackend(otherService, host.backends.length + 1, otherSlots);
      host.backends.push(host.backend);
      await host.backend.listen();
      host.backend.startHeartbeats(host.control, HEARTBEAT_MS);
    };

    /** Sends a signal of the platform. */
    host.signal = signal => {
      host.isStopping ||= signal === 'SIGTERM' || signal === 'SIGKILL';
      record('signal', {node: name, signal});
      host.child.kill(signal);
    };

    host.isReady = async () => new Promise(resolve => {
      const request = get({
        host: ip, port: ready, path: '/-/readiness', agent: false, timeout: 1000,
      }, response => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('timeout', () => {
        request.destroy();
      });
      request.on('error', () => {
        resolve(false);
      });
    });
    return host;
  };

  const hosts = plan.map((options, index) => createHost(options, index));

  /** The platform kills a process that exceeds its memory; that counts as an end of its own. */
  const watchMemory = () => {
    for (const host of hosts) {
      let status = '';
      try {
        status = readFileSync(`/proc/${host.child.pid}/status`, 'utf8');
      } catch {
        // The process has just ended.
      }

      const residentMb = Math.round(Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0) / 1024);
      host.peakMb = Math.max(host.peakMb, residentMb);
      if (residentMb > memoryMb && !host.child.killed) {
        record('process exceeds its memory and is killed', {node: host.name, residentMb});
        host.log += `\nError: ${residentMb} MB of memory, over ${memoryMb} MB\n`;
        host.child.kill('SIGKILL');
      }
    }
  };

  let memoryTimer;

  const waitUntilReady = async () => {
    const until = performance.now() + READY_WITHIN_MS;
    for (;;) {
      const ready = await Promise.all(hosts.map(async host => host.isReady())); // eslint-disable-line no-await-in-loop
      if (ready.every(Boolean)) {
        return;
      }

      if (performance.now() > until) {
        throw new CannotRun('the processes were not ready in time');
      }

      await sleep(100); // eslint-disable-line no-await-in-loop
    }
  };

  return {
    store,
    hosts,
    async start() {
      for (const host of hosts) {
        await host.backend.listen(); // eslint-disable-line no-await-in-loop
        host.start();
        host.backend.startHeartbeats(host.control, HEARTBEAT_MS);
      }

      await waitUntilReady();
      if (memoryMb !== undefined) {
        memoryTimer = setInterval(watchMemory, 50);
      }

      // Every upstream has announced itself and every process knows the others before traffic starts.
      await sleep(2 * HEARTBEAT_MS);
    },
    async stop() {
      stopping = true;
      clearInterval(memoryTimer);
      const running = hosts.map(({child}) => child).filter(child => child !== undefined && child.exitCode === null && child.signalCode === null);
      const ended = running.map(async child => once(child, 'exit'));
      for (const child of running) {
        child.kill('SIGKILL');
      }

      await Promise.all(ended);
      for (const {backends} of hosts) {
        for (const backend of backends) {
          backend.close();
        }
      }

      store.close();
      rmSync(folder, {recursive: true, force: true});
    },
  };
};

/** Creates a route of a configuration. */
export const route = (service, changes = {}) => ({
  host: 'shop.example', pathPrefix: `/${service}/`, kind: 'idempotent', timeoutMs: 5000, targetLatencyMs: 1500, priority: 1, maxAttempts: 2, service, ...changes,
});

/** Creates a configuration of version 1. */
export const configurationOf = (routes, changes = {}) => ({
  version: 1,
  routes,
  services: Object.fromEntries([...new Set(Object.values(routes).map(({service}) => service))].map(service => [service, {healthCheckPath: '/health', maxConnections: 370}])),
  limits: {
    maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000,
  },
  ...changes,
});
