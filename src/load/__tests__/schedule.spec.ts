/** Guards against a schedule that omits phases or restarts, or that differs between runs with the same seed. */
import test from 'ava';
import {createRandom} from '../../shared/random.js';
import {createSchedule, type Arrival} from '../schedule.js';
import {loadSettingsSchema, type LoadSettingsInput} from '../settings.js';

const createScheduleWith = (change: Partial<LoadSettingsInput>) => createSchedule(loadSettingsSchema.parse({
  entries: ['127.0.0.1:1'],
  durationMs: 30_000,
  devices: 50,
  kinds: [
    {
      name: 'status', service: 'statusrog', method: 'GET', path: '/channels', idempotent: true, priority: 2, deadlineMs: 1000, ratePerSecond: 100,
    },
    {
      name: 'book', service: 'chiuse', method: 'POST', path: '/closures', idempotent: false, priority: 0, deadlineMs: 1000, ratePerSecond: 20,
    },
  ],
  ...change,
}), createRandom(7));

const countBetween = (arrivals: Arrival[], fromMs: number, toMs: number, kind: string) =>
  arrivals.filter(({atMs, kind: {name}}) => atMs >= fromMs && atMs < toMs && name === kind).length;

test('arrivals are ordered, have unique ids and are reproducible from the seed', t => {
  const {arrivals} = createScheduleWith({});
  t.deepEqual(arrivals, createScheduleWith({}).arrivals);
  t.true(arrivals.every(({atMs}, index) => index === 0 || atMs >= arrivals[index - 1]!.atMs));
  t.is(new Set(arrivals.map(({id}) => id)).size, arrivals.length);
});

const rates: Array<[title: string, fromMs: number, kind: string, expected: number]> = [
  ['before the phase', 0, 'status', 1000],
  ['of the kind in the phase', 10_000, 'status', 4000],
  ['of another kind in the phase', 10_000, 'book', 200],
  ['after the phase', 20_000, 'status', 1000],
];

for (const [title, fromMs, kind, expected] of rates) {
  test(`the rate ${title} matches the settings`, t => {
    const {arrivals} = createScheduleWith({
      phases: [{
        fromMs: 10_000, toMs: 20_000, factor: 4, kinds: ['status'],
      }],
    });
    // Five standard deviations of a Poisson count.
    t.true(Math.abs(countBetween(arrivals, fromMs, fromMs + 10_000, kind) - expected) < 5 * Math.sqrt(expected));
  });
}

test('a rate factor on one group does not affect the other groups', t => {
  const {arrivals} = createScheduleWith({
    groups: [{name: 'a', share: 1}, {name: 'b', share: 1}],
    phases: [{
      fromMs: 0, toMs: 30_000, factor: 5, groups: ['a'],
    }],
  });
  const countOf = (name: string) => arrivals.filter(({group}) => group.name === name).length;
  t.true(Math.abs((countOf('a') / countOf('b')) - 5) < 0.5);
});

test('a restart affects each device once and adds its burst', t => {
  const {arrivals, restarts} = createScheduleWith({
    restarts: [{atMs: 5000, spreadMs: 500, burstPerDevice: 10}],
  });
  t.is(new Set(restarts.map(({deviceIndex}) => deviceIndex)).size, 50);
  t.true(restarts.every(({atMs}) => atMs >= 5000 && atMs < 5500));
  const burst = arrivals.filter(({atMs}) => restarts.some(restart => restart.atMs === atMs));
  t.is(burst.length, 500);
});
