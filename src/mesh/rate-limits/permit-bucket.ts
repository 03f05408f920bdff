/** Token bucket of one workspace at a coordinator. Its rate and size follow the fraction of the limit that is lent. */
import {PERMIT_LIFETIME_MS, SECOND_MS} from './times.js';

/** Rate limit of a workspace over the whole fleet. */
export type WorkspaceLimit = {ratePerS: number; burst: number};

/** Number of zones of the fleet, and whether more than half of the members of the own zone lend. At most one coordinator of a zone has the majority. */
export type ZonePart = {zones: number; isMajority: boolean};

/** Token bucket; times are in milliseconds of one clock and never go back. */
export type PermitBucket = {
  /** Sets the lent fraction and the limit that are in force from `now` on. @default zonePart the only zone */
  setShare: (now: number, fraction: number, limit: WorkspaceLimit, zonePart?: ZonePart) => void;
  /** Whole permits at hand. */
  available: (now: number) => number;
  /** Takes whole permits, at most those at hand, and returns their number. */
  take: (now: number, wanted: number) => number;
  /** Puts back permits that were not used; `own` of them were taken from this bucket. @default own 0 */
  putBack: (now: number, permits: number, own?: number) => void;
  /** Time until so many whole permits are at hand, in milliseconds; infinite without a share. */
  waitMs: (now: number, permits: number) => number;
  /** Whether the bucket holds as much as it can, so that a bucket that was never used would hold the same. */
  isFull: (now: number) => boolean;
  /** Permits that the bucket holds at most. */
  size: () => number;
  /** Permits per second. */
  ratePerS: () => number;
};

const SINGLE_ZONE: ZonePart = {zones: 1, isMajority: true};
/** Permits beyond the burst that all buckets of a workspace with a small limit hold together: requests come irregularly, and permits are whole while fractions are not. */
const SMALL_LIMIT_SPARE_PERMITS = 12;
/** The same for a large limit. */
const LARGE_LIMIT_SPARE_PERMITS = 4;
/** Rates up to which a limit is small, and from which it is large, in permits per second. */
const SMALL_RATE_PER_S = 25;
const LARGE_RATE_PER_S = 100;
/** Spare permits and zones together at most: each zone may hold a whole permit instead of a part. */
const SPARE_AND_ZONES_MAX = 20;
/** Time of the rate that a bucket holds at least, in seconds: polls are not continuous, and the burst may be 0. */
const SIZE_MIN_S = 0.1;
/** Rate at which a part of a zone holds a whole permit, in permits per second. Processes that are cut off one by one have less of a small limit, and would together store more than the bound allows. */
const WHOLE_PERMIT_RATE_PER_S = 0.5;

const sparePermits = (ratePerS: number, zones: number): number => {
  const smallShare = Math.max(0, Math.min(1, (LARGE_RATE_PER_S - ratePerS) / (LARGE_RATE_PER_S - SMALL_RATE_PER_S)));
  const small = Math.max(LARGE_LIMIT_SPARE_PERMITS, Math.min(SMALL_LIMIT_SPARE_PERMITS, SPARE_AND_ZONES_MAX - zones));
  return LARGE_LIMIT_SPARE_PERMITS + ((small - LARGE_LIMIT_SPARE_PERMITS) * smallShare);
};

/** Size of a bucket for a fraction of a limit, in permits; a bucket of less than one grants nothing. */
export const bucketSize = (fraction: number, {ratePerS, burst}: WorkspaceLimit, {zones, isMajority} = SINGLE_ZONE): number => {
  if (fraction === 0) {
    return 0;
  }

  const size = fraction * Math.max(burst + sparePermits(ratePerS, zones), ratePerS * SIZE_MIN_S);
  return isMajority || fraction * ratePerS >= WHOLE_PERMIT_RATE_PER_S ? Math.max(1, size) : size;
};

/** Creates an empty bucket without a share. */
export const createPermitBucket = (createdAt: number): PermitBucket => {
  let share = {fraction: 0, limit: {ratePerS: 0, burst: 0}, zonePart: SINGLE_ZONE};
  let tokens = 0;
  let refilledAt = createdAt;
  /** Permits taken within their lifetime and not put back, oldest first. */
  let taken: Array<{at: number; permits: number}> = [];

  const ratePerS = (): number => share.fraction * share.limit.ratePerS;
  const size = (): number => bucketSize(share.fraction, share.limit, share.zonePart);

  /** Permits that the bucket may hold now: those in use are bounded together with it, since permits that are put back get a new lifetime when they are taken again. */
  const capacity = (): number => {
    const inUse = taken.reduce((sum, {permits}) => sum + permits, 0);
    return Math.max(0, Math.min(size(), size() + (ratePerS() * PERMIT_LIFETIME_MS / SECOND_MS) - inUse));
  };

  const refillUntil = (at: number): void => {
    const elapsedMs = Math.max(0, at - refilledAt);
    refilledAt = Math.max(at, refilledAt);
    tokens = Math.min(capacity(), tokens + (elapsedMs * ratePerS() / SECOND_MS));
  };

  const refill = (now: number): void => {
    while (taken.length > 0 && taken[0]!.at + PERMIT_LIFETIME_MS <= now) {
      refillUntil(taken[0]!.at + PERMIT_LIFETIME_MS);
      taken.shift();
    }

    refillUntil(now);
  };

  /** Counts permits as no longer in use. The oldest would end first, so what is left counts at least as long as it may be used. */
  const endUse = (permits: number): void => {
    let left = permits;
    for (const entry of taken) {
      const ended = Math.min(left, entry.permits);
      entry.permits -= ended;
      left -= ended;
    }

    taken = taken.filter(entry => entry.permits > 0);
  };

  return {
    setShare(now, fraction, limit, zonePart = SINGLE_ZONE) {
      refill(now);
      share = {fraction, limit, zonePart};
      tokens = Math.min(size(), tokens);
    },
    available(now) {
      refill(now);
      return Math.floor(tokens);
    },
    take(now, wanted) {
      refill(now);
      const permits = Math.min(Math.floor(tokens), wanted);
      if (permits > 0) {
        tokens -= permits;
        taken.push({at: now, permits});
      }

      return permits;
    },
    putBack(now, permits, own = 0) {
      refill(now);
      endUse(own);
      tokens += Math.max(0, Math.min(permits, capacity() - tokens));
    },
    waitMs(now, permits) {
      refill(now);
      return permits <= tokens ? 0 : (permits - tokens) * SECOND_MS / ratePerS();
    },
    isFull(now) {
      refill(now);
      return tokens >= size();
    },
    size,
    ratePerS,
  };
};
