/**
 * Retry allowance of requests, as pools of tokens that are only moved, never created.
 *
 * Split rule: a sub-call gets an equal share of what the pool can spare, where the number of shares is the usual peak of
 * simultaneous sub-calls of the parent's request kind less those already open. Shares are rounded at random, so that small
 * pools reach every sub-call equally often. An idempotent call keeps a part back, since a lost response spends its grant
 * and the hop next to the loss needs a token of its own.
 */
import type {Random} from '../../shared/random.js';

/** Time for which an entry process remembers a request after its last call ended, in milliseconds. */
export const REQUEST_RETENTION_MS = 120_000;
/** Requests remembered at most. A new one beyond that gets no retries, because forgetting another would grant it twice. */
export const REQUESTS_MAX = 65_536;
/** Time after its deadline at which a parent that was never closed is dropped, in milliseconds. */
export const PARENT_GRACE_MS = 60_000;
/** Request kinds whose usual fan-out is remembered at most. */
const FAN_OUT_KINDS_MAX = 4096;
const FAN_OUT_DEFAULT = 2;
const FAN_OUT_EWMA_WEIGHT = 0.1;
/** Part that an idempotent sub-call keeps back; a whole token per hop would leave nothing after a few of 13 hops. */
const RESERVED_SHARE = 0.25;

/** Tokens that the calls of one request, or the sub-calls of one call, may still use. */
export type TokenPool = {
  left: number;
  total: number;
  /** Calls that use the pool now. */
  open: number;
  peak: number;
  /** Simultaneous calls to share among. */
  expected: number;
  expiresAt: number;
  /** Whether a call of the pool ended as a failure. */
  gaveUp: boolean;
  /** Request kind of the parent; undefined for a pool of client calls. */
  parentKind: string | undefined;
};

/** State of the retry budgets. */
export type RetryBudgets = {
  /** Pools of client requests by request id, the longest unused first. */
  requests: Map<string, TokenPool>;
  parents: Map<string, TokenPool>;
  /** Usual peak of simultaneous sub-calls by request kind of the parent. */
  fanOut: Map<string, number>;
};

/** Creates the state without pools. */
export const createRetryBudgets = (): RetryBudgets => ({requests: new Map(), parents: new Map(), fanOut: new Map()});

const toWholeTokens = (tokens: number): number => (Number.isFinite(tokens) ? Math.max(0, Math.floor(tokens)) : 0);

const createPool = (tokens: number, expected: number): TokenPool => ({
  left: toWholeTokens(tokens), total: toWholeTokens(tokens), open: 0, peak: 0, expected, expiresAt: Number.POSITIVE_INFINITY, gaveUp: false, parentKind: undefined,
});

/** Opens the pool of a call that is passed to the backend server. */
export const openParent = (budgets: RetryBudgets, parent: {parentCallId: string; parentKind: string; retryBudget: number; remainingMs: number}, now: number): void => {
  if (budgets.parents.has(parent.parentCallId)) {
    return;
  }

  const pool = createPool(parent.retryBudget, budgets.fanOut.get(parent.parentKind) ?? FAN_OUT_DEFAULT);
  pool.parentKind = parent.parentKind;
  pool.expiresAt = now + parent.remainingMs + PARENT_GRACE_MS;
  budgets.parents.set(parent.parentCallId, pool);
};

const learnFanOut = (budgets: RetryBudgets, pool: TokenPool): void => {
  if (pool.parentKind === undefined || pool.peak === 0) {
    return;
  }

  const average = budgets.fanOut.get(pool.parentKind) ?? pool.peak;
  budgets.fanOut.set(pool.parentKind, average + ((pool.peak - average) * FAN_OUT_EWMA_WEIGHT));
  if (budgets.fanOut.size > FAN_OUT_KINDS_MAX) {
    const [oldest] = budgets.fanOut.keys();
    budgets.fanOut.delete(oldest!);
  }
};

