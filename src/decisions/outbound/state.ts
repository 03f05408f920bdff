/** State of the outbound decision. */
import type {Policy} from '../../objects/policy.js';
import type {Call} from '../../shared/call.js';
import {createAdmissionFeedback, type AdmissionFeedback} from './admission-feedback.js';
import type {OutboundEvent, OutboundOptions} from './events.js';
import {createRetryBudgets, type Pool, type RetryBudgets} from './retry-budget.js';
import {
  createRouting, type Binding, type EndpointRecord, type Routing,
} from './endpoint-records.js';

/** Attempt under way. */
export type Attempt = {
  attemptId: string;
  ask: number;
  record: EndpointRecord;
  probe: boolean;
  granted: number;
  timeoutMs: number;
};

/** Call that has been sent or waits for its retry. */
export type Pending = {
  callId: string;
  call: Call;
  parentCallId: string | undefined;
  binding: Binding | undefined;
  /** Whether the ticket was given by a client; the call then never leaves its bound host. */
  clientBound: boolean;
  pool: Pool;
  deadlineAt: number;
  fraction: number;
  attempts: number;
  retries: number;
  tried: string[];
  /** Whether an earlier attempt may have run the call. */
  maybeRun: boolean;
  /** Attempt under way; undefined while the call waits for its backoff. */
  attempt: Attempt | undefined;
};

/** Arrival of a call. */
export type Arrival = Extract<OutboundEvent, {kind: 'call-arrived'}>;

/** Client's call that waits here until it is admitted or has waited for long enough. */
export type Held = {event: Arrival; arrivedAt: number; until: number; wakeAt: number};

/** State of an outbound, changed in place by its decisions. */
export type OutboundState = {
  host: string;
  zone: string;
  policy: Policy;
  routing: Routing;
  feedback: AdmissionFeedback;
  budgets: RetryBudgets;
  calls: Map<string, Pending>;
  /** End of the backoff by call id, in milliseconds. */
  waiting: Map<string, number>;
  /** Calls that are not admitted yet, by call id. */
  held: Map<string, Held>;
  sweptAt: number;
};

/** Creates the state of an outbound that knows no endpoints. */
export const createOutboundState = (options: OutboundOptions): OutboundState => ({
  host: options.host,
  zone: options.zone,
  policy: options.policy,
  routing: createRouting(options.zone),
  feedback: createAdmissionFeedback(),
  budgets: createRetryBudgets(),
  calls: new Map(),
  waiting: new Map(),
  held: new Map(),
  sweptAt: 0,
});
