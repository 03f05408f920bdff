/** State of the outbound decision. */
import type {Policy} from '../../objects/policy.js';
import type {Call} from '../../shared/call.js';
import {createAdmissionFeedback, type AdmissionFeedback} from './admission-feedback.js';
import type {OutboundEvent, OutboundOptions} from './events.js';
import {createRetryBudgets, type TokenPool, type RetryBudgets} from './retry-budget.js';
import {
  createRoutingState, type TicketBinding, type EndpointRecord, type RoutingState,
} from './endpoint-records.js';

/** Attempt under way. */
export type Attempt = {
  attemptId: string;
  sendNumber: number;
  record: EndpointRecord;
  probe: boolean;
  grantedTokens: number;
  timeoutMs: number;
};

/** Call that has been sent or waits for its retry. */
export type PendingCall = {
  callId: string;
  call: Call;
  parentCallId: string | undefined;
  binding: TicketBinding | undefined;
  /** Whether the ticket was given by a client; the call then never leaves its bound host. */
  clientBound: boolean;
  pool: TokenPool;
  deadlineAt: number;
  fraction: number;
  attempts: number;
  retries: number;
  triedHosts: string[];
  /** Whether an earlier attempt may have run the call. */
  mayHaveRun: boolean;
  /** Attempt under way; undefined while the call waits for its backoff. */
  attempt: Attempt | undefined;
};

/** Arrival of a call. */
export type CallArrival = Extract<OutboundEvent, {kind: 'call-arrived'}>;

/** Client's call that waits here until it is admitted or has waited for long enough. */
export type DeferredCall = {event: CallArrival; arrivedAt: number; admitBy: number; nextCheckAt: number};

/** State of an outbound, changed in place by its decisions. */
export type OutboundState = {
  host: string;
  zone: string;
  policy: Policy;
  routing: RoutingState;
  feedback: AdmissionFeedback;
  budgets: RetryBudgets;
  calls: Map<string, PendingCall>;
  /** End of the backoff by call id, in milliseconds. */
  retryTimes: Map<string, number>;
  /** Calls that are not admitted yet, by call id. */
  deferredCalls: Map<string, DeferredCall>;
  cleanedUpAt: number;
};

/** Creates the state of an outbound that knows no endpoints. */
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
