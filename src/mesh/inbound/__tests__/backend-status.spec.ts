/** Guards against a backend server that is in use again after it has left, by whatever order announcements, deregistrations and reports of other processes arrive. */
import test from 'ava';
import {createManualClock, type ManualClock} from '../../../shared/clock.js';
import {createBackendStatus, type BackendStatus} from '../backend-status.js';
import {createDecisionLog} from '../../decision-log.js';
import type {Departure} from '../departures.js';

const DRAIN_MS = 2000;
/** Wall clock at the start of each case, in milliseconds since the Unix epoch. */
const EPOCH_MS = 1_000_000;

const start = (awaitsDepartures = false) => {
  const clock = createManualClock();
  let changes = 0;
  let departures: Departure[] = [];
  const status = createBackendStatus({
    now: clock.now,
    wallClock: () => EPOCH_MS + clock.now(),
    log: createDecisionLog({
      node: 'h1', level: 'error', linesPerSecond: {
        debug: 0, info: 0, warn: 0, error: 0,
      },
    }),
    drainMs: DRAIN_MS,
    announcementMs: 1000,
    callCounts: () => ({running: 0, queued: 0}),
    onReplaced: () => undefined,
    onChange() {
      changes++;
    },
    awaitsDepartures,
    onDeparture(all) {
      departures = all;
    },
  });
  return {
    clock, status, changes: () => changes, departures: () => departures,
  };
};

/** Announces the instance i1 unless stated otherwise; it has started before the case begins. */
const announce = (status: BackendStatus, changes: {sequence?: number; startedAt?: number; state?: 'ready' | 'draining'; instance?: string} = {}): void => {
  status.announce({
    instance: 'i1', service: 's', address: '127.0.0.1:1', slots: 10, state: 'ready', sequence: 1, startedAt: EPOCH_MS - 5000, coldMs: 0, ...changes,
  });
};

const known = {
  instance: 'i1', startedAt: EPOCH_MS - 5000, isLeaving: true, ratePerSecond: undefined,
};

const cases: Array<{title: string; happen: (status: BackendStatus, clock: ManualClock) => void; isInUse: boolean}> = [
  {
    title: 'one that states its leaving in a response while its announcements are silent is not', isInUse: false, happen(status, clock) {
      announce(status);
      const dispatch = {backend: status.target()!, startedAt: clock.now()};
      clock.advance(10_000);
      status.expire();
      status.applyStatement({ratePerSecond: undefined, isLeaving: true}, dispatch);
      announce(status, {sequence: 2});
    },
  },
  {
    title: 'an announced backend server is in use', isInUse: true, happen(status) {
      announce(status);
    },
  },
  {
    title: 'a draining one is not', isInUse: false, happen(status) {
      announce(status, {state: 'draining'});
      announce(status, {sequence: 2});
    },
  },
  {
    title: 'a deregistered one is not', isInUse: false, happen(status) {
      announce(status);
      status.leave('i1');
      announce(status, {sequence: 2});
    },
  },
  {
    title: 'one that was deregistered before this process knew it is not, when its announcement arrives late', isInUse: false, happen(status) {
      status.leave('i1');
      announce(status);
    },
  },
  {
    title: 'one that starts again with its id after such a deregistration is in use', isInUse: true, happen(status) {
      status.leave('i1');
      announce(status, {startedAt: EPOCH_MS + 1});
    },
  },
  {
    title: 'a deregistration of another instance changes nothing', isInUse: true, happen(status) {
      status.leave('i0');
      announce(status);
    },
  },
  {
    title: 'one that another process knows to leave is not', isInUse: false, happen(status) {
      status.recall(known, 'h2');
      announce(status);
    },
  },
  {
    title: 'a report that comes after the announcement counts as well', isInUse: false, happen(status) {
      announce(status);
      status.recall(known, 'h2');
    },
  },
  {
    title: 'a report on an earlier start changes nothing', isInUse: true, happen(status) {
      status.recall({...known, startedAt: EPOCH_MS - 9000}, 'h2');
      announce(status);
    },
  },
];

