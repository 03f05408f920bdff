/**
Guards against accepting messages from unauthenticated senders, against reusing a connection that no longer responds,
against overwriting a configuration that cannot be decoded and against acting on events of a watch that was closed.
*/
import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import test, {type ExecutionContext} from 'ava';
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, emptyConfiguration, hashObjects, type Configuration,
} from '../../../objects/configuration.js';
import {declaredObjectSchema} from '../../../objects/schema.js';
import type {PlatformClient, PlatformObject, WatchEvent} from '../../../platform/client.js';
import {fail, ok} from '../../../shared/result.js';
import type {FleetEvent, Message} from '../../../decisions/fleet/fleet.js';
import {CLOCK_SKEW_MAX_MS, ENVELOPE_BYTES_MAX, MESSAGE_LENGTH_MAX} from '../constants.js';
import {createEnvelopeCodec, type Envelope} from '../envelope.js';
import {createFleetAgent, type FleetAgent, type FleetCounterEvent} from '../fleet-agent.js';
import {createPlatformAdapter} from '../platform-adapter.js';
import {
  createFleetRequestHandler, createEnvelopeSender, fleetRouter, TRPC_PATH, type EnvelopeReceiver,
} from '../transport.js';

const KEY = 'fleet-key';
let wallNow = 1_000_000;
const codecOf = (host: string, key = KEY) => createEnvelopeCodec({
  host, incarnation: `${host}-1`, address: `a-${host}`, fleetKey: key, wallClock: () => wallNow,
});
const messageFrom = (host: string, reason = ''): Message => ({
  from: {
    host, zone: 'north', address: `a-${host}`, incarnation: `${host}-1`, generation: 1, version: 1, sequence: 0, hash: 'h', digest: 0,
  },
  body: {kind: 'report', reason},
});

const configurationOf = (sequence: number): Configuration => {
  const objects = [declaredObjectSchema.parse({kind: 'Service', name: `s${sequence}`})];
  return {
    ...emptyConfiguration, sequence, objects, hash: hashObjects(objects),
  };
};

