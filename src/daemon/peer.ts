/** Listener for the other processes: calls for the backend server of this host, ticket queries and control messages. */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CALL_HEADER, PEER_HEADER} from '../shared/constants.js';
import {decodeCall, type Call} from '../shared/call.js';
import {readTicket, type Ticket} from '../shared/ticket.js';
import {messageOf, OWN_PATH_PREFIX} from './entry.js';
import {createEarlyRejection} from './early-rejection.js';
import type {EventLog} from './event-log.js';
import {singleHeader} from './headers.js';
import {callerSignal, writeJson, writeReply} from './http-server.js';
import type {Reply} from './message.js';
import type {Metrics} from './metrics.js';
import type {TicketAsk} from './received-call.js';
import type {Receiver} from './receiver.js';
import type {EntryRejection} from './remedies.js';
import type {ReplayBudget} from './replay-body.js';

/** Options of the peer listener. */
export type PeerOptions = {
  fleetKey: string;
  receiver: Receiver;
  replayBytesPerCall: number;
  replayBudget: ReplayBudget;
  metrics: Metrics;
  eventLog: EventLog;
  /** Takes control messages; false when the path is none of its own. */
  control: (request: IncomingMessage, response: ServerResponse) => boolean;
};

/** A call that lasts longer than this starts to send signs of life, in milliseconds. */
const FIRST_SIGN_OF_LIFE_MS = 50;
/** Interval of signs of life, in milliseconds. */
const SIGN_OF_LIFE_INTERVAL_MS = 200;
const TICKET_PATH_PREFIX = `${OWN_PATH_PREFIX}tickets/`;
/** Proofs whose check is remembered. */
const REMEMBERED_PROOFS = 50_000;

const createProofCheck = (fleetKey: string) => {
  const valid = new Set<string>();
  const verify = (proof: string): boolean => {
    const [host, incarnation, mac] = proof.split(':') as [string, string | undefined, string | undefined];
    const expected = createHmac('sha256', fleetKey).update(`peer:${host}:${incarnation}`).digest('base64url');
    return mac?.length === expected.length && timingSafeEqual(Buffer.from(mac), Buffer.from(expected));
  };

  return (proof: string | undefined): boolean => {
    if (proof === undefined) {
      return false;
    }

    if (valid.has(proof)) {
      return true;
    }

    const isValid = verify(proof);
    if (isValid) {
      if (valid.size >= REMEMBERED_PROOFS) {
        valid.clear();
      }

      valid.add(proof);
    }

    return isValid;
  };
};

/** Sends informational responses until the response has begun, so that the caller can tell a slow call from a silent connection. */
const sendSignsOfLife = (response: ServerResponse): (() => void) => {
  let timer: NodeJS.Timeout;
  const beat = () => {
    if (!response.headersSent && !response.destroyed) {
      response.writeProcessing();
      timer = setTimeout(beat, SIGN_OF_LIFE_INTERVAL_MS);
    }
  };

  timer = setTimeout(beat, FIRST_SIGN_OF_LIFE_MS);
  return () => {
    clearTimeout(timer);
  };
};

/** Creates the request handler of the peer listener. */
export const createPeer = (options: PeerOptions) => {
  const isPeer = createProofCheck(options.fleetKey);
  const rejectEarly = createEarlyRejection(options);

  const ticketOf = (call: Call): Ticket | undefined | {kind: EntryRejection} => {
    if (call.ticket === undefined) {
      return undefined;
    }

    const read = readTicket(call.ticket, options.fleetKey);
    return read.kind === 'ok' ? read.value : {kind: read.error.kind};
  };

  const receive = async (request: IncomingMessage, response: ServerResponse, call: Call): Promise<Reply> => {
    const ticket = ticketOf(call);
    if (ticket !== undefined && 'kind' in ticket) {
      return rejectEarly({reason: ticket.kind});
    }

    const message = messageOf(request, response, request.url ?? '/', {bytes: 0, budget: options.replayBudget});
    const stop = sendSignsOfLife(response);
    try {
      return await options.receiver.handle({
        call, message, ticket, signal: callerSignal(response),
      });
    } finally {
      stop();
      message.body.release();
    }
  };

  const askTicket = (response: ServerResponse, ask: TicketAsk, text: string) => {
    const read = readTicket(text, options.fleetKey);
    if (read.kind === 'error') {
      writeJson(response, 400, {error: read.error.kind, message: read.error.message});
      return;
    }

    writeJson(response, 200, {state: options.receiver.askTicket(ask, text, read.value)});
  };

  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (options.control(request, response)) {
      return;
    }

    if (!isPeer(singleHeader(request.headers, PEER_HEADER))) {
      return writeReply(request, response, rejectEarly({reason: 'unauthenticated-peer'}));
    }

    const url = request.url ?? '/';
    const header = singleHeader(request.headers, CALL_HEADER);
    if (header === undefined && url.startsWith(TICKET_PATH_PREFIX)) {
      askTicket(response, request.method === 'DELETE' ? 'cancel' : 'query', url.slice(TICKET_PATH_PREFIX.length));
      return;
    }

    const call = decodeCall(header ?? '');
    const reply = call.kind === 'ok'
      ? await receive(request, response, call.value)
      : rejectEarly({reason: 'malformed-request', detail: call.error.message});
    await writeReply(request, response, reply);
  };
};
