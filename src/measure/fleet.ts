#!/usr/bin/env node
/**
Program: `npm run measure:fleet -- [--hosts N]... [--json FILE]`; without `--hosts`, 15 and then 60.

Measures the control traffic of real `jujubewelld` processes in three zones on loopback with an emulated
platform. Each process receives the announcement of a backend server once a second; there are no backend
servers and no calls. All times are by the clock of the machine.

- Idle (`rest`): for 10 s without changes, per process and second: control messages and the bytes of their
  content, sent and received (without HTTP and TCP); processor time (user and system) of the whole process,
  including its announcements; resident memory at the end; and calls to the platform by all processes.
- Configuration change: from the platform's response to the write until the last process reports the
  configuration as in effect, which it does after compiling it; five changes, 3 s apart. Platform calls and
  processor time are measured over these 15 s, too.
- Loss of a host: from SIGKILL until a polling round shows that no other process lists its backend server;
  three hosts in turn. Rounds are 100 ms apart, so the measured time is up to one round too long.
*/
import {readFileSync, writeFileSync} from 'node:fs';
import {cpus, loadavg} from 'node:os';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {createChildProcesses} from './child-processes.js';
import {
  sumCounterSeries, fetchEndpointCount, fetchEvents, startFleet, type ProcessFleet, type FleetProcess,
} from './fleet-processes.js';
import {createPortAllocator} from './ports.js';

const DEFAULT_HOSTS = ['15', '60'];
const HOSTS_MIN = 6;
const HOSTS_MAX = 195;
const RESIDENT_MAX_MB = 8192;
/** Wait after the start, while processes still fetch records and exchange summaries. */
const SETTLE_MS = 8000;
const IDLE_MS = 10_000;
const CHANGE_COUNT = 5;
const CHANGE_INTERVAL_MS = 3000;
const KILL_COUNT = 3;
const KILL_POLL_MS = 100;
const KILL_TIMEOUT_MS = 60_000;

/** Counters summed over all processes at one moment. */
type CounterSample = {at: number; sent: number; received: number; bytes: number; processorMs: number; platformCalls: number};

type ControlRates = {
  messagesSentPerSecond: number;
  messagesReceivedPerSecond: number;
  bytesPerSecond: number;
  processorPercent: number;
  platformCallsPerSecond: number;
};

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

const medianOf = (values: readonly number[]): number => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

const round = (value: number, digits = 2): number => Number(value.toFixed(digits));

const sumCounter = async (processes: readonly FleetProcess[], prefix: string): Promise<number> =>
  sumOf(await Promise.all(processes.map(async each => sumCounterSeries(each, prefix))));

const takeSample = async (fleet: ProcessFleet): Promise<CounterSample> => {
  const calls = await fleet.fetchPlatformCalls();
  return {
    sent: await sumCounter(fleet.processes, 'jujubewell_control_messages_total{direction="out"'),
    received: await sumCounter(fleet.processes, 'jujubewell_control_messages_total{direction="in"'),
    bytes: await sumCounter(fleet.processes, 'jujubewell_control_bytes_total'),
    at: Date.now(),
    processorMs: sumOf(fleet.processes.map(({child}) => child.readProcessorTimeMs())),
    platformCalls: sumOf([calls.read, calls.list, calls.write, calls.delete, calls.watch]),
  };
};

/** Rates per process; platform calls are those of the whole fleet. */
const ratesBetween = (before: CounterSample, after: CounterSample, hosts: number): ControlRates => {
  const seconds = (after.at - before.at) / 1000;
  const perProcess = (difference: number): number => difference / seconds / hosts;
  return {
    messagesSentPerSecond: round(perProcess(after.sent - before.sent)),
    messagesReceivedPerSecond: round(perProcess(after.received - before.received)),
    bytesPerSecond: round(perProcess(after.bytes - before.bytes), 0),
    processorPercent: round(perProcess(after.processorMs - before.processorMs) / 10),
    platformCallsPerSecond: round((after.platformCalls - before.platformCalls) / seconds),
  };
};

const residentMb = ({child}: FleetProcess): number =>
  Number(/VmRSS:\s+(\d+) kB/u.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))![1]) / 1024;

const measureIdle = async (fleet: ProcessFleet): Promise<ControlRates> => {
  const before = await takeSample(fleet);
  await delay(IDLE_MS);
  return ratesBetween(before, await takeSample(fleet), fleet.processes.length);
};

