/**
Guards against a write that is reported as failed although it took effect, which happens when only the response is lost,
and against a client that overloads the platform with calls and retries.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createPlatformEmulator} from '../../emulator/platform/emulator.js';
import type {Faults} from '../../emulator/platform/faults.js';
import {createPlatformClient, type WatchEvent} from '../client.js';
import {
  createRateLimiter, recordResponse, recordFailure, reserveToken,
} from '../rate-limiter.js';
import {determineWriteOutcome, writeWithRetries} from '../write-outcome.js';
import {createManualTimers, type Timers} from '../timers.js';

const TIMEOUT_MS = 30_000;

const startClient = async (t: ExecutionContext, timers?: Timers) => {
  const emulator = createPlatformEmulator({latencyMs: 0, bookmarkMs: 20});
  const address = await emulator.start();
  const client = createPlatformClient({
    address, timeoutMs: TIMEOUT_MS, rateLimit: {backoffBaseMs: 1}, timers,
  });
  t.teardown(async () => {
    await client.close();
    await emulator.stop();
  });
  return {emulator, client, address};
};

/** Polls until a condition is met; the timeout of the test runner bounds the wait. */
const waitUntil = async (condition: () => boolean): Promise<void> => {
  while (!condition()) {
    // eslint-disable-next-line no-await-in-loop
    await sleep(5);
  }
};

const write = (writeId: string, expectedVersion?: number) => ({
  kind: 'A', name: 'a', value: {writeId}, expectedVersion,
});

const ambiguousWrites: Array<[title: string, faults: Partial<Faults>, expectedError: string, outcome: string]> = [
  ['a lost connection after the write', {loseResponses: 1}, 'unreachable', 'applied'],
  ['no response after the write', {loseResponses: 1, lossKind: 'hang'}, 'timed-out', 'applied'],
  ['an outage before the write', {outage: 'refuse'}, 'unreachable', 'not-applied'],
  ['a hanging platform', {outage: 'hang'}, 'timed-out', 'not-applied'],
];

for (const [title, faults, expectedError, outcome] of ambiguousWrites) {
  test(`${title} returns ${expectedError}, and reading the object back gives ${outcome}`, async t => {
    const timers = createManualTimers();
    const {emulator, client, address} = await startClient(t, timers);
    emulator.setFaults(faults);
    const written = client.write(write('w1'));
    await waitUntil(() => emulator.counts().write === 1 && (outcome !== 'applied' || emulator.snapshot().version === 1));
    if (expectedError === 'timed-out') {
      timers.advance(TIMEOUT_MS);
    }

    t.like(await written, {kind: 'error', error: {kind: expectedError}});
    emulator.setFaults({outage: 'none'});
    const reader = createPlatformClient({address, timeoutMs: TIMEOUT_MS});
    t.teardown(reader.close);
    t.like(await determineWriteOutcome(reader, write('w1')), {kind: 'ok', value: {kind: outcome}});
  });
}

test('a write whose response is lost repeatedly takes effect once', async t => {
  const {emulator, client} = await startClient(t);
  emulator.setFaults({loseResponses: 2});
  t.like(await writeWithRetries(client, write('w1')), {kind: 'ok', value: {version: 1}});
  t.is(emulator.counts().write, 1);
});

test('a write superseded by another one returns a conflict with the current object', async t => {
  const {client} = await startClient(t);
  await client.write(write('w1'));
  await client.write(write('w2', 1));
  t.like(await writeWithRetries(client, write('w3', 1)), {kind: 'error', error: {kind: 'conflict', current: {version: 2, value: {writeId: 'w2'}}}});
  t.like(await determineWriteOutcome(client, write('w3', 1)), {kind: 'ok', value: {kind: 'superseded', current: {version: 2}}});
});

test('other responses are mapped to an error kind or a result', async t => {
  const {client} = await startClient(t);
  t.like(await client.read('A', 'missing'), {kind: 'error', error: {kind: 'not-found'}});
  t.like(await client.write({...write('w1'), value: 'x'.repeat(1_048_576)}), {kind: 'error', error: {kind: 'too-large'}});
  await client.write(write('w1'));
  t.like(await client.list('A'), {kind: 'ok', value: [{name: 'a', version: 1}]});
});

test('a broken watch resumes without a lost or repeated change', async t => {
  const {emulator, client} = await startClient(t);
  const events: WatchEvent[] = [];
  const changed = new Promise<void>(resolve => {
    client.watch('A', 0, event => {
      events.push(event);
      if (event.kind !== 'changed' || event.object.version === 3) {
        resolve();
      }
    });
  });
  await client.write(write('w1'));
  await waitUntil(() => events.length === 1);
  emulator.breakWatches();
  await client.write(write('w2', 1));
  await client.write(write('w3', 2));
  await changed;
  t.deepEqual(events.map(event => event.kind === 'changed' ? event.object.version : event), [1, 2, 3]);
  t.is(emulator.counts().watch, 2);
});

test('calls beyond the burst are spaced at the sustained rate', t => {
  const limiter = createRateLimiter({ratePerSecond: 10, burst: 2}, 0);
  t.deepEqual([0, 0, 0, 0].map(now => reserveToken(limiter, now)), [0, 0, 100, 200]);
  t.is(reserveToken(limiter, 10_000), 0);
});

test('the backoff doubles with each failure up to its bound and is reset by a response', t => {
  const limiter = createRateLimiter({backoffBaseMs: 100, backoffMaxMs: 400}, 0);
  const waits = [0, 1000, 2000, 3000].map(now => {
    recordFailure(limiter, now, () => 0.5);
    return reserveToken(limiter, now);
  });
  t.deepEqual(waits, [50, 100, 200, 200]);
  recordResponse(limiter);
  recordFailure(limiter, 4000, () => 0.5);
  t.is(reserveToken(limiter, 4000), 50);
});
