/** Holds calls that wait for a slot, by priority and request kind. */

/** A call in the queue. Times are in milliseconds of the decision's clock. */
export type QueuedCall = {
  callId: string;
  priority: number;
  requestKind: string;
  arrivedAt: number;
  deadlineAt: number;
  /** End of the longest wait that the policy allows. */
  queueUntil: number;
};

/** Calls of one priority by request kind, each sorted so that the nearest deadline, and of equal ones the earliest arrival, is last. */
type CallsByKind = Map<string, QueuedCall[]>;

/** State of a queue. No lane is empty. */
export type Queue = {
  priorities: Array<CallsByKind | undefined>;
  length: number;
};

/** What to do with the call that is next: serve it or remove it. */
export type DequeueDecision = 'take' | 'drop';

/** Judges what may be served. */
export type DequeueRules = {
  /** Whether no call of a request kind may be served now; they are passed over together, as there may be thousands. */
  isKindBlocked: (requestKind: string) => boolean;
  judge: (call: QueuedCall) => DequeueDecision;
};

/** Creates an empty queue. */
export const createQueue = (): Queue => ({priorities: [], length: 0});

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

/** Removes a call; returns whether it was there. */
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

/** Takes the next call that the judge lets through, highest priority first, and removes those that it drops on the way. */
export const takeNext = (queue: Queue, {isKindBlocked, judge}: DequeueRules): {taken: QueuedCall | undefined; dropped: QueuedCall[]} => {
  const dropped: QueuedCall[] = [];
  for (const callsByKind of queue.priorities) {
    for (let call = findNextCall(callsByKind, isKindBlocked); call !== undefined; call = findNextCall(callsByKind, isKindBlocked)) {
      removeAt(queue, call, -1);
      if (judge(call) === 'take') {
        return {taken: call, dropped};
      }

      dropped.push(call);
    }
  }

  return {taken: undefined, dropped};
};

/** Removes the call that would be served last: the worst one of the lowest priority. */
export const displaceLast = (queue: Queue): QueuedCall | undefined => {
  const callsByKind = queue.priorities.findLast(kinds => (kinds?.size ?? 0) > 0);
  const [last] = [...(callsByKind?.values() ?? [])].map(calls => calls[0]!).sort((left, right) => compareByDeadline(right, left));
  return last === undefined ? undefined : removeAt(queue, last, 0);
};

/** Removes the calls that may not wait any longer. */
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
