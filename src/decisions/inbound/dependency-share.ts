/** Keeps calls that wait for one slow dependency from holding all slots. */
import {blend, withSample, type Average} from './average.js';
import {
  DEPENDENCIES_MAX, DEPENDENCY_SHARE, DEPENDENCY_SLOW_MIN_MS, DEPENDENCY_SLOW_RATIO, DEPENDENCY_USE_MIN, DEPENDENCY_USE_SMOOTHING,
  REQUEST_KINDS_MAX, WINDOW_MAX_MS,
} from './constants.js';

type Dependency = {
  /** Running calls that wait for the dependency, and the sum of the times at which they began to. */
  waiting: number;
  startSum: number;
  /** Running calls that wait for the dependency or are expected to. */
  exposed: number;
  /** Sub-call time; undefined before the first one has ended. */
  time: Average | undefined;
  isSlow: boolean;
};

/** State of the shares of all dependencies. */
export type DependencyShare = {
  dependencies: Map<string, Dependency>;
  /** Share of the calls that use each dependency, by request kind. */
  usage: Map<string, Map<string, number>>;
  /** End of the last pause of the process; durations from before it are not measured. */
  resumedAt: number;
};

/** Sub-calls of one running call. */
export type SubCalls = {
  /** Sub-calls in progress by dependency, and the time since which there are any. */
  open: Map<string, {count: number; since: number}>;
  used: Set<string>;
  /** Dependencies that count this call as exposed. */
  exposed: Set<string>;
  /** Time during which at least one sub-call was in progress, in milliseconds. */
  waitedMs: number;
  waitingSince: number;
};

/** Creates shares that know no dependency. */
export const createDependencyShare = (): DependencyShare => ({dependencies: new Map(), usage: new Map(), resumedAt: Number.NEGATIVE_INFINITY});

const findOrAdd = (share: DependencyShare, service: string): Dependency | undefined => {
  const known = share.dependencies.get(service);
  if (known !== undefined || share.dependencies.size >= DEPENDENCIES_MAX) {
    return known;
  }

  const added: Dependency = {
    waiting: 0, startSum: 0, exposed: 0, time: undefined, isSlow: false,
  };
  share.dependencies.set(service, added);
  return added;
};

const expectedDependencies = (share: DependencyShare, requestKind: string): string[] =>
  [...(share.usage.get(requestKind) ?? [])].filter(([, use]) => use >= DEPENDENCY_USE_MIN).map(([service]) => service);

const expose = (share: DependencyShare, calls: SubCalls, service: string): void => {
  const dependency = findOrAdd(share, service);
  if (dependency !== undefined && !calls.exposed.has(service)) {
    calls.exposed.add(service);
    dependency.exposed++;
  }
};

/** Opens the account of a call that is dispatched. */
export const openSubCalls = (share: DependencyShare, requestKind: string): SubCalls => {
  const calls: SubCalls = {
    open: new Map(), used: new Set(), exposed: new Set(), waitedMs: 0, waitingSince: 0,
  };
  for (const service of expectedDependencies(share, requestKind)) {
    expose(share, calls, service);
  }

  return calls;
};

/** Notes the start of a sub-call. */
export const startSubCall = (share: DependencyShare, calls: SubCalls, service: string, now: number): void => {
  const open = calls.open.get(service);
  if (open !== undefined) {
    open.count++;
    return;
  }

  const dependency = findOrAdd(share, service);
  if (dependency === undefined) {
    return;
  }

  if (calls.open.size === 0) {
    calls.waitingSince = now;
  }

  calls.open.set(service, {count: 1, since: now});
  calls.used.add(service);
  expose(share, calls, service);
  dependency.waiting++;
  dependency.startSum += now;
};

