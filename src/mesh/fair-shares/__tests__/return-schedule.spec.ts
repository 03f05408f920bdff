/** Guards against refused requests that all come back at the same moment, or the last one first. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import {createReturnSchedule} from '../return-schedule.js';

const REMAINING_MS = 3000;

test('requests return in the order of their refusal, at the rate at which their workspace is admitted', t => {
  const clock = createManualClock();
  const schedule = createReturnSchedule(clock.now);
  schedule.delayMs('w', REMAINING_MS);
  for (let passed = 0; passed < 5000; passed += 20) {
    clock.advance(20);
    schedule.recordAdmitted('w');
  }

  const returns = Array.from({length: 30}, () => schedule.delayMs('w', REMAINING_MS));
  t.true(returns.every((delay, index) => index === 0 || delay >= returns[index - 1]!));
  const perSecond = 29_000 / (returns.at(-1)! - returns[0]!);
  // The first ones share the shortest delay.
  t.true(perSecond > 45 && perSecond < 65, `${perSecond} a second`);
});

test('no request is asked to wait for longer than its client does', t => {
  const clock = createManualClock();
  const schedule = createReturnSchedule(clock.now);
  const delays = Array.from({length: 500}, () => schedule.delayMs('w', REMAINING_MS));
  t.is(Math.max(...delays), REMAINING_MS / 3);
});

test('the refusals of one workspace do not delay another', t => {
  const clock = createManualClock();
  const schedule = createReturnSchedule(clock.now);
  for (let count = 0; count < 100; count++) {
    schedule.delayMs('heavy', REMAINING_MS);
  }

  t.true(schedule.delayMs('light', REMAINING_MS) <= 100);
});

test('a waiting time ends with the overload', t => {
  const clock = createManualClock();
  const schedule = createReturnSchedule(clock.now);
  for (let count = 0; count < 100; count++) {
    schedule.delayMs('w', REMAINING_MS);
  }

  clock.advance(1000);
  for (let count = 0; count < 50; count++) {
    schedule.recordAdmitted('w');
  }

  t.true(schedule.delayMs('w', REMAINING_MS) < 100);
});
