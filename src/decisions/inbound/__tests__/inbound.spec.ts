/** Tests of the inbound decisions as a whole: events in, actions out. */
import test from 'ava';
import {admittedFraction} from '../admission.js';
import {type InboundAction, inboundLoad, responseFraction} from '../inbound.js';
import {
  createCall, createDriver, createTreatment, FAR_EXPIRY_MS, INCARNATION, summarize, type Driver,
} from './harness.js';

const ticket = {ticket: 't1'};
const sendTicketRequest = (driver: Driver, kind: 'ticket-cancel-asked' | 'ticket-query-asked', ticketExpiresAt = FAR_EXPIRY_MS): InboundAction[] => driver.send({
  kind, askId: 'q', ticket: 't1', epochMs: driver.now, ticketExpiresAt, ticketIncarnation: INCARNATION,
});
const cases: Array<[title: string, slots: number, run: (driver: Driver) => InboundAction[], expected: string[]]> = [
  ['a resend joins the running call', 2, d => [...d.arrive('a', ticket), ...d.arrive('b', ticket)], ['dispatch a', 'join b a']],
  ['a resend after the end replays the stored response', 2, d => [...d.arrive('a', ticket), ...d.end('a'), ...d.arrive('b', ticket)], ['dispatch a', 'replay b a']],
  ['a joined caller gets the response of its leader', 2, d => [...d.arrive('a', ticket), ...d.arrive('b', ticket), ...d.end('a')], ['dispatch a', 'join b a', 'replay b a']],
  ['a response beyond the size limit is not stored', 2, d => [
    ...d.arrive('a', ticket), ...d.end('a', 200, 65_537), ...d.arrive('b', ticket),
  ], ['dispatch a', 'forget a', 'reject b response-not-kept run']],
  ['the outcome of a lost call is reported as unknown', 1, d => [
    ...d.arrive('a', ticket), ...d.send({kind: 'backend-ended', callId: 'a', outcome: {kind: 'lost'}}), ...d.arrive('b', ticket),
  ], ['dispatch a', 'reject a backend-lost unknown', 'reject b outcome-unknown unknown']],
  ['a ticket never runs after its call was reported as not run', 1, d => [
    ...d.arrive('a', ticket), ...d.send({kind: 'backend-ended', callId: 'a', outcome: {kind: 'not-sent'}}), ...d.arrive('a', ticket), ...d.arrive('b', ticket),
  ], ['dispatch a', 'reject a backend-unreachable not-run', 'reject a ticket-cancelled not-run', 'reject b ticket-cancelled not-run']],
  ['a running call with a ticket continues after its caller disconnects', 1, d => [
    ...d.arrive('a', ticket), ...d.send({kind: 'caller-gone', callId: 'a'}), ...d.wait(200), ...d.arrive('b', ticket),
  ], ['dispatch a', 'join b a']],
  ['a running call without a ticket or a caller is cancelled', 1, d => [
    ...d.arrive('a'), ...d.send({kind: 'caller-gone', callId: 'a'}), ...d.wait(90), ...d.wait(20), ...d.wait(200),
  ], ['dispatch a', 'cancel a']],
  ['a call repeated on a new connection joins the running one', 2, d => [
    ...d.arrive('a', {requestId: 'r', attemptId: 'x'}), ...d.send({kind: 'caller-gone', callId: 'a'}), ...d.arrive('b', {requestId: 'r', attemptId: 'x'}), ...d.wait(200), ...d.end('a'),
  ], ['dispatch a', 'join b a', 'replay b a', 'forget a']],
  ['a cancelled ticket does not run', 1, d => [
    ...sendTicketRequest(d, 'ticket-cancel-asked'), ...d.arrive('a', ticket), ...sendTicketRequest(d, 'ticket-query-asked'),
  ], ['state cancelled', 'reject a ticket-cancelled not-run', 'state cancelled']],
  ['a ticket cancelled in the queue does not run', 1, d => [
    ...d.arrive('a'), ...d.arrive('b', ticket), ...sendTicketRequest(d, 'ticket-cancel-asked'), ...d.end('a'),
  ], ['dispatch a', 'state cancelled', 'reject b ticket-cancelled not-run', 'forget a']],
  ['a running ticket cannot be cancelled', 1, d => [...d.arrive('a', ticket), ...sendTicketRequest(d, 'ticket-cancel-asked')], ['dispatch a', 'state a running']],
  ['the state of an expired ticket is unknown', 1, d => sendTicketRequest(d, 'ticket-query-asked', 500), ['state unknown']],
  ['a non-idempotent call without a ticket is rejected', 1, d => d.arrive('a', {idempotent: false}), ['reject a ticket-missing not-run']],
  ['a call is rejected when there are no slots', 0, d => d.arrive('a'), ['reject a queue-time not-run']],
  ['a single slot runs one call at a time', 1, d => [...d.arrive('a'), ...d.arrive('b'), ...d.end('a')], ['dispatch a', 'forget a', 'dispatch b']],
  ['calls of higher priority are dispatched first', 1, d => [...d.arrive('a'), ...d.arrive('b', {priority: 1}), ...d.arrive('c'), ...d.end('a')], ['dispatch a', 'forget a', 'dispatch c']],
  ['a full queue displaces calls of lower priority', 1, d => [
    ...d.arrive('a'), ...d.arrive('b', {priority: 1}), ...d.arrive('c', {priority: 1}), ...d.arrive('d'),
  ], ['dispatch a', 'reject c displaced not-run']],
  ['a call is rejected at the end of its queue time', 1, d => [...d.arrive('a'), ...d.arrive('b'), ...d.wait(199), ...d.wait(1)], ['dispatch a', 'reject b queue-time not-run']],
  ['an idle backend server accepts a call with barely enough time', 1, d => {
    const before = d.arrive('a');
    d.now += 100;
    return [...before, ...d.end('a'), ...d.arrive('b', {remainingMs: 120})];
  }, ['dispatch a', 'forget a', 'dispatch b']],
  ['overdue calls are rejected after a pause of the process', 1, d => {
    const before = [...d.arrive('a'), ...d.arrive('b')];
    d.now += 60_000;
    return [...before, ...d.end('a')];
  }, ['dispatch a', 'forget a', 'reject b deadline not-run']],
  ['a queued call whose caller has disconnected is not dispatched', 1, d => [
    ...d.arrive('a'), ...d.arrive('b'), ...d.send({kind: 'caller-gone', callId: 'b'}), ...d.end('a'),
  ], ['dispatch a', 'forget a']],
  ['a ticket that leaves the queue without a caller can be used by a resend', 1, d => [
    ...d.arrive('a'), ...d.arrive('b', ticket), ...d.send({kind: 'caller-gone', callId: 'b'}), ...d.arrive('c', ticket), ...d.end('a'),
  ], ['dispatch a', 'forget a', 'dispatch c']],
  ['events of unknown calls are ignored', 1, d => [
    ...d.end('x'),
    ...d.send({kind: 'caller-gone', callId: 'x'}),
    ...d.send({kind: 'sub-call-started', callId: 'x', service: 's'}),
    ...d.send({
      kind: 'sub-call-ended', callId: 'x', service: 's', fraction: 0.5,
    }),
  ], []],
  ['queued calls are rejected when the backend server leaves', 1, d => [
    ...d.arrive('a'), ...d.arrive('b'), ...d.send({kind: 'backend-left'}), ...d.arrive('c'),
  ], ['dispatch a', 'reject b no-backend-server not-run', 'reject c no-backend-server not-run']],
  ['a drain rejects new calls, completes queued ones and lets resends join', 1, d => [
    ...d.arrive('a', ticket), ...d.arrive('b'), ...d.send({kind: 'drain-started'}), ...d.arrive('c'), ...d.arrive('d', {ticket: 't2'}), ...d.arrive('e', ticket), ...d.end('a'), ...d.end('b'),
  ], ['dispatch a', 'reject c draining not-run', 'reject d draining not-run', 'join e a', 'replay e a', 'dispatch b', 'forget b', 'drained']],
  ['a drain with nothing in flight ends immediately and only once', 1, d => [...d.send({kind: 'drain-started'}), ...d.send({kind: 'drain-started'}), ...d.wait(20)], ['drained']],
  ['a drain cancels calls that do not end in time', 1, d => [
    ...d.arrive('a', {remainingMs: 60_000}), ...d.send({kind: 'drain-started'}), ...d.wait(4999), ...d.wait(1), ...d.wait(20), ...d.send({kind: 'backend-ended', callId: 'a', outcome: {kind: 'lost'}}),
  ], ['dispatch a', 'cancel a', 'reject a backend-lost unknown', 'drained']],
];

