/** Chooses the backend server for an attempt by expected latency, with a penalty for other zones. */
import type {Random} from '../../shared/random.js';
import type {BackendLoad} from '../message.js';

/** Backend server that an attempt can be sent to; `node` is the process on its host. */
export type Candidate<Destination> = {
  destination: Destination;
  node: string;
  zone: string;
  /** Load that it last reported. */
  load: BackendLoad;
  /** Calls that this process has sent there since that report. */
  sentSinceReport: number;
  /** Whether a message of the process on its host arrived recently. */
  isLive: boolean;
  /** Remaining warm-up time, during which the backend server is slow, in milliseconds. */
  coldMs: number;
  /** Recent share of failed attempts among those of this process. */
  failureRate: number;
};

/** What an attempt requires: `excludedNodes` have been tried before, `requiresLive` leaves out processes without a recent message. */
export type SelectionCriteria = {zone: string; route: string; targetMs: number; excludedNodes: ReadonlySet<string>; requiresLive: boolean};

/** Expected latency that a call to another zone has to save, as a share of the target latency. */
const CROSS_ZONE_PENALTY_SHARE = 0.2;
/** Exponent of the inverse score in the random choice while the service is idle: a backend server that is twice as slow gets an eighth of the calls, so that each is still used and measured. */
const IDLE_EXPONENT = 3;
/** The same from the saturation of the service on. Reports are older than a call lasts, and with a higher exponent all callers send to the backend server that was free when it reported. */
const FULL_EXPONENT = 1;
/** Exponent of the factor by which failures, a cold start and another zone raise a score; their evidence does not age with the reports. */
const PENALTY_EXPONENT = 3;
/** Factor on the expected latency of a backend server that started recently. */
const COLD_FACTOR = 2;
/** Weight of the failure rate: a backend server that fails half of its calls counts as three times as slow. */
const FAILURE_FACTOR = 4;
/** Utilization above which the service time of a backend server increases. */
const SATURATION_UTILIZATION = 0.8;
/** Tail latency (the slowest few percent of calls) as a multiple of the mean; a target latency below it is missed occasionally. */
const TAIL_LATENCY_FACTOR = 2.5;

/** What a candidate is expected to take, before its failures, its warm-up and its zone count. */
type Estimate<Destination> = {
  candidate: Candidate<Destination>;
  isLocal: boolean;
  limit: number;
  usedSlots: number;
  /** Service time, raised for saturation, in milliseconds. */
  serviceMs: number;
  /** Time in the queue, in milliseconds. */
  waitMs: number;
};

const estimate = <Destination>(candidate: Candidate<Destination>, routeMs: number, zone: string): Estimate<Destination> => {
  const {load, sentSinceReport} = candidate;
  const limit = Math.max(1, load.limit);
  const occupancy = load.running + load.queued + sentSinceReport;
  const usedSlots = Math.min(limit, occupancy);
  return {
    candidate,
    isLocal: candidate.zone === zone,
    limit,
    usedSlots,
    serviceMs: routeMs * (1 + Math.max(0, (usedSlots / limit) - SATURATION_UTILIZATION)),
    waitMs: Math.max(0, occupancy + 1 - limit) * load.serviceMs / limit,
  };
};

/** Share of the slots of all candidates that are in use. */
const usedShareOf = (estimates: ReadonlyArray<Estimate<unknown>>): number => {
  let used = 0;
  let limits = 0;
  for (const {usedSlots, limit} of estimates) {
    used += usedSlots;
    limits += limit;
  }

  return limits === 0 ? 0 : used / limits;
};

/** Penalty for missing the target latency, in milliseconds: the share of the tail latency that exceeds it, times the target. */
const latenessPenaltyMs = (latencyMs: number, targetMs: number): number => {
  const tailLatencyMs = latencyMs * TAIL_LATENCY_FACTOR;
  return tailLatencyMs <= targetMs ? 0 : targetMs * (tailLatencyMs - targetMs) / tailLatencyMs;
};

const routeServiceMs = ({load}: Candidate<unknown>, route: string): number | undefined => load.routes.find(time => time.route === route)?.serviceMs;

/** Service times of a route by candidate. For those that have not reported one, the shortest of the others is assumed, so that the candidate is tried. */
const routeTimesOf = (candidates: ReadonlyArray<Candidate<unknown>>, route: string): number[] => {
  const times = candidates.map(candidate => routeServiceMs(candidate, route) ?? Number.POSITIVE_INFINITY);
  const shortestMs = Math.min(...times);
  return times.map((time, index) => time < Number.POSITIVE_INFINITY ? time : (shortestMs < Number.POSITIVE_INFINITY ? shortestMs : candidates[index]!.load.serviceMs));
};

/** Latency with the penalty for missing the target, in milliseconds. */
const scoreOf = (latencyMs: number, targetMs: number): number => latencyMs + latenessPenaltyMs(latencyMs, targetMs);

/** Chooses a candidate at random, weighted by score; undefined when none meets the criteria. */
export const chooseCandidate = <Destination>(candidates: ReadonlyArray<Candidate<Destination>>, criteria: SelectionCriteria, random: Random): Candidate<Destination> | undefined => {
  const {zone, targetMs, excludedNodes} = criteria;
  const remaining = excludedNodes.size === 0 ? candidates : candidates.filter(({node}) => !excludedNodes.has(node));
  const live = remaining.filter(candidate => candidate.isLive);
  const eligible = live.length > 0 || criteria.requiresLive ? live : remaining;
  const routeTimes = routeTimesOf(eligible, criteria.route);
  const estimates = eligible.map((candidate, index) => estimate(candidate, routeTimes[index]!, zone));
  // Other zones are penalized only while the own zone has a free slot; calls that would queue there go to other zones.
  const hasFreeSlotInZone = estimates.some(({isLocal, waitMs}) => isLocal && waitMs === 0);
  const crossZonePenaltyMs = hasFreeSlotInZone ? targetMs * CROSS_ZONE_PENALTY_SHARE : 0;
  const exponent = FULL_EXPONENT + ((IDLE_EXPONENT - FULL_EXPONENT) * (1 - (Math.min(1, usedShareOf(estimates) / SATURATION_UTILIZATION) ** 2)));
  let bestLocal = Number.POSITIVE_INFINITY;
  const scored = estimates.map(({candidate, isLocal, serviceMs, waitMs}) => {
    const {coldMs, failureRate} = candidate;
    const loadScore = scoreOf(serviceMs + waitMs, targetMs);
    const latencyMs = ((serviceMs * (coldMs > 0 ? COLD_FACTOR : 1)) + waitMs) * (1 + (FAILURE_FACTOR * failureRate));
    const score = scoreOf(latencyMs, targetMs) + (failureRate * targetMs) + (isLocal ? 0 : crossZonePenaltyMs);
    bestLocal = isLocal ? Math.min(bestLocal, score) : bestLocal;
    return {
      candidate, isLocal, loadScore, score,
    };
  });
  const competitive = scored.filter(({isLocal, score}) => isLocal || score < bestLocal);
  const weights = competitive.map(({loadScore, score}) => (loadScore ** -exponent) * ((loadScore / score) ** PENALTY_EXPONENT));
  let remainingWeight = random() * weights.reduce((total, weight) => total + weight, 0);
  const chosen = competitive.find((_, index) => {
    remainingWeight -= weights[index]!;
    return remainingWeight < 0;
  });
  return (chosen ?? competitive.at(-1))?.candidate;
};
