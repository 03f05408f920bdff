/** State that a coordinator keeps for one workspace that permits were asked for. */
import {createDemandEstimate, type DemandEstimate} from './demand-estimate.js';
import type {PermitBucket} from './permit-bucket.js';
import {createPermitLots, type PermitLots} from './permit-lots.js';
import {WAIT_MAX_MS} from './times.js';

/** Number of permits that was noted at a time. */
export type TimedPermits = {permits: number; at: number};

/** State of one workspace. */
export type CoordinatedWorkspace = {
  bucket: PermitBucket;
  /** Permits from other zones, by the coordinator that granted them. */
  borrowed: PermitLots;
  /** Permits that the processes of the zone have kept. */
  used: DemandEstimate;
  /** Permits that each process of the zone lacked at its last poll. */
  unmet: Map<string, TimedPermits>;
  /** Permits asked of other coordinators and not answered, by exchange. */
  asked: Map<number, TimedPermits>;
  /** Part that is asked of each other coordinator; it falls when that one has little to give. */
  weights: Map<string, number>;
  /** Times until which other coordinators have no permits. */
  exhaustedUntil: Map<string, number>;
  usedAt: number;
};

/** Creates the state of a workspace that is asked for the first time. */
export const createCoordinatedWorkspace = (bucket: PermitBucket, now: number): CoordinatedWorkspace => ({
  bucket,
  borrowed: createPermitLots(),
  used: createDemandEstimate(now),
  unmet: new Map(),
  asked: new Map(),
  weights: new Map(),
  exhaustedUntil: new Map(),
  usedAt: now,
});

/** Sum of the permits that were noted since a time. */
export const sumSince = (items: ReadonlyMap<unknown, TimedPermits>, since: number): number =>
  [...items.values()].filter(({at}) => at >= since).reduce((sum, {permits}) => sum + permits, 0);

/** Permits that the processes of the zone lack now; an earlier poll says nothing, because its requests do not wait any more. */
export const unmetPermits = ({unmet}: CoordinatedWorkspace, now: number): number => sumSince(unmet, now - WAIT_MAX_MS);

/** Drops what processes lacked at earlier polls, whose requests do not wait any more. */
export const dropFormerUnmet = ({unmet}: CoordinatedWorkspace, now: number): void => {
  for (const [node, {at}] of unmet) {
    if (at < now - WAIT_MAX_MS) {
      unmet.delete(node);
    }
  }
};

/** Drops what is noted about coordinators that are not asked any more, and times that have passed. */
export const dropFormerCoordinators = ({weights, exhaustedUntil}: CoordinatedWorkspace, coordinators: ReadonlySet<string>, now: number): void => {
  for (const node of weights.keys()) {
    if (!coordinators.has(node)) {
      weights.delete(node);
    }
  }

  for (const [node, until] of exhaustedUntil) {
    if (until <= now) {
      exhaustedUntil.delete(node);
    }
  }
};
