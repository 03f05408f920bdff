/** Guards against deadlines that are counted from a clock which stood still while the host was suspended. */
import test from 'ava';
import {createSuspendAwareClock} from '../clock.js';

const cases = [
  {
    title: 'time passes', steady: 500, timeOfDay: 500, elapsed: 500, suspended: 0,
  },
  {
    title: 'a suspension is counted', steady: 10, timeOfDay: 4010, elapsed: 4010, suspended: 4000,
  },
  {
    title: 'a small correction of the time of day is not', steady: 100, timeOfDay: 250, elapsed: 100, suspended: 0,
  },
  {
    title: 'a step back of the time of day is not', steady: 100, timeOfDay: -1900, elapsed: 100, suspended: 0,
  },
];

for (const {title, steady, timeOfDay, elapsed, suspended} of cases) {
  test(title, t => {
    let steadyNow = 1000;
    let dayNow = 5000;
    const clock = createSuspendAwareClock(() => steadyNow, () => dayNow);
    const before = clock.now();
    steadyNow += steady;
    dayNow += timeOfDay;
    t.is(clock.observe(), suspended);
    t.is(clock.now() - before, elapsed);
  });
}
