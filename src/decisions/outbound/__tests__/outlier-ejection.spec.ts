/** Guards against calls to failing backend servers, and against ejections that take a whole service out of use. */
import test from 'ava';
import type {AttemptResult} from '../outbound.js';
import {
  createDriver, createEndpoints, rejected, responded, type Attempt, type Driver,
} from './harness.js';

const failAll = (driver: Driver, result: AttemptResult, remainingMs = 60_000): void => {
  for (let sent = 0; sent < 500; sent++) {
    driver.end(driver.arrive({remainingMs}) as Attempt, result, false);
  }
};

const hostsOfNextCalls = (driver: Driver, calls: number): Map<string, Attempt> =>
  new Map(Array.from({length: calls}, () => driver.arrive() as Attempt).map(attempt => [attempt.endpoint.host, attempt]));

const countEjected = (driver: Driver): number => driver.state.routing.ejected.size;

const ejections: Array<[title: string, result: AttemptResult, endpoints: number, ejected: number]> = [
  ['lost connections eject a third', {kind: 'lost'}, 9, 3],
  ['lost connections eject one of two', {kind: 'lost'}, 2, 1],
  ['lost connections never eject the only one', {kind: 'lost'}, 1, 0],
  ['failed connects eject all', {kind: 'not-connected'}, 9, 9],
  ['rejections for overload eject none', rejected({reason: 'queue-time', fraction: 0.5}), 9, 0],
  ['a backend server that sheds load is not ejected', responded({status: 503}), 9, 0],
  ['failures of lower hops eject none', responded({status: 502, gaveUp: true}), 9, 0],
];

for (const [title, result, endpoints, ejected] of ejections) {
  test(title, t => {
    const driver = createDriver(createEndpoints(endpoints));
    failAll(driver, result);
    t.is(countEjected(driver), ejected);
    t.is(driver.arrive({admissionHash: 0}).kind, 'attempt', 'with all ejected, the one whose ejection ends first is tried');
  });
}

test('callers with short deadlines cannot eject a backend server', t => {
  const driver = createDriver(createEndpoints(9));
  failAll(driver, {kind: 'timed-out'}, 5);
  t.is(countEjected(driver), 0);
  failAll(driver, {kind: 'timed-out'});
  t.is(countEjected(driver), 3);
});

test('an ejected backend server gets one probe at a time, after an ejection time that doubles with jitter', t => {
  const driver = createDriver(createEndpoints(3));
  const record = driver.state.routing.services.get('s')!.byHost.get('a0')!;
  while (countEjected(driver) === 0) {
    const attempt = driver.arrive() as Attempt;
    driver.end(attempt, attempt.endpoint.host === 'a0' ? {kind: 'lost'} : responded(), false);
  }

  const durations: number[] = [];
  for (let round = 0; round < 9; round++) {
    const durationMs = record.health.ejectedUntil - driver.now;
    durations.push(durationMs);
    driver.advance(durationMs - 1);
    t.is(hostsOfNextCalls(driver, 5).get('a0'), undefined);
    driver.advance(2);
    const gone = driver.arrive() as Attempt;
    driver.decide({kind: 'caller-gone', callId: gone.callId});
    driver.advance(20);
    const probe = driver.arrive() as Attempt;
    t.deepEqual([gone.endpoint.host, probe.endpoint.host], ['a0', 'a0'], 'a probe is repeated when its caller goes away');
    t.is(hostsOfNextCalls(driver, 20).get('a0'), undefined);
    driver.end(probe, {kind: 'lost'}, false);
  }

  t.true(durations.every((length, round) => length >= 750 * (2 ** Math.min(round, 5)) && length <= 75_000), `${durations.join(' ')} ms`);
  t.not(Math.round(durations[7]!), Math.round(durations[8]!), 'jitter keeps processes from probing at the same time');
  driver.advance(100_000);
  driver.end(driver.arrive() as Attempt, responded());
  t.is(countEjected(driver), 0);
});
