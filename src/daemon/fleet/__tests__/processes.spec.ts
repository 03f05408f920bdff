/**
Guards against a process that reintroduces an old configuration after it was paused during a change,
and against a process that cannot start while the platform is down. Runs real processes.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {createPlatformEmulator} from '../../../emulator/platform/emulator.js';
import {createPortAllocator} from '../../../measure/ports.js';
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, hashObjects, type Configuration,
} from '../../../objects/configuration.js';
import {declaredObjectSchema} from '../../../objects/schema.js';
import {createPlatformClient} from '../../../platform/client.js';
import type {FleetStatus} from '../fleet-agent.js';
import {MESSAGE_TIMEOUT_MS} from '../constants.js';

const DAEMON_PATH = fileURLToPath(new URL('../../main.ts', import.meta.url));
const POLL_MS = 100;
/** Time limit of a wait; only prevents the test from hanging. */
const WAIT_LIMIT_MS = 40_000;

type Daemon = {child: ChildProcess; peer: string; admin: string; status: () => Promise<FleetStatus | undefined>};

const readFleetStatus = async (admin: string): Promise<FleetStatus | undefined> => {
  try {
    const response = await fetch(`http://${admin}/status`, {signal: AbortSignal.timeout(2000)});
    const {fleet} = await response.json() as {fleet: FleetStatus};
    return fleet;
  } catch {
    return undefined;
  }
};

const waitUntil = async (condition: () => Promise<boolean>, description: string): Promise<void> => {
  const end = Date.now() + WAIT_LIMIT_MS;
  while (!await condition()) { // eslint-disable-line no-await-in-loop
    if (Date.now() > end) {
      throw new Error(`not seen within ${WAIT_LIMIT_MS} ms: ${description}`);
    }

    await sleep(POLL_MS); // eslint-disable-line no-await-in-loop
  }
};

/** Starts a platform emulator and returns functions to start processes; all of them are stopped after the test. */
const createTestDeployment = async (t: ExecutionContext) => {
  const directory = mkdtempSync(path.join(tmpdir(), 'jujubewell-processes-'));
  const emulator = createPlatformEmulator({});
  const platformAddress = await emulator.start();
  const client = createPlatformClient({address: platformAddress});
  const ports = createPortAllocator();
  const children: ChildProcess[] = [];
  let version: number | undefined;
  t.teardown(async () => {
    await Promise.all(children.map(async child => {
      const ended = child.exitCode === null && child.signalCode === null ? once(child, 'exit') : undefined;
      child.kill('SIGKILL');
      await ended;
    }));
    await client.close();
    await emulator.stop();
    rmSync(directory, {recursive: true});
  });

  return {
    emulator,
    client,
    async acceptConfiguration(sequence: number) {
      const objects = [declaredObjectSchema.parse({kind: 'Service', name: `s${sequence}`})];
      const configuration: Configuration = {
        sequence, hash: hashObjects(objects), acceptedAt: Date.now(), author: 'test', writeId: `w${sequence}`, objects,
      };
      const written = await client.write({
        kind: CONFIGURATION_KIND, name: CONFIGURATION_NAME, value: configuration, expectedVersion: version,
      });
      if (written.kind === 'error') {
        throw new Error(written.error.message);
      }

      version = written.value.version;
    },
    async start(host: string, contacts: string[]): Promise<Daemon> {
      const [entry, peer, local, admin] = [await ports.next(), await ports.next(), await ports.next(), await ports.next()];
      const file = path.join(directory, `${host}.json`);
      writeFileSync(file, JSON.stringify({
        host, zone: 'north', entry, peer, local, admin, contacts, platform: `http://${platformAddress}`, fleetKey: 'a-key-for-this-test', log: {level: 'error'},
      }));
      const child = spawn(process.execPath, ['--import=tsx', DAEMON_PATH, file], {stdio: 'ignore'});
      children.push(child);
      return {
        child, peer, admin, status: async () => readFleetStatus(admin),
      };
    },
  };
};

const hasSequence = async (daemons: readonly Daemon[], sequence: number): Promise<boolean> => {
  const statuses = await Promise.all(daemons.map(async daemon => daemon.status()));
  return statuses.every(status => status?.sequence === sequence);
};

const stateSeenBy = async (daemon: Daemon, host: string): Promise<string | undefined> => {
  const status = await daemon.status();
  return status?.zone.members.find(member => member.host === host)?.state;
};

test.serial('a process paused during a change gets the new configuration, does not restore the old one and becomes a live member again', async t => {
  const deployment = await createTestDeployment(t);
  await deployment.acceptConfiguration(1);
  const firstDaemon = await deployment.start('n1', []);
  const [secondDaemon, pausedDaemon] = [await deployment.start('n2', [firstDaemon.peer]), await deployment.start('n3', [firstDaemon.peer])];
  const others = [firstDaemon, secondDaemon];
  await waitUntil(async () => hasSequence([...others, pausedDaemon], 1), 'the first configuration');
  await waitUntil(async () => await stateSeenBy(firstDaemon, 'n3') === 'alive' && await stateSeenBy(secondDaemon, 'n3') === 'alive', 'three members');

  pausedDaemon.child.kill('SIGSTOP');
  await deployment.acceptConfiguration(2);
  await waitUntil(async () => hasSequence(others, 2), 'the second configuration');
  await waitUntil(async () => await stateSeenBy(firstDaemon, 'n3') !== 'alive' && await stateSeenBy(secondDaemon, 'n3') !== 'alive', 'the paused process no longer alive');

  pausedDaemon.child.kill('SIGCONT');
  const seenSequences: number[] = [];
  await waitUntil(async () => {
    const statuses = await Promise.all(others.map(async daemon => daemon.status()));
    // On a loaded machine a status request can time out; it then shows nothing about the configuration.
    seenSequences.push(...statuses.flatMap(status => status === undefined ? [] : [status.sequence]));
    return await hasSequence([pausedDaemon], 2) && await stateSeenBy(firstDaemon, 'n3') === 'alive' && await stateSeenBy(secondDaemon, 'n3') === 'alive';
  }, 'the resumed process alive with the second configuration');
  // After this time, no message that the paused process was sending is still in flight.
  await sleep(MESSAGE_TIMEOUT_MS);
  t.true(await hasSequence([...others, pausedDaemon], 2));
  t.true(seenSequences.length > 0 && seenSequences.every(sequence => sequence === 2));
  const storedConfiguration = await deployment.client.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
  t.like(storedConfiguration, {kind: 'ok', value: {value: {sequence: 2}}});
});

test.serial('a process that starts while the platform is down gets the configuration from its peers', async t => {
  const deployment = await createTestDeployment(t);
  await deployment.acceptConfiguration(1);
  const firstDaemon = await deployment.start('n1', []);
  await waitUntil(async () => hasSequence([firstDaemon], 1), 'the configuration');
  await deployment.emulator.stop();

  const secondDaemon = await deployment.start('n2', [firstDaemon.peer]);
  await waitUntil(async () => hasSequence([secondDaemon], 1), 'the configuration on the new process');
  t.like(await secondDaemon.status(), {source: {kind: 'peer', host: 'n1'}});
  await waitUntil(async () => await stateSeenBy(firstDaemon, 'n2') === 'alive', 'the new process as a member');
  const ready = await fetch(`http://${secondDaemon.admin}/readyz`);
  t.is(ready.status, 200);
});
