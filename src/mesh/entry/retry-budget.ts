/**
Retry budget: limits the retries to each service as a ratio of its requests, over the whole fleet.

Inbound proxies count the calls that arrive and report the counts with their load, so a process may use what the others leave.
Without these counts it keeps to its own share of the budget.
*/
import {createWindowCounter, type WindowCounter} from '../window-counter.js';

/** Calls that inbound proxies counted within the window of the retry budget. */
export type CountedCalls = {
  /** First attempts. */
  requests: number;
  /** Retries. */
  repeats: number;
};

/** Urgency of a call among those to the same service: `urgent` calls have the priority of the most urgent route to it, all others are `ordinary`. */
export type CallRank = 'urgent' | 'ordinary';

/** Retry budget of a process. */
export type RetryBudget = {
  /** Counts the first attempt of a request. */
  recordRequest: (service: string) => void;
  /** Takes one retry from the budget; false when it is spent. */
  tryAcquire: (service: string, rank: CallRank) => boolean;
};

/** Options of a retry budget. */
export type RetryBudgetOptions = {
  now: () => number;
  /** Retries allowed per request. */
  ratio: number;
  /** Length of the sliding window, in milliseconds. */
  windowMs: number;
  /** Retries allowed in each window regardless of the requests, over the whole fleet. */
  slack: number;
  /** Number of processes in the fleet. */
  processCount: () => number;
  /** Total of the counts that the inbound proxies of a service reported; undefined when none can be reached. */
  callCounts: (service: string) => CountedCalls | undefined;
};

/** Share of the limit that may be used. The rest allows for transitive calls: those made by a retried call count as retries to the services that it calls; ordinary calls leave a part to urgent ones. */
const BUDGET_SHARE: Record<CallRank, number> = {urgent: 0.5, ordinary: 0.4};

type CallCounters = {requests: WindowCounter; repeats: WindowCounter};

/** Creates a retry budget. */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
  const {now, windowMs} = options;
  const services = new Map<string, CallCounters>();

  const countersFor = (service: string): CallCounters => {
    const counters = services.get(service) ?? {requests: createWindowCounter(now, windowMs), repeats: createWindowCounter(now, windowMs)};
    services.set(service, counters);
    return counters;
  };

  /** Retries allowed in the current window, and those already made. */
  const budgetUsage = (service: string): {limit: number; used: number} => {
    const {requests, repeats} = countersFor(service);
    const counts = options.callCounts(service);
    if (counts === undefined) {
      return {limit: (options.ratio * requests.count()) + (options.slack / Math.max(1, options.processCount())), used: repeats.count()};
    }

    // The latest retries of this process may not be in the reported counts yet.
    return {limit: (options.ratio * counts.requests) + options.slack, used: counts.repeats + repeats.countRecent()};
  };

  return {
    recordRequest(service) {
      countersFor(service).requests.add();
    },
    tryAcquire(service, rank) {
      const {limit, used} = budgetUsage(service);
      if (used + 1 > limit * BUDGET_SHARE[rank]) {
        return false;
      }

      countersFor(service).repeats.add();
      return true;
    },
  };
};
