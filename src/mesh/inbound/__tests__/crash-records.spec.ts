/** Guards against a request that crashes backend server after backend server, and against refusing requests that only ran beside it. */
import test from 'ava';
import fc from 'fast-check';
import {createRandom} from '../../../shared/random.js';
import {createCrashRecords, type CrashRecord, type CrashRecords} from '../crash-records.js';
import {simulateCrashes} from './crash-simulation.js';

const BLOCK_MS = 60_000;

const START = {now: 0};

const createRecords = (time: {now: number} = START, self = 'a'): CrashRecords => createCrashRecords({now: () => time.now, self, nodes: () => ['a', 'b', 'c', 'd']});

/** Blames crashes at a second from each other. */
const blameTimes = (records: CrashRecords, content: string, count: number, firstId = 0): void => {
  for (let crash = 0; crash < count; crash++) {
    records.blame({id: `b/${firstId + crash}`, at: 1000 * (firstId + crash)}, [content]);
  }
};

const kinds: Array<{crashes: number; kind: string}> = [
  {crashes: 0, kind: 'none'},
  {crashes: 1, kind: 'suspected'},
  {crashes: 2, kind: 'isolated'},
  {crashes: 3, kind: 'blocked'},
  {crashes: 20, kind: 'blocked'},
];

for (const {crashes, kind} of kinds) {
  test(`a request that is blamed for ${crashes} crashes is treated as ${kind}, until it has run to its end`, t => {
    const records = createRecords();
    blameTimes(records, 'content', crashes);
    t.is(records.assess('content').kind, kind as never);
    records.clear('content');
    t.is(records.assess('content').kind, 'none');
    t.is(records.assess('other').kind, 'none');
  });
}

test('a request that is cleared after each crash is never blocked', t => {
  const records = createRecords();
  for (let crash = 0; crash < 20; crash++) {
    records.blame({id: `b/${crash}`, at: crash * 1000}, ['popular']);
    t.is(records.assess('popular').kind, 'suspected');
    records.clear('popular');
  }
});

test('a crash is blamed on the requests that have most crashes already', t => {
  const records = createRecords();
  records.blame({id: 'b/1', at: 0}, ['deadly', 'beside']);
  records.blame({id: 'b/2', at: 1000}, ['deadly', 'beside', 'new']);
  records.blame({id: 'b/3', at: 2000}, ['deadly', 'new', 'newer']);
  t.deepEqual(['deadly', 'beside', 'new', 'newer'].map(content => records.assess(content).kind), ['blocked', 'isolated', 'none', 'none']);
});

test('backend servers that are lost at the same moment count as one crash, also for a process that learns of them later', t => {
  const records = createRecords();
  for (let backend = 0; backend < 8; backend++) {
    records.blame({id: `b${backend}/1`, at: 1000 + (backend % 3)}, ['popular']);
  }

  const later = createRecords();
  later.merge(records.all());
  t.deepEqual([records.assess('popular').kind, later.assess('popular').kind], ['suspected', 'suspected']);
});

test('a process that has just started learns which requests are blocked', t => {
  const records = createRecords();
  blameTimes(records, 'deadly', 3);
  const started = createRecords();
  started.merge(records.all());
  t.is(started.assess('deadly').kind, 'blocked');
});

test('a blocked request is tried again by one process only, after a time that doubles with each crash', t => {
  const time = {now: 0};
  const names = ['a', 'b', 'c', 'd'];
  const processes = names.map(name => createRecords(time, name));
  for (let crash = 0; crash < 3; crash++) {
    for (const records of processes) {
      records.blame({id: `b/${crash}`, at: crash * 1000}, ['deadly']);
    }
  }

  const kindsNow = (): string[] => processes.map(records => records.assess('deadly').kind);
  time.now = BLOCK_MS - 1;
  t.deepEqual(kindsNow(), names.map(() => 'blocked'));
  time.now = BLOCK_MS;
  t.is(kindsNow().filter(kind => kind === 'on-trial').length, 1);
  processes[kindsNow().indexOf('on-trial')]!.beginTrial('deadly');
  t.deepEqual(kindsNow(), names.map(() => 'blocked'));
  for (const records of processes) {
    records.blame({id: 'b/4', at: 100_000}, ['deadly']);
  }

  time.now = (3 * BLOCK_MS) - 1;
  t.deepEqual(kindsNow(), names.map(() => 'blocked'));
  time.now = 3 * BLOCK_MS;
  t.is(kindsNow().filter(kind => kind === 'on-trial').length, 1);
});

