/** Computes which share of the calls of each priority and client group is admitted. */
import {FRACTION_FLOOR} from '../../shared/constants.js';
import type {Random} from '../../shared/random.js';
import {
  CAPACITY_SHARE_MIN, DEMAND_NEGLIGIBLE, DEMAND_SMOOTHING, GROUPS_MAX, HEADROOM_LOWER, HEADROOM_MAX, HEADROOM_MIN, HEADROOM_RAISE, QUEUE_HORIZON_MS,
  RETRY_AFTER_MIN_MS, RETRY_AFTER_WINDOW_MAX_MS, RETRY_AFTER_WINDOW_MS, UTILISATION_GOAL, WINDOW_MAX_MS,
} from './constants.js';

/** Demand of one client group within a priority. */
export type GroupDemand = {
  weight: number;
  /** Work that arrived in the current window, in slot-milliseconds. */
  arrivedMs: number;
  /** Smoothed demand, in slot-seconds per second. */
  demand: number;
  fraction: number;
  /** Names seen in the current window by an estimate that several client groups share. */
  names?: Set<string>;
};

/** State of the admission. */
export type Admission = {
  /** Client groups by priority, then by name. */
  priorities: Array<Map<string, GroupDemand> | undefined>;
  groupCount: number;
  /** First priority for which nothing but its minimum is left. */
  exhaustedFrom: number;
  /** Capacity that each priority may take before more urgent ones take more than their minimum, in slots. */
  minimums: number[];
  /** Whether the highest priority is thinned; nothing else is admitted then. */
  isHighestThinned: boolean;
  /** Ratio of admitted work to capacity. */
  headroom: number;
};

/** What an admission decision needs to know of a call. */
export type Applicant = {priority: number; group: string; admissionHash: number; fraction: number};

/** What happened to the slots and the queue since the last computation. */
export type Window = {
  /** Time since the last computation, in milliseconds. */
  elapsedMs: number;
  /** Capacity in slots. */
  capacity: number;
  /** Share of the capacity that was in use. */
  utilisation: number;
  isQueueEmpty: boolean;
  queueRejections: number;
  /** Work that the queue may still take, less what it holds beyond that, in slot-milliseconds. */
  queueRoomMs: number;
  /** Minimum share of each priority of the capacity that the highest one leaves; that of the highest has no effect. */
  minimumShares: readonly number[];
};

/** Name of the estimate shared by the client groups beyond the limit; no client group has an empty name. */
const OTHER_GROUPS = '';

/** Creates an admission that admits everything. */
export const createAdmission = (): Admission => ({
  priorities: [],
  groupCount: 0,
  exhaustedFrom: Number.POSITIVE_INFINITY,
  minimums: [],
  isHighestThinned: false,
  headroom: HEADROOM_MIN,
});

const findGroup = (admission: Admission, priority: number, group: string): GroupDemand | undefined => {
  const groups = admission.priorities[priority];
  return groups?.get(group) ?? groups?.get(OTHER_GROUPS);
};

const isExhausted = ({exhaustedFrom, minimums}: Admission, priority: number): boolean =>
  priority >= exhaustedFrom && !(minimums[priority]! > 0);

/** Admitted fraction of a priority and client group. */
export const fractionOf = (admission: Admission, priority: number, group: string): number =>
  findGroup(admission, priority, group)?.fraction ?? (isExhausted(admission, priority) ? FRACTION_FLOOR : 1);

const addGroup = (admission: Admission, priority: number, group: string, weight: number): GroupDemand => {
  const groups = admission.priorities[priority] ?? new Map<string, GroupDemand>();
  admission.priorities[priority] = groups;
  const name = admission.groupCount < GROUPS_MAX ? group : OTHER_GROUPS;
  const known = groups.get(name);
  if (known !== undefined) {
    return known;
  }

  const added: GroupDemand = {
    weight, arrivedMs: 0, demand: 0, fraction: fractionOf(admission, priority, group),
  };
  if (name === OTHER_GROUPS) {
    added.names = new Set();
  }

  groups.set(name, added);
  admission.groupCount++;
  return added;
};

/**
Counts the demand of a call that takes `workMs` slot-milliseconds.

Only calls below the admitted fraction count, each for all calls that the fraction leaves out. Rejected calls come
again and again under the same id; counted each time, they lower the fraction further and leave slots free.
*/
export const observeDemand = (admission: Admission, {priority, group, admissionHash, fraction}: Applicant, weight: number, workMs: number): void => {
  const demand = findGroup(admission, priority, group) ?? addGroup(admission, priority, group, weight);
  if (demand.names === undefined) {
    demand.weight = weight;
  } else if (demand.names.size < GROUPS_MAX) {
    demand.names.add(group);
  }

  if (admissionHash < demand.fraction) {
    demand.arrivedMs += workMs / Math.max(Math.min(fraction, demand.fraction), FRACTION_FLOOR);
  }
};

/** Tells whether a call is admitted. */
export const isAdmitted = (admission: Admission, {priority, group, admissionHash}: Applicant): boolean =>
  !(admission.isHighestThinned && priority > 0) && admissionHash < fractionOf(admission, priority, group);

const smooth = (group: GroupDemand, elapsedMs: number): void => {
  group.demand += DEMAND_SMOOTHING * ((group.arrivedMs / elapsedMs) - group.demand);
  group.arrivedMs = 0;
  if (group.names !== undefined) {
    // Each of the groups has weight 1 in the shared estimate.
    group.weight = Math.max(1, group.names.size);
    group.names.clear();
  }
};

const sum = (values: number[]): number => {
  let total = 0;
  for (const value of values) {
    total += value;
  }

  return total;
};

