/** Learns admitted fractions from responses, so that calls that an overloaded service would reject are already rejected here. */
import type {Random} from '../../shared/random.js';
import type {CallContext} from '../../shared/call-context.js';
import {FRACTION_FLOOR} from '../../shared/constants.js';

/** Time without feedback after which a learnt fraction starts to recover, and the time in which it then doubles, in milliseconds. */
export const RECOVERY_DELAY_MS = 500;
const RECOVERY_DOUBLING_MS = 500;
/** Maximum number of rows; each row is one learnt fraction. */
export const ROWS_MAX = 16_384;
/** Rows inspected to find one to evict. */
const EVICTION_SAMPLE = 32;
const ROW_IDLE_TIMEOUT_MS = 60_000;
/** Maximum span of the moving average, in responses; bounds how slowly the fraction of a service with many endpoints falls. */
const AVERAGE_SPAN_MAX = 20;
/** Time for which an admission decision for one priority affects the others, in milliseconds. */
export const PRIORITY_PRECEDENCE_MS = 1000;
/** From this fraction on everything counts as admitted, and the row is dropped. */
const FULL_ADMISSION = 0.995;
/** Rounding tolerance of comparisons with the floor. */
const FLOOR_TOLERANCE = 1.01;

/** Learnt admitted fraction of one (service, root request kind, priority, group). */
type LearntFraction = {fraction: number; learntAt: number; usedAt: number};

/** Recent admission decisions of a service, which keep the highest priority ahead of the others. */
type PriorityPrecedence = {
  /** Last time at which a call below the highest priority was admitted by more than the floor. */
  lowerAdmittedAt: number;
  /** Time until which only the highest priority is admitted, because calls of it were rejected. */
  highestOnlyUntil: number;
};

/** Learnt fractions, and the priority precedence by service. */
export type AdmissionFeedback = {rows: Map<string, LearntFraction>; precedences: Map<string, PriorityPrecedence>};

/** Creates the state without learnt fractions. */
export const createAdmissionFeedback = (): AdmissionFeedback => ({rows: new Map(), precedences: new Map()});

/** Result of an admission check; `fraction` is passed on with the call. */
export type AdmissionDecision = {admitted: boolean; fraction: number};

type FractionKey = Pick<CallContext, 'service' | 'rootKind' | 'priority' | 'group'>;

const encodeKey = ({service, rootKind, priority, group}: FractionKey): string => `${service} ${rootKind} ${priority} ${group}`;

const currentFraction = (row: LearntFraction, now: number): number => {
  const idleMs = now - row.learntAt - RECOVERY_DELAY_MS;
  return idleMs <= 0 ? row.fraction : Math.min(1, row.fraction * (2 ** (idleMs / RECOVERY_DOUBLING_MS)));
};

/** Learnt fraction of a call in [0.01, 1]; 1 when nothing was learnt. */
export const learntFraction = (feedback: AdmissionFeedback, key: FractionKey, now: number): number => {
  const row = feedback.rows.get(encodeKey(key));
  return row === undefined ? 1 : currentFraction(row, now);
};

const evictIdleRow = (rows: Map<string, LearntFraction>): void => {
  let evictedKey: string | undefined;
  let usedAt = Number.POSITIVE_INFINITY;
  let inspected = 0;
  for (const [key, row] of rows) {
    if (row.usedAt < usedAt) {
      [evictedKey, usedAt] = [key, row.usedAt];
    }

    inspected++;
    if (inspected === EVICTION_SAMPLE) {
      break;
    }
  }

  rows.delete(evictedKey!);
};

const setRow = (rows: Map<string, LearntFraction>, key: string, row: LearntFraction): void => {
  if (rows.size >= ROWS_MAX && !rows.has(key)) {
    evictIdleRow(rows);
  }

  rows.set(key, row);
};

/**
 * Adds the fraction in a response from one of `endpoints` backend servers to the moving average.
 * The average spans about one response of each, so that a single outlier does not set the fraction of all.
 */
