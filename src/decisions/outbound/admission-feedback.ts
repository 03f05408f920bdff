/** Learns admitted fractions from responses, so that calls an overloaded service would reject are rejected here. */
import type {Random} from '../../shared/random.js';
import type {Call} from '../../shared/call.js';
import {FRACTION_FLOOR} from '../../shared/constants.js';

/** Time without feedback after which a learnt fraction recovers, and the time in which it then doubles, in milliseconds. */
export const RECOVERY_HOLD_MS = 500;
const RECOVERY_DOUBLING_MS = 500;
/** Rows kept at most. */
export const ROWS_MAX = 16_384;
/** Rows looked at to find one to evict. */
const EVICTION_SAMPLE = 32;
const ROW_IDLE_MS = 60_000;
/** Responses that an average spans at most; it bounds how slowly the fraction of a service with many endpoints falls. */
const SPAN_MAX = 20;
/** Time for which one priority's admission binds the other, in milliseconds. */
export const PRECEDENCE_MS = 1000;
/** Above it a fraction counts as full admission, and the row is dropped. */
const FULL = 0.995;
/** Rounding tolerance of the floor. */
const FLOOR_TOLERANCE = 1.01;

/** Learnt fraction of one (service, root request kind, priority, group). */
type Row = {fraction: number; learntAt: number; usedAt: number};

/** Which priorities a service admits. */
type Precedence = {
  /** Last time at which a call below the highest priority was admitted by more than the floor. */
  lowerAdmittedAt: number;
  /** Until then only the highest priority is admitted, because calls of it are rejected. */
  highestOnlyUntil: number;
};

/** State of the learnt fractions. */
export type AdmissionFeedback = {rows: Map<string, Row>; precedences: Map<string, Precedence>};

/** Creates the state without learnt fractions. */
export const createAdmissionFeedback = (): AdmissionFeedback => ({rows: new Map(), precedences: new Map()});

/** What an admission decides. */
export type Admission = {admitted: boolean; fraction: number};

type Key = Pick<Call, 'service' | 'rootKind' | 'priority' | 'group'>;

const rowKey = ({service, rootKind, priority, group}: Key): string => `${service} ${rootKind} ${priority} ${group}`;

const recovered = (row: Row, now: number): number => {
  const idleMs = now - row.learntAt - RECOVERY_HOLD_MS;
  return idleMs <= 0 ? row.fraction : Math.min(1, row.fraction * (2 ** (idleMs / RECOVERY_DOUBLING_MS)));
};

/** Learnt fraction of a call's row in [0.01, 1]; 1 when nothing was learnt. */
export const learntFraction = (feedback: AdmissionFeedback, key: Key, now: number): number => {
  const row = feedback.rows.get(rowKey(key));
  return row === undefined ? 1 : recovered(row, now);
};

const evictIdlest = (rows: Map<string, Row>): void => {
  let idlest: string | undefined;
  let usedAt = Number.POSITIVE_INFINITY;
  let looked = 0;
  for (const [key, row] of rows) {
    if (row.usedAt < usedAt) {
      [idlest, usedAt] = [key, row.usedAt];
    }

    looked++;
    if (looked === EVICTION_SAMPLE) {
      break;
    }
  }

  rows.delete(idlest!);
};

const setRow = (rows: Map<string, Row>, key: string, row: Row): void => {
  if (rows.size >= ROWS_MAX && !rows.has(key)) {
    evictIdlest(rows);
  }

  rows.set(key, row);
};

/**
 * Learns the fraction that a response of one of `endpoints` backend servers carried.
 * The average spans about one response of each, so that one odd backend server does not set the fraction of all.
 */
