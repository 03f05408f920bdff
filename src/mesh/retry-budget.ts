/**
Bounds the sends beyond the first of each request, by service, over the whole fleet.

Doors count the calls that arrive and tell them with their load, so a process can use what others leave; without their counts it keeps to its own part.
*/
import {createWindowCounter, type WindowCounter} from './window-counter.js';

/** Calls to a service that the doors which can be reached have counted in the window. */
export type CountedCalls = {
  /** First sends. */
  requests: number;
  /** Further sends. */
  repeats: number;
};

/** Whether other calls to the same service are more urgent. */
export type CallRank = 'urgent' | 'ordinary';

/** Budget of a process. */
export type RetryBudget = {
  /** Counts the first send of a request. */
  recordRequest: (service: string) => void;
  /** Takes one further send; false when the budget is spent. */
  tryAcquire: (service: string, rank: CallRank) => boolean;
};

/** Options of a budget. */
export type RetryBudgetOptions = {
  now: () => number;
  /** Further sends per request. */
  ratio: number;
  windowMs: number;
  /** Further sends in a window that are free, over the whole fleet. */
  slack: number;
  /** Processes of the fleet. */
  processes: () => number;
  /** Calls that the doors of a service have counted; undefined when none can be reached. */
  counted: (service: string) => CountedCalls | undefined;
};

/** Part of the bound that is used: calls made by a repeated call count as repeats at the services below. Less urgent calls leave some of it to the others. */
const BUDGET_SHARE: Record<CallRank, number> = {urgent: 0.5, ordinary: 0.4};

type CallCounters = {requests: WindowCounter; repeats: WindowCounter};

/** Creates a budget. */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
  const {now, windowMs} = options;
  const services = new Map<string, CallCounters>();

  const countersFor = (service: string): CallCounters => {
    const counters = services.get(service) ?? {requests: createWindowCounter(now, windowMs), repeats: createWindowCounter(now, windowMs)};
    services.set(service, counters);
    return counters;
  };

  /** Sends within the bound, and those of them that have been used. */
  const budgetUsage = (service: string): {limit: number; used: number} => {
    const {requests, repeats} = countersFor(service);
    const counted = options.counted(service);
    if (counted === undefined) {
      return {limit: (options.ratio * requests.count()) + (options.slack / Math.max(1, options.processes())), used: repeats.count()};
    }

    // The newest sends of this process may not have been told yet.
    return {limit: (options.ratio * counted.requests) + options.slack, used: counted.repeats + repeats.countRecent()};
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