for (const [title, slots, run, expected] of cases) {
  test(title, t => {
    t.deepEqual(summarize(run(createDriver(slots, [createTreatment({requestKind: 'book'})]))), expected);
  });
}

test('records are kept until their tickets expire, and no longer', t => {
  const nonIdempotentCall = createCall({idempotent: false});
  const driver = createDriver(3, [], {ledgerLimits: {records: 1, cancelled: 1}});
  const send = (callId: string, name: string, epochMs: number): string[] => summarize(driver.send({
    kind: 'call-arrived', callId, call: {...nonIdempotentCall, ticket: name}, epochMs, ticketExpiresAt: 2000, ticketIncarnation: INCARNATION,
  }));
  t.deepEqual(send('a', 't1', 1000), ['dispatch a']);
  t.deepEqual(send('b', 't2', 1000), ['reject b ledger-full not-run']);
  driver.end('a');
  t.deepEqual(summarize(driver.send({kind: 'tick', epochMs: 1999})), []);
  t.deepEqual(send('b', 't2', 1999), ['reject b ticket-cancelled not-run']);
  t.deepEqual(send('b', 't3', 1999), ['reject b ledger-full unknown']);
  t.deepEqual(send('c', 't1', 1999), ['replay c a']);
  t.deepEqual(summarize(driver.send({kind: 'tick', epochMs: 2000})), ['forget a']);
  // The wall clock goes backwards; the ticket must stay expired.
  t.deepEqual(send('d', 't1', 1000), ['reject d ticket-expired unknown']);
  t.is(driver.state.ledger.records.size + driver.state.ledger.cancelledCount + driver.state.ledger.cancelled.size, 0);
  t.deepEqual(summarize(driver.send({
    kind: 'call-arrived', callId: 'e', call: {...nonIdempotentCall, ticket: 't3'}, epochMs: 2000, ticketExpiresAt: 9000, ticketIncarnation: 'i0',
  })), ['reject e ticket-other-incarnation unknown']);
});

