/** Slots of an emulated backend server: work that runs at the same time, and the queue before it. */

/** How a request for a slot ended. */
export type AcquireResult =
  | {kind: 'granted'; release: () => void}
  | {kind: 'full'}
  | {kind: 'abandoned'};

/** Slots with a queue of fixed length. */
export type SlotPool = {
  /** Waits for a slot; resolves to `abandoned` when the signal aborts first. */
  acquire: (signal: AbortSignal) => Promise<AcquireResult>;
  running: () => number;
  waiting: () => number;
};

type Waiter = {settle: (result: AcquireResult) => void};

/** Creates slots; requests beyond `count` wait in a queue of `queueLength`, and beyond that are told `full`. */
export const createSlotPool = (count: number, queueLength: number): SlotPool => {
  const queue: Waiter[] = [];
  let running = 0;

  const grantSlot = (): AcquireResult => {
    let released = false;
    running++;
    return {
      kind: 'granted',
      release() {
        if (released) {
          return;
        }

        released = true;
        running--;
        queue.shift()?.settle(grantSlot());
      },
    };
  };

  const enqueue = async (signal: AbortSignal): Promise<AcquireResult> => new Promise(resolve => {
    const waiter: Waiter = {
      settle(result) {
        signal.removeEventListener('abort', leaveQueue);
        resolve(result);
      },
    };
    const leaveQueue = () => {
      queue.splice(queue.indexOf(waiter), 1);
      resolve({kind: 'abandoned'});
    };

    queue.push(waiter);
    signal.addEventListener('abort', leaveQueue, {once: true});
  });

  return {
    async acquire(signal) {
      if (signal.aborted) {
        return {kind: 'abandoned'};
      }

      if (running < count) {
        return grantSlot();
      }

      return queue.length < queueLength ? enqueue(signal) : {kind: 'full'};
    },
    running: () => running,
    waiting: () => queue.length,
  };
};
