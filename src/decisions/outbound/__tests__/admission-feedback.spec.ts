/** Guards against rejecting urgent calls before others, learnt fractions that never recover, and rejected callers that all retry at the same time. */
import test from 'ava';
import fc from 'fast-check';
import {FRACTION_FLOOR} from '../../../shared/constants.js';
import {
  admit, createAdmissionFeedback, learnFraction, learntFraction, PRIORITY_PRECEDENCE_MS, RECOVERY_DELAY_MS, retryAfterMs, ROWS_MAX,
} from '../admission-feedback.js';
import {
  createCall, createDriver, createEndpoints, responded, type Attempt,
} from './harness.js';

const learnMany = (reports: readonly number[], endpoints: number): number => {
  const feedback = createAdmissionFeedback();
  for (const fraction of reports) {
    learnFraction(feedback, createCall(), {fraction, endpoints}, 0);
  }

  return learntFraction(feedback, createCall(), 0);
};

test('a lower fraction is learnt from about one response per backend server', t => {
  t.is(learnMany([0.2], 1), 0.2);
  t.true(learnMany([0.2, 0.2, 0.2, 0.2, 0.2], 5) < 0.35);
  t.true(learnMany([0.2], 5) > 0.7, 'a single outlier does not set the fraction of all');
  t.is(learnMany([0, 0, Number.NaN, -1], 1) >= FRACTION_FLOOR, true);
  t.true(Math.abs(learnMany(Array.from({length: 500}, () => 0), 3) - FRACTION_FLOOR) < 1e-9);
});

test('a fraction recovers without feedback, also after a long pause of the process', t => {
  const feedback = createAdmissionFeedback();
  learnFraction(feedback, createCall(), {fraction: 0.1, endpoints: 1}, 0);
  const fractions = [RECOVERY_DELAY_MS, RECOVERY_DELAY_MS + 1000, 1e9].map(now => learntFraction(feedback, createCall(), now));
  t.deepEqual(fractions, [0.1, 0.4, 1]);
});

test('a learnt fraction defers calls by their admission hash, and is passed on with the attempt', t => {
  const driver = createDriver(createEndpoints(1));
  driver.end(driver.arrive({admissionHash: 0}) as Attempt, responded({fraction: 0.4}));
  driver.arrive({admissionHash: 0.4});
  t.deepEqual([...driver.state.deferredCalls.keys()], ['c2']);
  t.like(driver.arrive({admissionHash: 0.39}), {kind: 'attempt', fraction: 0.4});
  t.like(driver.arrive({admissionHash: 0.39, fraction: 0.2}), {kind: 'attempt', fraction: 0.2});
  t.like(driver.arrive({admissionHash: 0.9, group: 'other'}), {kind: 'attempt', fraction: 1}, 'groups do not share fractions');
  t.like(driver.arrive({admissionHash: 0.9}, {parentCallId: 'p'}), {kind: 'attempt'}, 'rejecting a sub-call would waste the work of its callers');
});

/** Driver with one call deferred at a fraction of 0.4, with 1000 ms left. */
const createDriverWithDeferredCall = () => {
  const driver = createDriver(createEndpoints(1));
  driver.end(driver.arrive({admissionHash: 0}) as Attempt, responded({fraction: 0.4}));
  driver.arrive({admissionHash: 0.9, remainingMs: 1000});
  return driver;
};

test('a deferred call is rejected after its share of the remaining time, neither earlier nor later', t => {
  const driver = createDriverWithDeferredCall();
  t.deepEqual([driver.advance(200), driver.advance(150)], [[], []]);
  learnFraction(driver.state.feedback, createCall(), {fraction: 0.4, endpoints: 1}, driver.now);
  t.like(driver.advance(150), [{
    kind: 'reject', reason: 'admission', outcome: 'not-run', fraction: 0.4,
  }]);
  t.is(driver.state.deferredCalls.size, 0);
});

test('a deferred call is sent when the overload ends, with the time that it has left', t => {
  const driver = createDriverWithDeferredCall();
  for (let response = 0; response < 20; response++) {
    learnFraction(driver.state.feedback, createCall(), {fraction: 1, endpoints: 1}, driver.now);
  }

  t.like(driver.advance(200), [{kind: 'attempt', timeoutMs: 800}]);
  t.is(driver.state.deferredCalls.size, 0);
});

test('a deferred call is dropped when its caller goes away', t => {
  const driver = createDriverWithDeferredCall();
  t.deepEqual(driver.decide({kind: 'caller-gone', callId: 'c2'}), []);
  t.is(driver.state.deferredCalls.size, 0);
});

const priorityEvent = fc.record({
  learns: fc.boolean(), priority: fc.nat(2), fraction: fc.constantFrom(0, 0, 0, 0.3, 1), hash: fc.constantFrom(0.005, 0.1, 0.9, 0.9), wait: fc.integer({min: 0, max: 300}),
});

test('the highest priority is never rejected early while a lower one is admitted', t => {
  let rejections = 0;
  t.notThrows(() => {
    fc.assert(fc.property(fc.array(priorityEvent, {minLength: 100, maxLength: 200}), events => {
      const feedback = createAdmissionFeedback();
      const last = {now: 0, lowerAdmitted: -1e9, urgentRejected: -1e9};
      return events.every(({learns, priority, fraction, hash, wait}) => {
        last.now += wait;
        const arriving = createCall({priority, admissionHash: hash});
        if (learns) {
          learnFraction(feedback, arriving, {fraction, endpoints: 1}, last.now);
          return true;
        }

        const {admitted, fraction: applied} = admit(feedback, arriving, last.now);
        if (priority > 0) {
        // The few calls admitted at the floor only probe the overload and do not count as admission of a lower priority.
          last.lowerAdmitted = admitted && applied > FRACTION_FLOOR * 1.01 ? last.now : last.lowerAdmitted;
          return !admitted || last.now - last.urgentRejected >= PRIORITY_PRECEDENCE_MS;
        }

        rejections += admitted ? 0 : 1;
        last.urgentRejected = admitted ? last.urgentRejected : last.now;
        return admitted || last.now - last.lowerAdmitted >= PRIORITY_PRECEDENCE_MS;
      });
    }), {numRuns: 500, seed: 20_266});
  });
  t.true(rejections > 100, `too few rejected urgent calls to test the order: ${rejections}`);
});

test('the table of fractions is bounded and evicts idle rows first', t => {
  const feedback = createAdmissionFeedback();
  for (let index = 0; index < ROWS_MAX + 100; index++) {
    learnFraction(feedback, createCall({group: `g${index}`}), {fraction: 0.5, endpoints: 1}, index);
    admit(feedback, createCall({group: 'g0'}), index);
  }

  t.is(feedback.rows.size, ROWS_MAX);
  t.true(learntFraction(feedback, createCall({group: `g${ROWS_MAX + 99}`}), ROWS_MAX) < 1);
  t.true(feedback.rows.has('s s/k 1 g0') && !feedback.rows.has('s s/k 1 g1'));
});

test('the retry-after of rejected callers is spread over a window that grows with the overload', t => {
  const {random} = createDriver([]);
  for (const fraction of [1, 0.1, 0.02]) {
    const waits = Array.from({length: 500}, () => retryAfterMs(fraction, random) * fraction);
    t.true(Math.max(...waits) - Math.min(...waits) > 900 && Math.max(...waits) <= 1500);
  }
});