const stopWaiting = (share: DependencyShare, calls: SubCalls, service: string, now: number): void => {
  const {since} = calls.open.get(service)!;
  const dependency = share.dependencies.get(service)!;
  calls.open.delete(service);
  dependency.waiting--;
  dependency.startSum = dependency.waiting === 0 ? 0 : dependency.startSum - since;
  if (calls.open.size === 0) {
    calls.waitedMs += now - calls.waitingSince;
  }

  // A sub-call cut off by the end of its call took at least this long; leaving it out would hide a dependency that never answers.
  if (since >= share.resumedAt) {
    dependency.time = withSample(dependency.time, now - since);
  }
};

/** Notes the end of a sub-call; one that was not noted as started has no effect. */
export const endSubCall = (share: DependencyShare, calls: SubCalls, service: string, now: number): void => {
  const open = calls.open.get(service);
  if (open === undefined) {
    return;
  }

  open.count--;
  if (open.count === 0) {
    stopWaiting(share, calls, service, now);
  }
};

const learnUsage = (share: DependencyShare, requestKind: string, used: ReadonlySet<string>): void => {
  const usage = share.usage.get(requestKind) ?? new Map<string, number>();
  if (!share.usage.has(requestKind) && share.usage.size >= REQUEST_KINDS_MAX) {
    return;
  }

  share.usage.set(requestKind, usage);
  for (const service of new Set([...usage.keys(), ...used])) {
    const use = blend(usage.get(service) ?? (used.has(service) ? 1 : 0), used.has(service) ? 1 : 0, DEPENDENCY_USE_SMOOTHING);
    if (use < DEPENDENCY_USE_SMOOTHING / 2) {
      usage.delete(service);
    } else {
      usage.set(service, use);
    }
  }
};

/** Closes the account of a call that has ended; returns the time for which it waited, in milliseconds. */
export const closeSubCalls = (share: DependencyShare, calls: SubCalls, requestKind: string, now: number): number => {
  for (const service of calls.open.keys()) {
    stopWaiting(share, calls, service, now);
  }

  for (const service of calls.exposed) {
    share.dependencies.get(service)!.exposed--;
  }

  learnUsage(share, requestKind, calls.used);
  return calls.waitedMs;
};

/** Calls that may hold a slot while they use a slow dependency; one may always, so that recovery is noticed. */
const shareOf = (slots: number): number => Math.max(1, Math.floor(slots * DEPENDENCY_SHARE));

const isSlowNow = (dependency: Dependency, slots: number, now: number): boolean => {
  const meanAgeMs = dependency.waiting === 0 ? 0 : now - (dependency.startSum / dependency.waiting);
  const usualMs = Math.max(dependency.time?.baseMs ?? 0, DEPENDENCY_SLOW_MIN_MS);
  const isSlower = Math.max(meanAgeMs, dependency.time?.recentMs ?? 0) > usualMs * DEPENDENCY_SLOW_RATIO;
  return isSlower && (dependency.isSlow || dependency.waiting >= slots * DEPENDENCY_SHARE);
};

/** Judges again which dependencies are slow; returns those whose state has changed. */
export const updateDependencies = (share: DependencyShare, slots: number, now: number): Array<{service: string; isSlow: boolean}> => {
  const changed: Array<{service: string; isSlow: boolean}> = [];
  if (now < share.resumedAt + WINDOW_MAX_MS) {
    return changed;
  }

  for (const [service, dependency] of share.dependencies) {
    const isSlow = isSlowNow(dependency, slots, now);
    if (isSlow !== dependency.isSlow) {
      dependency.isSlow = isSlow;
      changed.push({service, isSlow});
    }
  }

  return changed;
};

/** Tells whether a call would have to wait for a slow dependency that already holds its share of the slots. */
export const isHeldBack = (share: DependencyShare, requestKind: string, slots: number): boolean => {
  const usage = share.usage.get(requestKind);
  if (usage === undefined) {
    return false;
  }

  for (const [service, use] of usage) {
    const dependency = share.dependencies.get(service);
    if (use >= DEPENDENCY_USE_MIN && dependency?.isSlow && dependency.exposed >= shareOf(slots)) {
      return true;
    }
  }

  return false;
};
