/** Spreads work over the turns of the event loop, so that timers, heartbeats, links and other requests run in between. */

/** Queue of which one task runs in each turn of the event loop, in the order in which they were added. */
export type TurnQueue = {add: (task: () => void) => void};

/** Creates an empty queue. */
export const createTurnQueue = (): TurnQueue => {
  const tasks: Array<() => void> = [];
  const runNext = (): void => {
    const task = tasks.shift();
    if (tasks.length > 0) {
      setImmediate(runNext);
    }

    task?.();
  };

  return {
    add(task) {
      tasks.push(task);
      if (tasks.length === 1) {
        setImmediate(runNext);
      }
    },
  };
};
