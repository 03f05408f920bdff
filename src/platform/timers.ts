/** Clock with timers. Tests replace it to control the time that timeouts are measured with. */
import {createClock, type Clock} from '../shared/clock.js';

/** Clock that also schedules callbacks. */
export type Timers = Clock & {
  /** Runs the callback once after a delay; returns a function that cancels it. */
  after: (milliseconds: number, callback: () => void) => () => void;
};

/** Creates timers that use the monotonic clock and `setTimeout`. */
export const createTimers = (): Timers => ({
  ...createClock(),
  after(milliseconds, callback) {
    const timer = setTimeout(callback, milliseconds);
    return () => {
      clearTimeout(timer);
    };
  },
});

/** Timers that a test advances explicitly. */
export type ManualTimers = Timers & {
  advance: (milliseconds: number) => void;
};

/** Creates timers whose time changes only through `advance`. */
export const createManualTimers = (): ManualTimers => {
  const pending = new Map<symbol, {at: number; callback: () => void}>();
  let current = 0;

  const runNext = (until: number): boolean => {
    const [next] = [...pending].filter(([, {at}]) => at <= until).sort(([, a], [, b]) => a.at - b.at);
    if (next === undefined) {
      return false;
    }

    const [id, {at, callback}] = next;
    pending.delete(id);
    current = at;
    callback();
    return true;
  };

  return {
    now: () => current,
    after(milliseconds, callback) {
      const id = Symbol('timer');
      pending.set(id, {at: current + milliseconds, callback});
      return () => {
        pending.delete(id);
      };
    },
    advance(milliseconds) {
      const until = current + milliseconds;
      while (runNext(until)) {
        // `current` is set to the due time of each timer before it runs, because its callback may start other timers.
      }

      current = until;
    },
  };
};
