#!/usr/bin/env node
/** Program that runs one naive proxy. Argument: its settings as JSON. */
import process from 'node:process';
import {createNaiveProxy} from './proxy.js';
import type {NaiveSettingsInput} from './settings.js';

const [argument] = process.argv.slice(2);
if (argument === undefined) {
  console.error('usage: main.js <settings as JSON>');
  process.exit(2);
}

const proxy = createNaiveProxy(JSON.parse(argument) as NaiveSettingsInput);
process.once('SIGTERM', async () => {
  await proxy.stop();
  process.exit(0);
});
console.log(JSON.stringify(await proxy.start()));
