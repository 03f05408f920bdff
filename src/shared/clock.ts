/** Clock of a process: milliseconds that never go back. */
export type Clock = {
  /** Milliseconds since an arbitrary start. */
  now: () => number;
};

/** Creates a clock on the monotonic timer of the operating system. */
export const createClock = (): Clock => ({now: () => performance.now()});

/** Clock that a test moves by hand. */
export type ManualClock = Clock & {
  advance: (milliseconds: number) => void;
};

/** Creates a clock that stands still until it is advanced. */
export const createManualClock = (start = 0): ManualClock => {
  let current = start;
  return {
    now: () => current,
    advance(milliseconds) {
      current += milliseconds;
    },
  };
};
