/** Guards against retries that multiply along a call tree, and against budgets that are granted twice. */
import test from 'ava';
import fc from 'fast-check';
import {createRandom} from '../../../shared/random.js';
import type {AttemptResult, OutboundAction} from '../outbound.js';
import {
  closeParent, createRetryBudgets, expireRequestPools, grantTokens, joinPool, leavePool, openParent, REQUEST_RETENTION_MS, REQUESTS_MAX,
} from '../retry-budget.js';
import {
  createDriver, createEndpoints, rejected, responded, type Attempt, type Driver,
} from './harness.js';

/** Execution of an attempt at a backend server; its response is lost when `attempt` is undefined. */
type Run = {parentCallId: string; attempt: Attempt | undefined; depth: number; open: number; granted: number};

const DEPTH_MAX = 13;
const CALLS_MAX = 200;

/** Simulates a random call tree in which every hop uses the same outbound state, and counts the retries. */
const simulateTree = (seed: number, allowance: number): {retries: number; deepest: number; driver: Driver} => {
  const driver = createDriver(createEndpoints(4, {slots: 10_000, connections: 10_000}), {seed});
  const random = createRandom(seed + 1);
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
  const remove = <Item>(items: Item[]): Item => items.splice(Math.floor(random() * items.length), 1)[0]!;
  const sent: Attempt[] = [];
  const runs: Run[] = [];
  const origins = new Map<string, {depth: number; parent: Run | undefined}>();
  let retries = 0;

  const handleActions = (actions: readonly OutboundAction[]): void => {
    for (const action of actions) {
      if (action.kind === 'attempt') {
        sent.push(action);
      } else if (action.kind === 'forward' || action.kind === 'reject') {
        origins.get(action.callId)!.parent!.open--;
      }

      retries += action.kind === 'retry-counted' && action.reason !== 'silent-reask' ? 1 : 0;
    }
  };

  const arrive = (depth: number, parent: Run): void => {
    origins.set(`c${driver.calls + 1}`, {depth, parent});
    handleActions([driver.arrive({requestId: 'one', retryBudget: allowance, idempotent: random() < 0.7}, depth === 1 ? {} : {parentCallId: parent.parentCallId})]);
  };

  const startRun = (attempt: Attempt): Run => {
    const {depth} = origins.get(attempt.callId)!;
    const parentCallId = `${attempt.attemptId}.${attempt.sendNumber}`;
    const children = depth < DEPTH_MAX && driver.calls < CALLS_MAX ? pick([0, 1, 1, 2, 4]) : 0;
    const run: Run = {
      parentCallId, attempt, depth, open: children, granted: attempt.retryBudget,
    };
    runs.push(run);
    driver.openParent(parentCallId, attempt.retryBudget);
    for (let child = 0; child < children; child++) {
      arrive(depth + 1, run);
    }

    return run;
  };

  const endRun = ({parentCallId, attempt, granted}: Run): void => {
    const {retryBudget: unused} = driver.decide({kind: 'parent-closed', parentCallId})[0] as Extract<OutboundAction, {kind: 'parent-left'}>;
    // After spending nothing a process may report any number of tokens; after spending some, at most the unused ones.
    const retryBudget = pick(unused < granted ? [unused, 0, -5, Number.NaN] : [unused, 0, 1000, Number.MAX_VALUE, Number.NaN, -1]);
    handleActions(attempt === undefined ? [] : driver.end(attempt, responded({retryBudget, status: pick([200, 503, 502, 504]), gaveUp: random() < 0.2})));
  };

  const endSent = (attempt: Attempt): void => {
    const failure = pick<AttemptResult | undefined>([undefined, undefined, undefined, {kind: 'not-connected'}, {kind: 'lost'}, {kind: 'silent'}, rejected({retryBudget: 1000})]);
    if (failure === undefined) {
      startRun(attempt);
      return;
    }

    if ((failure.kind === 'lost' || failure.kind === 'silent') && random() < 0.7) {
      startRun(attempt).attempt = undefined;
    }

    handleActions(driver.end(attempt, failure));
  };

  const client: Run = {
    parentCallId: '', attempt: undefined, depth: 0, open: 0, granted: 0,
  };
  arrive(1, client);
  for (let resends = 3; sent.length + runs.length + driver.state.calls.size > 0;) {
    const turn = random();
    if (turn < 0.05 && resends-- > 0) {
      arrive(1, client);
    } else if (turn < 0.5 && sent.length > 0) {
      endSent(remove(sent));
    } else if (turn < 0.8 && runs.length > 0) {
      const run = remove(runs);
      if (run.open > 0 && random() < 0.95) {
        runs.push(run);
      } else {
        endRun(run);
      }
    } else {
      handleActions(driver.advance(random() * 30));
    }
  }

  return {retries, deepest: Math.max(...[...origins.values()].map(({depth}) => depth)), driver};
};

