/** Chooses the backend server for an attempt by expected time, with a price on other zones. */
import type {Random} from '../shared/random.js';
import type {BackendLoad} from './message.js';

/** Backend server that an attempt can be sent to. */
export type Candidate<Target> = {
  target: Target;
  node: string;
  zone: string;
  load: BackendLoad;
  /** Calls sent there since the load was reported. */
  sentSinceReport: number;
  /** Whether the process there has been heard within the last moments. */
  live: boolean;
  /** Time for which the backend server stays slow, in milliseconds. */
  coldMs: number;
  /** Recent share of failed attempts from this process. */
  failureShare: number;
};

/** What an attempt asks for. */
export type SelectionCriteria = {zone: string; route: string; targetMs: number; excludedNodes: ReadonlySet<string>; requiresLive: boolean};

/** Expected time that a call to another zone has to save, as a share of its target time. */
const CROSS_ZONE_PENALTY_SHARE = 0.2;
/** Power of the inverse score by which calls are shared: one that is twice as slow gets an eighth, so that each is used and measured. */
const SCORE_EXPONENT = 3;
/** Factor on the expected time of a backend server that is still cold. */
const COLD_FACTOR = 2;
/** Weight of failures: at this factor a backend server that fails half of its calls counts as three times as slow. */
const FAILURE_FACTOR = 4;
/** Utilisation above which a backend server slows down. */
const SATURATION_UTILIZATION = 0.8;
/** Time of the slowest few of a hundred calls, as a multiple of the mean; a target below it is missed now and then. */
const TAIL_LATENCY_FACTOR = 2.5;

const limitOf = ({load}: Candidate<unknown>): number => Math.max(1, load.limit);
const occupancyOf = ({load, sentSinceReport}: Candidate<unknown>): number => load.running + load.queued + sentSinceReport;

/** Expected wait for a slot, in milliseconds. */
const expectedWaitMs = (candidate: Candidate<unknown>): number =>
  Math.max(0, occupancyOf(candidate) + 1 - limitOf(candidate)) * candidate.load.serviceMs / limitOf(candidate);

/** Expected time of a call, in milliseconds: the service time of its route, and the wait for a slot. */
export const expectedLatencyMs = (candidate: Candidate<unknown>, serviceMs = candidate.load.serviceMs): number => {
  const {coldMs, failureShare} = candidate;
  const limit = limitOf(candidate);
  const occupied = occupancyOf(candidate);
  const waitMs = expectedWaitMs(candidate);
  const saturationFactor = 1 + Math.max(0, Math.min(1, occupied / limit) - SATURATION_UTILIZATION);
  const coldFactor = coldMs > 0 ? COLD_FACTOR : 1;
  return ((serviceMs * saturationFactor * coldFactor) + waitMs) * (1 + (FAILURE_FACTOR * failureShare));
};

/** What missing the target may cost, in milliseconds: the part of the slow calls that lies beyond it. */
const latenessPenaltyMs = (expected: number, targetMs: number): number => {
  const tailLatencyMs = expected * TAIL_LATENCY_FACTOR;
  return tailLatencyMs <= targetMs ? 0 : targetMs * (tailLatencyMs - targetMs) / tailLatencyMs;
};

const routeServiceMs = ({load}: Candidate<unknown>, route: string): number | undefined => load.routes.find(time => time.route === route)?.serviceMs;

/** Service time of a route where none has been reported: the best of the others, so that the candidate is tried. */
const assumedServiceMs = (candidates: ReadonlyArray<Candidate<unknown>>, route: string): number | undefined => {
  const known = candidates.map(candidate => routeServiceMs(candidate, route)).filter(time => time !== undefined);
  return known.length === 0 ? undefined : Math.min(...known);
};

/** Chooses a candidate, or undefined when there is none outside of the avoided ones. */
export const chooseCandidate = <Target>(candidates: ReadonlyArray<Candidate<Target>>, criteria: SelectionCriteria, random: Random): Candidate<Target> | undefined => {
  const remaining = candidates.filter(({node}) => !criteria.excludedNodes.has(node));
  const live = remaining.filter(candidate => candidate.live);
  const eligible = live.length > 0 || criteria.requiresLive ? live : remaining;
  const assumedMs = assumedServiceMs(eligible, criteria.route);
  // Calls that would queue in their zone use the room of other zones instead.
  const hasFreeSlotInZone = eligible.some(candidate => candidate.zone === criteria.zone && expectedWaitMs(candidate) === 0);
  const crossZonePenaltyMs = hasFreeSlotInZone ? criteria.targetMs * CROSS_ZONE_PENALTY_SHARE : 0;
  const scored = eligible.map(candidate => {
    const zonePenaltyMs = candidate.zone === criteria.zone ? 0 : crossZonePenaltyMs;
    const latencyMs = expectedLatencyMs(candidate, routeServiceMs(candidate, criteria.route) ?? assumedMs);
    const failurePenaltyMs = candidate.failureShare * criteria.targetMs;
    return {candidate, score: latencyMs + latenessPenaltyMs(latencyMs, criteria.targetMs) + failurePenaltyMs + zonePenaltyMs};
  });
  const bestLocal = Math.min(...scored.filter(({candidate}) => candidate.zone === criteria.zone).map(({score}) => score));
  const competitive = scored.filter(({candidate, score}) => candidate.zone === criteria.zone || score < bestLocal);
  const weights = competitive.map(({score}) => score ** -SCORE_EXPONENT);
  let remainingWeight = random() * weights.reduce((total, weight) => total + weight, 0);
  const chosen = competitive.find((_, index) => {
    remainingWeight -= weights[index]!;
    return remainingWeight < 0;
  });
  return (chosen ?? competitive.at(-1))?.candidate;
};
