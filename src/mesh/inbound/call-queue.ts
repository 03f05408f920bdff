/** Calls that wait for a slot of the backend server of this host, each as long as it can still be served in time. */
import {
  countAhead, createQueue, enqueue, removeOverdue, removeQueued, takeNext, type QueuedCall,
} from '../../decisions/inbound/queue.js';
import type {RefusalReason} from '../message.js';
import type {ActiveCall} from './inbound-call.js';

/** Queue in front of a backend server; calls are identified by their key. */
export type CallQueue = {
  length: () => number;
  /** Adds a call, or returns why it is refused: it would wait too long. */
  add: (active: ActiveCall) => RefusalReason | undefined;
  remove: (active: ActiveCall) => void;
  /** Removes the next call to dispatch, and the calls before it that have waited too long. */
  takeNext: () => {taken: string | undefined; dropped: string[]};
  /** Removes the calls whose longest wait has ended at a time of the clock. */
  removeOverdue: (at: number) => string[];
  /** Time after which a call that is refused now may find a slot, in milliseconds. */
  retryAfterMs: () => number;
};

/** Options of the queue. */
export type CallQueueOptions = {
  now: () => number;
  /** Mean service time, in milliseconds. */
  serviceMs: () => number;
  /** Maximum number of concurrent calls. */
  limit: () => number;
  /** Time until the rate limit of the backend server admits this many further calls, in milliseconds. */
  rateWaitMs: (calls: number) => number;
};

/** Share of the remaining time that a call may spend in the queue; the rest is needed to run it. */
const QUEUE_WAIT_SHARE = 0.5;
const RETRY_AFTER_MIN_MS = 50;

/** Creates an empty queue. */
export const createCallQueue = ({now, serviceMs, limit, rateWaitMs}: CallQueueOptions): CallQueue => {
  const queue = createQueue();

  /** Time until a call behind `ahead` others gets a slot, in milliseconds. */
  const expectedWaitMs = (ahead: number): number => (ahead + 1) * serviceMs() / Math.max(1, limit());

  const checkQueueTime = (call: QueuedCall): 'take' | 'drop' => call.queueUntil <= now() ? 'drop' : 'take';

  return {
    length: () => queue.length,
    add({inbound: {call, key}, arrivedAt, deadlineAt}) {
      const remainingMs = deadlineAt - now();
      const waitMaxMs = Math.min(remainingMs * QUEUE_WAIT_SHARE, Math.max(call.targetMs, 0) + serviceMs());
      const ahead = countAhead(queue, call.priority);
      if (expectedWaitMs(ahead) > waitMaxMs) {
        return 'queue-full';
      }

      if (rateWaitMs(ahead + 1) > waitMaxMs) {
        return 'rate-limit';
      }

      enqueue(queue, {
        callId: key, priority: call.priority, requestKind: call.route, arrivedAt, deadlineAt, queueUntil: now() + waitMaxMs,
      });
      return undefined;
    },
    remove({inbound: {call, key}}) {
      removeQueued(queue, {priority: call.priority, requestKind: call.route}, key);
    },
    takeNext() {
      const {taken, dropped} = takeNext(queue, {isKindBlocked: () => false, decide: checkQueueTime});
      return {taken: taken?.callId, dropped: dropped.map(({callId}) => callId)};
    },
    removeOverdue: at => removeOverdue(queue, at).map(({callId}) => callId),
    retryAfterMs: () => Math.round(Math.max(RETRY_AFTER_MIN_MS, expectedWaitMs(queue.length), rateWaitMs(queue.length + 1))),
  };
};
