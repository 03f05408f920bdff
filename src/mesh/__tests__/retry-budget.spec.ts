/** Guards against repeats that multiply in an overload: the fleet's bound on further sends in any window must hold. */
import test from 'ava';
import {createRetryBudget} from '../retry-budget.js';

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

for (const {title, requests, slack, maximum} of cases) {
  test(`${title} bounds the sends in any window`, t => {
    let now = 0;
    const budget = createRetryBudget({
      now: () => now, ratio: 0.2, windowMs: 10_000, slack: () => slack,
    });
    const takenAt: number[] = [];
    for (let step = 0; step < 400; step++) {
      now = step * 50;
      for (let index = 0; index < requests / 200; index++) {
        budget.noteRequest('s');
      }

      if (budget.take('s')) {
        takenAt.push(now);
      }
    }

    t.true(takenAt.length > 0);
    for (const start of takenAt) {
      t.true(takenAt.filter(at => at >= start && at < start + 10_000).length <= maximum);
    }
  });
}

test('services have budgets of their own', t => {
  const budget = createRetryBudget({
    now: () => 0, ratio: 0, windowMs: 1000, slack: () => 2,
  });
  t.deepEqual([budget.take('a'), budget.take('a'), budget.take('b')], [true, false, true]);
});
