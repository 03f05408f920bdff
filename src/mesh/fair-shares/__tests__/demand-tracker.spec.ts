/** Guards against a demand that depends on which process refused, against reports that grow with the number of workspaces, and against state without a bound. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import {createDemandTracker, REPORT_INTERVAL_MS, type CallOrigin} from '../demand-tracker.js';

const SECONDS = 8;

/** Demand after some seconds of calls that each workspace makes at a rate, with a service time of 50 ms. */
const trackedDemand = (calls: ReadonlyArray<CallOrigin & {perSecond: number}>) => {
  const clock = createManualClock();
  const tracker = createDemandTracker(clock.now);
  for (let passed = 0; passed < SECONDS * 1000; passed += 10) {
    clock.advance(10);
    for (const call of calls.filter(({perSecond}) => Math.floor(passed * perSecond / 1000) !== Math.floor((passed - 10) * perSecond / 1000))) {
      tracker.record(call, 50);
    }
  }

  return tracker.report();
};

const demandCases: Array<{title: string; call: CallOrigin; perSecond: number; expected: {total: number; fresh: number}}> = [
  {
    title: 'service time per second', call: {workspace: 'w'}, perSecond: 20, expected: {total: 1000, fresh: 1000},
  },
  {
    title: 'a quarter was admitted, so the calls stand for four times as many', call: {workspace: 'w', admittedShare: 0.25}, perSecond: 20, expected: {total: 4000, fresh: 4000},
  },
  {
    title: 'retries of clients are not fresh', call: {workspace: 'w', admittedShare: 0.25, freshShare: 0.5}, perSecond: 20, expected: {total: 4000, fresh: 2000},
  },
  {
    title: 'what was served is fresh, even if all requests seem to be retries', call: {workspace: 'w', admittedShare: 0.5, freshShare: 0}, perSecond: 20, expected: {total: 2000, fresh: 1000},
  },
];

for (const {title, call, perSecond, expected} of demandCases) {
  test(`demand: ${title}`, t => {
    const [demand] = trackedDemand([{...call, perSecond}])!.heaviest;
    t.is(demand!.workspace, 'w');
    t.true(Math.abs(demand!.total - expected.total) <= expected.total * 0.05, `total ${demand!.total}`);
    t.true(Math.abs(demand!.fresh - expected.fresh) <= expected.fresh * 0.05, `fresh ${demand!.fresh}`);
  });
}

test('processes that admitted different shares of a workspace add up to its demand', t => {
  const [demand] = trackedDemand([{workspace: 'w', admittedShare: 0.5, perSecond: 50}, {workspace: 'w', perSecond: 50}])!.heaviest;
  t.true(Math.abs(demand!.total - 7500) < 300, `total ${demand!.total}`);
});

test('calls of backend servers are left out, and without workspaces there is no report', t => {
  t.is(trackedDemand([{perSecond: 50}]), undefined);
});

test('a report names the eight heaviest of many workspaces, and adds up the others', t => {
  const calls = Array.from({length: 80}, (_, index) => ({workspace: `w${index}`, perSecond: index < 8 ? 100 : 50}));
  const report = trackedDemand(calls)!;
  t.deepEqual(report.heaviest.map(({workspace}) => workspace).toSorted(), calls.slice(0, 8).map(({workspace}) => workspace));
  t.is(report.others.count, 72);
  t.true(Math.abs(report.others.total - (72 * 2500)) < 72 * 125, `others ${report.others.total}`);
});

test('ten thousand workspaces do not make a report longer, and the heaviest stays named', t => {
  const clock = createManualClock();
  const tracker = createDemandTracker(clock.now);
  for (let index = 0; index < 10_000; index++) {
    clock.advance(0.5);
    tracker.record({workspace: `w${index}`}, 5);
    tracker.record({workspace: 'heavy'}, 5);
  }

  const report = tracker.report()!;
  t.is(report.heaviest[0]!.workspace, 'heavy');
  t.is(report.heaviest.length, 8);
  t.true(JSON.stringify(report).length < 700, `${JSON.stringify(report).length} characters`);
});

test('a report does not change within its interval, and a workspace without calls leaves it', t => {
  const clock = createManualClock();
  const tracker = createDemandTracker(clock.now);
  tracker.record({workspace: 'w'}, 100);
  const first = tracker.report();
  tracker.record({workspace: 'w'}, 100);
  t.is(tracker.report(), first);
  clock.advance(REPORT_INTERVAL_MS);
  t.not(tracker.report(), first);
  clock.advance(6000);
  t.is(tracker.report(), undefined);
});
