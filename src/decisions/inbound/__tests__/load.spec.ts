/** Tests the concurrency limit under overload and recovery, and the bulkhead around a slow dependency. */
import test from 'ava';
import {
  addLoadSample, allowedCalls, createConcurrencyLimit, resetLimit, updateLimit, type ConcurrencyLimit, type LoadSample,
} from '../concurrency-limit.js';
import {createDriver, type Driver} from './harness.js';

const SLOTS = 50;
const OVERLOADED: LoadSample = {kind: 'overloaded'};
const createServedSample = (inflation: number): LoadSample => ({kind: 'served', inflation});

const createLimit = (coldStartUntil = 0): ConcurrencyLimit => {
  const limit = createConcurrencyLimit();
  resetLimit(limit, SLOTS, coldStartUntil);
  return limit;
};

const runWindows = (limit: ConcurrencyLimit, windows: number, samples: LoadSample[]): void => {
  for (let window = 0; window < windows; window++) {
    for (const sample of samples) {
      addLoadSample(limit, sample);
    }

    updateLimit(limit, 1000);
  }
};

const repeatSample = (sample: LoadSample): LoadSample[] => Array.from({length: 30}, () => sample);
const cases: Array<[title: string, samples: LoadSample[], coldStartUntil: number, low: number, high: number]> = [
  ['rejections by the backend server lower the limit', repeatSample(OVERLOADED), 0, 1, 1],
  ['inflated latency lowers the limit to half, but not further', repeatSample(createServedSample(3)), 0, 25, 25],
  ['latency without load does not lower the limit', repeatSample(createServedSample(1.2)), 0, SLOTS, SLOTS],
  ['a slow cold start does not lower the limit', repeatSample(createServedSample(9)), 5000, SLOTS, SLOTS],
  ['a single timeout among many calls does not lower the limit', [OVERLOADED, ...repeatSample(createServedSample(1))], 0, SLOTS, SLOTS],
];

for (const [title, samples, coldStartUntil, low, high] of cases) {
  test(title, t => {
    const limit = createLimit(coldStartUntil);
    runWindows(limit, 20, samples);
    t.true(allowedCalls(limit) >= low && allowedCalls(limit) <= high, `${allowedCalls(limit)}`);
  });
}

test('the limit recovers within 1 s after an overload', t => {
  const limit = createLimit();
  runWindows(limit, 20, repeatSample(OVERLOADED));
  runWindows(limit, 10, []);
  t.is(allowedCalls(limit), SLOTS);
});

/** Runs calls of kind `deep`, which wait for service `registro`, and of kind `flat`, which take 10 ms. */
const runMixedLoad = (driver: Driver, subCallMs: number, windows: number): {maxDeepRunning: number; flatDispatched: number} => {
  const running = new Map<string, {kind: string; endsAt: number}>();
  let maxDeepRunning = 0;
  let flatDispatched = 0;
  for (let step = 0; step < windows; step++) {
    for (const [callId, {kind, endsAt}] of running) {
      if (endsAt <= driver.now) {
        running.delete(callId);
        if (kind === 'deep') {
          driver.send({
            kind: 'sub-call-ended', callId, service: 'registro', fraction: 1,
          });
        }

        handleDispatches(driver.end(callId));
      }
    }

    for (const kind of ['deep', 'deep', 'deep', 'flat']) {
      handleDispatches(driver.arrive(`${kind}-${driver.now}-${running.size}-${step}`, {requestKind: kind, remainingMs: 60_000}));
    }

    handleDispatches(driver.wait(20));
    maxDeepRunning = Math.max(maxDeepRunning, [...running.values()].filter(({kind}) => kind === 'deep').length);
  }

  function handleDispatches(actions: ReturnType<Driver['send']>): void {
    for (const action of actions) {
      if (action.kind !== 'dispatch') {
        continue;
      }

      const kind = action.callId.split('-')[0]!;
      running.set(action.callId, {kind, endsAt: driver.now + (kind === 'deep' ? subCallMs : 10)});
      flatDispatched += kind === 'flat' ? 1 : 0;
      if (kind === 'deep') {
        driver.send({kind: 'sub-call-started', callId: action.callId, service: 'registro'});
      }
    }
  }

  for (const callId of running.keys()) {
    driver.end(callId);
  }

  return {maxDeepRunning, flatDispatched};
};

test('a slow dependency occupies at most half of the slots and leaves the rest to other calls', t => {
  const driver = createDriver(20);
  runMixedLoad(driver, 20, 100);
  // The first calls after the slowdown may occupy more, because it has not been detected yet.
  runMixedLoad(driver, 5000, 100);
  const {maxDeepRunning, flatDispatched} = runMixedLoad(driver, 5000, 200);
  t.true(maxDeepRunning <= 10, `${maxDeepRunning}`);
  t.true(flatDispatched >= 190, `${flatDispatched}`);
});

test('a dependency that has always been slow is not limited to half of the slots', t => {
  const driver = createDriver(20);
  runMixedLoad(driver, 300, 100);
  const {maxDeepRunning} = runMixedLoad(driver, 300, 100);
  t.true(maxDeepRunning > 10, `${maxDeepRunning}`);
});

const rejectionCases: Array<[title: string, withSubCall: boolean, isLowered: boolean]> = [
  ['rejections passed on from a dependency do not lower the limit', true, false],
  ['rejections by the backend server itself lower the limit', false, true],
];

for (const [title, withSubCall, isLowered] of rejectionCases) {
  test(title, t => {
    const driver = createDriver(SLOTS);
    for (let index = 0; index < 200; index++) {
      const callId = `c${index}`;
      driver.arrive(callId);
      if (withSubCall) {
        driver.send({kind: 'sub-call-started', callId, service: 'registro'});
        driver.send({
          kind: 'sub-call-ended', callId, service: 'registro', fraction: 1,
        });
      }

      driver.end(callId, 503);
      driver.wait(20);
    }

    t.is(allowedCalls(driver.state.limit) < SLOTS, isLowered);
  });
}
