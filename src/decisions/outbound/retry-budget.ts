/**
 * Retry budget of a request, held as pools of tokens. Tokens move between pools and are never created, so the whole call
 * tree stays within the budget of its request.
 *
 * A sub-call is granted an equal share of the tokens that its parent's pool can spare. The number of shares is the average
 * peak of simultaneous sub-calls of the parent's request kind, less those already active. Shares are rounded at random, so
 * that every sub-call gets tokens equally often from a small pool. For an idempotent call the pool reserves a part: a lost
 * response spends the whole grant, and the hop that sees the loss needs a token for its retry.
 */
import type {Random} from '../../shared/random.js';

/** Time for which an entry process keeps the pool of a request after its last call ended, in milliseconds. */
export const REQUEST_RETENTION_MS = 120_000;
/** Maximum number of request pools. A request beyond it gets no retries; evicting a pool could grant its budget twice. */
export const REQUESTS_MAX = 65_536;
/** Time after its deadline at which the pool of a parent that was never closed is dropped, in milliseconds. */
export const PARENT_GRACE_MS = 60_000;
/** Maximum number of request kinds with a learnt fan-out. */
const FAN_OUT_KINDS_MAX = 4096;
const FAN_OUT_DEFAULT = 2;
const FAN_OUT_EWMA_WEIGHT = 0.1;
/** Part of the pool reserved when an idempotent sub-call is sent. A whole token per hop would use up the budget within a few of 13 hops. */
const RESERVED_SHARE = 0.25;

/** Retry tokens shared by the calls of one request or by the sub-calls of one call. */
export type TokenPool = {
  remaining: number;
  total: number;
  /** Calls that use the pool now. */
  activeCalls: number;
  peakActiveCalls: number;
  /** Number of simultaneous calls that the tokens are divided among. */
  expectedConcurrency: number;
  expiresAt: number;
  /** Whether a call of the pool failed for good. */
  gaveUp: boolean;
  /** Request kind of the parent; undefined for a pool of client calls. */
  parentKind: string | undefined;
};

/** Token pools of requests and parent calls, and the learnt fan-out. */
export type RetryBudgets = {
  /** Pools of client requests by request id, the least recently used first. */
  requests: Map<string, TokenPool>;
  /** Pools of calls that run at the backend server, by call id. */
  parents: Map<string, TokenPool>;
  /** Average peak of simultaneous sub-calls by request kind of the parent. */
  fanOut: Map<string, number>;
};

/** Creates budgets without pools. */
export const createRetryBudgets = (): RetryBudgets => ({requests: new Map(), parents: new Map(), fanOut: new Map()});

const toWholeTokens = (tokens: number): number => (Number.isFinite(tokens) ? Math.max(0, Math.floor(tokens)) : 0);

const createPool = (tokens: number, expectedConcurrency: number): TokenPool => ({
  remaining: toWholeTokens(tokens), total: toWholeTokens(tokens), activeCalls: 0, peakActiveCalls: 0, expectedConcurrency, expiresAt: Number.POSITIVE_INFINITY, gaveUp: false, parentKind: undefined,
});

/** Creates the pool for the sub-calls of a call that is passed to the backend server. */
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
  if (pool.parentKind === undefined || pool.peakActiveCalls === 0) {
    return;
  }

  const average = budgets.fanOut.get(pool.parentKind) ?? pool.peakActiveCalls;
  budgets.fanOut.set(pool.parentKind, average + ((pool.peakActiveCalls - average) * FAN_OUT_EWMA_WEIGHT));
  if (budgets.fanOut.size > FAN_OUT_KINDS_MAX) {
    const [oldest] = budgets.fanOut.keys();
    budgets.fanOut.delete(oldest!);
  }
};

/** Removes a parent's pool and returns its unused tokens; those granted to sub-calls in flight count as spent. */
export const closeParent = (budgets: RetryBudgets, parentCallId: string): {retryBudget: number; gaveUp: boolean} => {
  const pool = budgets.parents.get(parentCallId);
  if (pool === undefined) {
    return {retryBudget: 0, gaveUp: false};
  }

  budgets.parents.delete(parentCallId);
  learnFanOut(budgets, pool);
  const left = {retryBudget: pool.remaining, gaveUp: pool.gaveUp};
  pool.remaining = 0;
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

/** Adds a call to the pool of its parent or, for a client's call, of its request. */
export const joinPool = (budgets: RetryBudgets, call: {requestId: string; retryBudget: number}, parentCallId: string | undefined): TokenPool => {
  const pool = parentCallId === undefined
    ? requestPoolOf(budgets, call.requestId, call.retryBudget)
    : budgets.parents.get(parentCallId) ?? createPool(0, 1);
  pool.activeCalls++;
  pool.peakActiveCalls = Math.max(pool.peakActiveCalls, pool.activeCalls);
  return pool;
};

/** Removes a call from its pool. The pool of a request that spent nothing is dropped: a resend gets the same budget anyway. */
export const leavePool = (budgets: RetryBudgets, pool: TokenPool, requestId: string, now: number): void => {
  pool.activeCalls--;
  if (pool.activeCalls > 0 || budgets.requests.get(requestId) !== pool) {
    return;
  }

  budgets.requests.delete(requestId);
  if (pool.remaining < pool.total) {
    pool.expiresAt = now + REQUEST_RETENTION_MS;
    budgets.requests.set(requestId, pool);
  }
};

/** Takes the tokens that an attempt carries out of the pool; the call itself already counts as active. */
export const grantTokens = (pool: TokenPool, idempotent: boolean, random: Random): number => {
  const reserved = pool.parentKind === undefined ? Math.min(1, pool.remaining / 2) : pool.remaining * RESERVED_SHARE;
  const spare = pool.remaining - (idempotent ? reserved : 0);
  const shareCount = Math.max(1, pool.expectedConcurrency - (pool.activeCalls - 1));
  const granted = Math.min(pool.remaining, Math.floor((spare / shareCount) + random()));
  pool.remaining -= granted;
  return granted;
};

/** Puts the unused tokens of a grant back, at most as many as were granted. */
export const returnTokens = (pool: TokenPool, granted: number, returned: number): void => {
  pool.remaining += Math.min(granted, toWholeTokens(returned));
};

/** Takes the token for a retry; returns false when none is left. */
export const takeRetryToken = (pool: TokenPool): boolean => {
  if (pool.remaining < 1) {
    return false;
  }

  pool.remaining--;
  return true;
};

/** Drops expired request pools. They are kept in the order of last use, so the scan stops at the first one that is still valid. */
export const expireRequestPools = (budgets: RetryBudgets, now: number): void => {
  const visits = budgets.requests.size;
  for (let visit = 0; visit < visits; visit++) {
    const [[requestId, pool]] = budgets.requests as unknown as [[string, TokenPool]];
    if (pool.activeCalls === 0 && pool.expiresAt > now) {
      break;
    }

    budgets.requests.delete(requestId);
    if (pool.activeCalls > 0) {
      budgets.requests.set(requestId, pool);
    }
  }
};

/** Drops pools of parents that were never closed. */
export const expireParentPools = (budgets: RetryBudgets, now: number): void => {
  for (const [parentCallId, pool] of budgets.parents) {
    if (pool.expiresAt <= now) {
      budgets.parents.delete(parentCallId);
      pool.remaining = 0;
    }
  }
};
