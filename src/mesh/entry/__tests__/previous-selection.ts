/** The choice before the preference depended on the load of the service, for comparison in the simulation. */
import type {Random} from '../../../shared/random.js';
import type {Candidate, SelectionCriteria} from '../selection.js';

/** Expected latency that a call to another zone has to save, as a share of the target latency. */
const CROSS_ZONE_PENALTY_SHARE = 0.2;
/** Exponent of the inverse score in the random choice: a backend server that is twice as slow gets an eighth of the calls, so that each is still used and measured. */
const SCORE_EXPONENT = 3;
/** Factor on the expected latency of a backend server that started recently. */
const COLD_FACTOR = 2;
/** Weight of the failure rate: a backend server that fails half of its calls counts as three times as slow. */
const FAILURE_FACTOR = 4;
/** Utilization above which the service time of a backend server increases. */
const SATURATION_UTILIZATION = 0.8;
/** Tail latency (the slowest few percent of calls) as a multiple of the mean; a target latency below it is missed occasionally. */
const TAIL_LATENCY_FACTOR = 2.5;

const limitOf = ({load}: Candidate<unknown>): number => Math.max(1, load.limit);
const occupancyOf = ({load, sentSinceReport}: Candidate<unknown>): number => load.running + load.queued + sentSinceReport;

/** Expected time in the queue, in milliseconds. */
const expectedWaitMs = (candidate: Candidate<unknown>): number =>
  Math.max(0, occupancyOf(candidate) + 1 - limitOf(candidate)) * candidate.load.serviceMs / limitOf(candidate);

/** Expected latency of a call, in milliseconds: its service time and the time in the queue, raised for saturation, cold starts and failures. */
const expectedLatencyMs = (candidate: Candidate<unknown>, serviceMs = candidate.load.serviceMs): number => {
  const {coldMs, failureRate} = candidate;
  const limit = limitOf(candidate);
  const occupancy = occupancyOf(candidate);
  const waitMs = expectedWaitMs(candidate);
  const saturationFactor = 1 + Math.max(0, Math.min(1, occupancy / limit) - SATURATION_UTILIZATION);
  const coldFactor = coldMs > 0 ? COLD_FACTOR : 1;
  return ((serviceMs * saturationFactor * coldFactor) + waitMs) * (1 + (FAILURE_FACTOR * failureRate));
};

/** Penalty for missing the target latency, in milliseconds: the share of the tail latency that exceeds it, times the target. */
const latenessPenaltyMs = (latencyMs: number, targetMs: number): number => {
  const tailLatencyMs = latencyMs * TAIL_LATENCY_FACTOR;
  return tailLatencyMs <= targetMs ? 0 : targetMs * (tailLatencyMs - targetMs) / tailLatencyMs;
};

const routeServiceMs = ({load}: Candidate<unknown>, route: string): number | undefined => load.routes.find(time => time.route === route)?.serviceMs;

/** Service time of a route that is assumed for candidates that have not reported one: the shortest of the others, so that the candidate is tried. */
const assumedServiceMs = (candidates: ReadonlyArray<Candidate<unknown>>, route: string): number | undefined => {
  const known = candidates.map(candidate => routeServiceMs(candidate, route)).filter(time => time !== undefined);
  return known.length === 0 ? undefined : Math.min(...known);
};

/** Chooses a candidate at random, weighted by score; undefined when none meets the criteria. */
export const choosePreviously = <Destination>(candidates: ReadonlyArray<Candidate<Destination>>, criteria: SelectionCriteria, random: Random): Candidate<Destination> | undefined => {
  const remaining = candidates.filter(({node}) => !criteria.excludedNodes.has(node));
  const live = remaining.filter(candidate => candidate.isLive);
  const eligible = live.length > 0 || criteria.requiresLive ? live : remaining;
  const assumedMs = assumedServiceMs(eligible, criteria.route);
  // Other zones are penalized only while the own zone has a free slot; calls that would queue there go to other zones.
  const hasFreeSlotInZone = eligible.some(candidate => candidate.zone === criteria.zone && expectedWaitMs(candidate) === 0);
  const crossZonePenaltyMs = hasFreeSlotInZone ? criteria.targetMs * CROSS_ZONE_PENALTY_SHARE : 0;
  const scored = eligible.map(candidate => {
    const zonePenaltyMs = candidate.zone === criteria.zone ? 0 : crossZonePenaltyMs;
    const latencyMs = expectedLatencyMs(candidate, routeServiceMs(candidate, criteria.route) ?? assumedMs);
    const failurePenaltyMs = candidate.failureRate * criteria.targetMs;
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
