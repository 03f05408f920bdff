/** Estimates how many permits are needed until the next poll. */
import {SECOND_MS} from './times.js';

/** Moving average of a rate of events. */
export type DemandEstimate = {
  add: (events: number) => void;
  /** Includes the events since the last call, at the end of the interval in which they happened. */
  update: (now: number) => void;
  /** Events per second. */
  ratePerS: () => number;
};

/** Permits that are asked for ahead, as a multiple of the estimated demand. */
export const AHEAD_FACTOR = 1.25;
/** Time constant of the average, in milliseconds: a few polls, so that it follows requests that move to another process. */
const AVERAGING_MS = 300;
/** Shortest interval that is averaged, in milliseconds. */
const INTERVAL_MIN_MS = 50;

/** Creates an estimate of 0. */
export const createDemandEstimate = (createdAt: number): DemandEstimate => {
  let rate = 0;
  let events = 0;
  let updatedAt = createdAt;
  return {
    add(count) {
      events += count;
    },
    update(now) {
      const elapsedMs = now - updatedAt;
      if (elapsedMs < INTERVAL_MIN_MS) {
        return;
      }

      const recent = events * SECOND_MS / elapsedMs;
      rate += (1 - Math.exp(-elapsedMs / AVERAGING_MS)) * (recent - rate);
      events = 0;
      updatedAt = now;
    },
    ratePerS: () => rate,
  };
};
