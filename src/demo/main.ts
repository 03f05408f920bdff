#!/usr/bin/env node
/** Program `npm run demo [-- --keep] [-- --seed N]`: runs the example deployment Rogge Nord through a traffic surge. */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {CONFIGURATION_KIND, CONFIGURATION_NAME} from '../objects/configuration.js';
import {runScenario, type SystemResult} from '../measure/run-scenario.js';
import {readScenario} from '../measure/scenario.js';
import {FLEET_KEY, type MeasuredSystem} from '../measure/measured-system.js';
import {
  formatAddresses, formatResult, type ConfigurationCheck, type PriorityName,
} from './report.js';

/** Duration of the load before the surge; shorter than in measurements, to keep the demo short. */
const WARM_UP_MS = 3000;
const TIMEOUT_MS = 5000;
const SCENARIO = fileURLToPath(new URL('../../src/measure/scenarios/update-surge-rogge-nord.json', import.meta.url));
/** Names of the priorities in `playground/rogge-nord/rules.json`, in order. */
const PRIORITIES: readonly PriorityName[] = ['bookings', 'uploads', 'reads'].map((name, priority) => ({priority, name}));

const {values} = parseArgs({options: {keep: {type: 'boolean', default: false}, seed: {type: 'string', default: '1'}}});
const seed = Number(values.seed);
if (!Number.isInteger(seed)) {
  console.error('--seed needs an integer');
  process.exit(2);
}

const getJson = async <Value>(url: string): Promise<Value | undefined> => {
  try {
    const response = await request(url, {signal: AbortSignal.timeout(TIMEOUT_MS)});
    return await response.body.json() as Value;
  } catch {
    return undefined;
  }
};

const checkConfiguration = async (system: MeasuredSystem): Promise<ConfigurationCheck> => {
  const configuration = await getJson<{value: {sequence: number}}>(`http://${system.platform}/objects/${CONFIGURATION_KIND}/${CONFIGURATION_NAME}`);
  const hosts = await Promise.all(system.hosts.map(async ({name, admin}) => {
    const status = await getJson<{fleet: {sequence: number}}>(`http://${admin}/status`);
    return {host: name, sequence: status?.fleet.sequence};
  }));
  return {accepted: configuration?.value.sequence, hosts};
};

const waitForInterrupt = async (): Promise<void> => new Promise(resolve => {
  // The listeners are not removed, because the signal may arrive twice: from the terminal and from npm.
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.on(signal, () => {
      resolve();
    });
  }
});

const printResult = async (result: SystemResult, system: MeasuredSystem): Promise<void> => {
  console.log(`\n${formatResult(result, PRIORITIES, await checkConfiguration(system))}`);
  if (values.keep) {
    console.log(`\n${formatAddresses(system.hosts, system.platform, FLEET_KEY)}`);
    await waitForInterrupt();
  }
};

/** Prints the steps of the run, without the progress line that each load process reports every second. */
const onProgress = (text: string): void => {
  if (!text.startsWith('load ')) {
    console.log(text);
  }
};

const scenario = readScenario(SCENARIO);
console.log(`Rogge Nord with 13 hosts, seed ${seed}. ${scenario.title}. This takes less than a minute.`);
await runScenario({
  scenario, system: 'jujubewell', seed, warmUpMs: WARM_UP_MS, onResult: printResult, onProgress,
});
