/** Holds calls that wait for a slot, by priority. */

/** A call in the queue. Times are in milliseconds of the decision's clock. */
export type QueuedCall = {
  callId: string;
  priority: number;
  arrivedAt: number;
  deadlineAt: number;
  /** End of the longest wait that the policy allows. */
  queueUntil: number;
};

/** State of a queue. Each priority is sorted by deadline, the nearest and of equal ones the earliest arrival last, which is served next. */
export type Queue = {
  priorities: Array<QueuedCall[] | undefined>;
  length: number;
};

/** What to do with the call that is next: serve it, pass over it, or remove it. */
export type QueueVerdict = 'take' | 'pass' | 'drop';

/** Creates an empty queue. */
export const createQueue = (): Queue => ({priorities: [], length: 0});

const positionOf = (calls: QueuedCall[], isBefore: (call: QueuedCall) => boolean): number => {
  let low = 0;
  let high = calls.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isBefore(calls[middle]!)) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }

  return low;
};

/** Adds a call. */
export const enqueue = (queue: Queue, call: QueuedCall): void => {
  const calls = queue.priorities[call.priority] ?? [];
  queue.priorities[call.priority] = calls;
  calls.splice(positionOf(calls, ({deadlineAt}) => deadlineAt > call.deadlineAt), 0, call);
  queue.length++;
};

/** Removes a call; returns whether it was there. */
export const removeQueued = (queue: Queue, priority: number, callId: string): boolean => {
  const calls = queue.priorities[priority] ?? [];
  const index = calls.findIndex(call => call.callId === callId);
  if (index === -1) {
    return false;
  }

  calls.splice(index, 1);
  queue.length--;
  return true;
};

/** Takes the next call that the judge lets through, highest priority first, and removes those that it drops on the way. */
export const takeNext = (queue: Queue, judge: (call: QueuedCall) => QueueVerdict): {taken: QueuedCall | undefined; dropped: QueuedCall[]} => {
  const dropped: QueuedCall[] = [];
  for (const calls of queue.priorities) {
    for (let index = (calls?.length ?? 0) - 1; index >= 0; index--) {
      const call = calls![index]!;
      const verdict = judge(call);
      if (verdict === 'pass') {
        continue;
      }

      calls!.splice(index, 1);
      queue.length--;
      if (verdict === 'take') {
        return {taken: call, dropped};
      }

      dropped.push(call);
    }
  }

  return {taken: undefined, dropped};
};

/** Removes the call that would be served last: the worst one of the lowest priority. */
export const displaceLast = (queue: Queue): QueuedCall | undefined => {
  const calls = queue.priorities.findLast(candidates => (candidates?.length ?? 0) > 0);
  if (calls === undefined) {
    return undefined;
  }

  queue.length--;
  return calls.shift();
};

/** Removes the calls that may not wait any longer. */
export const removeOverdue = (queue: Queue, now: number): QueuedCall[] => {
  const isOverdue = ({queueUntil, deadlineAt}: QueuedCall): boolean => Math.min(queueUntil, deadlineAt) <= now;
  const overdue = queue.priorities.flatMap(calls => calls?.filter(call => isOverdue(call)) ?? []);
  if (overdue.length > 0) {
    queue.priorities = queue.priorities.map(calls => calls?.filter(call => !isOverdue(call)));
    queue.length -= overdue.length;
  }

  return overdue;
};