for (const {title, happen, isInUse} of cases) {
  test(title, t => {
    const {clock, status} = start();
    happen(status, clock);
    clock.advance(DRAIN_MS);
    t.is(status.unavailableReason() === undefined, isInUse);
  });
}

const STARTED_AT = EPOCH_MS - 5000;

/** Departures that are to outlast the process. */
const departureCases: Array<{title: string; happen: (status: BackendStatus) => void; expected: Departure[]}> = [
  {
    title: 'none while it is in use', expected: [], happen(status) {
      announce(status);
      announce(status, {sequence: 2});
    },
  },
  {
    title: 'its start when it drains, once', expected: [{kind: 'start', instance: 'i1', startedAt: STARTED_AT}], happen(status) {
      announce(status);
      announce(status, {sequence: 2, state: 'draining'});
      announce(status, {sequence: 3, state: 'draining'});
      status.leave('i1');
      status.leave('i1');
    },
  },
  {
    title: 'its start when its first announcement says that it drains', expected: [{kind: 'start', instance: 'i1', startedAt: STARTED_AT}], happen(status) {
      announce(status, {state: 'draining'});
    },
  },
  {
    title: 'its start when another process knows that it leaves', expected: [{kind: 'start', instance: 'i1', startedAt: STARTED_AT}], happen(status) {
      announce(status);
      status.recall(known, 'h2');
    },
  },
  {
    title: 'the stated start when it deregisters before it was announced', expected: [{kind: 'start', instance: 'i1', startedAt: 7}], happen(status) {
      status.leave('i1', 7);
    },
  },
  {
    title: 'its id when it deregisters before it was announced without a start, once', expected: [{kind: 'instance', instance: 'i1', leftAt: EPOCH_MS}], happen(status) {
      status.leave('i1');
      status.leave('i1');
    },
  },
  {
    title: 'the last two', expected: [4, 5].map(startedAt => ({kind: 'start', instance: 'i1', startedAt})), happen(status) {
      for (const startedAt of [1, 2, 3, 4, 5]) {
        status.leave('i1', startedAt);
      }
    },
  },
];

for (const {title, happen, expected} of departureCases) {
  test(`of a backend server is kept: ${title}`, t => {
    const {status, departures} = start();
    happen(status);
    t.deepEqual(departures(), expected);
  });
}

const left: Departure = {kind: 'start', instance: 'i1', startedAt: STARTED_AT};
/** Half of the interval of announcements. */
const REPEATED_AFTER_MS = 500;

