/** Events, actions and options of the outbound decision. */
import type {Call} from '../../shared/call.js';
import type {Random} from '../../shared/random.js';
import type {Policy} from '../../objects/policy.js';

/** Time of an event in milliseconds of a clock that never goes back, and the source of random numbers. */
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
  /** Whether it is leaving; it then gets no new calls. */
  draining: boolean;
  /** Time that the backend server needs to work at full speed, in milliseconds. */
  coldStartMs: number;
  /**
   * Age of the backend server when it was announced to this process, in milliseconds.
   * @default 0; unlimited for endpoints of the first list after this process started
   */
  ageMs?: number;
};

/** Reason for which an outbound rejects a call. */
export type OutboundRejection =
  | 'no-backend-server'
  /** Every backend server has as many calls in flight from this process as it may have. */
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

/** How an attempt ended. */
export type AttemptResult =
  /**
   * The whole head of a response of the backend server arrived. `fraction`, `load` and `retryBudget` come from its headers.
   * `gaveUp` tells that the failure it reports arose below the backend server, where a hop has already given up on it.
   */
  | {kind: 'responded'; status: number; durationMs: number; fraction: number; load: number; retryBudget: number; gaveUp: boolean}
  /** The process on the backend server's host rejected the call; `not-run` if it has not passed it on. */
  | {kind: 'rejected'; reason: string; outcome: Outcome; fraction: number; load: number; retryBudget: number; retryAfterMs: number; gaveUp: boolean}
  /** The connection could not be opened; nothing was sent. */
  | {kind: 'not-connected'}
  /** The connection was lost, or the response broke off, after sending had begun. */
  | {kind: 'lost'}
  /** No sign of life on the connection in time. */
  | {kind: 'silent'}
  | {kind: 'timed-out'};

/** What happened. */
export type OutboundEvent =
  /**
   * A client's call, or a sub-call when `parentCallId` names the call that the backend server makes it for.
   * `boundHost` and `boundIncarnation` name what the call's ticket is bound to;
   * `boundEndpoint` reaches it when this process does not know the host, as with most hosts of other zones.
   * `rebindable` tells that this process issued the ticket, so that it may take another one after a `not-run` rejection.
   */
  | {kind: 'call-arrived'; callId: string; call: Call; boundHost?: string; boundIncarnation?: string; boundEndpoint?: Endpoint; parentCallId?: string; rebindable?: boolean}
  /** `replayable` tells whether the body can be sent again; `ask` is the number from the attempt action. */
  | {kind: 'attempt-ended'; callId: string; attemptId: string; ask: number; result: AttemptResult; replayable: boolean}
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

/** What the shell has to do. */
export type OutboundAction =
  /**
   * Send the call to the endpoint. `ticketNeeded` asks for a ticket bound to the endpoint.
   * The same `attemptId` with a higher `ask` and `newConnection` asks again on a new connection.
   */
  | {kind: 'attempt'; callId: string; attemptId: string; ask: number; endpoint: Endpoint; retryBudget: number; fraction: number; timeoutMs: number; newConnection: boolean; ticketNeeded: boolean}
  | {kind: 'reject'; callId: string; reason: OutboundRejection; outcome: Outcome; retryAfterMs: number; fraction: number}
  /** Pass on the response or rejection of an attempt, with this outcome. */
  | {kind: 'forward'; callId: string; attemptId: string; fraction: number; retryBudget: number; outcome: Outcome | 'run'}
  | {kind: 'cancel-attempt'; callId: string; attemptId: string}
  /** Counts a retry; `silent-reask` counts an ask on a new connection, which is no retry. */
  | {kind: 'retry-counted'; service: string; requestKind: string; priority: number; reason: string}
  /** What the response of a closed parent carries: the unused retry budget, and whether a sub-call of it was given up on. */
  | {kind: 'parent-left'; parentCallId: string; retryBudget: number; gaveUp: boolean}
  /** A tick is wanted at this time, in milliseconds of the decision's clock. */
  | {kind: 'wake'; wakeAt: number}
  | {kind: 'report'; cause: string};

/** Options of an outbound. */
export type OutboundOptions = {
  host: string;
  zone: string;
  policy: Policy;
};
