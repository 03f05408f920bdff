/** Guards against an emulator that leaks the slots of aborted requests, mixes up ids, or is not announced to its daemon. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {Agent} from 'undici';
import {createBackendServerEmulator} from '../backend-server.js';
import {checkMessage, encodeMessage} from '../message.js';
import type {BackendServerSettingsInput} from '../settings.js';

const createSettings = (meanMs: number, change: Partial<BackendServerSettingsInput> = {}): BackendServerSettingsInput => ({
  name: 'c1', service: 'chiuse', address: '127.0.0.1:0', admin: '127.0.0.1:0', slots: 1, connections: 10, overflow: {kind: 'shed', retryAfterSeconds: 2},
  requestKinds: [{
    name: 'closure', methods: ['POST'], path: '/closures', idempotent: false, serviceTime: {meanMs, sigma: 0},
  }], ...change,
});

const post = async (agent: Agent, address: string, signal?: AbortSignal, headers = {}) => agent.request({
  origin: `http://${address}`, path: '/closures', method: 'POST', headers, body: encodeMessage('b1', 'chiuse', 10), signal,
});

const outcomeOf = async (call: Promise<unknown>): Promise<string> => {
  try {
    await call;
    return 'answered';
  } catch {
    return 'aborted';
  }
};

test('a response carries the id of the request body, and a second run with that id counts as a duplicate', async t => {
  const emulator = createBackendServerEmulator(createSettings(1));
  const {address} = await emulator.start();
  const agent = new Agent();
  const first = await post(agent, address);
  const body = Buffer.from(await first.body.arrayBuffer());
  t.like(checkMessage(body), {kind: 'whole', id: 'b1', service: 'chiuse'});
  const second = await post(agent, address);
  await second.body.dump();
  t.like(emulator.counters(), {completed: 2, duplicateRuns: 1, running: 0});
  await agent.close();
  await emulator.stop();
});

test('an aborted request is counted and frees its slot, and requests beyond the slots are shed', async t => {
  const emulator = createBackendServerEmulator(createSettings(60_000));
  const {address} = await emulator.start();
  const agent = new Agent();
  const caller = new AbortController();
  const aborted = outcomeOf(post(agent, address, caller.signal));
  while (emulator.counters().running === 0) {
    await new Promise(setImmediate); // eslint-disable-line no-await-in-loop
  }

  const shed = await post(agent, address);
  t.is(shed.statusCode, 503);
  t.is(shed.headers['retry-after'], '2');
  await shed.body.dump();
  caller.abort();
  t.is(await aborted, 'aborted');
  while (emulator.counters().running > 0) {
    await new Promise(setImmediate); // eslint-disable-line no-await-in-loop
  }

  t.like(emulator.counters(), {cancelled: 1, shed: 1});
  const late = await post(agent, address, undefined, {'jujubewell-deadline-ms': '5'});
  t.is(late.statusCode, 504);
  await late.body.dump();
  t.is(emulator.counters().deadlineExpired, 1);
  await agent.close();
  await emulator.stop();
});

test('a request whose deadline passes gets a response even if the timer fires slightly before the clock reaches the deadline', async t => {
  const emulator = createBackendServerEmulator(createSettings(60_000, {slots: 400, connections: 500}));
  const {address} = await emulator.start();
  const agent = new Agent({headersTimeout: 5000});
  const late = await Promise.all(Array.from({length: 400}, async () => post(agent, address, undefined, {'jujubewell-deadline-ms': '5'})));
  t.deepEqual([...new Set(late.map(({statusCode}) => statusCode))], [504]);
  await agent.destroy();
  await emulator.stop();
});

test('it announces itself to its daemon and withdraws when it leaves', async t => {
  const receivedRequests: string[] = [];
  const localDaemon = createServer((request, response) => {
    receivedRequests.push(`${request.method} ${request.url}`);
    request.resume();
    response.end();
  });
  localDaemon.listen(0, '127.0.0.1');
  await once(localDaemon, 'listening');
  const emulator = createBackendServerEmulator(createSettings(1, {local: `127.0.0.1:${(localDaemon.address() as AddressInfo).port}`}));
  const announced = once(localDaemon, 'request');
  await emulator.start();
  await announced;
  await emulator.stop();
  t.deepEqual([receivedRequests[0], receivedRequests.at(-1)], ['PUT /.jujubewell/backend-server', 'DELETE /.jujubewell/backend-server']);
  localDaemon.close();
});

const invalidCommands: Array<{title: string; body: string}> = [
  {title: 'text that is not JSON', body: '{"kind": '},
  {title: 'no body', body: ''},
  {title: 'an unknown command', body: '{"kind": "other"}'},
];

for (const {title, body} of invalidCommands) {
  test(`a control request with ${title} gets an error that names the remedy, and the emulator goes on`, async t => {
    const emulator = createBackendServerEmulator(createSettings(1));
    const {admin} = await emulator.start();
    const agent = new Agent();
    const request = async (path: string, text?: string) => agent.request({
      origin: `http://${admin}`, path, method: text === undefined ? 'GET' : 'POST', body: text, headersTimeout: 10_000,
    });
    const refused = await request('/control', body);
    t.is(refused.statusCode, 400);
    t.regex(await refused.body.text(), /slowness/u);
    const counters = await request('/counters');
    t.is(counters.statusCode, 200);
    await counters.body.dump();
    await agent.close();
    await emulator.stop();
  });
}
