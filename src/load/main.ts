#!/usr/bin/env node
/** Program: runs a load and prints its result as JSON. Argument: settings as JSON. Progress goes to standard error. */
import process from 'node:process';
import {createLoad} from './load.js';
import type {LoadSettingsInput} from './settings.js';

const PROGRESS_INTERVAL_MS = 1000;

const [argument] = process.argv.slice(2);
if (argument === undefined) {
  console.error('usage: main.js <settings as JSON>');
  process.exit(2);
}

const load = createLoad(JSON.parse(argument) as LoadSettingsInput);
const timer = setInterval(() => {
  console.error(JSON.stringify(load.progress()));
}, PROGRESS_INTERVAL_MS);
const result = await load.run();
clearInterval(timer);
process.stdout.write(`${JSON.stringify(result)}\n`);