export const learnFraction = (feedback: AdmissionFeedback, key: Key, response: {fraction: number; endpoints: number}, now: number): void => {
  const id = rowKey(key);
  const reported = Number.isFinite(response.fraction) ? Math.min(1, Math.max(FRACTION_FLOOR, response.fraction)) : 1;
  const row = feedback.rows.get(id);
  if (row === undefined && reported >= FULL) {
    return;
  }

  const current = row === undefined ? 1 : recovered(row, now);
  const fall = 2 / (Math.min(SPAN_MAX, Math.max(1, response.endpoints)) + 1);
  const weight = reported < current ? fall : fall / 2;
  const fraction = (current * (1 - weight)) + (reported * weight);
  if (fraction >= FULL) {
    feedback.rows.delete(id);
    return;
  }

  setRow(feedback.rows, id, {fraction, learntAt: now, usedAt: now});
};

const precedenceOf = (feedback: AdmissionFeedback, service: string): Precedence => {
  const known = feedback.precedences.get(service);
  if (known !== undefined) {
    return known;
  }

  const created = {lowerAdmittedAt: Number.NEGATIVE_INFINITY, highestOnlyUntil: Number.NEGATIVE_INFINITY};
  feedback.precedences.set(service, created);
  return created;
};

const admitHighest = (precedence: Precedence, call: Call, learnt: number, now: number): Admission => {
  if (learnt >= FULL || now - precedence.lowerAdmittedAt < PRECEDENCE_MS) {
    return {admitted: true, fraction: call.fraction};
  }

  precedence.highestOnlyUntil = now + PRECEDENCE_MS;
  return {admitted: call.admissionHash < learnt, fraction: Math.min(call.fraction, learnt)};
};

const admitLower = (precedence: Precedence, call: Call, learnt: number, now: number): Admission => {
  const admitted = call.admissionHash < learnt;
  if (admitted && learnt > FRACTION_FLOOR * FLOOR_TOLERANCE) {
    precedence.lowerAdmittedAt = now;
  }

  return {admitted, fraction: Math.min(call.fraction, learnt)};
};

/** Admits or rejects a call by the learnt fraction of its row, the highest priority last of all. */
export const admit = (feedback: AdmissionFeedback, call: Call, now: number): Admission => {
  const row = feedback.rows.get(rowKey(call));
  const precedence = precedenceOf(feedback, call.service);
  const learnt = row === undefined ? 1 : recovered(row, now);
  if (row !== undefined) {
    row.usedAt = now;
  }

  if (call.priority === 0) {
    return admitHighest(precedence, call, learnt, now);
  }

  if (now < precedence.highestOnlyUntil) {
    // Without calls there is no feedback; the fraction must not recover from that while urgent work is rejected.
    setRow(feedback.rows, rowKey(call), {fraction: FRACTION_FLOOR, learntAt: now, usedAt: now});
    return {admitted: false, fraction: FRACTION_FLOOR};
  }

  return admitLower(precedence, call, learnt, now);
};

/** Drops rows that were not used for long, and services that no longer exist. */
export const dropIdleRows = (feedback: AdmissionFeedback, hasService: (service: string) => boolean, now: number): void => {
  for (const [key, row] of feedback.rows) {
    if (now - row.usedAt > ROW_IDLE_MS || recovered(row, now) >= 1) {
      feedback.rows.delete(key);
    }
  }

  for (const service of feedback.precedences.keys()) {
    if (!hasService(service)) {
      feedback.precedences.delete(service);
    }
  }
};

/** Shortest wait asked of a rejected caller, and the window over which waits are spread at full admission, in milliseconds. */
const RETRY_AFTER_MIN_MS = 500;
const RETRY_AFTER_WINDOW_MS = 1000;
const RETRY_AFTER_WINDOW_MAX_MS = 60_000;

/** Wait asked of a rejected caller in milliseconds; the window grows as the admitted fraction falls. */
export const retryAfterMs = (fraction: number, random: Random): number =>
  Math.round(RETRY_AFTER_MIN_MS + (random() * Math.min(RETRY_AFTER_WINDOW_MAX_MS, RETRY_AFTER_WINDOW_MS / fraction)));
