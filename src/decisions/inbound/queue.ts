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
type Lanes = Map<string, QueuedCall[]>;

/** State of a queue. No lane is empty. */
export type Queue = {
  priorities: Array<Lanes | undefined>;
  length: number;
};

/** What to do with the call that is next: serve it or remove it. */
export type QueueVerdict = 'take' | 'drop';

/** Judges what may be served. */
export type QueueJudge = {
  /** Whether no call of a request kind may be served now; they are passed over together, as there may be thousands. */
  isKindBlocked: (requestKind: string) => boolean;
  judge: (call: QueuedCall) => QueueVerdict;
};

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
  const lanes = queue.priorities[call.priority] ?? new Map<string, QueuedCall[]>();
  const calls = lanes.get(call.requestKind) ?? [];
  queue.priorities[call.priority] = lanes;
  lanes.set(call.requestKind, calls);
  calls.splice(positionOf(calls, ({deadlineAt}) => deadlineAt > call.deadlineAt), 0, call);
  queue.length++;
};

const removeAt = (queue: Queue, {priority, requestKind}: Pick<QueuedCall, 'priority' | 'requestKind'>, index: number): QueuedCall => {
  const lanes = queue.priorities[priority]!;
  const calls = lanes.get(requestKind)!;
  const [removed] = calls.splice(index, 1);
  queue.length--;
  if (calls.length === 0) {
    lanes.delete(requestKind);
  }

  return removed!;
};

/** Removes a call; returns whether it was there. */
export const removeQueued = (queue: Queue, place: Pick<QueuedCall, 'priority' | 'requestKind'>, callId: string): boolean => {
  const calls = queue.priorities[place.priority]?.get(place.requestKind) ?? [];
  const index = calls.findIndex(call => call.callId === callId);
  if (index === -1) {
    return false;
  }

  removeAt(queue, place, index);
  return true;
};

const byService = (left: QueuedCall, right: QueuedCall): number =>
  left.deadlineAt - right.deadlineAt || left.arrivedAt - right.arrivedAt;

const firstOf = (lanes: Lanes | undefined, isKindBlocked: QueueJudge['isKindBlocked']): QueuedCall | undefined => {
  let first: QueuedCall | undefined;
  for (const [requestKind, calls] of lanes ?? []) {
    const candidate = calls.at(-1)!;
    if ((first === undefined || byService(candidate, first) < 0) && !isKindBlocked(requestKind)) {
      first = candidate;
    }
  }

  return first;
};

/** Takes the next call that the judge lets through, highest priority first, and removes those that it drops on the way. */
export const takeNext = (queue: Queue, {isKindBlocked, judge}: QueueJudge): {taken: QueuedCall | undefined; dropped: QueuedCall[]} => {
  const dropped: QueuedCall[] = [];
  for (const lanes of queue.priorities) {
    for (let call = firstOf(lanes, isKindBlocked); call !== undefined; call = firstOf(lanes, isKindBlocked)) {
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
  const lanes = queue.priorities.findLast(candidates => (candidates?.size ?? 0) > 0);
  const [last] = [...(lanes?.values() ?? [])].map(calls => calls[0]!).sort((left, right) => byService(right, left));
  return last === undefined ? undefined : removeAt(queue, last, 0);
};

/** Removes the calls that may not wait any longer. */
export const removeOverdue = (queue: Queue, now: number): QueuedCall[] => {
  const isOverdue = ({queueUntil, deadlineAt}: QueuedCall): boolean => Math.min(queueUntil, deadlineAt) <= now;
  const overdue = queue.priorities.flatMap(lanes => [...(lanes?.values() ?? [])].flatMap(calls => calls.filter(call => isOverdue(call))));
  if (overdue.length > 0) {
    queue.priorities = queue.priorities.map(lanes => new Map([...(lanes ?? [])]
      .map(([requestKind, calls]) => [requestKind, calls.filter(call => !isOverdue(call))] as const)
      .filter(([, calls]) => calls.length > 0)));
    queue.length -= overdue.length;
  }

  return overdue;
};
