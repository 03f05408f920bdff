#!/usr/bin/env node
/**
Program: `npm run measure:latency -- [--json FILE] [--seconds N]`.

Measures the latency that two processes (entry, peer) add to a call, compared with the same call sent
directly to the backend server. At each rate, open-loop calls alternate between the direct path and the
path through the processes, so that both see the same load on the machine. Latency is measured from the
scheduled start. Processor time per call is that of both processes over the calls that went through them,
less what they use while idle for the same time.
*/
import {writeFileSync} from 'node:fs';
import {cpus} from 'node:os';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {build, type Histogram} from 'hdr-histogram-js';
import {Agent} from 'undici';
import {createChildProcesses} from './child-processes.js';
import type {MeasuredDeployment} from './deployments.js';
import {createPortAllocator} from './ports.js';
import {startSystem, type MeasuredSystem} from './measured-system.js';

/** Number of calls and latency percentiles of one path. */
type PathFigures = {calls: number; failed: number; p50Milliseconds: number; p99Milliseconds: number};

/** Figures of both paths at one call rate. */
type RateFigures = {
  callsPerSecond: number;
  direct: PathFigures;
  throughProcesses: PathFigures;
  addedP50Milliseconds: number;
  addedP99Milliseconds: number;
  processorMicrosecondsPerCall: number;
};

type CallPath = {origin: string; path: string; histogram: Histogram; calls: number; failed: number};

/** Calls per second on each path. */
const RATES = [100, 400, 800];
const SCHEDULE_TICK_MS = 1;
const SERVICE_TIME_MS = 2;
const CONNECTIONS = 64;
const WARM_UP_SECONDS = 2;

/** Two hosts: the first is called, and the process of the second is the entry. */
const deployment: MeasuredDeployment = {
  name: 'rogge-nord',
  services: ['statusrog', 'registro'].map(name => ({
    name,
    backendServers: 1,
    slots: 64,
    connections: 400,
    requestKinds: [{
      name: 'read', methods: ['GET'], path: '/channels', idempotent: true, serviceTime: {meanMs: SERVICE_TIME_MS, sigma: 0},
    }],
  })),
  offered: [],
  groups: [{name: 'clerks', share: 1, weight: 1}],
};

const {values} = parseArgs({options: {json: {type: 'string'}, seconds: {type: 'string', default: '5'}}});
const seconds = Number(values.seconds);
if (!(seconds > 0)) {
  console.error('--seconds needs a number above 0');
  process.exit(2);
}

const agent = new Agent({connections: CONNECTIONS, pipelining: 1});

const createPath = (origin: string, path: string): CallPath => ({
  origin, path, histogram: build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3}), calls: 0, failed: 0,
});

const sendCall = async (target: CallPath, scheduledAt: number) => {
  target.calls++;
  try {
    const response = await agent.request({origin: `http://${target.origin}`, path: target.path, method: 'GET'});
    await response.body.dump();
    if (response.statusCode !== 200) {
      target.failed++;
      return;
    }

    target.histogram.recordValue(Math.max(1, Math.round((performance.now() - scheduledAt) * 1000)));
  } catch {
    target.failed++;
  }
};

/** Alternates between the paths at a given rate per path, without waiting for responses before the next call. */
const sendCallsAtRate = async (paths: readonly CallPath[], callsPerSecond: number, forSeconds: number) => {
  const startedAt = performance.now();
  const count = Math.floor(callsPerSecond * forSeconds) * paths.length;
  const intervalMs = 1000 / (callsPerSecond * paths.length);
  const calls: Array<Promise<void>> = [];
  while (calls.length < count) {
    while (calls.length < count && startedAt + (calls.length * intervalMs) <= performance.now()) {
      calls.push(sendCall(paths[calls.length % paths.length]!, startedAt + (calls.length * intervalMs)));
    }

    await delay(SCHEDULE_TICK_MS); // eslint-disable-line no-await-in-loop
  }

  await Promise.all(calls);
};

const computePathFigures = ({histogram, calls, failed}: CallPath): PathFigures => ({
  calls, failed, p50Milliseconds: histogram.getValueAtPercentile(50) / 1000, p99Milliseconds: histogram.getValueAtPercentile(99) / 1000,
});

const totalProcessorMs = (system: MeasuredSystem): number => system.hosts.map(host => host.process.readProcessorTimeMs()).reduce((sum, each) => sum + each, 0);

const measureRate = async (system: MeasuredSystem, callsPerSecond: number): Promise<RateFigures> => {
  const [target, other] = system.hosts as [MeasuredSystem['hosts'][number], MeasuredSystem['hosts'][number]];
  const createPaths = () => [createPath(target.backend, '/channels'), createPath(other.entry, '/statusrog/channels')] as const;
  await sendCallsAtRate(createPaths(), callsPerSecond, WARM_UP_SECONDS);
  const idleBefore = totalProcessorMs(system);
  await delay(seconds * 1000);
  const idleMs = totalProcessorMs(system) - idleBefore;
  const [direct, proxied] = createPaths();
  const busyBefore = totalProcessorMs(system);
  await sendCallsAtRate([direct, proxied], callsPerSecond, seconds);
  const busyMs = totalProcessorMs(system) - busyBefore;
  const [directFigures, proxiedFigures] = [computePathFigures(direct), computePathFigures(proxied)];
  return {
    callsPerSecond,
    direct: directFigures,
    throughProcesses: proxiedFigures,
    addedP50Milliseconds: proxiedFigures.p50Milliseconds - directFigures.p50Milliseconds,
    addedP99Milliseconds: proxiedFigures.p99Milliseconds - directFigures.p99Milliseconds,
    processorMicrosecondsPerCall: Math.max(0, busyMs - idleMs) * 1000 / proxied.calls,
  };
};

const children = createChildProcesses();
const results: RateFigures[] = [];
try {
  const system = await startSystem({
    kind: 'jujubewell', deployment, seed: 1, children, ports: createPortAllocator(),
  });
  try {
    for (const rate of RATES) {
      const figures = await measureRate(system, rate); // eslint-disable-line no-await-in-loop
      results.push(figures);
      console.log(JSON.stringify(figures));
    }
  } finally {
    await system.stop();
  }
} finally {
  await children.stopAll();
  await agent.destroy();
}

if (values.json !== undefined) {
  writeFileSync(values.json, `${JSON.stringify({
    command: `npm run measure:latency -- ${process.argv.slice(2).join(' ')}`, node: process.version, processors: cpus().length, rates: results,
  }, undefined, 2)}\n`);
}
