#!/usr/bin/env node
/**
Program: `npm run measure:slopes -- [--json FILE] [--seed N]`.

Runs the decision functions in this process at several sizes and fits a line to the cost of each. Processor
time is read from `process.cpuUsage`: it includes the helper threads of V8 (garbage collection, compilation),
and other work on the machine affects it only by evicting processor caches.
*/
import {writeFileSync} from 'node:fs';
import {cpus, loadavg} from 'node:os';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createRandom} from '../../shared/random.js';
import {measureFleet} from './fleet.js';
import {measureInbound} from './inbound.js';
import {measureOutbound} from './outbound.js';
import {figuresPath, writePage} from './page.js';
import {measurePolicy} from './policy.js';
import type {CapacityFigures, Series} from './series.js';
import {measureTransport} from './transport.js';

const METHOD = [
  'One thread of one process.',
  'Processor time by process.cpuUsage (user and system, V8 helper threads included); median of 5 runs after a warm-up run.',
  'Bytes by process.memoryUsage (heap and external) after a forced garbage collection; median of 3.',
  'The zone runs all members in simulated time with real envelopes; its processor time is that of the decisions alone.',
].join(' ');

const {values} = parseArgs({options: {json: {type: 'string'}, seed: {type: 'string', default: '1'}}});
const seed = Number(values.seed);
const started = performance.now();
const loadBefore = loadavg();
const residentBytesAtStart = process.memoryUsage().rss;

const benchmarks: Array<[name: string, measure: () => Promise<Series[]>]> = [
  ['policy', async () => measurePolicy(createRandom(seed))],
  ['outbound', async () => measureOutbound(createRandom(seed))],
  ['inbound', async () => measureInbound(createRandom(seed))],
  ['transport', async () => measureTransport()],
  ['fleet', async () => measureFleet(createRandom(seed))],
];

const series: Series[] = [];
for (const [name, measure] of benchmarks) {
  const benchmarkStarted = performance.now();
  series.push(...await measure()); // eslint-disable-line no-await-in-loop
  process.stderr.write(`${name}: ${Math.round(performance.now() - benchmarkStarted)} ms\n`);
}

const BYTES_PER_KIBIBYTE = 1024;
const figures: CapacityFigures = {
  command: `npm run measure:slopes -- --seed ${seed}`,
  seed,
  date: new Date().toISOString(),
  nodeVersion: process.version,
  cores: cpus().length,
  loadBefore,
  loadAfter: loadavg(),
  elapsedSeconds: Math.round((performance.now() - started) / 1000),
  residentBytesAtStart,
  residentBytesMax: process.resourceUsage().maxRSS * BYTES_PER_KIBIBYTE,
  method: METHOD,
  series,
};
writeFileSync(values.json ?? figuresPath, `${JSON.stringify(figures, undefined, 2)}\n`);
if (values.json === undefined) {
  writePage(figures);
}
