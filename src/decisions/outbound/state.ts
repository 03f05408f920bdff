/** State of the outbound decisions. */
import type {Policy} from '../../objects/policy.js';
import type {CallContext} from '../../shared/call-context.js';
import {createAdmissionFeedback, type AdmissionFeedback} from './admission-feedback.js';
import type {OutboundEvent, OutboundOptions} from './events.js';
import {createRetryBudgets, type TokenPool, type RetryBudgets} from './retry-budget.js';
import {
  createRoutingState, type TicketBinding, type EndpointRecord, type RoutingState,
} from './endpoint-records.js';

/** Attempt of a call that is in flight to an endpoint. */
export type Attempt = {
  attemptId: string;
  /** How often the attempt was sent; above 1 after a resend on a new connection. */
  sendNumber: number;
  record: EndpointRecord;
  /** Whether the result decides if an ejected endpoint is reinstated. */
  probe: boolean;
  /** Retry tokens that the attempt carries, taken from the call's pool. */
  grantedTokens: number;
  timeoutMs: number;
};

/** Call that is in flight or waits for its retry. */
export type PendingCall = {
  callId: string;
  call: CallContext;
  parentCallId: string | undefined;
  binding: TicketBinding | undefined;
  /** Whether a client supplied the ticket; the call then only goes to the host that the ticket is bound to. */
  clientBound: boolean;
  /** Retry tokens, shared with the other calls of the request or parent. */
  pool: TokenPool;
  deadlineAt: number;
  /** Admitted fraction that each attempt carries. */
  fraction: number;
  attempts: number;
  retries: number;
  triedHosts: string[];
  /** Whether an earlier attempt may have run the call. */
  mayHaveRun: boolean;
  /** Attempt in flight; undefined during a retry backoff. */
  attempt: Attempt | undefined;
};

/** Event of a call that arrives. */
export type CallArrival = Extract<OutboundEvent, {kind: 'call-arrived'}>;

/** Client's call that waits for admission: checked again at `nextCheckAt`, rejected from `admitBy` on. */
export type DeferredCall = {event: CallArrival; arrivedAt: number; admitBy: number; nextCheckAt: number};

/** State of the outbound decisions, which change it in place. */
export type OutboundState = {
  host: string;
  zone: string;
  policy: Policy;
  routing: RoutingState;
  feedback: AdmissionFeedback;
  budgets: RetryBudgets;
  calls: Map<string, PendingCall>;
  /** End of the retry backoff by call id, in milliseconds. */
  retryTimes: Map<string, number>;
  /** Calls that are not admitted yet, by call id. */
  deferredCalls: Map<string, DeferredCall>;
  cleanedUpAt: number;
};

/** Creates the state of a process that knows no endpoints. */
export const createOutboundState = (options: OutboundOptions): OutboundState => ({
  host: options.host,
  zone: options.zone,
  policy: options.policy,
  routing: createRoutingState(options.zone),
  feedback: createAdmissionFeedback(),
  budgets: createRetryBudgets(),
  calls: new Map(),
  retryTimes: new Map(),
  deferredCalls: new Map(),
  cleanedUpAt: 0,
});
