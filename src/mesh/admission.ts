/**
Limits how many requests of a route start at this process while the services below it lack room.

A request that fails far down its chain has used up the room of all services above; refused at its start it costs nothing and can come back.
*/
import type {Random} from '../shared/random.js';

/** How an admitted request ended. `overload` tells that it failed because a service below lacked room. Times are in milliseconds of the clock. */
export type AdmittedEnd = {overload: boolean; startedAt: number};

/** Admission of the requests that clients start here. */
export type Admission = {
  /** Whether a request may start. One that comes back after a refusal is preferred to a new one. */
  admit: (route: string, isReturn: boolean, random: Random) => boolean;
  note: (route: string, end: AdmittedEnd) => void;
  /** Admitted share of a route. */
  share: (route: string) => number;
};

/** Factor on the admitted share when a request fails for lack of room; once for all requests that started before the last decrease. */
const DECREASE = 0.85;
/** Growth of the admitted share, in parts of the whole per second: a share that was halved is whole again after some seconds. */
const GROWTH_PER_S = 0.12;
/** Lowest admitted share: some requests have to find out whether there is room again. */
const SHARE_MIN = 0.1;
const SECOND_MS = 1000;

type Share = {value: number; at: number; decreasedAt: number};

/** Creates an admission that admits everything. */
export const createAdmission = (now: () => number): Admission => {
  const shares = new Map<string, Share>();

  const grown = (route: string): Share => {
    const share = shares.get(route) ?? {value: 1, at: now(), decreasedAt: Number.NEGATIVE_INFINITY};
    shares.set(route, share);
    share.value = Math.min(1, share.value + (GROWTH_PER_S * (now() - share.at) / SECOND_MS));
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
      if (overload && startedAt >= share.decreasedAt) {
        share.value = Math.max(SHARE_MIN, share.value * DECREASE);
        share.decreasedAt = now();
      }
    },
    share: route => grown(route).value,
  };
};
