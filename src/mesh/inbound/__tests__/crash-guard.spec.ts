/** Guards against blocks that are lost or that stay for ever because of what is kept in the store, and against hashing bodies of requests that nothing is known of. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createCrashGuard} from '../crash-guard.js';
import type {CrashRecord} from '../crash-records.js';
import {createDecisionLog} from '../../decision-log.js';
import type {CallHeader} from '../../message.js';
import {createRequestContent} from '../request-content.js';

const HOUR_MS = 60 * 60_000;

const call = (path: string, changes: Partial<CallHeader> = {}): CallHeader => ({
  requestId: 'r', service: 's', method: 'POST', path, rawHeaders: ['Host', 'h', 'X-Caller', 'c'], idempotent: true, isRepeat: false, priority: 0, route: 'r', remainingMs: 1000, targetMs: 1000, crashRecord: undefined, isTrial: false, ...changes,
});

const createGuard = () => {
  const time = {now: 1_000_000};
  const persisted: CrashRecord[][] = [];
  const published: CrashRecord[][] = [];
  const content = createRequestContent(rawHeaders => rawHeaders.at(-1));
  let bodiesHashed = 0;
  const guard = createCrashGuard({
    now: () => time.now,
    wallClock: () => time.now,
    self: 'a',
    nodes: () => ['a'],
    log: createDecisionLog({
      node: 'a', level: 'error', linesPerSecond: {
        debug: 0, info: 0, warn: 0, error: 0,
      },
    }),
    content: {
      headOf: content.headOf,
      idOf(header, body) {
        bodiesHashed++;
        return content.idOf(header, body);
      },
    },
    publish(records) {
      published.push(records);
    },
    persist(records) {
      persisted.push(records);
    },
  });
  const crash = (header: CallHeader, body: Buffer, count: number): void => {
    for (let index = 0; index < count; index++) {
      time.now += 1000;
      guard.recordCrash({id: `b/${time.now}`, at: time.now}, [{call: header, body}]);
    }
  };

  return {
    guard, time, persisted, published, crash, bodiesHashed: () => bodiesHashed,
  };
};

const body = Buffer.from('deadly');

test('a content that is blocked here is kept in the store, and removed once a run has come to its end', t => {
  const {guard, persisted, crash} = createGuard();
  crash(call('/x'), body, 2);
  guard.tick();
  t.deepEqual(persisted, []);
  crash(call('/x'), body, 1);
  guard.tick();
  guard.tick();
  t.is(persisted.length, 1);
  t.is(persisted[0]!.length, 1);
  guard.recordEnd(call('/x'), body);
  guard.tick();
  t.deepEqual(persisted.slice(1), [[]]);
});

const storedCases: Array<{title: string; ageMs: number; kind: string | undefined}> = [
  {title: 'a recent one blocks the request', ageMs: 1000, kind: 'blocked'},
  {title: 'one whose crashes are long past does not', ageMs: 2 * HOUR_MS, kind: undefined},
];

for (const {title, ageMs, kind} of storedCases) {
  test(`records that are found in the store: ${title}`, t => {
    const source = createGuard();
    source.crash(call('/x'), body, 3);
    const {guard, time, persisted} = createGuard();
    time.now = source.time.now + ageMs;
    guard.restore(source.guard.all(), true);
    t.is(guard.assess(call('/x'), body)?.suspicion.kind, kind as never);
    guard.tick();
    t.is(persisted.length, kind === undefined ? 0 : 1);
  });
}

const contents: Array<{title: string; header: CallHeader; body: Buffer; isSame: boolean}> = [
  {
    title: 'the same request under another id', header: call('/x', {requestId: 'other', priority: 3}), body, isSame: true,
  },
  {
    title: 'another path', header: call('/y'), body, isSame: false,
  },
  {
    title: 'another query', header: call('/x?a=1'), body, isSame: false,
  },
  {
    title: 'another method', header: call('/x', {method: 'PUT'}), body, isSame: false,
  },
  {
    title: 'another body of the same length', header: call('/x'), body: Buffer.from('harmle'), isSame: false,
  },
  {
    title: 'another caller', header: call('/x', {rawHeaders: ['Host', 'h', 'X-Caller', 'd']}), body, isSame: false,
  },
  {
    title: 'another host name', header: call('/x', {rawHeaders: ['Host', 'i', 'X-Caller', 'c']}), body, isSame: false,
  },
];

for (const {title, header, body: otherBody, isSame} of contents) {
  test(`${title} is ${isSame ? '' : 'not '}taken for the blocked request`, t => {
    const {guard, crash} = createGuard();
    crash(call('/x'), body, 3);
    t.is(guard.assess(header, otherBody)?.suspicion.kind, isSame ? 'blocked' : undefined);
  });
}

test('bodies are not hashed while nothing is suspected, or when anything else differs', t => {
  const {guard, crash, bodiesHashed} = createGuard();
  guard.assess(call('/x'), body);
  guard.recordEnd(call('/x'), body);
  t.is(bodiesHashed(), 0);
  crash(call('/x'), body, 3);
  const before = bodiesHashed();
  guard.assess(call('/y'), body);
  guard.recordEnd(call('/y'), body);
  t.is(bodiesHashed(), before);
  guard.assess(call('/x'), body);
  t.is(bodiesHashed(), before + 1);
});

test('what is heard from another process is passed on once', t => {
  const source = createGuard();
  source.crash(call('/x'), body, 1);
  const {guard, published} = createGuard();
  guard.merge(source.guard.all());
  guard.merge(source.guard.all());
  t.is(published.length, 1);
});
