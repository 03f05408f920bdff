#!/usr/bin/env node
/**
Program: `npm run measure -- [--scenario FILE] [--seed N] [--json FILE] [--system jujubewell|naive]`.

Runs scenarios, by default all, against both systems or the chosen ones and prints their figures.
*/
import {readdirSync, writeFileSync} from 'node:fs';
import {cpus} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {runScenario, type SystemResult} from './run-scenario.js';
import {readScenario, type Scenario} from './scenario.js';
import type {SystemKind} from './measured-system.js';

/** Results of the systems in one scenario. */
type ScenarioResult = {scenario: string; deployment: string; title: string} & Partial<Record<SystemKind, SystemResult>>;

const SCENARIOS_DIRECTORY = fileURLToPath(new URL('../../src/measure/scenarios', import.meta.url));
const SYSTEMS: readonly SystemKind[] = ['jujubewell', 'naive'];

const {values} = parseArgs({
  options: {
    scenario: {type: 'string', multiple: true}, seed: {type: 'string', default: '1'}, json: {type: 'string'}, system: {type: 'string', multiple: true},
  },
});

const scenarioFiles = (): string[] =>
  values.scenario ?? readdirSync(SCENARIOS_DIRECTORY).filter(file => file.endsWith('.json')).sort().map(file => path.join(SCENARIOS_DIRECTORY, file));

const systems = SYSTEMS.filter(system => values.system?.includes(system) ?? true);
const seed = Number(values.seed);
if (!Number.isInteger(seed)) {
  console.error('--seed needs an integer');
  process.exit(2);
}

const createProgressLogger = (scenario: Scenario, system: SystemKind) => (text: string) => {
  console.error(`${new Date().toISOString().slice(11, 19)} ${scenario.name} ${system} ${text}`);
};

const measureScenario = async (scenario: Scenario): Promise<ScenarioResult> => {
  const result: ScenarioResult = {scenario: scenario.name, deployment: scenario.deployment, title: scenario.title};
  for (const system of systems) {
    // Sequential, because concurrent systems would compete for the processor.
    // eslint-disable-next-line no-await-in-loop
    result[system] = await runScenario({
      scenario, system, seed, onProgress: createProgressLogger(scenario, system),
    });
  }

  return result;
};

const results: ScenarioResult[] = [];
const scenarios = scenarioFiles().map(file => readScenario(file));
for (const scenario of scenarios) {
  const result = await measureScenario(scenario); // eslint-disable-line no-await-in-loop
  results.push(result);
  for (const system of systems) {
    const {kinds: _, priorities: __, ...figures} = result[system]!;
    console.log(`${scenario.name} ${system} ${JSON.stringify(figures)}`);
  }

  if (values.json !== undefined) {
    writeFileSync(values.json, `${JSON.stringify({
      command: `npm run measure -- ${process.argv.slice(2).join(' ')}`, seed, node: process.version, processors: cpus().length, scenarios: results,
    }, undefined, 2)}\n`);
  }
}