export const learnFraction = (feedback: AdmissionFeedback, key: FractionKey, response: {fraction: number; endpoints: number}, now: number): void => {
  const id = encodeKey(key);
  const reported = Number.isFinite(response.fraction) ? Math.min(1, Math.max(FRACTION_FLOOR, response.fraction)) : 1;
  const row = feedback.rows.get(id);
  if (row === undefined && reported >= FULL_ADMISSION) {
    return;
  }

  const current = row === undefined ? 1 : currentFraction(row, now);
  const decreaseWeight = 2 / (Math.min(AVERAGE_SPAN_MAX, Math.max(1, response.endpoints)) + 1);
  const weight = reported < current ? decreaseWeight : decreaseWeight / 2;
  const fraction = (current * (1 - weight)) + (reported * weight);
  if (fraction >= FULL_ADMISSION) {
    feedback.rows.delete(id);
    return;
  }

  setRow(feedback.rows, id, {fraction, learntAt: now, usedAt: now});
};

const precedenceOf = (feedback: AdmissionFeedback, service: string): PriorityPrecedence => {
  const known = feedback.precedences.get(service);
  if (known !== undefined) {
    return known;
  }

  const created = {lowerAdmittedAt: Number.NEGATIVE_INFINITY, highestOnlyUntil: Number.NEGATIVE_INFINITY};
  feedback.precedences.set(service, created);
  return created;
};

const admitHighestPriority = (precedence: PriorityPrecedence, call: CallContext, learnt: number, now: number): AdmissionDecision => {
  if (learnt >= FULL_ADMISSION || now - precedence.lowerAdmittedAt < PRIORITY_PRECEDENCE_MS) {
    return {admitted: true, fraction: call.fraction};
  }

  precedence.highestOnlyUntil = now + PRIORITY_PRECEDENCE_MS;
  return {admitted: call.admissionHash < learnt, fraction: Math.min(call.fraction, learnt)};
};

const admitLowerPriority = (precedence: PriorityPrecedence, call: CallContext, learnt: number, now: number): AdmissionDecision => {
  const admitted = call.admissionHash < learnt;
  if (admitted && learnt > FRACTION_FLOOR * FLOOR_TOLERANCE) {
    precedence.lowerAdmittedAt = now;
  }

  return {admitted, fraction: Math.min(call.fraction, learnt)};
};

/** Admits or rejects a call by its learnt fraction; the highest priority is rejected only when no lower one is admitted. */
export const admit = (feedback: AdmissionFeedback, call: CallContext, now: number): AdmissionDecision => {
  const row = feedback.rows.get(encodeKey(call));
  const precedence = precedenceOf(feedback, call.service);
  const learnt = row === undefined ? 1 : currentFraction(row, now);
  if (row !== undefined) {
    row.usedAt = now;
  }

  if (call.priority === 0) {
    return admitHighestPriority(precedence, call, learnt, now);
  }

  if (now < precedence.highestOnlyUntil) {
    // Without calls there is no feedback; the fraction is reset so that it does not recover while urgent calls are rejected.
    setRow(feedback.rows, encodeKey(call), {fraction: FRACTION_FLOOR, learntAt: now, usedAt: now});
    return {admitted: false, fraction: FRACTION_FLOOR};
  }

  return admitLowerPriority(precedence, call, learnt, now);
};

/** Drops rows that are idle or fully recovered, and the precedence of services that no longer exist. */
export const dropIdleRows = (feedback: AdmissionFeedback, hasService: (service: string) => boolean, now: number): void => {
  for (const [key, row] of feedback.rows) {
    if (now - row.usedAt > ROW_IDLE_TIMEOUT_MS || currentFraction(row, now) >= 1) {
      feedback.rows.delete(key);
    }
  }

  for (const service of feedback.precedences.keys()) {
    if (!hasService(service)) {
      feedback.precedences.delete(service);
    }
  }
};

/** Shortest retry-after of a rejected caller, and the window over which the times are spread at full admission, in milliseconds. */
const RETRY_AFTER_MIN_MS = 500;
const RETRY_AFTER_WINDOW_MS = 1000;
const RETRY_AFTER_WINDOW_MAX_MS = 60_000;

/** Random retry-after of a rejected caller in milliseconds; its window grows as the admitted fraction falls. */
export const retryAfterMs = (fraction: number, random: Random): number =>
  Math.round(RETRY_AFTER_MIN_MS + (random() * Math.min(RETRY_AFTER_WINDOW_MAX_MS, RETRY_AFTER_WINDOW_MS / fraction)));
