/** Events of a simulation in virtual time. */

type Event = {at: number; order: number; run: () => void};

/** Creates a binary heap of events by time. */
export const createAgenda = (): {add: (at: number, run: () => void) => void; takeUntil: (at: number) => Event | undefined} => {
  const heap: Event[] = [];
  let order = 0;
  const isBefore = (a: Event, b: Event): boolean => a.at < b.at || (a.at === b.at && a.order < b.order);
  const swap = (a: number, b: number): void => {
    [heap[a], heap[b]] = [heap[b]!, heap[a]!];
  };

  const sink = (): void => {
    for (let index = 0; ;) {
      const left = (2 * index) + 1;
      const right = left + 1;
      let least = index;
      least = left < heap.length && isBefore(heap[left]!, heap[least]!) ? left : least;
      least = right < heap.length && isBefore(heap[right]!, heap[least]!) ? right : least;
      if (least === index) {
        return;
      }

      swap(index, least);
      index = least;
    }
  };

  return {
    add(at, run) {
      order++;
      heap.push({at, order, run});
      for (let index = heap.length - 1; index > 0 && isBefore(heap[index]!, heap[(index - 1) >> 1]!); index = (index - 1) >> 1) { // eslint-disable-line no-bitwise
        swap(index, (index - 1) >> 1); // eslint-disable-line no-bitwise
      }
    },
    takeUntil(at) {
      const first = heap[0];
      if (first === undefined || first.at > at) {
        return undefined;
      }

      const last = heap.pop()!;
      if (heap.length > 0) {
        heap[0] = last;
        sink();
      }

      return first;
    },
  };
};
