/** Guards against a concurrency limit that ignores overload or stays low, and against a slow dependency that takes all slots. */
import test from 'ava';
import {
  addLoadSample, allowedCalls, createConcurrencyLimit, resetLimit, updateLimit, type ConcurrencyLimit, type LoadSample,
} from '../concurrency-limit.js';
import {createDriver, type Driver} from './harness.js';

const SLOTS = 50;
const OVERLOADED: LoadSample = {kind: 'overloaded'};
const servedWith = (inflation: number): LoadSample => ({kind: 'served', inflation});

const createLimit = (coldUntil = 0): ConcurrencyLimit => {
  const limit = createConcurrencyLimit();
  resetLimit(limit, SLOTS, coldUntil);
  return limit;
};

const feed = (limit: ConcurrencyLimit, windows: number, samples: LoadSample[]): void => {
  for (let window = 0; window < windows; window++) {
    for (const sample of samples) {
      addLoadSample(limit, sample);
    }

    updateLimit(limit, 1000);
  }
};

const many = (sample: LoadSample): LoadSample[] => Array.from({length: 30}, () => sample);
const cases: Array<[failure: string, samples: LoadSample[], coldUntil: number, low: number, high: number]> = [
  ['rejections of the backend server do not lower the limit', many(OVERLOADED), 0, 1, 1],
  ['inflated latency does not lower the limit, or lowers it below half', many(servedWith(3)), 0, 25, 25],
  ['latency without load lowers the limit', many(servedWith(1.2)), 0, SLOTS, SLOTS],
  ['a slow cold start lowers the limit', many(servedWith(9)), 5000, SLOTS, SLOTS],
  ['a single timeout among many calls lowers the limit', [OVERLOADED, ...many(servedWith(1))], 0, SLOTS, SLOTS],
];

for (const [failure, samples, coldUntil, low, high] of cases) {
  test(failure, t => {
    const limit = createLimit(coldUntil);
    feed(limit, 20, samples);
    t.true(allowedCalls(limit) >= low && allowedCalls(limit) <= high, `${allowedCalls(limit)}`);
  });
}

test('the limit takes more than 1 s to return after an overload', t => {
  const limit = createLimit();
  feed(limit, 20, many(OVERLOADED));
  feed(limit, 10, []);
  t.is(allowedCalls(limit), SLOTS);
});

/** Calls of kind `deep` wait for `registro`; those of kind `flat` take 10 ms. */
const runDeep = (driver: Driver, subCallMs: number, windows: number): {mostDeep: number; flatRun: number} => {
  const running = new Map<string, {kind: string; endsAt: number}>();
  let mostDeep = 0;
  let flatRun = 0;
  for (let step = 0; step < windows; step++) {
    for (const [callId, {kind, endsAt}] of running) {
      if (endsAt <= driver.now) {
        running.delete(callId);
        if (kind === 'deep') {
          driver.send({
            kind: 'sub-call-ended', callId, service: 'registro', fraction: 1,
          });
        }

        start(driver.end(callId));
      }
    }

    for (const kind of ['deep', 'deep', 'deep', 'flat']) {
      start(driver.arrive(`${kind}-${driver.now}-${running.size}-${step}`, {requestKind: kind, remainingMs: 60_000}));
    }

    start(driver.wait(20));
    mostDeep = Math.max(mostDeep, [...running.values()].filter(({kind}) => kind === 'deep').length);
  }

  function start(actions: ReturnType<Driver['send']>): void {
    for (const action of actions) {
      if (action.kind !== 'dispatch') {
        continue;
      }

      const kind = action.callId.split('-')[0]!;
      running.set(action.callId, {kind, endsAt: driver.now + (kind === 'deep' ? subCallMs : 10)});
      flatRun += kind === 'flat' ? 1 : 0;
      if (kind === 'deep') {
        driver.send({kind: 'sub-call-started', callId: action.callId, service: 'registro'});
      }
    }
  }

  for (const callId of running.keys()) {
    driver.end(callId);
  }

  return {mostDeep, flatRun};
};

test('a slow dependency holds more than half of the slots, or stops other work', t => {
  const driver = createDriver(20);
  runDeep(driver, 20, 100);
  // The first calls after the slowdown may still take more, as it is not visible yet.
  runDeep(driver, 5000, 100);
  const {mostDeep, flatRun} = runDeep(driver, 5000, 200);
  t.true(mostDeep <= 10, `${mostDeep}`);
  t.true(flatRun >= 190, `${flatRun}`);
});

test('a dependency that is slow by nature costs half of the slots', t => {
  const driver = createDriver(20);
  runDeep(driver, 300, 100);
  const {mostDeep} = runDeep(driver, 300, 100);
  t.true(mostDeep > 10, `${mostDeep}`);
});

const refusals: Array<[failure: string, withSubCall: boolean, isLowered: boolean]> = [
  ['rejections that a call passes on from a dependency lower the limit of its own backend server', true, false],
  ['own rejections of the backend server do not lower the limit', false, true],
];

for (const [failure, withSubCall, isLowered] of refusals) {
  test(failure, t => {
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
