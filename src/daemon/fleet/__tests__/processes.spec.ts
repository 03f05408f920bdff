/** Guards real processes against bringing back an old configuration after a pause, and against needing the platform to start. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {createPlatformEmulator} from '../../../emulator/platform/emulator.js';
import {createPorts} from '../../../measure/ports.js';
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, hashObjects, type Configuration,
} from '../../../objects/configuration.js';
import {declaredObjectSchema} from '../../../objects/schema.js';
import {createPlatformClient} from '../../../platform/client.js';
import type {FleetStatus} from '../fleet.js';
import {MESSAGE_TIMEOUT_MS} from '../constants.js';

const PROGRAM = fileURLToPath(new URL('../../main.ts', import.meta.url));
const POLL_MS = 100;
/** Only ends a test that would hang. */
const LIMIT_MS = 40_000;

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

const until = async (condition: () => Promise<boolean>, what: string): Promise<void> => {
  const end = Date.now() + LIMIT_MS;
  while (!await condition()) { // eslint-disable-line no-await-in-loop
    if (Date.now() > end) {
      throw new Error(`not seen within ${LIMIT_MS} ms: ${what}`);
    }

    await wait(POLL_MS); // eslint-disable-line no-await-in-loop
  }
};

/** Creates a platform and a way to start processes; everything ends with the test. */
const createScene = async (t: ExecutionContext) => {
  const directory = mkdtempSync(path.join(tmpdir(), 'jujubewell-processes-'));
  const emulator = createPlatformEmulator({});
  const platformAddress = await emulator.start();
  const client = createPlatformClient({address: platformAddress});
  const ports = createPorts();
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
    async accept(sequence: number) {
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
      const child = spawn(process.execPath, ['--import=tsx', PROGRAM, file], {stdio: 'ignore'});
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

test.serial('a process that was stopped during a change takes the new configuration, brings no old one back, and is a member again', async t => {
  const scene = await createScene(t);
  await scene.accept(1);
  const first = await scene.start('n1', []);
  const [second, third] = [await scene.start('n2', [first.peer]), await scene.start('n3', [first.peer])];
  const others = [first, second];
  await until(async () => hasSequence([...others, third], 1), 'the first configuration');
  await until(async () => await stateSeenBy(first, 'n3') === 'alive' && await stateSeenBy(second, 'n3') === 'alive', 'three members');

  third.child.kill('SIGSTOP');
  await scene.accept(2);
  await until(async () => hasSequence(others, 2), 'the second configuration');
  await until(async () => await stateSeenBy(first, 'n3') !== 'alive' && await stateSeenBy(second, 'n3') !== 'alive', 'the stopped process held for lost');

  third.child.kill('SIGCONT');
  const seen: number[] = [];
  await until(async () => {
    const statuses = await Promise.all(others.map(async daemon => daemon.status()));
    // A status that is not returned in time on a loaded machine says nothing.
    seen.push(...statuses.flatMap(status => status === undefined ? [] : [status.sequence]));
    return await hasSequence([third], 2) && await stateSeenBy(first, 'n3') === 'alive' && await stateSeenBy(second, 'n3') === 'alive';
  }, 'the process as a member with the second configuration');
  // Messages that the stopped process had under way have ended by then.
  await wait(MESSAGE_TIMEOUT_MS);
  t.true(await hasSequence([...others, third], 2));
  t.true(seen.length > 0 && seen.every(sequence => sequence === 2));
  const head = await scene.client.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
  t.like(head, {kind: 'ok', value: {value: {sequence: 2}}});
});

test.serial('a process that starts while the platform is down takes the configuration from its peers', async t => {
  const scene = await createScene(t);
  await scene.accept(1);
  const first = await scene.start('n1', []);
  await until(async () => hasSequence([first], 1), 'the configuration');
  await scene.emulator.stop();

  const second = await scene.start('n2', [first.peer]);
  await until(async () => hasSequence([second], 1), 'the configuration at the new process');
  t.like(await second.status(), {source: {kind: 'peer', host: 'n1'}});
  await until(async () => await stateSeenBy(first, 'n2') === 'alive', 'the new process as a member');
  const ready = await fetch(`http://${second.admin}/readyz`);
  t.is(ready.status, 200);
});
