/** Guards against a platform emulator that accepts writes the platform API rejects, which would hide lost updates. */
import test from 'ava';
import {createPlatformEmulator} from '../emulator.js';
import {createStore, VALUE_MAX_BYTES, type Condition} from '../store.js';

const cases: Array<[title: string, condition: Condition, kind: 'ok' | 'error']> = [
  ['creating an object that exists', {kind: 'absent'}, 'error'],
  ['replacing the current version', {kind: 'version', version: 2}, 'ok'],
  ['replacing an older version', {kind: 'version', version: 1}, 'error'],
  ['replacing a version newer than the current one', {kind: 'version', version: 3}, 'error'],
];

for (const [title, condition, kind] of cases) {
  test(`${title} gives ${kind}`, t => {
    const store = createStore(10);
    store.write('A', 'a', 1, {kind: 'absent'});
    store.write('A', 'a', 2, {kind: 'version', version: 1});
    t.is(store.write('A', 'a', 3, condition).kind, kind);
    t.is(store.read('A', 'a')?.value, kind === 'ok' ? 3 : 2);
  });
}

test('a value of 1 MiB is stored and a larger one is rejected', t => {
  const store = createStore(10);
  t.is(store.write('A', 'a', 'x'.repeat(VALUE_MAX_BYTES - 2), {kind: 'absent'}).kind, 'ok');
  t.like(store.write('A', 'b', 'x'.repeat(VALUE_MAX_BYTES - 1), {kind: 'absent'}), {kind: 'error', error: {kind: 'too-large'}});
});

test('a watch cannot resume from before the history or from a version newer than the current one', t => {
  const store = createStore(2);
  for (const name of ['a', 'b', 'c']) {
    store.write('A', name, 1, {kind: 'absent'});
  }

  t.deepEqual(store.changesAfter('A', 1)?.map(({version}) => version), [2, 3]);
  t.deepEqual(store.changesAfter('B', 1), []);
  t.is(store.changesAfter('A', 0), undefined);
  t.is(store.changesAfter('A', 4), undefined);
});

test('a restore reinstates the objects and the version counter of the snapshot', t => {
  const store = createStore(10);
  store.write('A', 'a', 1, {kind: 'absent'});
  const snapshot = store.snapshot();
  store.write('A', 'a', 2, {kind: 'version', version: 1});
  store.restore(snapshot);
  t.deepEqual([store.version(), store.read('A', 'a')?.value, store.changesAfter('A', 2)], [1, 1, undefined]);
});

test('faults set through the admin API affect object calls only, and calls are counted', async t => {
  const emulator = createPlatformEmulator({latencyMs: 0});
  const origin = `http://${await emulator.start()}`;
  t.teardown(emulator.stop);
  const statusOf = async (path: string, init?: RequestInit): Promise<number> => {
    const response = await fetch(`${origin}${path}`, init);
    return response.status;
  };

  const setFaults = async (faults: unknown): Promise<number> => statusOf('/.emulator/faults', {method: 'POST', body: JSON.stringify(faults)});

  t.is(await statusOf('/objects/A/a'), 404);
  t.is(await setFaults({outage: 'refuse'}), 200);
  await t.throwsAsync(statusOf('/objects/A/a'));
  t.is(await setFaults({outage: 'none', unknown: 1}), 400);
  t.is(await setFaults({outage: 'none'}), 200);
  t.is(await statusOf('/objects/A'), 200);
  t.is(await statusOf('/objects/A/a', {method: 'PUT', body: '1'}), 400);
  t.deepEqual(emulator.counts(), {
    read: 2, list: 1, write: 1, delete: 0, watch: 0,
  });
});
