/** Clock of a host that may be suspended: the steady clock stands still meanwhile, so the time of day is watched for jumps. */
import type {Clock} from '../shared/clock.js';

/** Clock that counts the time in which the host was suspended. */
export type SuspendAwareClock = Clock & {
  /** Notices a suspension; call it often. Returns its length in milliseconds, or 0. */
  detectSuspension: () => number;
};

/** Difference of the two clocks that counts as a suspension, in milliseconds; smaller ones are corrections of the time of day. */
const SUSPENSION_MIN_MS = 300;

/** Creates the clock on a steady clock and the time of day. */
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
