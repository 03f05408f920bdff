/** Guards against calls that never end, end twice or are rejected with a wrong outcome in edge cases. */
import test from 'ava';
import {HOP_COUNT_MAX} from '../../../shared/constants.js';
import {chooseTicketEndpoint, OVERDUE_GRACE_MS} from '../outbound.js';
import {PARENT_GRACE_MS} from '../retry-budget.js';
import {
  createDriver, createEndpoints, rejected, responded, type Attempt,
} from './harness.js';

const rejections: Array<[title: string, fields: Parameters<typeof createDriver>[0], callFields: {remainingMs?: number; hops?: number; service?: string}, reason: string]> = [
  ['without endpoints', [], {}, 'no-backend-server'],
  ['of an unknown service', createEndpoints(3), {service: 'other'}, 'no-backend-server'],
  ['with only draining endpoints', createEndpoints(3, {draining: true}), {}, 'no-backend-server'],
  ['past its deadline', createEndpoints(3), {remainingMs: 0}, 'deadline'],
  ['at the hop limit', createEndpoints(3), {hops: HOP_COUNT_MAX}, 'hop-limit'],
];

for (const [title, endpoints, fields, reason] of rejections) {
  test(`a call ${title} is rejected at once with the right outcome`, t => {
    const driver = createDriver(endpoints);
    t.like(driver.arrive(fields), {kind: 'reject', reason, outcome: 'not-run'});
    for (const bound of [{boundHost: 'gone', boundIncarnation: '1'}, {boundHost: 'a1', boundIncarnation: 'old'}]) {
      t.like(driver.arrive({...fields, idempotent: false}, bound), {kind: 'reject', outcome: 'unknown'}, 'an earlier send with a client\'s ticket is not known here');
    }

    t.is(driver.state.calls.size, 0);
  });
}

test('duplicate, late and unrelated results and arrivals have no effect', t => {
  const driver = createDriver(createEndpoints(3));
  const attempt = driver.arrive() as Attempt;
  t.deepEqual(driver.end({...attempt, attemptId: 'other'}, responded()), []);
  t.deepEqual(driver.end({...attempt, sendNumber: 2}, responded()), []);
  driver.calls = 0;
  t.deepEqual([driver.arrive()].filter(Boolean), [], 'a known call id is not started twice');
  t.like(driver.end(attempt, responded({retryBudget: 1}))[0], {kind: 'forward', outcome: 'run'});
  t.deepEqual(driver.end(attempt, responded()), []);
  t.deepEqual(driver.decide({kind: 'caller-gone', callId: attempt.callId}), []);
});

test('a call that waits for a retry ends when its caller goes away', t => {
  const driver = createDriver(createEndpoints(3));
  driver.end(driver.arrive() as Attempt, {kind: 'lost'});
  t.deepEqual([driver.decide({kind: 'caller-gone', callId: 'c1'}), driver.advance(1000), driver.state.calls.size], [[], [], 0]);
});

test('after a long pause, overdue calls end and nothing is sent past its deadline', t => {
  const driver = createDriver(createEndpoints(3));
  const running = driver.arrive({remainingMs: 1000}) as Attempt;
  driver.end(driver.arrive({remainingMs: 1000}) as Attempt, rejected());
  const lost = driver.arrive({remainingMs: 1000}) as Attempt;
  driver.end(lost, {kind: 'lost'});
  const actions = driver.advance(1000 + OVERDUE_GRACE_MS);
  t.deepEqual(actions.map(action => [action.kind, 'outcome' in action && action.outcome]), [
    ['reject', 'not-run'], ['reject', 'unknown'], ['cancel-attempt', false], ['reject', 'unknown'],
  ]);
  t.deepEqual(driver.end(running, responded()), []);
  t.is(driver.state.calls.size, 0);
});

test('parents that are never closed are dropped, and their sub-calls get no retries', t => {
  const driver = createDriver(createEndpoints(3));
  driver.openParent('p', 9);
  driver.advance(60_000 + PARENT_GRACE_MS);
  t.deepEqual([driver.state.budgets.parents.size, (driver.arrive({}, {parentCallId: 'p'}) as Attempt).retryBudget], [0, 0]);
});

test('a ticket is bound to an endpoint that takes calls, without counting a call to it', t => {
  const {state, random} = createDriver([...createEndpoints(1), ...createEndpoints(1, {zone: 'b'})]);
  t.is(chooseTicketEndpoint(state, {service: 's', priority: 0}, 0, random)?.host, 'a0');
  t.is(state.routing.services.get('s')!.byHost.get('a0')!.inFlight, 0);
});
