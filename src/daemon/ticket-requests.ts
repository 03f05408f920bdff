/** Ticket requests of clients: issue a ticket, read its state, or cancel one that has not been used. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {TICKET_HEADER} from '../shared/constants.js';
import {readTicket, type Ticket} from '../shared/ticket.js';
import type {Policy} from '../objects/policy.js';
import {writeJson} from './http-server.js';
import type {PeerTransports} from './peer-transports.js';
import type {TicketOperation} from './incoming-call.js';
import type {Receiver} from './receiver.js';
import type {Sender} from './sender.js';

/** Options of the ticket request handler. */
export type TicketRequestHandlerOptions = {
  fleetKey: string;
  host: string;
  incarnation: string;
  policy: () => Policy;
  sender: Sender;
  receiver: Receiver;
  peers: PeerTransports;
};

const UNREACHABLE_REPLY = {
  state: 'unknown',
  message: 'the process that the ticket is bound to cannot be reached; ask again later with the same ticket',
};

/** Creates the request handler of `/.jujubewell/tickets/...`. */
export const createTicketRequestHandler = (options: TicketRequestHandlerOptions) => {
  const issue = (response: ServerResponse, service: string) => {
    if (!options.policy().treatments.has(service)) {
      writeJson(response, 404, {error: 'unknown-service', message: 'no service of that name is declared; use POST /.jujubewell/tickets/<service>'});
      return;
    }

    const ticket = options.sender.issueTicket({service, priority: 0});
    if (ticket === undefined) {
      writeJson(response, 503, {error: 'no-backend-server', message: 'no backend server of the service is known here; try again later'});
      return;
    }

    response.setHeader(TICKET_HEADER, ticket);
    writeJson(response, 201, {ticket});
  };

  const sendToBoundProcess = async (operation: TicketOperation, ticket: string, content: Ticket): Promise<unknown> => {
    const reply = await options.peers.sendTicketOperation(content.address, operation, ticket);
    return reply === undefined ? UNREACHABLE_REPLY : JSON.parse(reply.toString());
  };

  const handleOperation = async (response: ServerResponse, operation: TicketOperation, ticket: string): Promise<void> => {
    const read = readTicket(ticket, options.fleetKey);
    if (read.kind === 'error') {
      writeJson(response, 400, {error: read.error.kind, message: read.error.message});
      return;
    }

    const isOwn = read.value.host === options.host && read.value.incarnation === options.incarnation;
    writeJson(response, 200, isOwn
      ? {state: options.receiver.handleTicketOperation(operation, ticket, read.value)}
      : await sendToBoundProcess(operation, ticket, read.value));
  };

  return async (request: IncomingMessage, response: ServerResponse, rest: string): Promise<void> => {
    request.resume();
    if (request.method === 'POST') {
      issue(response, rest);
      return;
    }

    if (request.method === 'GET') {
      return handleOperation(response, 'query', rest);
    }

    if (request.method === 'DELETE') {
      return handleOperation(response, 'cancel', rest);
    }

    writeJson(response, 405, {
      error: 'method-not-allowed',
      message: 'use POST /.jujubewell/tickets/<service>, or GET or DELETE /.jujubewell/tickets/<ticket>; repeat the request with its ticket to read its response',
    });
  };
};