test('a full ledger reports an unknown outcome instead of not-run, and a ticket that never ran stays usable', t => {
  const driver = createDriver(1, [createTreatment({})], {ledgerLimits: {cancelled: 0}});
  t.deepEqual(summarize([
    ...driver.arrive('a', ticket), ...driver.send({kind: 'backend-ended', callId: 'a', outcome: {kind: 'not-sent'}}), ...driver.arrive('b', ticket),
  ]), ['dispatch a', 'reject a backend-unreachable unknown', 'reject b outcome-unknown unknown']);
  t.deepEqual(summarize([
    ...driver.arrive('c'), ...driver.arrive('d', {ticket: 't2'}), ...driver.wait(200), ...driver.end('c'), ...driver.arrive('e', {ticket: 't2'}),
  ]), ['dispatch c', 'reject d queue-time unknown', 'forget c', 'dispatch e']);
});

test('a concurrency rule limits its request kind only', t => {
  const driver = createDriver(3, [createTreatment({requestKind: 'book', concurrency: 1}), createTreatment({requestKind: 'list'})]);
  const actions = [...driver.arrive('a'), ...driver.arrive('b'), ...driver.arrive('c', {requestKind: 'list'}), ...driver.end('a')];
  t.deepEqual(summarize(actions), ['dispatch a', 'dispatch c', 'forget a', 'dispatch b']);
});

test('the minimum share of the current policy is respected', t => {
  const driver = createDriver(10);
  driver.send({kind: 'policy-changed', policy: {...driver.state.policy, minimumShares: [0, 0, 0.25]}});
  driver.state.serviceTimes.meanMs = 100;
  for (let index = 0; index < 800; index++) {
    driver.arrive(`c${index}`, {priority: 1 + (index % 2), admissionHash: 0.999});
    driver.wait(index % 80 === 79 ? 100 : 0);
  }

  // Each priority has a demand of 40 slots, and there are 10.
  t.true(admittedFraction(driver.state.admission, 2, 'crew') >= 2.5 / 40);
});

test('a response reports the lowest fraction of its sub-calls, and the load', t => {
  const driver = createDriver(4);
  driver.arrive('a');
  driver.send({
    kind: 'sub-call-ended', callId: 'a', service: 'registro', fraction: 0.25,
  });
  t.is(responseFraction(driver.state, 'a'), 0.25);
  t.is(inboundLoad(driver.state), 0.25);
});

test('stored responses stay within their total size limit', t => {
  const driver = createDriver(2, [], {ledgerLimits: {totalBytes: 150}});
  const actions = ['a', 'b'].flatMap(callId => [...driver.arrive(callId, {ticket: callId}), ...driver.end(callId, 200, 90)]);
  t.deepEqual(summarize(actions), ['dispatch a', 'dispatch b', 'forget b']);
  t.is(driver.state.ledger.storedBytes, 90);
});
