#!/usr/bin/env node
/** Program that runs one emulated backend server. Argument: its settings as JSON. */
import process from 'node:process';
import {createBackendServerEmulator} from './backend-server.js';
import type {BackendServerSettingsInput} from './settings.js';

const [argument] = process.argv.slice(2);
if (argument === undefined) {
  console.error('usage: main.js <settings as JSON>');
  process.exit(2);
}

const emulator = createBackendServerEmulator(JSON.parse(argument) as BackendServerSettingsInput, {
  onLeft() {
    process.exit(0);
  },
});

process.once('SIGTERM', () => {
  emulator.control({kind: 'leave'});
});

console.log(JSON.stringify(await emulator.start()));
