/** Tests that admission is fair between client groups and priorities and leaves no slots idle. */
import test from 'ava';
import fc from 'fast-check';
import {createRandom} from '../../../shared/random.js';
import {
  admittedFraction, allocateToGroups, allocateToPriorities, createAdmission, isAdmitted, observeDemand, retryAfterMs, updateAdmission, type Admission, type GroupDemand,
} from '../admission.js';
import {SEED} from './harness.js';

const createGroup = (demand: number, weight: number): GroupDemand => ({
  weight, demand, arrivedMs: 0, fraction: 1,
});
const BUSY_WINDOW = {
  elapsedMs: 100, utilisation: 1, isQueueEmpty: false, queueRejections: 1, spareQueueMs: 0, minimumShares: [] as number[],
};
type Demands = Array<[priority: number, group: string, slots: number, fraction?: number]>;
const runWindows = (admission: Admission, demands: Demands, capacity: number, {windows = 40, minimumShares = []}: {windows?: number; minimumShares?: number[]} = {}): void => {
  for (let window = 0; window < windows; window++) {
    for (const [priority, group, slots, fraction] of demands) {
      // Only the admitted part of the demand is observed, also when upstream processes have throttled it.
      const admitted = Math.min(fraction ?? 1, admittedFraction(admission, priority, group));
      observeDemand(admission, {
        priority, group, admissionHash: 0, fraction: fraction ?? 1,
      }, 1, slots * 100 * admitted);
    }

    updateAdmission(admission, {...BUSY_WINDOW, capacity: capacity / admission.overcommitRatio, minimumShares});
  }
};

/** Reference model of max-min fairness: finds by bisection the common level that uses up the capacity. */
const referenceShares = (groups: GroupDemand[], capacity: number): number[] => {
  let [low, high] = [0, 1e6];
  for (let round = 0; round < 100; round++) {
    const level = (low + high) / 2;
    let used = 0;
    for (const {demand, weight} of groups) {
      used += Math.min(demand, level * weight);
    }

    [low, high] = used <= capacity ? [level, high] : [low, level];
  }

  return groups.map(({demand, weight}) => Math.min(demand, low * weight));
};

test('groups get their weighted max-min fair shares', t => {
  t.log(`seed ${SEED}`);
  const group = fc.tuple(fc.double({min: 0.01, max: 1000, noNaN: true}), fc.double({min: 0.01, max: 1000, noNaN: true}));
  fc.assert(fc.property(fc.array(group, {minLength: 1, maxLength: 30, size: 'max'}), fc.double({min: 0, max: 2000, noNaN: true}), (members, capacity) => {
    const groups = members.map(([demand, weight]) => createGroup(demand, weight));
    const expected = referenceShares(groups, capacity);
    allocateToGroups(groups, capacity);
    return groups.every(({demand, fraction}, index) => Math.abs(fraction - Math.max(0.01, expected[index]! / demand)) < 1e-6);
  }), {seed: SEED, numRuns: 500});
  t.pass();
});

/** Reference model: allocates a tenth of a slot at a time, first to priorities below their minimum, then in strict order. */
const referenceAllocation = (demands: number[], capacity: number, tenths: number[]): number[] => {
  const given = demands.map((_, priority) => priority === 0 ? Math.min(demands[0]!, capacity) * 10 : 0);
  const rest = Math.max(0, capacity - demands[0]!);
  for (let unit = 0; unit < rest * 10; unit++) {
    const findBelow = (limitOf: (priority: number) => number): number => given.findIndex((units, priority) => units < Math.min(demands[priority]! * 10, limitOf(priority)));
    const belowMinimum = findBelow(priority => rest * (priority === 0 ? 0 : tenths[priority]!));
    const next = belowMinimum === -1 ? findBelow(() => Number.POSITIVE_INFINITY) : belowMinimum;
    if (next !== -1) {
      given[next]!++;
    }
  }

  return given.map(units => units / 10);
};

