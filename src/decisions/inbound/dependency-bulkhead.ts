/** Bulkhead that keeps calls waiting for a slow dependency from occupying all slots. */
import {updateMean, withSample, type DurationAverages} from './moving-average.js';
import {
  DEPENDENCIES_MAX, DEPENDENCY_SLOT_SHARE, DEPENDENCY_SLOW_MIN_MS, DEPENDENCY_SLOW_RATIO, DEPENDENCY_USAGE_MIN, DEPENDENCY_USAGE_EWMA_WEIGHT,
  REQUEST_KINDS_MAX, WINDOW_MAX_MS,
} from './constants.js';

type Dependency = {
  /** Number of running calls that wait for the dependency, and the sum of the times at which their waits started. */
  waitingCalls: number;
  waitStartSum: number;
  /** Number of running calls that have used the dependency or are expected to. */
  dependentCalls: number;
  /** Latency of sub-calls; undefined until the first one has ended. */
  latency: DurationAverages | undefined;
  isSlow: boolean;
};

/** State of the bulkheads of all dependencies. */
export type DependencyBulkhead = {
  dependencies: Map<string, Dependency>;
  /** Fraction of calls that use each dependency, by request kind. */
  usage: Map<string, Map<string, number>>;
  /** End of the last pause of the process; durations that started earlier are not measured. */
  resumedAt: number;
};

/** Tracks the sub-calls of one running call. */
export type SubCallTracker = {
  /** Number of sub-calls in progress by dependency, and the time since which there has been at least one. */
  inProgress: Map<string, {count: number; since: number}>;
  /** Dependencies called so far. */
  usedDependencies: Set<string>;
  /** Dependencies whose `dependentCalls` includes this call. */
  countedDependencies: Set<string>;
  /** Total time with at least one sub-call in progress, in milliseconds. */
  waitedMs: number;
  /** Start of the current wait, if a sub-call is in progress. */
  waitingSince: number;
};

/** Creates a state without dependencies. */
export const createDependencyBulkhead = (): DependencyBulkhead => ({dependencies: new Map(), usage: new Map(), resumedAt: Number.NEGATIVE_INFINITY});

const findOrAddDependency = (bulkhead: DependencyBulkhead, service: string): Dependency | undefined => {
  const known = bulkhead.dependencies.get(service);
  if (known !== undefined || bulkhead.dependencies.size >= DEPENDENCIES_MAX) {
    return known;
  }

  const added: Dependency = {
    waitingCalls: 0, waitStartSum: 0, dependentCalls: 0, latency: undefined, isSlow: false,
  };
  bulkhead.dependencies.set(service, added);
  return added;
};

const expectedDependencies = (bulkhead: DependencyBulkhead, requestKind: string): string[] =>
  [...(bulkhead.usage.get(requestKind) ?? [])].filter(([, usageShare]) => usageShare >= DEPENDENCY_USAGE_MIN).map(([service]) => service);

const addDependentCall = (bulkhead: DependencyBulkhead, tracker: SubCallTracker, service: string): void => {
  const dependency = findOrAddDependency(bulkhead, service);
  if (dependency !== undefined && !tracker.countedDependencies.has(service)) {
    tracker.countedDependencies.add(service);
    dependency.dependentCalls++;
  }
};

/** Starts tracking the sub-calls of a dispatched call. */
export const startTracking = (bulkhead: DependencyBulkhead, requestKind: string): SubCallTracker => {
  const tracker: SubCallTracker = {
    inProgress: new Map(), usedDependencies: new Set(), countedDependencies: new Set(), waitedMs: 0, waitingSince: 0,
  };
  for (const service of expectedDependencies(bulkhead, requestKind)) {
    addDependentCall(bulkhead, tracker, service);
  }

  return tracker;
};

/** Records the start of a sub-call. */
export const startSubCall = (bulkhead: DependencyBulkhead, tracker: SubCallTracker, service: string, now: number): void => {
  const ongoing = tracker.inProgress.get(service);
  if (ongoing !== undefined) {
    ongoing.count++;
    return;
  }

  const dependency = findOrAddDependency(bulkhead, service);
  if (dependency === undefined) {
    return;
  }

  if (tracker.inProgress.size === 0) {
    tracker.waitingSince = now;
  }

  tracker.inProgress.set(service, {count: 1, since: now});
  tracker.usedDependencies.add(service);
  addDependentCall(bulkhead, tracker, service);
  dependency.waitingCalls++;
  dependency.waitStartSum += now;
};

