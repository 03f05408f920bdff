/** Calls for the backend server of this host, and operations on their tickets. */
import type {CallContext} from '../shared/call-context.js';
import type {Ticket} from '../shared/ticket.js';
import type {BackendOutcome, InboundAction} from '../decisions/inbound/inbound.js';
import type {TransportResult, RequestMessage} from './message.js';

/** Call that has arrived for the backend server of this host. */
export type IncomingCall = {
  call: CallContext;
  message: RequestMessage;
  /** Content of the call's ticket, whose message authentication code has been verified. */
  ticket: Ticket | undefined;
  /** Aborts when the caller has gone. */
  signal: AbortSignal;
};

/** Call that the backend server of this host is working on, the parent of its sub-calls. */
export type ActiveCall = {
  callId: string;
  call: CallContext;
  /** Deadline of the call, on the process clock. */
  deadlineAt: number;
  /** Aborts when the call is cancelled, for example because its caller has gone. */
  signal: AbortSignal;
};

/** State of a ticket at the process that it is bound to. */
export type TicketState = Extract<InboundAction, {kind: 'ticket-state'}>['state'];

/** Operation of a client on a ticket: read its state, or cancel it if it is unused. */
export type TicketOperation = 'query' | 'cancel';

/** Converts the result of an exchange with the backend server to the form of the inbound decision logic. */
export const toBackendOutcome = (result: TransportResult, durationMs: number): BackendOutcome => {
  switch (result.kind) {
    case 'replied': {
      return {kind: 'responded', status: result.reply.status, durationMs};
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
