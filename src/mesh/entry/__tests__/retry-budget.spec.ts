/** Guards against retries that multiply in an overload: the limit on the retries of the whole fleet must hold in any window. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import {createRetryBudget, type CountedCalls} from '../retry-budget.js';
import {createWindowCounter} from '../../window-counter.js';

const WINDOW_MS = 10_000;
const RATIO = 0.2;

const cases = [
  {
    title: 'the slack alone', requests: 0, slack: 10, maximum: 10,
  },
  {
    title: 'a ratio of the requests', requests: 200, slack: 0, maximum: 40,
  },
  {
    title: 'the slack and a ratio of the requests', requests: 200, slack: 10, maximum: 50,
  },
];

/** Largest number of retries in any window. */
const maxRetriesInWindow = (takenAt: readonly number[]): number =>
  Math.max(0, ...takenAt.map(start => takenAt.filter(at => at >= start && at < start + WINDOW_MS).length));

for (const {title, requests, slack, maximum} of cases) {
  test(`the retries in any window are limited by ${title}`, t => {
    const clock = createManualClock();
    const budget = createRetryBudget({
      now: clock.now, ratio: RATIO, windowMs: WINDOW_MS, slack, processCount: () => 1, callCounts: () => undefined,
    });
    const takenAt: number[] = [];
    for (let step = 0; step < 400; step++) {
      clock.advance(50);
      for (let index = 0; index < requests / 200; index++) {
        budget.recordRequest('s');
      }

      if (budget.tryAcquire('s', 'urgent')) {
        takenAt.push(clock.now());
      }
    }

    t.true(takenAt.length > 0);
    t.true(maxRetriesInWindow(takenAt) <= maximum);
  });
}

test('each service has its own budget', t => {
  const budget = createRetryBudget({
    now: () => 0, ratio: 0, windowMs: 1000, slack: 2, processCount: () => 1, callCounts: () => undefined,
  });
  t.deepEqual([budget.tryAcquire('a', 'urgent'), budget.tryAcquire('a', 'urgent'), budget.tryAcquire('b', 'urgent')], [true, false, true]);
});

type FleetCase = {title: string; reportMs: number; urgentProcesses: number; processes: number};

const fleetCases: FleetCase[] = [
  {
    title: 'counts that are reported without delay', reportMs: 20, urgentProcesses: 15, processes: 15,
  },
  {
    title: 'counts that are up to a second old', reportMs: 1000, urgentProcesses: 15, processes: 15,
  },
  {
    title: 'one process with nearly all calls', reportMs: 250, urgentProcesses: 1, processes: 15,
  },
];

/** Simulates a fleet in which every call fails; `urgentProcesses` processes send 4 urgent calls per second in total, and one process sends 500 ordinary calls per second. */
const simulate = ({reportMs, urgentProcesses, processes}: FleetCase) => {
  const clock = createManualClock();
  const requests = createWindowCounter(clock.now, WINDOW_MS);
  const repeats = createWindowCounter(clock.now, WINDOW_MS);
  let reported: CountedCalls = {requests: 0, repeats: 0};
  const budgets = Array.from({length: processes}, () => createRetryBudget({
    now: clock.now, ratio: RATIO, windowMs: WINDOW_MS, slack: 50, processCount: () => processes, callCounts: () => reported,
  }));
  const takenAt: number[] = [];
  const urgent = {requested: 0, taken: 0};
  const send = (index: number, rank: 'urgent' | 'ordinary'): void => {
    budgets[index]!.recordRequest('s');
    requests.add();
    const taken = budgets[index]!.tryAcquire('s', rank);
    if (taken) {
      repeats.add();
      takenAt.push(clock.now());
    }

    urgent.requested += rank === 'urgent' ? 1 : 0;
    urgent.taken += rank === 'urgent' && taken ? 1 : 0;
  };

  for (let step = 0; step < 1000; step++) {
    clock.advance(20);
    if (clock.now() % reportMs === 0) {
      reported = {requests: requests.count(), repeats: repeats.count()};
    }

    for (let index = 0; index < 10; index++) {
      send(0, 'ordinary');
    }

    if (step % 12 === 0) {
      send(step % urgentProcesses, 'urgent');
    }
  }

  return {takenAt, urgent};
};

for (const fleet of fleetCases) {
  test(`the fleet keeps its limit and urgent calls are retried first: ${fleet.title}`, t => {
    const {takenAt, urgent} = simulate(fleet);
    // 504 requests per second over ten seconds, and the slack.
    t.true(maxRetriesInWindow(takenAt) <= (RATIO * 5040) + 50, `${maxRetriesInWindow(takenAt)} retries in a window`);
    t.true(urgent.taken / urgent.requested > 0.9, `${urgent.taken} of ${urgent.requested} urgent calls`);
  });
}