const stopWaiting = (bulkhead: DependencyBulkhead, tracker: SubCallTracker, service: string, now: number): void => {
  const {since} = tracker.inProgress.get(service)!;
  const dependency = bulkhead.dependencies.get(service)!;
  tracker.inProgress.delete(service);
  dependency.waitingCalls--;
  dependency.waitStartSum = dependency.waitingCalls === 0 ? 0 : dependency.waitStartSum - since;
  if (tracker.inProgress.size === 0) {
    tracker.waitedMs += now - tracker.waitingSince;
  }

  // A sub-call interrupted by the end of its call took at least this long; skipping it would hide a dependency that never responds.
  if (since >= bulkhead.resumedAt) {
    dependency.latency = withSample(dependency.latency, now - since);
  }
};

/** Records the end of a sub-call; ignored if its start was not recorded. */
export const endSubCall = (bulkhead: DependencyBulkhead, tracker: SubCallTracker, service: string, now: number): void => {
  const ongoing = tracker.inProgress.get(service);
  if (ongoing === undefined) {
    return;
  }

  ongoing.count--;
  if (ongoing.count === 0) {
    stopWaiting(bulkhead, tracker, service, now);
  }
};

const updateUsage = (bulkhead: DependencyBulkhead, requestKind: string, used: ReadonlySet<string>): void => {
  const usage = bulkhead.usage.get(requestKind) ?? new Map<string, number>();
  if (!bulkhead.usage.has(requestKind) && bulkhead.usage.size >= REQUEST_KINDS_MAX) {
    return;
  }

  bulkhead.usage.set(requestKind, usage);
  for (const service of new Set([...usage.keys(), ...used])) {
    const usageShare = updateMean(usage.get(service) ?? (used.has(service) ? 1 : 0), used.has(service) ? 1 : 0, DEPENDENCY_USAGE_EWMA_WEIGHT);
    if (usageShare < DEPENDENCY_USAGE_EWMA_WEIGHT / 2) {
      usage.delete(service);
    } else {
      usage.set(service, usageShare);
    }
  }
};

/** Stops tracking a call that has ended, and returns how long it waited for sub-calls, in milliseconds. */
export const stopTracking = (bulkhead: DependencyBulkhead, tracker: SubCallTracker, requestKind: string, now: number): number => {
  for (const service of tracker.inProgress.keys()) {
    stopWaiting(bulkhead, tracker, service, now);
  }

  for (const service of tracker.countedDependencies) {
    bulkhead.dependencies.get(service)!.dependentCalls--;
  }

  updateUsage(bulkhead, requestKind, tracker.usedDependencies);
  return tracker.waitedMs;
};

/** Returns how many dependent calls of a slow dependency may occupy slots; at least one, so that recovery is detected. */
const maxDependentCalls = (slots: number): number => Math.max(1, Math.floor(slots * DEPENDENCY_SLOT_SHARE));

const isSlowNow = (dependency: Dependency, slots: number, now: number): boolean => {
  const meanAgeMs = dependency.waitingCalls === 0 ? 0 : now - (dependency.waitStartSum / dependency.waitingCalls);
  const baselineMs = Math.max(dependency.latency?.baselineMs ?? 0, DEPENDENCY_SLOW_MIN_MS);
  const isSlower = Math.max(meanAgeMs, dependency.latency?.recentMs ?? 0) > baselineMs * DEPENDENCY_SLOW_RATIO;
  return isSlower && (dependency.isSlow || dependency.waitingCalls >= slots * DEPENDENCY_SLOT_SHARE);
};

/** Updates which dependencies are slow, and returns those that have changed. */
export const detectSlowDependencies = (bulkhead: DependencyBulkhead, slots: number, now: number): Array<{service: string; isSlow: boolean}> => {
  const changed: Array<{service: string; isSlow: boolean}> = [];
  if (now < bulkhead.resumedAt + WINDOW_MAX_MS) {
    return changed;
  }

  for (const [service, dependency] of bulkhead.dependencies) {
    const isSlow = isSlowNow(dependency, slots, now);
    if (isSlow !== dependency.isSlow) {
      dependency.isSlow = isSlow;
      changed.push({service, isSlow});
    }
  }

  return changed;
};

/** Returns whether a request kind uses a slow dependency whose calls already occupy their share of the slots. */
export const isBlockedByDependency = (bulkhead: DependencyBulkhead, requestKind: string, slots: number): boolean => {
  const usage = bulkhead.usage.get(requestKind);
  if (usage === undefined) {
    return false;
  }

  for (const [service, usageShare] of usage) {
    const dependency = bulkhead.dependencies.get(service);
    if (usageShare >= DEPENDENCY_USAGE_MIN && dependency?.isSlow && dependency.dependentCalls >= maxDependentCalls(slots)) {
      return true;
    }
  }

  return false;
};
