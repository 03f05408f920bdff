/** Transports to the other processes of the fleet, for calls and ticket operations. */
import {Buffer} from 'node:buffer';
import {createHmac} from 'node:crypto';
import {CALL_HEADER, PEER_HEADER, TICKET_HEADER} from '../shared/constants.js';
import {encodeCallContext, type CallContext} from '../shared/call-context.js';
import type {Endpoint} from '../decisions/outbound/outbound.js';
import type {TransportResult, RequestMessage} from './message.js';
import type {TicketOperation} from './incoming-call.js';
import {emptyBody} from './replay-body.js';
import {createTransport, type Transport} from './transport.js';

/** Time without a heartbeat after which a connection to a process may be silent, in milliseconds. */
export const SILENCE_TIMEOUT_MS = 750;

/** Timeout of a ticket operation at the process that the ticket is bound to, in milliseconds. */
const TICKET_OPERATION_TIMEOUT_MS = 2000;

/** Builds the proof that a process belongs to the fleet, valid for one host and incarnation. */
export const peerProof = (host: string, incarnation: string, fleetKey: string): string => {
  const mac = createHmac('sha256', fleetKey).update(`peer:${host}:${incarnation}`).digest('base64url');
  return `${host}:${incarnation}:${mac}`;
};

/** Call to another process. */
export type PeerCall = {
  endpoint: Endpoint;
  call: CallContext;
  message: RequestMessage;
  timeoutMs: number;
  newConnection: boolean;
  signal: AbortSignal;
};

/** Transports to other processes, one per address. */
export type PeerTransports = {
  /** Sends a call to the process of an endpoint. */
  send: (peerCall: PeerCall) => Promise<TransportResult>;
  /** Runs a ticket operation at the process that the ticket is bound to; returns the JSON response, or undefined when there was none. */
  sendTicketOperation: (address: string, operation: TicketOperation, ticket: string) => Promise<Buffer | undefined>;
  /** Closes connections to addresses that are not in the set. */
  closeUnused: (addresses: {has: (address: string) => boolean}) => void;
  close: () => Promise<void>;
};

/** Options of peer transports. */
export type PeerTransportsOptions = {
  host: string;
  incarnation: string;
  fleetKey: string;
  /** Maximum number of connections to one process. */
  connections: number;
};

/** Creates peer transports; they open connections on demand. */
export const createPeerTransports = (options: PeerTransportsOptions): PeerTransports => {
  const proof = peerProof(options.host, options.incarnation, options.fleetKey);
  const transports = new Map<string, Transport>();

  const transportFor = (address: string, connections: number): Transport => {
    const known = transports.get(address);
    if (known !== undefined) {
      return known;
    }

    const created = createTransport({address, connections: Math.min(options.connections, connections)});
    transports.set(address, created);
    return created;
  };

  return {
    async send(peerCall) {
      const {call, message} = peerCall;
      return transportFor(peerCall.endpoint.address, peerCall.endpoint.connections).send({
        message,
        headers: {
          [PEER_HEADER]: proof,
          [CALL_HEADER]: encodeCallContext(call),
          ...(call.ticket !== undefined && {[TICKET_HEADER]: call.ticket}),
        },
        timeoutMs: peerCall.timeoutMs,
        silenceTimeoutMs: SILENCE_TIMEOUT_MS,
        signal: peerCall.signal,
        newConnection: peerCall.newConnection,
      });
    },
    async sendTicketOperation(address, operation, ticket) {
      const result = await transportFor(address, options.connections).send({
        message: {
          method: operation === 'cancel' ? 'DELETE' : 'GET', path: `/.jujubewell/tickets/${ticket}`, headers: {}, body: emptyBody,
        },
        headers: {[PEER_HEADER]: proof},
        timeoutMs: TICKET_OPERATION_TIMEOUT_MS,
        silenceTimeoutMs: undefined,
        signal: new AbortController().signal,
        newConnection: false,
      });
      return result.kind === 'replied' && Buffer.isBuffer(result.reply.body) && result.reply.status === 200 ? result.reply.body : undefined;
    },
    closeUnused(addresses) {
      const unused = [...transports].filter(([address]) => !addresses.has(address));
      for (const [address, transport] of unused) {
        transports.delete(address);
        void transport.close();
      }
    },
    async close() {
      await Promise.all([...transports.values()].map(async transport => transport.close()));
    },
  };
};
