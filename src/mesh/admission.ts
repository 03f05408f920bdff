/**
Limits how many calls of a route start at this process while the services below it lack room.

A request that fails far down its chain has used up the room of all services above; refused at its start it costs nothing and can come back.
*/
import type {Random} from '../shared/random.js';

/** How an admitted request ended. `overload` tells that it failed because a service below lacked room. Times are in milliseconds of the clock. */
export type AdmittedEnd = {overload: boolean; startedAt: number};

/** Admission of the calls that start here, by clients or by the backend server. */
export type Admission = {
  /** Whether a request may start. One that comes back after a refusal is preferred to a new one. */
  admit: (route: string, isReturn: boolean, random: Random) => boolean;
  note: (route: string, end: AdmittedEnd) => void;
  /** Admitted share of a route. */
  share: (route: string) => number;
};

/** Weight of the newest request in the failed share; the last seven or so decide. */
const FAILED_SMOOTHING = 0.15;
/** Failed share above which fewer requests are admitted. */
const FAILED_HIGH = 0.1;
/** Part of the failed share by which the admitted share is lowered: requests that fail early use less room than those that end well. */
const CORRECTION = 0.7;
/** Gain of the growth of the admitted share for each second without an overload: slow while failures go on, and whole again some seconds after their end. */
const GROWTH_GAIN_PER_S = 0.06;
/** Fastest growth of the admitted share, in parts of the whole per second. */
const GROWTH_MAX_PER_S = 0.3;
/** Lowest admitted share: some requests have to find out whether there is room again. */
const SHARE_MIN = 0.1;
const SECOND_MS = 1000;

type Share = {value: number; failed: number; at: number; decreasedAt: number; overloadAt: number};

/** Creates an admission that admits everything. */
export const createAdmission = (now: () => number): Admission => {
  const shares = new Map<string, Share>();

  const grown = (route: string): Share => {
    const share = shares.get(route) ?? {
      value: 1, failed: 0, at: now(), decreasedAt: Number.NEGATIVE_INFINITY, overloadAt: Number.NEGATIVE_INFINITY,
    };
    shares.set(route, share);
    const growthPerS = Math.min(GROWTH_MAX_PER_S, GROWTH_GAIN_PER_S * (now() - share.overloadAt) / SECOND_MS);
    share.value = Math.min(1, share.value + (growthPerS * (now() - share.at) / SECOND_MS));
    share.at = now();
    return share;
  };

  return {
    admit(route, isReturn, random) {
      const {value} = grown(route);
      return random() < (isReturn ? Math.sqrt(value) : value);
    },
    note(route, {overload, startedAt}) {
      const share = grown(route);
      share.overloadAt = overload ? now() : share.overloadAt;
      if (startedAt < share.decreasedAt) {
        return;
      }

      share.failed += FAILED_SMOOTHING * ((overload ? 1 : 0) - share.failed);
      if (overload && share.failed > FAILED_HIGH) {
        share.value = Math.max(SHARE_MIN, share.value * (1 - (share.failed * CORRECTION)));
        share.decreasedAt = now();
      }
    },
    share: route => grown(route).value,
  };
};
