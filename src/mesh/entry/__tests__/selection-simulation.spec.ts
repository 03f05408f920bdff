/** Guards against a choice that overloads the fast backend servers, or sends all callers to the same one, at uneven speeds and with old reports. */
import {setImmediate} from 'node:timers/promises';
import test from 'ava';
import {chooseCandidate} from '../selection.js';
import {choosePreviously} from './previous-selection.js';
import {
  formatFigures, SCENARIOS, simulate, type Scenario,
} from './selection-simulation.js';

/** Few backend servers differ more between seeds, most of all when one of them stops. */
const seedsOf = ({backends, event}: Scenario): number[] => {
  const count = backends.length > 4 ? 3 : (event === 'freeze' ? 16 : 8);
  return Array.from({length: count}, (_, index) => 100 * (index + 1));
};

/** Difference of the shares that these seeds show by chance; both choices get the same arrivals and slow periods. */
const SHARE_TOLERANCE = 0.02;
/** The same for latencies and the spread, as a factor. */
const FACTOR_TOLERANCE = 1.05;

/** Least gain in the share served in time, where the previous choice lost most because all callers chose the same backend server. */
const GAIN_MIN: Readonly<Record<string, number>> = {
  '4 backend servers, 95 %': 0.02,
  '29 backend servers, 95 %': 0.04,
  'reports 50 ms old, 75 %': 0.02,
  'reports 200 ms old, 75 %': 0.05,
  'reports 200 ms old, 29': 0.1,
};

for (const {title, scenario} of SCENARIOS) {
  test.serial(`no worse than the previous choice: ${title}`, async t => {
    // Lets AVA report the previous test before this one blocks the process.
    await setImmediate();
    const before = simulate(scenario, choosePreviously, seedsOf(scenario));
    const after = simulate(scenario, chooseCandidate, seedsOf(scenario));
    t.log(formatFigures(before));
    t.log(formatFigures(after));
    t.true(after.inTime >= before.inTime + (GAIN_MIN[title] ?? -SHARE_TOLERANCE), 'served in time');
    t.true(after.p50Ms <= before.p50Ms * FACTOR_TOLERANCE, 'p50');
    t.true(after.p99Ms <= before.p99Ms * FACTOR_TOLERANCE, 'p99');
    t.true(after.refused <= before.refused + SHARE_TOLERANCE, 'refused');
    t.true(after.spread <= before.spread * FACTOR_TOLERANCE, 'spread');
    t.true(after.otherZone <= before.otherZone + SHARE_TOLERANCE, 'calls to other zones');
  });
}

test('a simulation is repeated exactly from its seed', t => {
  const [{scenario}] = SCENARIOS as [typeof SCENARIOS[number]];
  const [first, second] = [simulate(scenario, chooseCandidate, [1]), simulate(scenario, chooseCandidate, [1])];
  t.deepEqual({...first, choiceUs: 0}, {...second, choiceUs: 0});
});
