/** Clock for hosts that may be suspended. The monotonic clock stops during a suspension, so jumps of the wall clock are added to it. */
import type {Clock} from '../shared/clock.js';

/** Monotonic clock that includes the time during which the host was suspended. */
export type SuspendAwareClock = Clock & {
  /** Checks for a suspension since the last call and returns its length in milliseconds, or 0; must be called often. */
  detectSuspension: () => number;
};

/** Smallest jump of the wall clock that counts as a suspension, in milliseconds; smaller ones are corrections of the wall clock. */
const SUSPENSION_MIN_MS = 300;

/** Creates the clock from a monotonic and a wall clock, both in milliseconds. */
export const createSuspendAwareClock = (monotonic: () => number = () => performance.now(), wallClock: () => number = Date.now): SuspendAwareClock => {
  let suspendedMs = 0;
  let offset = wallClock() - monotonic();
  const detectSuspension = (): number => {
    const current = wallClock() - monotonic();
    const jump = current - offset;
    offset = current;
    if (jump < SUSPENSION_MIN_MS) {
      return 0;
    }

    suspendedMs += jump;
    return jump;
  };

  return {
    now: () => monotonic() + suspendedMs,
    detectSuspension,
  };
};