test('retries in the whole tree stay within the request\'s budget, with losses, resends and wrong returned budgets', t => {
  let exhausted = 0;
  let full = 0;
  fc.assert(fc.property(fc.integer({min: 0, max: 1_000_000}), fc.integer({min: 0, max: 12}), (seed, allowance) => {
    const {retries, deepest, driver} = simulateTree(seed, allowance);
    full += deepest === DEPTH_MAX ? 1 : 0;
    exhausted += retries === allowance && allowance > 0 ? 1 : 0;
    return retries <= allowance && driver.state.calls.size === 0 && driver.state.retryTimes.size === 0;
  }), {numRuns: 600, seed: 20_261});
  t.true(exhausted > 50 && full > 50, `too few trees that use up their budget or reach the full depth to test the bound: ${exhausted}, ${full}`);
});

test('a lost response spends its tokens, and a resend continues with the remaining ones', t => {
  const driver = createDriver(createEndpoints(3));
  const first = driver.arrive({requestId: 'same', retryBudget: 6, idempotent: false}) as Attempt;
  t.is(first.retryBudget, 6);
  driver.end(first, {kind: 'lost'});
  t.is((driver.arrive({requestId: 'same', retryBudget: 6, idempotent: false}) as Attempt).retryBudget, 0);
  t.is((driver.arrive({requestId: 'other', retryBudget: 6, idempotent: false}) as Attempt).retryBudget, 6);
});

test('the request pools are limited in number, are kept until they expire, and a spent one is not evicted early', t => {
  const budgets = createRetryBudgets();
  const useRequest = (requestId: string, granted = grantTokens) => {
    const pool = joinPool(budgets, {requestId, retryBudget: 1}, undefined);
    const tokens = granted(pool, false, () => 0);
    leavePool(budgets, pool, requestId, 0);
    return tokens;
  };

  const grants = Array.from({length: REQUESTS_MAX + 1}, (_, index) => useRequest(`r${index}`));
  t.deepEqual([budgets.requests.size, grants[0], grants.at(-1), useRequest('r0')], [REQUESTS_MAX, 1, 0, 0]);
  expireRequestPools(budgets, REQUEST_RETENTION_MS);
  useRequest('unspent', () => 0);
  t.is(budgets.requests.size, 0);
});

test('simultaneous sub-calls get equal shares once the fan-out of their parent\'s kind is learnt', t => {
  const budgets = createRetryBudgets();
  const random = createRandom(1);
  const sums = [0, 0, 0, 0, 0];
  for (let parent = 0; parent < 2000; parent++) {
    openParent(budgets, {
      parentCallId: `${parent}`, parentKind: 's/k', retryBudget: 4, remainingMs: 1,
    }, 0);
    for (const child of sums.keys()) {
      sums[child]! += grantTokens(joinPool(budgets, {requestId: 'r', retryBudget: 99}, `${parent}`), false, random);
    }

    closeParent(budgets, `${parent}`);
  }

  t.deepEqual(sums.filter(sum => Math.abs((sum / 2000) - 0.8) > 0.1), []);
});