/** Time from the acceptance of each configuration until the last process had it in effect, in milliseconds. */
const computePropagationTimes = async (fleet: ProcessFleet, accepted: ReadonlyArray<{sequence: number; acceptedAt: number}>): Promise<number[]> => {
  const events = await Promise.all(fleet.processes.map(async each => fetchEvents(each)));
  return accepted.map(({sequence, acceptedAt}) => {
    const times = events.map(processEvents => processEvents.find(({kind, cause}) => kind === 'configuration-in-effect' && cause.startsWith(`configuration ${sequence} `))?.at);
    if (times.includes(undefined)) {
      throw new Error(`configuration ${sequence} was not in effect on every process ${CHANGE_INTERVAL_MS} ms after the last change`);
    }

    return Math.max(...times as number[]) - acceptedAt;
  });
};

const measureChanges = async (fleet: ProcessFleet) => {
  const before = await takeSample(fleet);
  const accepted: Array<{sequence: number; acceptedAt: number}> = [];
  for (let index = 0; index < CHANGE_COUNT; index++) {
    /* eslint-disable no-await-in-loop */
    accepted.push(await fleet.changeConfiguration());
    await delay(CHANGE_INTERVAL_MS);
    /* eslint-enable no-await-in-loop */
  }

  const rates = ratesBetween(before, await takeSample(fleet), fleet.processes.length);
  const milliseconds = await computePropagationTimes(fleet, accepted);
  return {
    milliseconds, p50Milliseconds: medianOf(milliseconds), maxMilliseconds: Math.max(...milliseconds), rates,
  };
};

const measureHostLoss = async (fleet: ProcessFleet): Promise<number> => {
  // The last process is never a contact of the others.
  const killedProcess = fleet.processes.pop()!;
  const killedAt = Date.now();
  killedProcess.kill();
  while (Date.now() - killedAt < KILL_TIMEOUT_MS) {
    /* eslint-disable no-await-in-loop */
    const counts = await Promise.all(fleet.processes.map(async each => fetchEndpointCount(each)));
    if (counts.every(count => count === fleet.processes.length)) {
      return Date.now() - killedAt;
    }

    await delay(KILL_POLL_MS);
    /* eslint-enable no-await-in-loop */
  }

  throw new Error(`${killedProcess.host} was still listed ${KILL_TIMEOUT_MS} ms after it was killed`);
};

const measureHostLosses = async (fleet: ProcessFleet) => {
  const milliseconds: number[] = [];
  for (let index = 0; index < KILL_COUNT; index++) {
    milliseconds.push(await measureHostLoss(fleet)); // eslint-disable-line no-await-in-loop
  }

  return {milliseconds, p50Milliseconds: medianOf(milliseconds), maxMilliseconds: Math.max(...milliseconds)};
};

const measureFleet = async (hosts: number) => {
  const children = createChildProcesses();
  try {
    const fleet = await startFleet({hosts, children, ports: createPortAllocator()});
    try {
      const residentAtStart = fleet.processes.map(each => residentMb(each));
      if (sumOf(residentAtStart) > RESIDENT_MAX_MB) {
        throw new Error(`the processes use ${round(sumOf(residentAtStart), 0)} MB, more than ${RESIDENT_MAX_MB} MB; measure fewer hosts`);
      }

      await delay(SETTLE_MS);
      const loadBefore = loadavg().map(value => round(value));
      const idleRates = await measureIdle(fleet);
      const resident = fleet.processes.map(each => residentMb(each));
      const configurationChange = await measureChanges(fleet);
      const hostLoss = await measureHostLosses(fleet);
      return {
        hosts,
        loadAverageBefore: loadBefore,
        loadAverageAfter: loadavg().map(value => round(value)),
        rest: idleRates,
        residentMb: {p50: round(medianOf(resident), 1), max: round(Math.max(...resident), 1)},
        configurationChange,
        hostLoss,
      };
    } finally {
      await fleet.stop();
    }
  } finally {
    await children.stopAll();
  }
};

const {values} = parseArgs({options: {json: {type: 'string'}, hosts: {type: 'string', multiple: true, default: DEFAULT_HOSTS}}});
const hostCounts = values.hosts.map(Number);
if (hostCounts.some(size => !Number.isInteger(size) || size < HOSTS_MIN || size > HOSTS_MAX)) {
  console.error(`--hosts needs a whole number from ${HOSTS_MIN} to ${HOSTS_MAX}`);
  process.exit(2);
}

const results = [];
for (const hostCount of hostCounts) {
  const result = await measureFleet(hostCount); // eslint-disable-line no-await-in-loop
  results.push(result);
  console.log(JSON.stringify(result, undefined, 2));
}

if (values.json !== undefined) {
  writeFileSync(values.json, `${JSON.stringify({
    command: `npm run measure:fleet -- ${process.argv.slice(2).join(' ')}`, node: process.version, processors: cpus().length, results,
  }, undefined, 2)}\n`);
}
