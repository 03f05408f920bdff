/** Monotonic clock. */
export type Clock = {
  /** Milliseconds since an arbitrary point in time. */
  now: () => number;
};

/** Creates a clock that reads the operating system's monotonic timer. */
export const createClock = (): Clock => ({now: () => performance.now()});

/** Clock that a test advances explicitly. */
export type ManualClock = Clock & {
  advance: (milliseconds: number) => void;
};

/** Creates a clock whose time changes only through `advance`. */
export const createManualClock = (start = 0): ManualClock => {
  let current = start;
  return {
    now: () => current,
    advance(milliseconds) {
      current += milliseconds;
    },
  };
};
