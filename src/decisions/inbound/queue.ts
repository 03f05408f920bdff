/** Queue of calls that wait for a slot, ordered by priority, deadline and arrival. */

/** A call in the queue; times are monotonic, in milliseconds. */
export type QueuedCall = {
  callId: string;
  priority: number;
  requestKind: string;
  arrivedAt: number;
  deadlineAt: number;
  /** End of the maximum queue time. */
  queueUntil: number;
};

/** Calls of one priority by request kind. Each array ends with the call to serve next: nearest deadline first, then earliest arrival. */
type CallsByKind = Map<string, QueuedCall[]>;

/** State of a queue; request kinds without calls have no entry. */
export type Queue = {
  priorities: Array<CallsByKind | undefined>;
  length: number;
};

/** Whether the next call is served or removed without being served. */
export type DequeueDecision = 'take' | 'drop';

/** Callbacks that decide which calls are served. */
export type DequeueRules = {
  /** Returns whether a request kind is blocked; its calls, possibly thousands, are skipped as a whole. */
  isKindBlocked: (requestKind: string) => boolean;
  /** Decides on the next call of a request kind that is not blocked. */
  decide: (call: QueuedCall) => DequeueDecision;
};

/** Creates an empty queue. */
export const createQueue = (): Queue => ({priorities: [], length: 0});

/** Returns the index of the first call that does not satisfy the predicate, by binary search. */
const findPartitionPoint = (calls: QueuedCall[], isBefore: (call: QueuedCall) => boolean): number => {
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
  const callsByKind = queue.priorities[call.priority] ?? new Map<string, QueuedCall[]>();
  const calls = callsByKind.get(call.requestKind) ?? [];
  queue.priorities[call.priority] = callsByKind;
  callsByKind.set(call.requestKind, calls);
  calls.splice(findPartitionPoint(calls, ({deadlineAt}) => deadlineAt > call.deadlineAt), 0, call);
  queue.length++;
};

const removeAt = (queue: Queue, {priority, requestKind}: Pick<QueuedCall, 'priority' | 'requestKind'>, index: number): QueuedCall => {
  const callsByKind = queue.priorities[priority]!;
  const calls = callsByKind.get(requestKind)!;
  const [removed] = calls.splice(index, 1);
  queue.length--;
  if (calls.length === 0) {
    callsByKind.delete(requestKind);
  }

  return removed!;
};

/** Number of calls that are served before a new call of a priority. */
export const countAhead = (queue: Queue, priority: number): number => queue.priorities
  .slice(0, priority + 1)
  .flatMap(callsByKind => [...callsByKind?.values() ?? []])
  .reduce((total, calls) => total + calls.length, 0);

/** Removes a call; returns whether it was in the queue. */
export const removeQueued = (queue: Queue, position: Pick<QueuedCall, 'priority' | 'requestKind'>, callId: string): boolean => {
  const calls = queue.priorities[position.priority]?.get(position.requestKind) ?? [];
  const index = calls.findIndex(call => call.callId === callId);
  if (index === -1) {
    return false;
  }

  removeAt(queue, position, index);
  return true;
};

const compareByDeadline = (left: QueuedCall, right: QueuedCall): number =>
  left.deadlineAt - right.deadlineAt || left.arrivedAt - right.arrivedAt;

const findNextCall = (callsByKind: CallsByKind | undefined, isKindBlocked: DequeueRules['isKindBlocked']): QueuedCall | undefined => {
  let first: QueuedCall | undefined;
  for (const [requestKind, calls] of callsByKind ?? []) {
    const candidate = calls.at(-1)!;
    if ((first === undefined || compareByDeadline(candidate, first) < 0) && !isKindBlocked(requestKind)) {
      first = candidate;
    }
  }

  return first;
};

/** Removes and returns the next call to serve, highest priority first, and the calls dropped before it. */
export const takeNext = (queue: Queue, {isKindBlocked, decide}: DequeueRules): {taken: QueuedCall | undefined; dropped: QueuedCall[]} => {
  const dropped: QueuedCall[] = [];
  for (const callsByKind of queue.priorities) {
    for (let call = findNextCall(callsByKind, isKindBlocked); call !== undefined; call = findNextCall(callsByKind, isKindBlocked)) {
      removeAt(queue, call, -1);
      if (decide(call) === 'take') {
        return {taken: call, dropped};
      }

      dropped.push(call);
    }
  }

  return {taken: undefined, dropped};
};

/** Removes and returns the call that would be served last: the one with the latest deadline in the lowest priority. */
export const displaceLast = (queue: Queue): QueuedCall | undefined => {
  const callsByKind = queue.priorities.findLast(kinds => (kinds?.size ?? 0) > 0);
  const [last] = [...(callsByKind?.values() ?? [])].map(calls => calls[0]!).sort((left, right) => compareByDeadline(right, left));
  return last === undefined ? undefined : removeAt(queue, last, 0);
};

/** Removes and returns the calls whose deadline or maximum queue time has passed. */
export const removeOverdue = (queue: Queue, now: number): QueuedCall[] => {
  const isOverdue = ({queueUntil, deadlineAt}: QueuedCall): boolean => Math.min(queueUntil, deadlineAt) <= now;
  const overdue = queue.priorities.flatMap(callsByKind => [...(callsByKind?.values() ?? [])].flatMap(calls => calls.filter(call => isOverdue(call))));
  if (overdue.length > 0) {
    queue.priorities = queue.priorities.map(callsByKind => new Map([...(callsByKind ?? [])]
      .map(([requestKind, calls]) => [requestKind, calls.filter(call => !isOverdue(call))] as const)
      .filter(([, calls]) => calls.length > 0)));
    queue.length -= overdue.length;
  }

  return overdue;
};
