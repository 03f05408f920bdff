/** Events and actions of the inbound decisions. */
import type {Policy} from '../../objects/policy.js';
import type {CallContext} from '../../shared/call-context.js';
import {retryAfterMs} from './admission.js';

/** Reason for rejecting a call at the host of its backend server. */
export type InboundRejection =
  | 'admission'
  | 'queue-time'
  | 'displaced'
  | 'deadline'
  | 'dependency-slow'
  | 'draining'
  | 'no-backend-server'
  | 'ticket-missing'
  | 'ticket-expired'
  | 'ticket-other-incarnation'
  | 'ticket-cancelled'
  | 'ledger-full'
  /** The request may have run under this ticket, and its outcome is unknown. */
  | 'outcome-unknown'
  /** The request ran, but its response was too large to be stored for a resend. */
  | 'response-not-kept'
  /** The call could not be sent to the backend server. */
  | 'backend-unreachable'
  /** The connection to the backend server was lost after sending had begun. */
  | 'backend-lost'
  /** The backend server did not respond in time. */
  | 'backend-timeout';

/** How a call at the backend server ended. `not-sent` guarantees that no byte of the call was sent. */
export type BackendOutcome =
  | {kind: 'responded'; status: number; durationMs: number}
  | {kind: 'not-sent'}
  | {kind: 'lost'}
  | {kind: 'timed-out'};

/** Event that the inbound decisions react to. `epochMs` is wall-clock time in milliseconds since the Unix epoch. */
export type InboundEvent =
  | {kind: 'call-arrived'; callId: string; call: CallContext; epochMs: number; ticketExpiresAt?: number; ticketIncarnation?: string}
  | {kind: 'caller-gone'; callId: string}
  /** `responseBytes` is the size of the whole response, if the process holds a copy of it. */
  | {kind: 'backend-ended'; callId: string; outcome: BackendOutcome; responseBytes?: number}
  | {kind: 'sub-call-started'; callId: string; service: string}
  | {kind: 'sub-call-ended'; callId: string; service: string; fraction: number}
  | {kind: 'ticket-query-asked'; askId: string; ticket: string; epochMs: number; ticketExpiresAt?: number; ticketIncarnation?: string}
  | {kind: 'ticket-cancel-asked'; askId: string; ticket: string; epochMs: number; ticketExpiresAt?: number; ticketIncarnation?: string}
  | {kind: 'backend-announced'; service: string; slots: number; connections: number; coldStartMs: number}
  | {kind: 'backend-left'}
  | {kind: 'drain-started'}
  | {kind: 'policy-changed'; policy: Policy}
  | {kind: 'tick'; epochMs: number};

/** Event of one kind. */
export type EventOf<Kind extends InboundEvent['kind']> = Extract<InboundEvent, {kind: Kind}>;

/** Whether a rejected request has run. */
export type RejectionOutcome = 'run' | 'not-run' | 'unknown';

/** Action for the caller of `decideInbound` to perform. */
export type InboundAction =
  | {kind: 'dispatch'; callId: string; timeoutMs: number}
  | {kind: 'reject'; callId: string; reason: InboundRejection; outcome: RejectionOutcome; retryAfterMs: number; fraction: number}
  /** The call waits for the response of its leader; a `replay` or `reject` follows. */
  | {kind: 'join'; callId: string; leaderId: string}
  /** Answer the call with the response of its leader. */
  | {kind: 'replay'; callId: string; leaderId: string}
  | {kind: 'cancel'; callId: string}
  /** Discard the stored response of a leader. */
  | {kind: 'forget-response'; leaderId: string}
  | {kind: 'ticket-state'; askId: string; state: 'unseen' | 'cancelled' | 'running' | 'completed' | 'unknown'; leaderId?: string}
  | {kind: 'drained'}
  | {kind: 'report'; cause: string};
