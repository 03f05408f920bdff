/** Guards against running a non-idempotent call twice, wrong `not-run` rejections, and retries that add to an overload. */
import test from 'ava';
import fc from 'fast-check';
import type {AttemptResult, OutboundAction} from '../outbound.js';
import {decideRetry, RESENDS_MAX, type RetryReason} from '../retry-policy.js';
import {
  createDriver, createEndpoint, createEndpoints, rejected, responded, type Attempt,
} from './harness.js';

const cases: Array<[title: string, result: AttemptResult, idempotent: RetryReason | undefined, other: RetryReason | undefined]> = [
  ['not-run rejection', rejected(), 'rejected', 'rejected'],
  ['rejection of unknown outcome', rejected({outcome: 'unknown'}), 'rejected', undefined],
  ['rejection that a lower hop gave up on', rejected({gaveUp: true}), undefined, undefined],
  ['expired ticket', rejected({reason: 'ticket-expired'}), undefined, undefined],
  ['failed connect', {kind: 'not-connected'}, 'not-connected', 'not-connected'],
  ['lost response', {kind: 'lost'}, 'lost', undefined],
  ['silence', {kind: 'silent'}, 'silent', undefined],
  ['timeout', {kind: 'timed-out'}, 'timed-out', undefined],
  ['503', responded({status: 503}), 'status', undefined],
  ['503 that a lower hop gave up on', responded({status: 503, gaveUp: true}), undefined, undefined],
];

for (const [title, result, idempotent, other] of cases) {
  test(`retry after: ${title}`, t => {
    const decisions = [[true, true], [false, true], [true, false]].map(([isIdempotent, replayable]) =>
      decideRetry(result, {idempotent: isIdempotent!, replayable: replayable!, isResend: false}));
    t.deepEqual(decisions.map(decision => decision.kind === 'failed' && decision.retry), [idempotent, other, undefined]);
  });
}

test('a retry goes to another backend server, after a backoff with jitter', t => {
  const waits = Array.from({length: 100}, (_, seed) => {
    const driver = createDriver(createEndpoints(2), {seed});
    const first = driver.arrive() as Attempt;
    const [, wake] = driver.end(first, {kind: 'lost'});
    t.not((driver.advance(30)[0] as Attempt).endpoint.host, first.endpoint.host);
    return wake?.kind === 'wake' ? wake.wakeAt : 0;
  });
  t.true(Math.min(...waits) > 10 && Math.max(...waits) - Math.min(...waits) > 10);
});

test('the only backend server gets a retry only after its retry-after', t => {
  const driver = createDriver(createEndpoints(1));
  driver.end(driver.arrive() as Attempt, rejected({retryAfterMs: 2000}));
  t.deepEqual(driver.advance(1999), []);
  t.like(driver.advance(1)[0], {kind: 'attempt'});
  t.like(driver.end(driver.arrive({remainingMs: 10}) as Attempt, rejected({retryAfterMs: 20}))[0], {kind: 'forward'}, 'never beyond the deadline');
});

test('retries stay within the ratio of calls, and an idle service can still retry', t => {
  const countRetries = (calls: number, ratio: number): number => {
    const driver = createDriver(createEndpoints(4), {ratio});
    const ends = Array.from({length: calls}, () => driver.end(driver.arrive() as Attempt, {kind: 'not-connected'}));
    return ends.filter(([action]) => action?.kind === 'retry-counted').length;
  };

  t.deepEqual([countRetries(2, 0.1), countRetries(5, 0), countRetries(100, 0.1)], [2, 0, 13]);
});

test('an attempt on a silent connection is resent on a new one with the same attempt id, a few times and without a token', t => {
  const driver = createDriver(createEndpoints(3));
  let attempt = driver.arrive({retryBudget: 0, idempotent: false}) as Attempt;
  const {attemptId, endpoint: firstEndpoint} = attempt;
  for (let sendNumber = 2; sendNumber <= RESENDS_MAX + 1; sendNumber++) {
    const [counted, again] = driver.end(attempt, {kind: 'silent'}) as [OutboundAction, Attempt];
    t.like([counted, again], [{kind: 'retry-counted', reason: 'silent-reask'}, {
      attemptId, sendNumber, newConnection: true, endpoint: firstEndpoint,
    }]);
    t.deepEqual(driver.end(attempt, {kind: 'silent'}), [], 'a duplicate result is ignored');
    attempt = again;
  }

  t.like(driver.end(attempt, {kind: 'silent'})[0], {kind: 'reject', reason: 'connection-lost', outcome: 'unknown'});
});

