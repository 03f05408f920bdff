/** State of the inbound decision. */
import type {Policy, Treatment} from '../../objects/policy.js';
import type {Call} from '../../shared/call.js';
import type {Random} from '../../shared/random.js';
import {createAdmission, admittedFraction, type Admission} from './admission.js';
import {allowedCalls, createConcurrencyLimit, type ConcurrencyLimit} from './concurrency-limit.js';
import {createDependencyBulkhead, type DependencyBulkhead, type SubCallTracker} from './dependency-bulkhead.js';
import type {Drain} from './drain.js';
import type {InboundAction} from './events.js';
import {createQueue, type Queue} from './queue.js';
import {createServiceTimes, type ServiceTimes} from './service-times.js';
import {
  createTicketLedger, type LedgerLimits, type TicketLedger, type TicketReference,
} from './ticket-ledger.js';

/** Options of the inbound side. */
export type InboundOptions = {
  /** Incarnation of this process. */
  incarnation: string;
  policy: Policy;
  /** Bounds of the ticket ledger. @default those of `LedgerLimits` */
  ledgerLimits?: Partial<LedgerLimits>;
};

/** A call in the queue or at the backend server. */
export type ActiveCall = {
  callId: string;
  call: Call;
  ticket: TicketReference | undefined;
  attemptKey: string;
  deadlineAt: number;
  /** Calls that wait for the response, the first one included while its caller is there. */
  callerIds: Set<string>;
  /** Time since which there has been no caller. */
  abandonedAt: number | undefined;
  isCancelled: boolean;
  /** Lowest fraction that a sub-call reported. */
  fraction: number;
  /** Undefined while the call is in the queue. */
  run: {startedAt: number; subCalls: SubCallTracker} | undefined;
};

/** The backend server and its policy. */
export type Backend = {service: string; slots: number; treatments: ReadonlyMap<string, Treatment>; concurrencyByKind: ReadonlyMap<string, number>};

/** State of the inbound side, changed in place by its decisions. */
export type InboundState = {
  policy: Policy;
  now: number;
  /** End of the last pause of the process. */
  resumedAt: number;
  backend: Backend | undefined;
  calls: Map<string, ActiveCall>;
  /** Active call that each joined call waits for. */
  leaderIds: Map<string, string>;
  runningCount: number;
  runningByKind: Map<string, number>;
  /** Running calls whose callers have all gone. */
  abandoned: Set<string>;
  admission: Admission;
  limit: ConcurrencyLimit;
  queue: Queue;
  /** Recent mean of the longest wait of calls, in milliseconds. */
  meanMaxQueuedMs: number;
  dependencies: DependencyBulkhead;
  serviceTimes: ServiceTimes;
  ledger: TicketLedger;
  drain: Drain;
  window: {startedAt: number; busyMs: number; busyMeasuredAt: number; queueRejections: number};
};

/** Creates the state of an inbound side without a backend server. */
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

/** One decision in progress: the state with the time, the source of random numbers and the actions so far. */
export type DecisionContext = {state: InboundState; now: number; random: Random; actions: InboundAction[]};

/** Admitted fraction that the response to a call carries: the lowest one of this process and of the call's sub-calls. */
export const responseFraction = (state: InboundState, callId: string): number => {
  const active = state.calls.get(state.leaderIds.get(callId) ?? callId);
  return active === undefined ? 1 : Math.min(active.fraction, admittedFraction(state.admission, active.call.priority, active.call.group));
};

/** Load that responses carry: calls here, in the queue or running, over the concurrency limit. */
export const inboundLoad = ({runningCount, queue, limit}: InboundState): number =>
  (runningCount + queue.length) / Math.max(1, allowedCalls(limit));
