/**
Admission control: computes the fraction of calls to admit for each priority and client group.

A group or priority is throttled when its admitted fraction is below 1.
*/
import {FRACTION_FLOOR} from '../../shared/constants.js';
import type {Random} from '../../shared/random.js';
import {
  CAPACITY_SHARE_MIN, DEMAND_NEGLIGIBLE, DEMAND_EWMA_WEIGHT, GROUPS_MAX, OVERCOMMIT_LOWER, OVERCOMMIT_MAX, OVERCOMMIT_MIN, OVERCOMMIT_RAISE, QUEUE_CORRECTION_MS,
  RETRY_AFTER_MIN_MS, RETRY_AFTER_WINDOW_MAX_MS, RETRY_AFTER_WINDOW_MS, UTILISATION_TARGET, WINDOW_MAX_MS,
} from './constants.js';

/** Demand of one client group within a priority. */
export type GroupDemand = {
  weight: number;
  /** Demand counted in the current window, in slot-milliseconds. */
  arrivedMs: number;
  /** Smoothed demand, in slot-seconds per second. */
  demand: number;
  /** Admitted fraction of the calls. */
  fraction: number;
  /** Client groups seen in the current window, for an estimate that several groups share. */
  groupNames?: Set<string>;
};

/** State of admission control. */
export type Admission = {
  /** Client groups by priority, then by name. */
  priorities: Array<Map<string, GroupDemand> | undefined>;
  groupCount: number;
  /** First priority that gets only its minimum share. */
  firstExhaustedPriority: number;
  /** Slots reserved for each priority before higher priorities get more than their minimum. */
  minimumSlots: number[];
  /** Whether the highest priority is throttled; all other calls are then rejected. */
  isHighestThrottled: boolean;
  /** Ratio of admitted work to capacity. */
  overcommitRatio: number;
};

/** Attributes of a call that admission control reads. */
export type CallAttributes = {priority: number; group: string; admissionHash: number; fraction: number};

/** Measurements of one window: slots and queue since the last computation. */
export type AdmissionWindow = {
  /** Time since the last computation, in milliseconds. */
  elapsedMs: number;
  /** Capacity in slots. */
  capacity: number;
  /** Fraction of the capacity that was in use. */
  utilisation: number;
  isQueueEmpty: boolean;
  queueRejections: number;
  /** Work that still fits in the queue, in slot-milliseconds; negative when the queue is overfull. */
  spareQueueMs: number;
  /** Minimum share of each priority in the capacity left over by the highest one; the entry of the highest has no effect. */
  minimumShares: readonly number[];
};

/** Key of the estimate shared by the client groups beyond `GROUPS_MAX`; no client group has an empty name. */
const OTHER_GROUPS = '';

/** Creates a state in which every call is admitted. */
export const createAdmission = (): Admission => ({
  priorities: [],
  groupCount: 0,
  firstExhaustedPriority: Number.POSITIVE_INFINITY,
  minimumSlots: [],
  isHighestThrottled: false,
  overcommitRatio: OVERCOMMIT_MIN,
});

const findGroup = (admission: Admission, priority: number, group: string): GroupDemand | undefined => {
  const groups = admission.priorities[priority];
  return groups?.get(group) ?? groups?.get(OTHER_GROUPS);
};

const isExhausted = ({firstExhaustedPriority, minimumSlots}: Admission, priority: number): boolean =>
  priority >= firstExhaustedPriority && !(minimumSlots[priority]! > 0);

/** Returns the admitted fraction of a priority and client group. */
export const admittedFraction = (admission: Admission, priority: number, group: string): number =>
  findGroup(admission, priority, group)?.fraction ?? (isExhausted(admission, priority) ? FRACTION_FLOOR : 1);

const findOrAddGroup = (admission: Admission, priority: number, group: string, weight: number): GroupDemand => {
  const groups = admission.priorities[priority] ?? new Map<string, GroupDemand>();
  admission.priorities[priority] = groups;
  const name = admission.groupCount < GROUPS_MAX ? group : OTHER_GROUPS;
  const known = groups.get(name);
  if (known !== undefined) {
    return known;
  }

  const added: GroupDemand = {
    weight, arrivedMs: 0, demand: 0, fraction: admittedFraction(admission, priority, group),
  };
  if (name === OTHER_GROUPS) {
    added.groupNames = new Set();
  }

  groups.set(name, added);
  admission.groupCount++;
  return added;
};

