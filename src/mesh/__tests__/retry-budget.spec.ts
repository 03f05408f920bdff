/** Guards against repeats that multiply in an overload: the fleet's bound on further sends in any window must hold. */
import test from 'ava';
import {createManualClock} from '../../shared/clock.js';
import {createRetryBudget, type CountedCalls} from '../retry-budget.js';
import {createWindowCounter} from '../window-counter.js';

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
    title: 'both', requests: 200, slack: 10, maximum: 50,
  },
];

/** Most sends in any window. */
const maxSendsInWindow = (takenAt: readonly number[]): number =>
  Math.max(0, ...takenAt.map(start => takenAt.filter(at => at >= start && at < start + WINDOW_MS).length));

for (const {title, requests, slack, maximum} of cases) {
  test(`${title} bounds the sends in any window`, t => {
    const clock = createManualClock();
    const budget = createRetryBudget({
      now: clock.now, ratio: RATIO, windowMs: WINDOW_MS, slack, processes: () => 1, counted: () => undefined,
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
    t.true(maxSendsInWindow(takenAt) <= maximum);
  });
}

test('services have budgets of their own', t => {
  const budget = createRetryBudget({
    now: () => 0, ratio: 0, windowMs: 1000, slack: 2, processes: () => 1, counted: () => undefined,
  });
  t.deepEqual([budget.tryAcquire('a', 'urgent'), budget.tryAcquire('a', 'urgent'), budget.tryAcquire('b', 'urgent')], [true, false, true]);
});

type FleetCase = {title: string; reportMs: number; urgentProcesses: number; processes: number};

const fleetCases: FleetCase[] = [
  {
    title: 'counts that arrive at once', reportMs: 20, urgentProcesses: 15, processes: 15,
  },
  {
    title: 'counts that are a second old', reportMs: 1000, urgentProcesses: 15, processes: 15,
  },
  {
    title: 'one process with nearly all calls', reportMs: 250, urgentProcesses: 1, processes: 15,
  },
];

/** Plays a fleet whose every call fails; `urgentProcesses` processes send urgent calls, 4 a second in all, and one process sends 500 ordinary calls a second. */
const simulate = ({reportMs, urgentProcesses, processes}: FleetCase) => {
  const clock = createManualClock();
  const requests = createWindowCounter(clock.now, WINDOW_MS);
  const repeats = createWindowCounter(clock.now, WINDOW_MS);
  let reported: CountedCalls = {requests: 0, repeats: 0};
  const budgets = Array.from({length: processes}, () => createRetryBudget({
    now: clock.now, ratio: RATIO, windowMs: WINDOW_MS, slack: 50, processes: () => processes, counted: () => reported,
  }));
  const takenAt: number[] = [];
  const urgent = {asked: 0, taken: 0};
  const send = (index: number, rank: 'urgent' | 'ordinary'): void => {
    budgets[index]!.recordRequest('s');
    requests.add();
    const taken = budgets[index]!.tryAcquire('s', rank);
    if (taken) {
      repeats.add();
      takenAt.push(clock.now());
    }

    urgent.asked += rank === 'urgent' ? 1 : 0;
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
  test(`the fleet keeps its bound and urgent calls are repeated first: ${fleet.title}`, t => {
    const {takenAt, urgent} = simulate(fleet);
    // 504 requests a second over ten seconds, and the slack.
    t.true(maxSendsInWindow(takenAt) <= (RATIO * 5040) + 50, `${maxSendsInWindow(takenAt)} sends in a window`);
    t.true(urgent.taken / urgent.asked > 0.9, `${urgent.taken} of ${urgent.asked} urgent calls`);
  });
}
