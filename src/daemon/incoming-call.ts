/** Calls for the backend server of this host, and what becomes of them there. */
import type {Call} from '../shared/call.js';
import type {Ticket} from '../shared/ticket.js';
import type {BackendOutcome, InboundAction} from '../decisions/inbound/inbound.js';
import type {TransportResult, RequestMessage} from './message.js';

/** Call that arrived for the backend server of this host. */
export type IncomingCall = {
  call: Call;
  message: RequestMessage;
  /** Content of the call's ticket, whose authentication code has been checked. */
  ticket: Ticket | undefined;
  /** Ends when the caller has gone. */
  signal: AbortSignal;
};

/** Call that the backend server of this host is working on; its sub-calls belong to it. */
export type ActiveCall = {
  callId: string;
  call: Call;
  /** Time by which the call must end, on the process clock. */
  deadlineAt: number;
  /** Ends when the call ends or its caller has gone. */
  signal: AbortSignal;
};

/** State of a ticket as its bound process knows it. */
export type TicketState = Extract<InboundAction, {kind: 'ticket-state'}>['state'];

/** What a client asks about a ticket. */
export type TicketOperation = 'query' | 'cancel';

/** Outcome of an exchange with the backend server, as the inbound decision sees it. */
export const toBackendOutcome = (attempt: TransportResult, durationMs: number): BackendOutcome => {
  switch (attempt.kind) {
    case 'replied': {
      return {kind: 'responded', status: attempt.reply.status, durationMs};
    }

    case 'not-connected': {
      return {kind: 'not-sent'};
    }

    case 'timed-out': {
      return {kind: 'timed-out'};
    }

    case 'silent':
    case 'lost': {
      return {kind: 'lost'};
    }
  }
};