/**
Adds a call that takes `workMs` slot-milliseconds to the demand of its client group.

Only calls whose hash is below the admitted fraction count, scaled up by the inverse of the fraction. Rejected calls are
resent with the same id, and therefore the same hash; counting each resend would lower the fraction further and leave slots idle.
*/
export const observeDemand = (admission: Admission, {priority, group, admissionHash, fraction}: CallAttributes, weight: number, workMs: number): void => {
  const demand = findGroup(admission, priority, group) ?? findOrAddGroup(admission, priority, group, weight);
  if (demand.groupNames === undefined) {
    demand.weight = weight;
  } else if (demand.groupNames.size < GROUPS_MAX) {
    demand.groupNames.add(group);
  }

  if (admissionHash < demand.fraction) {
    demand.arrivedMs += workMs / Math.max(Math.min(fraction, demand.fraction), FRACTION_FLOOR);
  }
};

/** Returns whether a call is admitted. */
export const isAdmitted = (admission: Admission, {priority, group, admissionHash}: CallAttributes): boolean =>
  !(admission.isHighestThrottled && priority > 0) && admissionHash < admittedFraction(admission, priority, group);

const updateDemand = (group: GroupDemand, elapsedMs: number): void => {
  group.demand += DEMAND_EWMA_WEIGHT * ((group.arrivedMs / elapsedMs) - group.demand);
  group.arrivedMs = 0;
  if (group.groupNames !== undefined) {
    // Each group of a shared estimate has weight 1.
    group.weight = Math.max(1, group.groupNames.size);
    group.groupNames.clear();
  }
};

const sum = (values: number[]): number => {
  let total = 0;
  for (const value of values) {
    total += value;
  }

  return total;
};

/** Divides capacity between client groups by weighted max-min fairness and sets their fractions. */
export const allocateToGroups = (groups: GroupDemand[], capacity: number): void => {
  const ordered = groups.toSorted((a, b) => (a.demand / a.weight) - (b.demand / b.weight));
  let weightLeft = sum(groups.map(({weight}) => weight));
  let capacityLeft = capacity;
  for (const group of ordered) {
    // The remaining groups demand at least as much per weight, so the share of this one is final.
    const share = Math.min(group.demand, Math.max(capacityLeft, 0) * group.weight / weightLeft);
    group.fraction = group.demand === 0 ? 1 : Math.max(FRACTION_FLOOR, Math.min(1, share / group.demand));
    capacityLeft -= share;
    weightLeft -= group.weight;
  }
};

const removeIdleGroups = (admission: Admission, groups: Map<string, GroupDemand>): void => {
  for (const [name, {demand}] of groups) {
    if (demand < DEMAND_NEGLIGIBLE) {
      groups.delete(name);
      admission.groupCount--;
    }
  }
};

/**
Divides capacity between priorities, in slots.

The highest priority gets its whole demand. Each lower one first gets its demand up to its minimum share of the rest;
what then remains is allocated in strict priority order.
*/
export const allocateToPriorities = ([highest = 0, ...lower]: number[], capacity: number, minimumShares: readonly number[]): {allocated: number[]; minimumSlots: number[]} => {
  const rest = Math.max(0, capacity - highest);
  const minimumSlots = lower.map((_, index) => rest * (minimumShares[index + 1] ?? 0));
  const reserved = lower.map((demand, index) => Math.min(demand, minimumSlots[index]!));
  let remaining = Math.max(0, rest - sum(reserved));
  const allocated = lower.map((demand, index) => {
    const unmet = demand - reserved[index]!;
    const extra = Math.min(unmet, remaining);
    remaining -= extra;
    return extra === unmet ? demand : reserved[index]! + extra;
  });
  return {allocated: [Math.min(highest, capacity), ...allocated], minimumSlots: [0, ...minimumSlots]};
};

