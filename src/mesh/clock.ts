/** Clock for hosts that may be suspended. The monotonic clock stops during a suspension, so jumps of the wall clock are added to it. */
import type {Clock} from '../shared/clock.js';

/** Monotonic clock that includes the time during which the host was suspended. */
export type SuspendAwareClock = Clock & {
  /** Returns the time of suspension since the last call, in milliseconds, or 0. */
  detectSuspension: () => number;
};

/** Smallest jump of the wall clock that counts as a suspension, in milliseconds; smaller ones are corrections of the wall clock. */
const SUSPENSION_MIN_MS = 300;

/** Creates the clock from a monotonic and a wall clock, both in milliseconds. */
export const createSuspendAwareClock = (monotonic: () => number = () => performance.now(), wallClock: () => number = Date.now): SuspendAwareClock => {
  let suspendedMs = 0;
  let reportedMs = 0;
  let offset = wallClock() - monotonic();

  /** Every reading looks for a suspension: after one, the first callbacks may be those of sockets, with calls that are no longer allowed. */
  const now = (): number => {
    const time = monotonic();
    const currentOffset = wallClock() - time;
    if (currentOffset - offset >= SUSPENSION_MIN_MS) {
      suspendedMs += currentOffset - offset;
    }

    offset = currentOffset;
    return time + suspendedMs;
  };

  return {
    now,
    detectSuspension() {
      now();
      const unreportedMs = suspendedMs - reportedMs;
      reportedMs = suspendedMs;
      return unreportedMs;
    },
  };
};