/** Announcements that may be late, and those that only look like it. */
const doubtfulCases: Array<{title: string; awaitsDepartures?: boolean; happen: (status: BackendStatus, clock: ManualClock) => void; inUse: string | undefined}> = [
  {
    title: 'one that the store holds as left', awaitsDepartures: true, inUse: undefined, happen(status) {
      announce(status);
      status.restoreDepartures([left]);
      announce(status, {sequence: 2});
    },
  },
  {
    title: 'one that deregisters while the departures are still unknown', awaitsDepartures: true, inUse: undefined, happen(status) {
      status.leave('i1', STARTED_AT);
      status.restoreDepartures([]);
      announce(status);
    },
  },
  {
    title: 'one whose first announcement arrives before the departures, among which it is not', awaitsDepartures: true, inUse: 'i1', happen(status) {
      announce(status);
      status.restoreDepartures([{...left, startedAt: STARTED_AT - 1}]);
    },
  },
  {
    title: 'one that announces itself twice while the departures are unknown', awaitsDepartures: true, inUse: 'i1', happen(status, clock) {
      announce(status);
      clock.advance(REPEATED_AFTER_MS);
      announce(status, {sequence: 2});
    },
  },
  {
    title: 'one of which two late announcements arrive together while the departures are unknown', awaitsDepartures: true, inUse: undefined, happen(status, clock) {
      announce(status);
      clock.advance(10);
      announce(status, {sequence: 2});
    },
  },
  {
    title: 'one of which an announcement arrives twice while the departures are unknown', awaitsDepartures: true, inUse: undefined, happen(status, clock) {
      announce(status);
      clock.advance(REPEATED_AFTER_MS);
      announce(status);
    },
  },
  {
    title: 'one that is followed by a late announcement of its predecessor', inUse: 'i1', happen(status) {
      announce(status);
      announce(status, {instance: 'i0', startedAt: STARTED_AT - 1000, sequence: 9});
    },
  },
  {
    title: 'one that has left, after its successor and the late announcements of both', inUse: 'i2', happen(status, clock) {
      announce(status);
      status.leave('i1');
      announce(status, {instance: 'i2', startedAt: STARTED_AT - 1000});
      clock.advance(REPEATED_AFTER_MS);
      announce(status, {instance: 'i2', startedAt: STARTED_AT - 1000, sequence: 2});
      announce(status, {sequence: 8});
      clock.advance(REPEATED_AFTER_MS);
      announce(status, {sequence: 9});
    },
  },
  {
    title: 'one that started after the clock of its host was set back, while the earlier one is silent', inUse: 'i2', happen(status, clock) {
      announce(status);
      announce(status, {instance: 'i2', startedAt: STARTED_AT - 1000});
      clock.advance(REPEATED_AFTER_MS);
      announce(status, {instance: 'i2', startedAt: STARTED_AT - 1000, sequence: 2});
    },
  },
  {
    title: 'the later of two that both announce themselves', inUse: 'i1', happen(status, clock) {
      announce(status);
      announce(status, {instance: 'i0', startedAt: STARTED_AT - 1000});
      clock.advance(REPEATED_AFTER_MS);
      announce(status, {sequence: 2});
      announce(status, {instance: 'i0', startedAt: STARTED_AT - 1000, sequence: 2});
    },
  },
  {
    title: 'one that starts again with its id, whatever the clock of its host says', inUse: 'i1', happen(status, clock) {
      status.leave('i1', STARTED_AT);
      clock.advance(DRAIN_MS);
      announce(status, {startedAt: STARTED_AT - 1});
    },
  },
];

for (const {title, awaitsDepartures, happen, inUse} of doubtfulCases) {
  test(`${inUse === undefined ? 'out of use is' : 'in use is'} ${title}`, t => {
    const {clock, status} = start(awaitsDepartures);
    happen(status, clock);
    clock.advance(DRAIN_MS / 2);
    t.is(status.unavailableReason() === undefined ? status.target()?.instance : undefined, inUse);
  });
}

const rateCases: Array<{title: string; rateOf: (response: number) => number | undefined; changes: number}> = [
  {title: 'a limit that is named again and again', rateOf: () => 10, changes: 1},
  {title: 'a limit that varies a little with each response', rateOf: response => 10 + ((response % 9) / 10), changes: 1},
  {title: 'a limit that grows by a hundredth with each response, to the double', rateOf: response => 10 * (1.01 ** Math.min(response, 70)), changes: 8},
  {title: 'a limit that is lifted at the end', rateOf: response => response < 99 ? 10 : undefined, changes: 2},
];

for (const {title, rateOf, changes: expected} of rateCases) {
  test(`other processes hear of ${title} only when it differs from what they know`, t => {
    const {status, changes} = start();
    announce(status);
    const before = changes();
    for (let response = 0; response < 100; response++) {
      status.applyStatement({ratePerSecond: rateOf(response), isLeaving: false}, {backend: status.target()!, startedAt: 0});
    }

    t.is(changes() - before, expected);
    t.is(status.rateLimit.perSecond(), rateOf(99));
  });
}

test('a limit is not lifted by a response that arrives while the announcements are silent', t => {
  const {clock, status} = start();
  announce(status);
  const dispatch = {backend: status.target()!, startedAt: clock.now()};
  status.applyStatement({ratePerSecond: 10, isLeaving: false}, dispatch);
  clock.advance(10_000);
  status.expire();
  t.is(status.target(), undefined);
  status.applyStatement({ratePerSecond: undefined, isLeaving: false}, dispatch);
  announce(status, {sequence: 2});
  t.is(status.rateLimit.perSecond(), 10);
});