test('priorities get their minimum shares, then the rest in strict order', t => {
  t.log(`seed ${SEED}`);
  const priority = fc.tuple(fc.nat(30), fc.nat(3));
  fc.assert(fc.property(fc.array(priority, {minLength: 1, maxLength: 4}), fc.nat(60), (priorities, capacity) => {
    const [demands, tenths] = [priorities.map(([demand]) => demand), priorities.map(([, share]) => share)];
    const expected = referenceAllocation(demands, capacity, tenths);
    const {allocated} = allocateToPriorities(demands, capacity, tenths.map(share => share / 10));
    return allocated.every((slots, index) => Math.abs(slots - expected[index]!) < 1e-9);
  }), {seed: SEED, numRuns: 1000});
  t.pass();
});

const cases: Array<[title: string, demands: Demands, capacity: number, expected: Array<[number, string, number]>, minimumShares?: number[]]> = [
  ['demand within the capacity is not throttled', [[0, 'a', 4], [1, 'a', 5]], 10, [[0, 'a', 1], [1, 'a', 1]]],
  ['lower priorities are throttled first', [[0, 'a', 8], [1, 'a', 8]], 10, [[0, 'a', 1], [1, 'a', 0.25]]],
  ['a flooding group does not reduce the share of a small one', [[0, 'a', 1], [1, 'flood', 90], [1, 'small', 3]], 10, [[1, 'flood', 6 / 90], [1, 'small', 1]]],
  ['priorities below the throttled one get the minimum fraction', [[0, 'a', 8], [1, 'a', 8], [2, 'a', 5]], 10, [[2, 'a', 0.01], [2, 'unseen', 0.01]]],
  ['the fraction does not fall below its minimum', [[0, 'a', 5000]], 10, [[0, 'a', 0.01]]],
  ['demand includes calls that entry processes rejected early', [[0, 'a', 40, 0.25]], 10, [[0, 'a', 0.25]]],
  ['zero capacity gives the minimum fraction instead of a division by zero', [[0, 'a', 5], [1, 'a', 5]], 0, [[0, 'a', 0.01], [1, 'a', 0.01]]],
  // Of the 10.5 slots 0.5 are overcommitted; a priority that is throttled to its minimum gets them.
  ['a flood does not reduce the minimum share of a lower priority', [[0, 'a', 2], [1, 'flood', 80], [2, 'a', 10]], 10.5, [[0, 'a', 1], [1, 'flood', 6 / 80], [2, 'a', 0.25]], [0, 0, 0.25]],
  ['minimum shares do not reduce the highest priority', [[0, 'a', 9], [1, 'a', 5], [2, 'a', 5]], 10.5, [[0, 'a', 1], [1, 'a', 0.1], [2, 'a', 0.2]], [0.9, 0, 0.5]],
  ['the unused part of a minimum share goes to other priorities', [[1, 'a', 20], [2, 'a', 1]], 10, [[1, 'a', 9 / 20], [2, 'a', 1], [3, 'a', 0.01]], [0, 0, 0.5]],
  ['a new group can use a free minimum share', [[1, 'a', 20]], 10, [[1, 'a', 0.5], [2, 'unseen', 1], [3, 'unseen', 0.01]], [0, 0, 0.5]],
  ['calls with unknown service time are not throttled', [[0, 'a', 0]], 0, [[0, 'a', 1]]],
];

for (const [title, demands, capacity, expected, minimumShares] of cases) {
  test(title, t => {
    const admission = createAdmission();
    runWindows(admission, demands, capacity, {minimumShares});
    for (const [priority, group, fraction] of expected) {
      t.true(Math.abs(admittedFraction(admission, priority, group) - fraction) < 1e-3, `${group}: ${admittedFraction(admission, priority, group)}`);
    }
  });
}

test('lower priorities are rejected while the highest is throttled', t => {
  const admission = createAdmission();
  runWindows(admission, [[0, 'a', 20], [1, 'a', 1]], 10);
  const isCallAdmitted = (priority: number, admissionHash: number): boolean => isAdmitted(admission, {
    priority, group: 'a', admissionHash, fraction: 1,
  });
  t.deepEqual([isCallAdmitted(1, 0), isCallAdmitted(0, 0.4), isCallAdmitted(0, 0.6)], [false, true, false]);
});

