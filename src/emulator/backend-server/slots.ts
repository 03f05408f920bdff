/** Slots of an emulated backend server: work that runs at the same time, and the queue before it. */

/** How a request for a slot ended. */
export type SlotGrant =
  | {kind: 'granted'; release: () => void}
  | {kind: 'full'}
  | {kind: 'abandoned'};

/** Slots with a queue of fixed length. */
export type Slots = {
  /** Waits for a slot; resolves to `abandoned` when the signal aborts first. */
  acquire: (signal: AbortSignal) => Promise<SlotGrant>;
  running: () => number;
  waiting: () => number;
};

type Waiter = {settle: (grant: SlotGrant) => void};

/** Creates slots; requests beyond `count` wait in a queue of `queueLength`, and beyond that are told `full`. */
export const createSlots = (count: number, queueLength: number): Slots => {
  const queue: Waiter[] = [];
  let running = 0;

  const grant = (): SlotGrant => {
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
        queue.shift()?.settle(grant());
      },
    };
  };

  const enqueue = async (signal: AbortSignal): Promise<SlotGrant> => new Promise(resolve => {
    const waiter: Waiter = {
      settle(result) {
        signal.removeEventListener('abort', abandon);
        resolve(result);
      },
    };
    const abandon = () => {
      queue.splice(queue.indexOf(waiter), 1);
      resolve({kind: 'abandoned'});
    };

    queue.push(waiter);
    signal.addEventListener('abort', abandon, {once: true});
  });

  return {
    async acquire(signal) {
      if (signal.aborted) {
        return {kind: 'abandoned'};
      }

      if (running < count) {
        return grant();
      }

      return queue.length < queueLength ? enqueue(signal) : {kind: 'full'};
    },
    running: () => running,
    waiting: () => queue.length,
  };
};