const startServer = async (t: ExecutionContext, listener: RequestListener): Promise<string> => {
  const server = createServer(listener);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const invalidEnvelopes: Array<[title: string, change: (envelope: Envelope) => Envelope, reason: string]> = [
  ['an altered message', envelope => ({...envelope, content: envelope.content.replace('north', 'south')}), 'forged'],
  ['a later time', envelope => ({...envelope, sentAt: envelope.sentAt + 1}), 'forged'],
  ['another sequence number', envelope => ({...envelope, sequence: 99}), 'forged'],
  ['another key', () => codecOf('n1', 'other').seal('a-n2', messageFrom('n1')), 'forged'],
  ['another recipient', () => codecOf('n1').seal('a-n3', messageFrom('n1')), 'wrong-recipient'],
  ['another sender inside', () => codecOf('n1').seal('a-n2', messageFrom('n4')), 'sender-mismatch'],
  ['content of another schema', () => codecOf('n1').seal('a-n2', {...messageFrom('n1'), extra: 1} as Message), 'malformed'],
  ['a reason that is too long', () => codecOf('n1').seal('a-n2', messageFrom('n1', 'x'.repeat(201))), 'malformed'],
];
for (const [title, change, reason] of invalidEnvelopes) {
  test.serial(`an envelope with ${title} is rejected as ${reason}`, t => {
    t.like(codecOf('n2').open(change(codecOf('n1').seal('a-n2', messageFrom('n1')))), {kind: 'error', error: {kind: reason}});
  });
}

test.serial('old and replayed messages are rejected, messages that arrive out of order are accepted', t => {
  const [sender, receiver] = [codecOf('n1'), codecOf('n2')];
  const [first, second, third] = [1, 2, 3].map(() => sender.seal('a-n2', messageFrom('n1'))) as [Envelope, Envelope, Envelope];
  t.is(receiver.open(second).kind, 'ok');
  t.is(receiver.open(first).kind, 'ok');
  t.like(receiver.open(first), {error: {kind: 'replayed'}});
  wallNow += CLOCK_SKEW_MAX_MS + 1;
  t.like(receiver.open(third), {error: {kind: 'old'}});
});

test.serial('a large message without a configuration is rejected', t => {
  const records = Array.from({length: 1000}, (_, index) => ({
    ...messageFrom('n1').from, host: `h${index}`.padEnd(128, 'x'), state: 'alive' as const,
  })).map(({sequence: _s, hash: _h, digest: _d, ...record}) => record);
  const message: Message = {...messageFrom('n1'), body: {kind: 'records', records}};
  t.true(JSON.stringify(message).length > MESSAGE_LENGTH_MAX);
  t.like(codecOf('n2').open(codecOf('n1').seal('a-n2', message)), {error: {kind: 'too-large'}});
});

test('a request that is too large or not an envelope is rejected and counted, and other paths are left to the caller', async t => {
  const rejected: string[] = [];
  const handler = createFleetRequestHandler(() => ok(undefined), reason => rejected.push(reason));
  const address = await startServer(t, (request, response) => {
    if (!handler(request, response)) {
      response.writeHead(404).end();
    }
  });
  const statusOf = async (path: string, body: string) => {
    const response = await fetch(`http://${address}${path}`, {method: 'POST', headers: {'content-type': 'application/json'}, body});
    return response.status;
  };

  t.is(await statusOf('/chiuse', '{}'), 404);
  t.is(await statusOf('/trpc/deliver', '{"host":"n1"}'), 400);
  t.is(await statusOf('/trpc/deliver', `"${'x'.repeat(ENVELOPE_BYTES_MAX)}"`), 413);
  t.deepEqual(rejected, ['malformed', 'too-large']);
});

const validBody = JSON.stringify(codecOf('n1').seal('a-n2', messageFrom('n1')));
const forgedBody = JSON.stringify(codecOf('n1', 'other').seal('a-n2', messageFrom('n1')));
const requests: Array<[title: string, method: string, path: string, body: string | undefined]> = [
  ['an envelope with a reply', 'POST', 'deliver', validBody],
  ['an envelope without a reply', 'POST', 'deliver', validBody.replace('"n1"', '"n9"')],
  ['a forged envelope', 'POST', 'deliver', forgedBody],
  ['an envelope without a field', 'POST', 'deliver', '{"host":"n1"}'],
  ['a body that is not JSON', 'POST', 'deliver', '{'],
  ['an empty body', 'POST', 'deliver', ''],
  ['an unknown procedure', 'POST', 'other', validBody],
  ['another method', 'GET', 'deliver', undefined],
];
for (const [title, method, path, body] of requests) {
  test(`${title} gets the same response as from the standalone tRPC adapter, so that processes of other releases can parse it`, async t => {
    const reply = codecOf('n2').seal('a-n1', messageFrom('n2'));
    const receive: EnvelopeReceiver = envelope => {
      if (envelope.host === 'n9') {
        return ok(undefined);
      }

      const opened = codecOf('n2').open(envelope);
      return opened.kind === 'error' ? fail(opened.error) : ok(reply);
    };

    const handler = createFleetRequestHandler(receive, () => undefined);
    const ownAddress = await startServer(t, (request, response) => {
      handler(request, response);
    });
    const standardAddress = await startServer(t, createHTTPHandler({router: fleetRouter, basePath: TRPC_PATH, createContext: () => ({receive})}));
    const responseOf = async (address: string) => {
      const response = await fetch(`http://${address}${TRPC_PATH}${path}`, {method, headers: {'content-type': 'application/json'}, body});
      const {result, error} = await response.json() as {result?: unknown; error?: {code: number; data: {code: string; httpStatus: number}}};
      return {
        status: response.status, result, code: error?.code, dataCode: error?.data.code, httpStatus: error?.data.httpStatus,
      };
    };

    t.deepEqual(await responseOf(ownAddress), await responseOf(standardAddress));
  });
}

test('a connection that no longer responds is replaced', async t => {
  const handler = createFleetRequestHandler(() => ok(undefined), () => undefined);
  const silentSockets = new Set<unknown>();
  const respondingSockets = new Set<unknown>();
  let isSilent = true;
  const address = await startServer(t, (request, response) => {
    (isSilent ? silentSockets : respondingSockets).add(request.socket);
    if (!isSilent) {
      handler(request, response);
    }
  });
  const sender = createEnvelopeSender();
  const codec = codecOf('n1');
  // The first attempts can time out before the server has received a request.
  for (let attempt = 0; attempt < 20 && silentSockets.size === 0; attempt++) {
    await t.throwsAsync(sender.deliver(address, codec.seal(address, messageFrom('n1')), 100)); // eslint-disable-line no-await-in-loop
  }

  isSilent = false;
  t.is(await sender.deliver(address, codec.seal(address, messageFrom('n1')), 10_000), undefined);
  t.true(silentSockets.size > 0);
  t.deepEqual([...respondingSockets].filter(socket => silentSockets.has(socket)), []);
  await sender.close();
});

const createFakePlatform = () => {
  const objects = new Map<string, PlatformObject>();
  const watches = new Set<(event: WatchEvent) => void>();
  let version = 0;
  let isDown = false;
  const unreachable = fail({kind: 'unreachable', message: 'the platform is down'} as const);
  const client: PlatformClient = {
    async read(kind, name) {
      const object = objects.get(`${kind}/${name}`);
      return isDown ? unreachable : (object === undefined ? fail({kind: 'not-found', message: 'not found'}) : ok(object));
    },
    list: async () => ok([...objects.values()]),
    async write({kind, name, value, expectedVersion}) {
      const current = objects.get(`${kind}/${name}`);
      if (isDown || current?.version !== expectedVersion) {
        return isDown ? unreachable : fail({kind: 'conflict', message: 'conflict', current});
      }

      const object = {
        kind, name, value, version: ++version,
      };
      objects.set(`${kind}/${name}`, object);
      for (const onEvent of kind === CONFIGURATION_KIND ? watches : []) {
        onEvent({kind: 'changed', object});
      }

      return ok(object);
    },
    watch(_, __, onEvent) {
      watches.add(onEvent);
      return {close: () => watches.delete(onEvent)};
    },
    async close() {
      watches.clear();
    },
  };
  const put = async (configuration: Configuration, expectedVersion?: number) =>
    client.write({
      kind: CONFIGURATION_KIND, name: CONFIGURATION_NAME, value: configuration, expectedVersion,
    });
  const setDown = (value: boolean) => {
    isDown = value;
  };

  return {
    client, objects, watches, put, setDown,
  };
};

test('a configuration that cannot be decoded is reported as a failure, so that it is not overwritten', async t => {
  const platform = createFakePlatform();
  const events: FleetEvent[] = [];
  await platform.put({...configurationOf(1), sequence: 'x'} as unknown as Configuration);
  const adapter = createPlatformAdapter({platform: platform.client, now: () => 0, onEvent: event => events.push(event)});
  adapter.watch(true);
  await sleep(1);
  t.deepEqual(events.map(({kind}) => kind), ['configuration-failed']);
});

test('reopening the watch leaves one watch open, and a late event of the closed one is ignored', async t => {
  const platform = createFakePlatform();
  const events: FleetEvent[] = [];
  const adapter = createPlatformAdapter({platform: platform.client, now: () => 0, onEvent: event => events.push(event)});
  adapter.watch(true);
  await sleep(1);
  const [closed] = platform.watches;
  adapter.watch(false);
  closed!({kind: 'broken', message: 'late'});
  t.is(platform.watches.size, 1);
  t.deepEqual(events.map(({kind}) => kind), ['configuration-read']);
  adapter.stopWatching();
  t.is(platform.watches.size, 0);
});

/** Waits for a condition. The limit only prevents the test from hanging. */
const waitUntil = async (condition: () => boolean, rounds = 400): Promise<void> => {
  for (let round = 0; round < rounds && !condition(); round++) {
    await sleep(50); // eslint-disable-line no-await-in-loop
  }
};

test('three processes on loopback discover each other, share configuration and endpoints, and detect a member that leaves', async t => {
  const platform = createFakePlatform();
  const counterEvents: FleetCounterEvent[] = [];
  const configurationSteps: Array<{index: number; step: 'sent' | 'in force'}> = [];
  const fleets: FleetAgent[] = [];
  t.teardown(async () => Promise.all(fleets.map(async fleet => fleet.stop())));
  const start = async (index: number, contacts: string[]) => {
    const address = await startServer(t, (request, response) => {
      fleets[index]!.handler(request, response);
    });
    const fleet = createFleetAgent({
      host: `n${index}`, zone: 'north', address, incarnation: `i${index}`, contacts, fleetKey: KEY, platform: platform.client, onCount(count) {
        counterEvents.push(count);
        if (count.counter === 'message-sent' && count.kind === 'configuration-change') {
          configurationSteps.push({index, step: 'sent'});
        }
      },
    });
    fleets[index] = fleet;
    fleet.onConfiguration(() => {
      configurationSteps.push({index, step: 'in force'});
    });
    fleet.start();
    fleet.setBackendServer({
      service: 'chiuse', slots: 50, connections: 410, coldStartMs: 0, draining: false, labels: {},
    });
    return address;
  };

  const contact = await start(0, []);
  await start(1, [contact]);
  await start(2, [contact]);
  await platform.put(configurationOf(1));
  await waitUntil(() => fleets.every(fleet => fleet.endpoints().length === 3 && fleet.configuration().sequence === 1));
  t.deepEqual(fleets.map(fleet => fleet.endpoints().length), [3, 3, 3]);
  t.deepEqual(fleets.map(fleet => fleet.configuration().sequence), [1, 1, 1]);
  await waitUntil(() => platform.objects.has('ZoneStatus/north'));
  t.like(platform.objects.get('ZoneStatus/north'), {value: {zone: 'north'}});

  // If a process compiled the configuration before pushing it, every hop of the distribution would add the compile time.
  await waitUntil(() => configurationSteps.filter(({step}) => step === 'in force').length === 3);
  configurationSteps.length = 0;
  await platform.put(configurationOf(2), platform.objects.get(`${CONFIGURATION_KIND}/${CONFIGURATION_NAME}`)!.version);
  await waitUntil(() => configurationSteps.filter(({step}) => step === 'in force').length === 3);
  t.deepEqual([0, 1, 2].map(index => configurationSteps.find(step => step.index === index)?.step), ['sent', 'sent', 'sent']);

  fleets[2]!.setDraining();
  await waitUntil(() => fleets[0]!.endpoints().some(({draining}) => draining));
  t.deepEqual(fleets[0]!.endpoints().filter(({draining}) => draining).map(({host}) => host), ['n2']);
  await fleets[2]!.leave();
  await waitUntil(() => fleets.slice(0, 2).every(fleet => fleet.endpoints().length === 2));
  t.deepEqual(fleets.slice(0, 2).map(fleet => fleet.endpoints().length), [2, 2]);
  t.false(counterEvents.some(({counter}) => counter === 'message-rejected'));
  // Replies count as sent messages, too; without them the counters would show half of the bytes sent.
  t.true(counterEvents.some(count => count.counter === 'message-sent' && count.kind === 'ack'));
});
