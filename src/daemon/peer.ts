/** Peer listener for other processes: calls for the backend server of this host, ticket operations and control messages. */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CALL_HEADER, PEER_HEADER} from '../shared/constants.js';
import {decodeCallContext, type CallContext} from '../shared/call-context.js';
import {readTicket, type Ticket} from '../shared/ticket.js';
import {createRequestMessage, RESERVED_PATH_PREFIX} from './entry.js';
import {createEarlyRejector} from './early-rejection.js';
import type {EventLog} from './event-log.js';
import {singleHeader} from './headers.js';
import {callerGoneSignal, writeJson, writeReply} from './http-server.js';
import type {Reply} from './message.js';
import type {Metrics} from './metrics.js';
import type {TicketOperation} from './incoming-call.js';
import type {Receiver} from './receiver.js';
import type {EarlyRejectionReason} from './remedies.js';
import type {ReplayBudget} from './replay-body.js';

/** Options of the peer listener's request handler. */
export type PeerOptions = {
  fleetKey: string;
  receiver: Receiver;
  replayBytesPerCall: number;
  replayBudget: ReplayBudget;
  metrics: Metrics;
  eventLog: EventLog;
  /** Handles control messages of the fleet; false when the request is not one. */
  handleControlMessage: (request: IncomingMessage, response: ServerResponse) => boolean;
};

/** Duration of a call after which heartbeats start, in milliseconds. */
const FIRST_HEARTBEAT_MS = 50;
/** Interval between heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 200;
const TICKET_PATH_PREFIX = `${RESERVED_PATH_PREFIX}tickets/`;
/** Number of verified proofs that are cached. */
const CACHED_PROOFS_MAX = 50_000;

/** Creates a function that verifies the proof of fleet membership; valid proofs are cached. */
const createProofVerifier = (fleetKey: string) => {
  const validProofs = new Set<string>();
  const verify = (proof: string): boolean => {
    const [host, incarnation, mac] = proof.split(':') as [string, string | undefined, string | undefined];
    const expected = createHmac('sha256', fleetKey).update(`peer:${host}:${incarnation}`).digest('base64url');
    return mac?.length === expected.length && timingSafeEqual(Buffer.from(mac), Buffer.from(expected));
  };

  return (proof: string | undefined): boolean => {
    if (proof === undefined) {
      return false;
    }

    if (validProofs.has(proof)) {
      return true;
    }

    const isValid = verify(proof);
    if (isValid) {
      if (validProofs.size >= CACHED_PROOFS_MAX) {
        validProofs.clear();
      }

      validProofs.add(proof);
    }

    return isValid;
  };
};

/** Sends informational responses (status 102) until the response starts, so that the caller can tell a slow call from a silent connection. Returns a function that stops them. */
const startHeartbeats = (response: ServerResponse): (() => void) => {
  let timer: NodeJS.Timeout;
  const sendHeartbeat = () => {
    if (!response.headersSent && !response.destroyed) {
      response.writeProcessing();
      timer = setTimeout(sendHeartbeat, HEARTBEAT_INTERVAL_MS);
    }
  };

  timer = setTimeout(sendHeartbeat, FIRST_HEARTBEAT_MS);
  return () => {
    clearTimeout(timer);
  };
};

/** Creates the request handler of the peer listener. */
export const createPeerHandler = (options: PeerOptions) => {
  const isFleetMember = createProofVerifier(options.fleetKey);
  const rejectEarly = createEarlyRejector(options);

  /** Reads the ticket of a call; for an invalid one, returns the reason of the rejection as `kind`. */
  const readCallTicket = (call: CallContext): Ticket | undefined | {kind: EarlyRejectionReason} => {
    if (call.ticket === undefined) {
      return undefined;
    }

    const read = readTicket(call.ticket, options.fleetKey);
    return read.kind === 'ok' ? read.value : {kind: read.error.kind};
  };

  const receiveCall = async (request: IncomingMessage, response: ServerResponse, call: CallContext): Promise<Reply> => {
    const ticket = readCallTicket(call);
    if (ticket !== undefined && 'kind' in ticket) {
      return rejectEarly({reason: ticket.kind});
    }

    const message = createRequestMessage(request, response, request.url ?? '/', {bytes: 0, budget: options.replayBudget});
    const stopHeartbeats = startHeartbeats(response);
    try {
      return await options.receiver.handle({
        call, message, ticket, signal: callerGoneSignal(response),
      });
    } finally {
      stopHeartbeats();
      message.body.release();
    }
  };

  const handleTicketOperation = (response: ServerResponse, operation: TicketOperation, ticketText: string) => {
    const read = readTicket(ticketText, options.fleetKey);
    if (read.kind === 'error') {
      writeJson(response, 400, {error: read.error.kind, message: read.error.message});
      return;
    }

    writeJson(response, 200, {state: options.receiver.handleTicketOperation(operation, ticketText, read.value)});
  };

  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (options.handleControlMessage(request, response)) {
      return;
    }

    if (!isFleetMember(singleHeader(request.headers, PEER_HEADER))) {
      return writeReply(request, response, rejectEarly({reason: 'unauthenticated-peer'}));
    }

    const url = request.url ?? '/';
    const header = singleHeader(request.headers, CALL_HEADER);
    if (header === undefined && url.startsWith(TICKET_PATH_PREFIX)) {
      handleTicketOperation(response, request.method === 'DELETE' ? 'cancel' : 'query', url.slice(TICKET_PATH_PREFIX.length));
      return;
    }

    const call = decodeCallContext(header ?? '');
    const reply = call.kind === 'ok'
      ? await receiveCall(request, response, call.value)
      : rejectEarly({reason: 'malformed-request', detail: call.error.message});
    await writeReply(request, response, reply);
  };
};
