/** Clock with timers, so that a test can move the time that timeouts and silence are judged by. */
import {createClock, type Clock} from '../shared/clock.js';

/** Clock that also calls back. */
export type Timers = Clock & {
  /** Calls once after a number of milliseconds; returns a function that cancels it. */
  after: (milliseconds: number, callback: () => void) => () => void;
};

/** Creates timers of the operating system. */
export const createTimers = (): Timers => ({
  ...createClock(),
  after(milliseconds, callback) {
    const timer = setTimeout(callback, milliseconds);
    return () => {
      clearTimeout(timer);
    };
  },
});

/** Timers that a test moves by hand. */
export type ManualTimers = Timers & {
  advance: (milliseconds: number) => void;
};

/** Creates timers that stand still until they are advanced. */
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
        // Each timer runs at its own time, because it may start others.
      }

      current = until;
    },
  };
};
