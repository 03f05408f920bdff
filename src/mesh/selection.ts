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
export type Wish = {zone: string; route: string; targetMs: number; avoided: ReadonlySet<string>; needsLive: boolean};

/** Expected time that a call to another zone has to save, as a share of its target time. */
const OTHER_ZONE_SHARE = 0.2;
/** Power of the inverse score by which calls are shared: one that is twice as slow gets an eighth, so that each is used and measured. */
const PREFERENCE = 3;
/** Factor on the expected time of a backend server that is still cold. */
const COLD_FACTOR = 2;
/** Weight of failures: at this factor a backend server that fails half of its calls counts as three times as slow. */
const FAILURE_FACTOR = 4;
/** Utilisation above which a backend server slows down. */
const KNEE = 0.8;
/** Time of the slowest few of a hundred calls, as a multiple of the mean; a target below it is missed now and then. */
const TAIL_FACTOR = 2.5;

const limitOf = ({load}: Candidate<unknown>): number => Math.max(1, load.limit);
const occupiedOf = ({load, sentSinceReport}: Candidate<unknown>): number => load.running + load.queued + sentSinceReport;

/** Expected wait for a slot, in milliseconds. */
const waitOf = (candidate: Candidate<unknown>): number =>
  Math.max(0, occupiedOf(candidate) + 1 - limitOf(candidate)) * candidate.load.serviceMs / limitOf(candidate);

/** Expected time of a call, in milliseconds: the service time of its route, and the wait for a slot. */
export const expectedMs = (candidate: Candidate<unknown>, serviceMs = candidate.load.serviceMs): number => {
  const {coldMs, failureShare} = candidate;
  const limit = limitOf(candidate);
  const occupied = occupiedOf(candidate);
  const waitMs = waitOf(candidate);
  const crowding = 1 + Math.max(0, Math.min(1, occupied / limit) - KNEE);
  const slow = coldMs > 0 ? COLD_FACTOR : 1;
  return ((serviceMs * crowding * slow) + waitMs) * (1 + (FAILURE_FACTOR * failureShare));
};

/** What missing the target may cost, in milliseconds: the part of the slow calls that lies beyond it. */
const latenessMs = (expected: number, targetMs: number): number => {
  const slowMs = expected * TAIL_FACTOR;
  return slowMs <= targetMs ? 0 : targetMs * (slowMs - targetMs) / slowMs;
};

const routeMs = ({load}: Candidate<unknown>, route: string): number | undefined => load.routes.find(time => time.route === route)?.serviceMs;

/** Service time of a route where none has been reported: the best of the others, so that the candidate is tried. */
const unreportedMs = (candidates: ReadonlyArray<Candidate<unknown>>, route: string): number | undefined => {
  const known = candidates.map(candidate => routeMs(candidate, route)).filter(time => time !== undefined);
  return known.length === 0 ? undefined : Math.min(...known);
};

/** Chooses a candidate, or undefined when there is none outside of the avoided ones. */
export const chooseCandidate = <Target>(candidates: ReadonlyArray<Candidate<Target>>, wish: Wish, random: Random): Candidate<Target> | undefined => {
  const open = candidates.filter(({node}) => !wish.avoided.has(node));
  const live = open.filter(candidate => candidate.live);
  const pool = live.length > 0 || wish.needsLive ? live : open;
  const unreported = unreportedMs(pool, wish.route);
  // Calls that would queue in their zone use the room of other zones instead.
  const hasRoomInZone = pool.some(candidate => candidate.zone === wish.zone && waitOf(candidate) === 0);
  const otherZoneMs = hasRoomInZone ? wish.targetMs * OTHER_ZONE_SHARE : 0;
  const scored = pool.map(candidate => {
    const price = candidate.zone === wish.zone ? 0 : otherZoneMs;
    const expected = expectedMs(candidate, routeMs(candidate, wish.route) ?? unreported);
    const failureMs = candidate.failureShare * wish.targetMs;
    return {candidate, score: expected + latenessMs(expected, wish.targetMs) + failureMs + price};
  });
  const bestLocal = Math.min(...scored.filter(({candidate}) => candidate.zone === wish.zone).map(({score}) => score));
  const useful = scored.filter(({candidate, score}) => candidate.zone === wish.zone || score < bestLocal);
  const weights = useful.map(({score}) => score ** -PREFERENCE);
  let rest = random() * weights.reduce((total, weight) => total + weight, 0);
  const chosen = useful.find((_, index) => {
    rest -= weights[index]!;
    return rest < 0;
  });
  return (chosen ?? useful.at(-1))?.candidate;
};