/**
Divides overcommitted capacity between priorities, in slots.

The queue serves by priority, so calls admitted beyond the capacity displace those of the lowest priority. The whole excess therefore
goes to the lowest priority throttled to its minimum; otherwise it would lose that part of its minimum.
*/
const allocateWithOvercommit = (demands: number[], {capacity, minimumShares}: AdmissionWindow, overcommitRatio: number): ReturnType<typeof allocateToPriorities> => {
  const {allocated, minimumSlots} = allocateToPriorities(demands, capacity, minimumShares);
  const lowestThrottled = demands.findLastIndex((demand, priority) => minimumSlots[priority]! > 0 && demand > allocated[priority]!);
  if (lowestThrottled === -1) {
    return allocateToPriorities(demands, capacity * overcommitRatio, minimumShares);
  }

  allocated[lowestThrottled] = Math.min(demands[lowestThrottled]!, allocated[lowestThrottled]! + (capacity * (overcommitRatio - 1)));
  return {allocated, minimumSlots};
};

/** Raises the capacity while the queue has room, so that a short surge waits instead of being rejected, and lowers it while the queue is overfull. */
const adjustCapacityToQueue = ({capacity, spareQueueMs}: AdmissionWindow): number =>
  Math.max(capacity * CAPACITY_SHARE_MIN, capacity + (spareQueueMs / QUEUE_CORRECTION_MS));

const computeFractions = (admission: Admission, window: AdmissionWindow): void => {
  const groupsByPriority = Array.from({length: Math.max(admission.priorities.length, window.minimumShares.length)}, (_, priority) => [...(admission.priorities[priority]?.values() ?? [])]);
  const demands = groupsByPriority.map(groups => sum(groups.map(({demand}) => demand)));
  const {allocated, minimumSlots} = allocateWithOvercommit(demands, {...window, capacity: adjustCapacityToQueue(window)}, admission.overcommitRatio);
  for (const [priority, groups] of groupsByPriority.entries()) {
    allocateToGroups(groups, demands[priority]! <= allocated[priority]! ? Number.POSITIVE_INFINITY : allocated[priority]!);
  }

  const highestThrottled = demands.findIndex((demand, priority) => demand > allocated[priority]!);
  admission.firstExhaustedPriority = highestThrottled === -1 ? Number.POSITIVE_INFINITY : highestThrottled + 1;
  admission.minimumSlots = minimumSlots;
  admission.isHighestThrottled = highestThrottled === 0;
};

const adjustOvercommitRatio = (admission: Admission, window: AdmissionWindow): void => {
  const isThrottling = admission.firstExhaustedPriority !== Number.POSITIVE_INFINITY;
  if (!isThrottling) {
    admission.overcommitRatio = OVERCOMMIT_MIN;
  } else if (window.queueRejections > 0) {
    admission.overcommitRatio = Math.max(OVERCOMMIT_MIN, admission.overcommitRatio * OVERCOMMIT_LOWER);
  } else if (window.isQueueEmpty && window.utilisation < UTILISATION_TARGET) {
    admission.overcommitRatio = Math.min(OVERCOMMIT_MAX, admission.overcommitRatio * OVERCOMMIT_RAISE);
  }
};

/** Updates demand and admitted fractions at the end of a window. */
export const updateAdmission = (admission: Admission, window: AdmissionWindow): void => {
  const allGroups = admission.priorities.flatMap(groups => [...(groups?.values() ?? [])]);
  if (window.elapsedMs > WINDOW_MAX_MS) {
    // After a pause of the process, the calls that arrived in the meantime are read all at once, so their rate is meaningless.
    for (const group of allGroups) {
      group.arrivedMs = 0;
    }

    return;
  }

  for (const group of allGroups) {
    updateDemand(group, window.elapsedMs);
  }

  for (const groups of admission.priorities) {
    if (groups !== undefined) {
      removeIdleGroups(admission, groups);
    }
  }

  adjustOvercommitRatio(admission, window);
  computeFractions(admission, window);
};

/** Returns the retry-after of a rejected call in milliseconds, at random from a window that widens as the admitted fraction falls. */
export const retryAfterMs = (fraction: number, random: Random): number => {
  const windowMs = Math.min(RETRY_AFTER_WINDOW_MAX_MS, RETRY_AFTER_WINDOW_MS / Math.max(fraction, FRACTION_FLOOR));
  return RETRY_AFTER_MIN_MS + Math.floor(random() * windowMs);
};
