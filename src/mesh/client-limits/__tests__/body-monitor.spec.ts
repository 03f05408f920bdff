/** Guards against bodies that stay open for ever, and against ending bodies that make progress. */
import test from 'ava';
import {createBodyMonitor, type BodyFault} from '../body-monitor.js';

const PROGRESS_MS = 2000;

const cases: Array<{title: string; deadlineAt: number; progressAt: number[]; endedAt?: number; expected: Array<{at: number; fault: BodyFault}>}> = [
  {
    title: 'makes no progress', deadlineAt: 10_000, progressAt: [], expected: [{at: 2000, fault: 'stalled'}],
  },
  {
    title: 'stops making progress', deadlineAt: 10_000, progressAt: [1000, 2500], expected: [{at: 4500, fault: 'stalled'}],
  },
  {
    title: 'makes progress beyond its deadline', deadlineAt: 5000, progressAt: [1000, 2000, 3000, 4000, 4900], expected: [{at: 5000, fault: 'late'}],
  },
  {
    title: 'is complete in time', deadlineAt: 10_000, progressAt: [1000], endedAt: 1500, expected: [],
  },
];

for (const {title, deadlineAt, progressAt, endedAt, expected} of cases) {
  test(`a body that ${title} is ended ${expected.length === 0 ? 'by nothing' : 'once'}`, t => {
    let time = 0;
    const monitor = createBodyMonitor({now: () => time, progressMs: () => PROGRESS_MS});
    const faults: Array<{at: number; fault: BodyFault}> = [];
    const body = monitor.begin({
      deadlineAt,
      onEnded(fault) {
        faults.push({at: time, fault});
        body.end();
      },
    });
    for (; time <= 10_000; time += 100) {
      if (progressAt.includes(time)) {
        body.recordProgress();
      }

      if (time === endedAt) {
        body.end();
      }

      monitor.tick();
    }

    t.deepEqual(faults, expected);
  });
}
