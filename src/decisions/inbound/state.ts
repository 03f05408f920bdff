/** State of the inbound decisions. */
import type {Policy, Treatment} from '../../objects/policy.js';
import type {CallContext} from '../../shared/call-context.js';
import type {Random} from '../../shared/random.js';
import {admittedFraction, createAdmission, type Admission} from './admission.js';
import {allowedCalls, createConcurrencyLimit, type ConcurrencyLimit} from './concurrency-limit.js';
import {createDependencyBulkhead, type DependencyBulkhead, type SubCallTracker} from './dependency-bulkhead.js';
import type {Drain} from './drain.js';
import type {InboundAction} from './events.js';
import {createQueue, type Queue} from './queue.js';
import {createServiceTimes, type ServiceTimes} from './service-times.js';
import {
  createTicketLedger, type LedgerLimits, type TicketLedger, type TicketReference,
} from './ticket-ledger.js';

/** Options of the inbound decisions. */
export type InboundOptions = {
  /** Incarnation of this process. */
  incarnation: string;
  policy: Policy;
  /** Limits of the ticket ledger. @default those of `LedgerLimits` */
  ledgerLimits?: Partial<LedgerLimits>;
};

/** A call in the queue or at the backend server. */
export type ActiveCall = {
  callId: string;
  call: CallContext;
  ticket: TicketReference | undefined;
  /** Identifies the attempt, so that a repetition without a ticket joins this call. */
  attemptKey: string;
  deadlineAt: number;
  /** Ids of the calls whose callers wait for the response, including this one until its caller disconnects. */
  callerIds: Set<string>;
  /** Time at which the last caller disconnected; undefined while there is one. */
  abandonedAt: number | undefined;
  isCancelled: boolean;
  /** Lowest admitted fraction that a sub-call reported. */
  fraction: number;
  /** Undefined while the call is in the queue. */
  run: {startedAt: number; subCalls: SubCallTracker} | undefined;
};

/** The backend server and the policy for its request kinds. */
export type Backend = {service: string; slots: number; treatments: ReadonlyMap<string, Treatment>; concurrencyByKind: ReadonlyMap<string, number>};

/** State of the inbound decisions, which change it in place. */
export type InboundState = {
  policy: Policy;
  now: number;
  /** End of the last pause of the process. */
  resumedAt: number;
  backend: Backend | undefined;
  calls: Map<string, ActiveCall>;
  /** Leader of each joined call: the active call whose response it waits for. */
  leaderIds: Map<string, string>;
  runningCount: number;
  runningByKind: Map<string, number>;
  /** Running calls without a ticket whose callers have all disconnected. */
  abandoned: Set<string>;
  admission: Admission;
  limit: ConcurrencyLimit;
  queue: Queue;
  /** Moving average of the maximum queue time of calls, in milliseconds. */
  meanMaxQueuedMs: number;
  dependencies: DependencyBulkhead;
  serviceTimes: ServiceTimes;
  ledger: TicketLedger;
  drain: Drain;
  /** Measurements of the current window; `busyMs` is the slot time in use up to `busyMeasuredAt`. */
  window: {startedAt: number; busyMs: number; busyMeasuredAt: number; queueRejections: number};
};

/** Creates a state without a backend server. */
export const createInboundState = (options: InboundOptions): InboundState => ({
  policy: options.policy,
  now: 0,
  resumedAt: Number.NEGATIVE_INFINITY,
  backend: undefined,
  calls: new Map(),
  leaderIds: new Map(),
  runningCount: 0,
  runningByKind: new Map(),
  abandoned: new Set(),
  admission: createAdmission(),
  limit: createConcurrencyLimit(),
  queue: createQueue(),
  meanMaxQueuedMs: 0,
  dependencies: createDependencyBulkhead(),
  serviceTimes: createServiceTimes(),
  ledger: createTicketLedger(options.incarnation, options.ledgerLimits),
  drain: {kind: 'none'},
  window: {
    startedAt: 0, busyMs: 0, busyMeasuredAt: 0, queueRejections: 0,
  },
});

/** Context of one decision: the state, the time, the source of random numbers and the actions so far. */
export type DecisionContext = {state: InboundState; now: number; random: Random; actions: InboundAction[]};

/** Returns the admitted fraction to report in a response: the lowest one of this process and of the call's sub-calls. */
export const responseFraction = (state: InboundState, callId: string): number => {
  const active = state.calls.get(state.leaderIds.get(callId) ?? callId);
  return active === undefined ? 1 : Math.min(active.fraction, admittedFraction(state.admission, active.call.priority, active.call.group));
};

/** Returns the load to report in responses: queued and running calls over the concurrency limit. */
export const inboundLoad = ({runningCount, queue, limit}: InboundState): number =>
  (runningCount + queue.length) / Math.max(1, allowedCalls(limit));