test('full admission returns within 1 s after a tenfold surge', t => {
  const admission = createAdmission();
  runWindows(admission, [[0, 'a', 100]], 10);
  t.true(admittedFraction(admission, 0, 'a') < 0.11);
  runWindows(admission, [[0, 'a', 5]], 10, {windows: 10});
  t.is(admittedFraction(admission, 0, 'a'), 1);
});

test('a pause of the process does not change fractions, and idle slots raise the overcommit ratio while calls are throttled', t => {
  const admission = createAdmission();
  runWindows(admission, [[0, 'a', 40]], 10);
  const {overcommitRatio} = admission;
  const fraction = admittedFraction(admission, 0, 'a');
  updateAdmission(admission, {...BUSY_WINDOW, elapsedMs: 60_000, capacity: 10});
  t.is(admittedFraction(admission, 0, 'a'), fraction);
  updateAdmission(admission, {
    ...BUSY_WINDOW, capacity: 10, utilisation: 0.5, isQueueEmpty: true, queueRejections: 0,
  });
  t.true(admission.overcommitRatio > overcommitRatio);
});

test('ten thousand groups stay within the memory bound and the capacity, and are removed when idle', t => {
  const admission = createAdmission();
  runWindows(admission, Array.from({length: 10_000}, (_, index) => [index % 3, `g${index}`, 0.01]), 10, {windows: 10});
  t.true(admission.groupCount <= 4096 + 3);
  const admitted = admission.priorities.map(groups => {
    let total = 0;
    for (const {demand, fraction} of groups!.values()) {
      total += demand * fraction;
    }

    return total;
  });
  t.true(Math.abs(admitted[0]! - 10) < 0.01, `${admitted[0]}`);
  runWindows(admission, [], 10);
  t.is(admission.groupCount, 0);
});

test('retry-after is spread evenly and widens with the overload', t => {
  const random = createRandom(SEED);
  for (const [fraction, width] of [[1, 1000], [0.1, 10_000], [0.01, 60_000]] as const) {
    const waits = Array.from({length: 1000}, () => retryAfterMs(fraction, random));
    const tenths = waits.map(wait => Math.floor((wait - 100) * 10 / width));
    t.true(waits.every(wait => wait >= 100 && wait < 100 + width));
    t.true(Array.from({length: 10}, (_, tenth) => tenths.filter(value => value === tenth).length).every(count => count > 60 && count < 150));
  }
});

test('resends of rejected calls do not lower the fraction', t => {
  const admission = createAdmission();
  runWindows(admission, [[1, 'g', 20]], 10);
  const before = admittedFraction(admission, 1, 'g');
  for (let window = 0; window < 40; window++) {
    for (let resend = 0; resend < 100; resend++) {
      observeDemand(admission, {
        priority: 1, group: 'g', admissionHash: 0.99, fraction: 1,
      }, 1, 1000);
    }

    runWindows(admission, [[1, 'g', 20]], 10, {windows: 1});
  }

  t.true(Math.abs(admittedFraction(admission, 1, 'g') - before) < 0.01);
});

const queueCases: Array<[title: string, spareQueueMs: number, expected: number]> = [
  ['a short surge is admitted while the queue has room', 5000, 1],
  ['an overfull queue lowers the fraction', -2500, 0.25],
  ['an overfull queue does not stop admission', -1e6, 0.25],
];

for (const [title, spareQueueMs, expected] of queueCases) {
  test(title, t => {
    const admission = createAdmission();
    runWindows(admission, [[1, 'g', 20]], 10);
    observeDemand(admission, {
      priority: 1, group: 'g', admissionHash: 0, fraction: 1,
    }, 1, 2000 * admittedFraction(admission, 1, 'g'));
    updateAdmission(admission, {...BUSY_WINDOW, capacity: 10 / admission.overcommitRatio, spareQueueMs});
    t.true(Math.abs(admittedFraction(admission, 1, 'g') - expected) < 0.02, `${admittedFraction(admission, 1, 'g')}`);
  });
}