/** Closes a parent's pool; grants of sub-calls that still run count as spent. */
export const closeParent = (budgets: RetryBudgets, parentCallId: string): {retryBudget: number; gaveUp: boolean} => {
  const pool = budgets.parents.get(parentCallId);
  if (pool === undefined) {
    return {retryBudget: 0, gaveUp: false};
  }

  budgets.parents.delete(parentCallId);
  learnFanOut(budgets, pool);
  const left = {retryBudget: pool.left, gaveUp: pool.gaveUp};
  pool.left = 0;
  return left;
};

const requestPoolOf = (budgets: RetryBudgets, requestId: string, retryBudget: number): TokenPool => {
  const known = budgets.requests.get(requestId);
  if (known !== undefined) {
    return known;
  }

  if (budgets.requests.size >= REQUESTS_MAX) {
    return createPool(0, 1);
  }

  const pool = createPool(retryBudget, 1);
  budgets.requests.set(requestId, pool);
  return pool;
};

/** Joins a call to the pool of its parent or, for a client's call, of its request. */
export const joinPool = (budgets: RetryBudgets, call: {requestId: string; retryBudget: number}, parentCallId: string | undefined): TokenPool => {
  const pool = parentCallId === undefined
    ? requestPoolOf(budgets, call.requestId, call.retryBudget)
    : budgets.parents.get(parentCallId) ?? createPool(0, 1);
  pool.open++;
  pool.peak = Math.max(pool.peak, pool.open);
  return pool;
};

/** Ends a call's use of its pool. A request that spent nothing is forgotten: a resend gets the same allowance anyway. */
export const leavePool = (budgets: RetryBudgets, pool: TokenPool, requestId: string, now: number): void => {
  pool.open--;
  if (pool.open > 0 || budgets.requests.get(requestId) !== pool) {
    return;
  }

  budgets.requests.delete(requestId);
  if (pool.left < pool.total) {
    pool.expiresAt = now + REQUEST_RETENTION_MS;
    budgets.requests.set(requestId, pool);
  }
};

/** Takes the part of the pool that an attempt carries; `open` calls, this one included, use the pool. */
export const grantTokens = (pool: TokenPool, idempotent: boolean, random: Random): number => {
  const reserved = pool.parentKind === undefined ? Math.min(1, pool.left / 2) : pool.left * RESERVED_SHARE;
  const spare = pool.left - (idempotent ? reserved : 0);
  const shareCount = Math.max(1, pool.expected - (pool.open - 1));
  const granted = Math.min(pool.left, Math.floor((spare / shareCount) + random()));
  pool.left -= granted;
  return granted;
};

/** Adds the unused part of a grant back, never more than was granted. */
export const returnTokens = (pool: TokenPool, granted: number, returned: number): void => {
  pool.left += Math.min(granted, toWholeTokens(returned));
};

/** Takes the token of a retry; false when none is left. */
export const takeRetryToken = (pool: TokenPool): boolean => {
  if (pool.left < 1) {
    return false;
  }

  pool.left--;
  return true;
};

/** Drops what has expired. Requests are visited in the order of their last use, so that a tick costs what it drops. */
export const expireRequestPools = (budgets: RetryBudgets, now: number): void => {
  const visits = budgets.requests.size;
  for (let visit = 0; visit < visits; visit++) {
    const [[requestId, pool]] = budgets.requests as unknown as [[string, TokenPool]];
    if (pool.open === 0 && pool.expiresAt > now) {
      break;
    }

    budgets.requests.delete(requestId);
    if (pool.open > 0) {
      budgets.requests.set(requestId, pool);
    }
  }
};

/** Drops parents that were never closed. */
export const expireParentPools = (budgets: RetryBudgets, now: number): void => {
  for (const [parentCallId, pool] of budgets.parents) {
    if (pool.expiresAt <= now) {
      budgets.parents.delete(parentCallId);
      pool.left = 0;
    }
  }
};
