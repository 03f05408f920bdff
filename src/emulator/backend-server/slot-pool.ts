/** Limits the number of concurrent requests and queues the requests beyond that limit. */

/** Result of acquiring a slot: `full` when the queue has no room, `abandoned` when the signal aborted first. */
export type AcquireResult =
  | {kind: 'granted'; release: () => void}
  | {kind: 'full'}
  | {kind: 'abandoned'};

/** Fixed number of slots with a queue of bounded length. */
export type SlotPool = {
  /** Waits for a slot, unless the queue is full. Releasing a slot more than once has no effect. */
  acquire: (signal: AbortSignal) => Promise<AcquireResult>;
  running: () => number;
  waiting: () => number;
};

type Waiter = {settle: (result: AcquireResult) => void};

/** Creates a pool of `count` slots, with a queue for at most `queueLength` waiting requests. */
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