test('the processes are put in order once a block, not for each request', t => {
  const time = {now: 0};
  let orders = 0;
  const records = createCrashRecords({
    now: () => time.now, self: 'none', nodes() {
      orders++;
      return ['a', 'b', 'c'];
    },
  });
  blameTimes(records, 'deadly', 3);
  time.now = BLOCK_MS;
  for (let request = 0; request < 100; request++) {
    t.is(records.assess('deadly').kind, 'blocked');
  }

  t.is(orders, 1);
});

test('the records are bounded, and blocked requests are dropped last', t => {
  const records = createRecords();
  blameTimes(records, 'deadly', 3);
  for (let content = 0; content < 6000; content++) {
    records.blame({id: `b/${content}`, at: content * 1000}, [`content-${content}`]);
  }

  t.true(records.all().length <= 5000);
  t.is(records.assess('deadly').kind, 'blocked');
});

test('records are removed when their crashes are long past', t => {
  const time = {now: 0};
  const records = createRecords(time);
  blameTimes(records, 'deadly', 3);
  blameTimes(records, 'beside', 1, 10);
  time.now = 11 * 60_000;
  records.removeExpired();
  t.deepEqual(records.all().map(({content}) => content), ['deadly']);
  time.now = 5 * 60 * 60_000;
  records.removeExpired();
  t.true(records.isEmpty());
});

test('records of several processes agree in whatever order they are merged', t => {
  const crash = fc.record({id: fc.constantFrom('b/1', 'b/2', 'b/3', 'b/4'), at: fc.constant(0)}).map(({id}) => ({id, at: Number(id.slice(2)) * 1000}));
  const record: fc.Arbitrary<CrashRecord> = fc.record({
    content: fc.constantFrom('x', 'y'), blamed: fc.array(crash, {maxLength: 3}), cleared: fc.array(fc.constantFrom('b/1', 'b/2', 'b/3'), {maxLength: 2}),
  });
  fc.assert(fc.property(fc.array(record, {maxLength: 8}), fc.integer(), (changes, seed) => {
    const random = createRandom(seed);
    const shuffled = changes.map(change => ({change, position: random()})).sort((a, b) => a.position - b.position).map(({change}) => change);
    const [first, second] = [createRecords(), createRecords()];
    first.merge(changes);
    second.merge([...shuffled, ...shuffled]);
    for (const content of ['x', 'y']) {
      t.deepEqual(first.assess(content), second.assess(content));
    }
  }), {seed: 27});
});

const loads: Array<{title: string; hosts: number; deadlyPerSecond: number; deadlyRunMs: number; lostZoneAt?: number}> = [
  {
    title: 'five backend servers', hosts: 5, deadlyPerSecond: 3, deadlyRunMs: 60,
  },
  {
    title: 'five backend servers and a crash soon after the start', hosts: 5, deadlyPerSecond: 3, deadlyRunMs: 5,
  },
  {
    title: 'thirty backend servers', hosts: 30, deadlyPerSecond: 3, deadlyRunMs: 60,
  },
  {
    title: 'thirty backend servers, of which ten are lost at once', hosts: 30, deadlyPerSecond: 0, deadlyRunMs: 60, lostZoneAt: 5000,
  },
];

/** Crashes that one request may cause, and sends that may be under way when it is blocked. */
const DEADLY_RUNS_MAX = 3 + 3;

for (const {title, ...load} of loads) {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]) {
    test(`${title}: the deadly request is stopped and nothing else is, seed ${seed}`, t => {
      const {deadlyRuns, refusedInnocents} = simulateCrashes({...load, seed});
      t.true(deadlyRuns <= DEADLY_RUNS_MAX, `${deadlyRuns} runs of the deadly request`);
      t.deepEqual(refusedInnocents, []);
    });
  }
}
