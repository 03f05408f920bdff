/** Events, actions and options of the outbound decisions. */
import type {CallContext} from '../../shared/call-context.js';
import type {Random} from '../../shared/random.js';
import type {Policy} from '../../objects/policy.js';

/** Inputs of a decision: the time in milliseconds of a monotonic clock, and the source of random numbers. */
export type DecisionContext = {now: number; random: Random};

/** Backend server that calls can be sent to, through the process on its host. */
export type Endpoint = {
  host: string;
  zone: string;
  /** Incarnation of the process on the host. */
  incarnation: string;
  service: string;
  /** Address of the process for calls, `ip:port`. */
  address: string;
  slots: number;
  connections: number;
  /** Whether it is draining; it then gets no new calls. */
  draining: boolean;
  /** Time that the backend server needs to reach full speed, in milliseconds. */
  coldStartMs: number;
  /**
   * Age of the backend server when it was announced to this process, in milliseconds.
   * @default 0; infinite for endpoints of the first list after this process started
   */
  ageMs?: number;
};

/** Reason for rejecting a call at the process that sends it. */
export type OutboundRejection =
  | 'no-backend-server'
  /** Every backend server is at its limit of calls in flight from this process. */
  | 'backend-servers-full'
  | 'admission'
  | 'deadline'
  | 'hop-limit'
  | 'retries-exhausted'
  /** The connection failed after sending had begun, and the call must not be sent again. */
  | 'connection-lost'
  | 'ticket-host-unreachable';

/** Whether a request was run, as far as the reporting process knows. */
export type Outcome = 'not-run' | 'unknown';

/** Result of an attempt. */
export type AttemptResult =
  /**
   * The whole head of a response of the backend server arrived. `fraction`, `load` and `retryBudget` come from its headers.
   * `gaveUp` is set when the failure arose in a sub-call, for which a lower hop has already stopped retrying.
   */
  | {kind: 'responded'; status: number; durationMs: number; fraction: number; load: number; retryBudget: number; gaveUp: boolean}
  /** The process on the backend server's host rejected the call; `not-run` if it has not passed it on. */
  | {kind: 'rejected'; reason: string; outcome: Outcome; fraction: number; load: number; retryBudget: number; retryAfterMs: number; gaveUp: boolean}
  /** The connection could not be opened; nothing was sent. */
  | {kind: 'not-connected'}
  /** The connection was lost, or the response broke off, after sending had begun. */
  | {kind: 'lost'}
  /** Nothing arrived on the connection in time. */
  | {kind: 'silent'}
  | {kind: 'timed-out'};

/** Event that the outbound decisions react to. */
export type OutboundEvent =
  /**
   * A client's call, or a sub-call when `parentCallId` names the call that the backend server makes it for.
   * `boundHost` and `boundIncarnation` name what the call's ticket is bound to;
   * `boundEndpoint` reaches it when this process does not know the host, as with most hosts of other zones.
   * `rebindable` is set when this process issued the ticket, so that it may issue another one after a `not-run` rejection.
   */
  | {kind: 'call-arrived'; callId: string; call: CallContext; boundHost?: string; boundIncarnation?: string; boundEndpoint?: Endpoint; parentCallId?: string; rebindable?: boolean}
  /** `replayable` is set when the body can be sent again; `sendNumber` is that of the attempt action. */
  | {kind: 'attempt-ended'; callId: string; attemptId: string; sendNumber: number; result: AttemptResult; replayable: boolean}
  | {kind: 'caller-gone'; callId: string}
  /** A call was passed to the backend server; `parentKind` is its `service/kind`. Its sub-calls share the retry budget. */
  | {kind: 'parent-opened'; parentCallId: string; parentKind: string; retryBudget: number; remainingMs: number}
  /** The call ended at the backend server; answered by `parent-left`. */
  | {kind: 'parent-closed'; parentCallId: string}
  /** Replaces the list of endpoints. */
  | {kind: 'endpoints-changed'; endpoints: readonly Endpoint[]}
  /** Changes some endpoints; the others stay. */
  | {kind: 'endpoints-updated'; changed: readonly Endpoint[]; removed: ReadonlyArray<{service: string; host: string}>}
  | {kind: 'policy-changed'; policy: Policy}
  | {kind: 'tick'};

/** Action for the caller of `decideOutbound` to perform. */
export type OutboundAction =
  /**
   * Send the call to the endpoint. With `ticketNeeded`, it first needs a ticket bound to the endpoint.
   * The same `attemptId` with a higher `sendNumber` and `newConnection` is a resend on a new connection.
   */
  | {kind: 'attempt'; callId: string; attemptId: string; sendNumber: number; endpoint: Endpoint; retryBudget: number; fraction: number; timeoutMs: number; newConnection: boolean; ticketNeeded: boolean}
  | {kind: 'reject'; callId: string; reason: OutboundRejection; outcome: Outcome; retryAfterMs: number; fraction: number}
  /** Forward the response or rejection of an attempt, with this outcome. */
  | {kind: 'forward'; callId: string; attemptId: string; fraction: number; retryBudget: number; outcome: Outcome | 'run'}
  | {kind: 'cancel-attempt'; callId: string; attemptId: string}
  /** Count a retry; the reason `silent-reask` counts a resend on a new connection, which is not a retry. */
  | {kind: 'retry-counted'; service: string; requestKind: string; priority: number; reason: string}
  /** Content for the response of a closed parent: the unused retry budget, and whether one of its sub-calls failed for good. */
  | {kind: 'parent-left'; parentCallId: string; retryBudget: number; gaveUp: boolean}
  /** Send a tick event at this time, in milliseconds of the clock of the events. */
  | {kind: 'wake'; wakeAt: number}
  | {kind: 'report'; cause: string};

/** Options of the outbound decisions. */
export type OutboundOptions = {
  host: string;
  zone: string;
  policy: Policy;
};
