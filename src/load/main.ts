#!/usr/bin/env node
/** Program that runs the load generator and prints the result as JSON. Argument: its settings as JSON. Progress is written to standard error. */
import process from 'node:process';
import {createLoadGenerator} from './load-generator.js';
import type {LoadSettingsInput} from './settings.js';

const PROGRESS_INTERVAL_MS = 1000;

const [argument] = process.argv.slice(2);
if (argument === undefined) {
  console.error('usage: main.js <settings as JSON>');
  process.exit(2);
}

const generator = createLoadGenerator(JSON.parse(argument) as LoadSettingsInput);
const timer = setInterval(() => {
  console.error(JSON.stringify(generator.progress()));
}, PROGRESS_INTERVAL_MS);
const result = await generator.run();
clearInterval(timer);
process.stdout.write(`${JSON.stringify(result)}\n`);