/** Shares capacity by weighted max-min fairness and sets the fractions. */
export const shareCapacity = (groups: GroupDemand[], capacity: number): void => {
  const ordered = groups.toSorted((a, b) => (a.demand / a.weight) - (b.demand / b.weight));
  let weightLeft = sum(groups.map(({weight}) => weight));
  let capacityLeft = capacity;
  for (const group of ordered) {
    // No group asks less per weight than this one, so its share is final.
    const share = Math.min(group.demand, Math.max(capacityLeft, 0) * group.weight / weightLeft);
    group.fraction = group.demand === 0 ? 1 : Math.max(FRACTION_FLOOR, Math.min(1, share / group.demand));
    capacityLeft -= share;
    weightLeft -= group.weight;
  }
};

const forgetIdleGroups = (admission: Admission, groups: Map<string, GroupDemand>): void => {
  for (const [name, {demand}] of groups) {
    if (demand < DEMAND_NEGLIGIBLE) {
      groups.delete(name);
      admission.groupCount--;
    }
  }
};

/**
Shares capacity between priorities, in slots. The highest one takes what it needs; of the rest each lower one keeps its demand up to its
minimum, and what is left goes on in strict order.
*/
export const allotCapacity = ([highest = 0, ...lower]: number[], capacity: number, minimumShares: readonly number[]): {allotted: number[]; minimums: number[]} => {
  const rest = Math.max(0, capacity - highest);
  const minimums = lower.map((_, index) => rest * (minimumShares[index + 1] ?? 0));
  const kept = lower.map((demand, index) => Math.min(demand, minimums[index]!));
  let left = Math.max(0, rest - sum(kept));
  const allotted = lower.map((demand, index) => {
    const missing = demand - kept[index]!;
    const extra = Math.min(missing, left);
    left -= extra;
    return extra === missing ? demand : kept[index]! + extra;
  });
  return {allotted: [Math.min(highest, capacity), ...allotted], minimums: [0, ...minimums]};
};

/**
Adds the headroom. The queue serves by priority, so what is admitted beyond the capacity pushes out the lowest calls: a priority that is thinned
to its minimum gets the whole excess, or it would lose that part of its minimum.
*/
const allotWithHeadroom = (demands: number[], {capacity, minimumShares}: Window, headroom: number): ReturnType<typeof allotCapacity> => {
  const {allotted, minimums} = allotCapacity(demands, capacity, minimumShares);
  const lowest = demands.findLastIndex((demand, priority) => minimums[priority]! > 0 && demand > allotted[priority]!);
  if (lowest === -1) {
    return allotCapacity(demands, capacity * headroom, minimumShares);
  }

  allotted[lowest] = Math.min(demands[lowest]!, allotted[lowest]! + (capacity * (headroom - 1)));
  return {allotted, minimums};
};

/** Capacity that is given out: a queue with room lets a short surge wait instead of rejecting it, an overfull one takes less. */
const capacityWithQueue = ({capacity, queueRoomMs}: Window): number =>
  Math.max(capacity * CAPACITY_SHARE_MIN, capacity + (queueRoomMs / QUEUE_HORIZON_MS));

const computeFractions = (admission: Admission, window: Window): void => {
  const priorities = Array.from({length: Math.max(admission.priorities.length, window.minimumShares.length)}, (_, priority) => [...(admission.priorities[priority]?.values() ?? [])]);
  const demands = priorities.map(members => sum(members.map(({demand}) => demand)));
  const {allotted, minimums} = allotWithHeadroom(demands, {...window, capacity: capacityWithQueue(window)}, admission.headroom);
  for (const [priority, members] of priorities.entries()) {
    shareCapacity(members, demands[priority]! <= allotted[priority]! ? Number.POSITIVE_INFINITY : allotted[priority]!);
  }

  const thinned = demands.findIndex((demand, priority) => demand > allotted[priority]!);
  admission.exhaustedFrom = thinned === -1 ? Number.POSITIVE_INFINITY : thinned + 1;
  admission.minimums = minimums;
  admission.isHighestThinned = thinned === 0;
};

const adjustHeadroom = (admission: Admission, window: Window): void => {
  const isThinned = admission.exhaustedFrom !== Number.POSITIVE_INFINITY;
  if (!isThinned) {
    admission.headroom = HEADROOM_MIN;
  } else if (window.queueRejections > 0) {
    admission.headroom = Math.max(HEADROOM_MIN, admission.headroom * HEADROOM_LOWER);
  } else if (window.isQueueEmpty && window.utilisation < UTILISATION_GOAL) {
    admission.headroom = Math.min(HEADROOM_MAX, admission.headroom * HEADROOM_RAISE);
  }
};

/** Computes the fractions at the end of a window. */
export const updateAdmission = (admission: Admission, window: Window): void => {
  const members = admission.priorities.flatMap(groups => [...(groups?.values() ?? [])]);
  if (window.elapsedMs > WINDOW_MAX_MS) {
    // Calls that arrived during a pause of the process came in at once; their rate says nothing.
    for (const member of members) {
      member.arrivedMs = 0;
    }

    return;
  }

  for (const member of members) {
    smooth(member, window.elapsedMs);
  }

  for (const groups of admission.priorities) {
    if (groups !== undefined) {
      forgetIdleGroups(admission, groups);
    }
  }

  adjustHeadroom(admission, window);
  computeFractions(admission, window);
};

/** Time after which a rejected caller may come back, in milliseconds; spread over a window that grows as less is admitted. */
export const retryAfterMs = (fraction: number, random: Random): number => {
  const windowMs = Math.min(RETRY_AFTER_WINDOW_MAX_MS, RETRY_AFTER_WINDOW_MS / Math.max(fraction, FRACTION_FLOOR));
  return RETRY_AFTER_MIN_MS + Math.floor(random() * windowMs);
};
