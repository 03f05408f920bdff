/** Guards against callers that send more to a backend server than it takes, because its report hides a rate limit, and against reports that grow without need. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import type {CallOrigin} from '../../fair-shares/demand-tracker.js';
import {createBackendLoadTracker} from '../backend-load-tracker.js';

const SECOND_MS = 1000;

const reportCases: Array<{title: string; limit: number; perSecondMax: number | undefined; serviceMs: number; expectedLimit: number; expectedPerSecond: number}> = [
  {
    title: 'without a rate limit, the slots are the limit', limit: 40, perSecondMax: undefined, serviceMs: 100, expectedLimit: 40, expectedPerSecond: 400,
  },
  {
    title: 'a rate limit below the capacity of the slots lowers the limit', limit: 40, perSecondMax: 50, serviceMs: 100, expectedLimit: 5, expectedPerSecond: 50,
  },
  {
    title: 'with a rate limit of less than one call at a time, the reported service time rises', limit: 40, perSecondMax: 0.5, serviceMs: 100, expectedLimit: 1, expectedPerSecond: 0.5,
  },
  {
    title: 'a rate limit above the capacity of the slots changes nothing', limit: 2, perSecondMax: 1000, serviceMs: 100, expectedLimit: 2, expectedPerSecond: 20,
  },
];

for (const {title, limit, perSecondMax, serviceMs, expectedLimit, expectedPerSecond} of reportCases) {
  test(title, t => {
    const clock = createManualClock();
    const tracker = createBackendLoadTracker(clock.now, 10 * SECOND_MS);
    for (let calls = 0; calls < 500; calls++) {
      const run = {route: 'r', startedAt: clock.now()};
      tracker.recordStart(run);
      clock.advance(serviceMs);
      tracker.recordEnd(run);
      tracker.recordSuccess(run);
    }

    const load = tracker.report({queued: 0, limit, perSecondMax});
    t.is(load.limit, expectedLimit);
    t.is(Math.round(load.limit * SECOND_MS / load.serviceMs * 100) / 100, expectedPerSecond);
    t.is(load.routes[0]!.serviceMs, serviceMs);
  });
}

test('the demand by workspace is in a full report only, and missing without calls of workspaces', t => {
  const clock = createManualClock();
  const tracker = createBackendLoadTracker(clock.now, 10 * SECOND_MS);
  const queue = {queued: 0, limit: 2, perSecondMax: undefined};
  const runCall = (origin: CallOrigin): void => {
    const run = {route: 'r', startedAt: clock.now(), ...origin};
    tracker.recordStart(run);
    clock.advance(300);
    tracker.recordEnd(run);
  };

  runCall({});
  t.false('workspaces' in tracker.report(queue));
  runCall({workspace: 'w', admittedShare: 0.5, freshShare: 0.8});
  t.deepEqual(tracker.report(queue).workspaces, {heaviest: [{workspace: 'w', total: 1200, fresh: 960}], others: {total: 0, fresh: 0, count: 0}});
  t.false('workspaces' in tracker.report(queue, 'r'));
});
