#!/usr/bin/env node
/** Command `jujubewelld <settings.json>`: runs one process until SIGTERM or SIGINT. */
import process from 'node:process';
import {createClock} from '../shared/clock.js';
import {createPlatformClient} from '../platform/client.js';
import {createLog} from './log.js';
import {createNode} from './node.js';
import {loadSettings, type Settings, type SettingsError} from './settings.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILED = 1;

const printSettingsErrors = (errors: readonly SettingsError[]) => {
  const lines = errors.map(error => `  ${error.path}: found ${error.found}; ${error.remedy}`);
  process.stderr.write(`the settings are not valid:\n${lines.join('\n')}\n`);
};

const run = async (settings: Settings) => {
  const log = createLog({
    host: settings.host, level: settings.log.level, format: settings.log.format, clock: createClock(),
  });
  const node = createNode({settings, log, platform: createPlatformClient({address: new URL(settings.platform).host})});
  let stopping = false;
  const stop = async (signal: string) => {
    if (stopping) {
      return;
    }

    stopping = true;
    log.info('graceful stop begins', {signal});
    await node.stop();
    log.info('stopped');
    process.exit(0);
  };

  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  try {
    await node.start();
    log.info('started', {entry: settings.entry, peer: settings.peer, zone: settings.zone});
  } catch (error) {
    log.error('cannot start', {error: error instanceof Error ? error.message : String(error)});
    process.exit(EXIT_FAILED);
  }
};

const loaded = loadSettings(process.argv[2] ?? '');
if (loaded.kind === 'error') {
  printSettingsErrors(loaded.error);
  process.exit(EXIT_INVALID_SETTINGS);
}

await run(loaded.value);
