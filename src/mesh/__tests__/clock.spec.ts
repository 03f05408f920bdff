/** Guards against deadlines that are measured by a clock which stopped while the host was suspended. */
import test from 'ava';
import {createSuspendAwareClock} from '../clock.js';

const cases = [
  {
    title: 'regular time is measured', monotonic: 500, wallClock: 500, elapsed: 500, suspended: 0,
  },
  {
    title: 'a suspension is included', monotonic: 10, wallClock: 4010, elapsed: 4010, suspended: 4000,
  },
  {
    title: 'a small correction of the wall clock is ignored', monotonic: 100, wallClock: 250, elapsed: 100, suspended: 0,
  },
  {
    title: 'a backward step of the wall clock is ignored', monotonic: 100, wallClock: -1900, elapsed: 100, suspended: 0,
  },
];

for (const {title, monotonic, wallClock, elapsed, suspended} of cases) {
  test(title, t => {
    let monotonicNow = 1000;
    let wallClockNow = 5000;
    const clock = createSuspendAwareClock(() => monotonicNow, () => wallClockNow);
    const before = clock.now();
    monotonicNow += monotonic;
    wallClockNow += wallClock;
    t.is(clock.detectSuspension(), suspended);
    t.is(clock.now() - before, elapsed);
  });
}

test('work that runs first after a suspension, before any periodic work, sees the time that has passed', t => {
  let monotonicNow = 1000;
  let wallClockNow = 5000;
  const clock = createSuspendAwareClock(() => monotonicNow, () => wallClockNow);
  const permittedUntil = clock.now() + 2000;
  monotonicNow += 10;
  wallClockNow += 4010;
  t.true(clock.now() > permittedUntil);
  t.is(clock.detectSuspension(), 4000);
  t.is(clock.detectSuspension(), 0);
});