test('a hop does not retry a failure that a lower hop gave up on, and reports it to the parent', t => {
  const driver = createDriver(createEndpoints(3));
  driver.openParent('p', 0);
  driver.end(driver.arrive({}, {parentCallId: 'p'}) as Attempt, {kind: 'lost'});
  t.like(driver.decide({kind: 'parent-closed', parentCallId: 'p'})[0], {kind: 'parent-left', gaveUp: true});
  t.like(driver.end(driver.arrive() as Attempt, responded({status: 502, gaveUp: true}))[0], {kind: 'forward'});
});

const anyResult = fc.constantFrom<AttemptResult>(...cases.map(([, result]) => result), rejected({reason: 'draining'}), responded());

const isNotRun = (result: AttemptResult): boolean => result.kind === 'not-connected' || (result.kind === 'rejected' && result.outcome === 'not-run');

/** Runs one call through the results; `maybeRan` follows a naive model of whether the backend server may have run it. */
const simulateCall = (results: readonly AttemptResult[], idempotent: boolean, bound: {boundHost?: string; boundIncarnation?: string; rebindable?: boolean}) => {
  const driver = createDriver(createEndpoints(3));
  const attempts: Attempt[] = [];
  let maybeRan = false;
  let sentAgain = false;
  // A parent's pool reserves tokens for other sub-calls; the budget is large, so that only the retry rules prevent retries.
  driver.openParent('p', 200);
  let last: OutboundAction | undefined = driver.arrive({idempotent}, {...bound, parentCallId: 'p'});
  for (const result of results) {
    if (last?.kind === 'attempt') {
      sentAgain ||= maybeRan && last.sendNumber === 1;
      attempts.push(last);
      const ledgerAnswers = result.kind === 'rejected' && !idempotent;
      maybeRan = !isNotRun(result) || (maybeRan && !ledgerAnswers);
      const actions = driver.end(last, result);
      const wake = actions.find(action => action.kind === 'wake');
      last = wake === undefined ? actions.at(-1) : driver.advance(wake.wakeAt - driver.now)[0];
    }
  }

  return {
    attempts, maybeRan, sentAgain, claimsNotRun: last !== undefined && 'outcome' in last && last.outcome === 'not-run', last,
  };
};

const bindings = fc.constantFrom({}, {boundHost: 'a1', boundIncarnation: '1'});

test('a call that may have run is retried only when idempotent, tickets stay bound, and not-run is never reported wrongly', t => {
  t.notThrows(() => {
    fc.assert(fc.property(fc.array(anyResult, {minLength: 1, maxLength: 12}), fc.boolean(), bindings, (results, idempotent, binding) => {
      const bound = 'boundHost' in binding;
      const {attempts, maybeRan, sentAgain, claimsNotRun, last} = simulateCall(results, idempotent && !bound, binding);
      const stays = attempts.every(({endpoint: {host}, ticketNeeded}) => host === 'a1' && !ticketNeeded);
      return ((idempotent && !bound) || !sentAgain) && !(claimsNotRun && maybeRan) && (!bound || (stays && !(last?.kind === 'reject' && claimsNotRun)));
    }), {numRuns: 4000, seed: 20_263});
  });
});

test('a sub-call takes a new ticket elsewhere after a not-run rejection', t => {
  const {attempts} = simulateCall([rejected(), responded()], false, {boundHost: 'a1', boundIncarnation: '1', rebindable: true});
  t.deepEqual(attempts.map(({ticketNeeded}) => ticketNeeded), [false, true]);
  t.not(attempts[1]!.endpoint.host, 'a1');
});

test('a client\'s ticket is not sent again after the rejection that cancelled it', t => {
  const {attempts, last} = simulateCall([rejected(), responded()], false, {boundHost: 'a1', boundIncarnation: '1'});
  t.is(attempts.length, 1);
  t.like(last, {kind: 'forward', outcome: 'not-run'});
});

test('a draining host still gets resends with its tickets, because only it knows their outcome', t => {
  const driver = createDriver([createEndpoint('a1', {draining: true})]);
  t.like(driver.arrive({idempotent: false}, {boundHost: 'a1', boundIncarnation: '1'}), {kind: 'attempt'});
  t.like(driver.arrive(), {kind: 'reject', reason: 'no-backend-server'});
});
