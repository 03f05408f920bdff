/** Transport of envelopes between processes: a single tRPC procedure over HTTP. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {getTRPCErrorFromUnknown, initTRPC, TRPCError} from '@trpc/server';
import {getHTTPStatusCodeFromError} from '@trpc/server/http';
import {TRPC_ERROR_CODES_BY_KEY} from '@trpc/server/rpc';
import {Agent} from 'undici';
import type {Result} from '../../shared/result.js';
import {
  CACHED_CLIENTS_MAX, CONNECT_TIMEOUT_MS, ENVELOPE_BYTES_MAX, KEEP_ALIVE_TIMEOUT_MS,
} from './constants.js';
import {envelopeSchema, type Envelope, type EnvelopeError} from './envelope.js';

/** Path prefix of the procedures. */
export const TRPC_PATH = '/trpc/';

/** Handles a received envelope and returns the envelope of the reply, if there is one. */
export type EnvelopeReceiver = (envelope: Envelope) => Result<Envelope | undefined, EnvelopeError>;

// In development mode, tRPC would send stack traces to unauthenticated senders.
const trpc = initTRPC.context<{receive: EnvelopeReceiver}>().create({isDev: false});

/** Router with the tRPC procedures of the fleet. */
export const fleetRouter = trpc.router({
  deliver: trpc.procedure.input(envelopeSchema).mutation(({ctx, input}): Envelope | null => {
    const result = ctx.receive(input);
    if (result.kind === 'error') {
      throw new TRPCError({code: 'UNAUTHORIZED', message: result.error.message});
    }

    return result.value ?? null;
  }),
});

/** Type of the fleet router, used to type the tRPC client. */
export type FleetRouter = typeof fleetRouter;

/** Handles requests under `/trpc/`; returns false for other paths, which the caller must handle. */
export type FleetRequestHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

const createCaller = trpc.createCallerFactory(fleetRouter);

const DELIVER_PATH = `${TRPC_PATH}deliver`;

const isWithinSizeLimit = (request: IncomingMessage): boolean => {
  const length = Number(request.headers['content-length'] ?? Number.NaN);
  return length <= ENVELOPE_BYTES_MAX;
};

const readEnvelope = async (request: IncomingMessage): Promise<Envelope> => {
  if (request.url !== DELIVER_PATH) {
    request.resume();
    throw new TRPCError({code: 'NOT_FOUND', message: `there is no such procedure; use POST ${DELIVER_PATH}`});
  }

  if (request.method !== 'POST') {
    request.resume();
    throw new TRPCError({code: 'METHOD_NOT_SUPPORTED', message: `use POST ${DELIVER_PATH}`});
  }

  // Node ends a body at its declared content length, which the handler has already checked.
  const chunks = await request.toArray() as Buffer[];
  try {
    return JSON.parse(Buffer.concat(chunks).toString()) as Envelope;
  } catch (error) {
    throw new TRPCError({code: 'BAD_REQUEST', message: 'the body is not JSON', cause: error});
  }
};

const writeJson = (response: ServerResponse, status: number, content: unknown): void => {
  const body = JSON.stringify(content);
  response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}).end(body);
};

const errorBody = ({code, message}: TRPCError, httpStatus: number) => ({
  error: {message, code: TRPC_ERROR_CODES_BY_KEY[code], data: {code, httpStatus}},
});

/**
Creates a request handler that can be mounted on an HTTP server.

It calls the procedure directly and writes responses in the format of tRPC, because the standalone adapter
converts each request and response to `fetch` objects.
*/
export const createFleetRequestHandler = (receive: EnvelopeReceiver, onRejected: (reason: 'too-large' | 'malformed') => void): FleetRequestHandler => {
  const caller = createCaller({receive});

  const respond = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const envelope = await readEnvelope(request);
    writeJson(response, 200, {result: {data: await caller.deliver(envelope)}});
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    try {
      await respond(request, response);
    } catch (error) {
      if (request.destroyed && !request.complete) {
        return;
      }

      const trpcError = getTRPCErrorFromUnknown(error);
      if (trpcError.code !== 'UNAUTHORIZED') {
        onRejected('malformed');
      }

      const status = getHTTPStatusCodeFromError(trpcError);
      writeJson(response, status, errorBody(trpcError, status));
    }
  };

  return (request, response) => {
    if (!request.url?.startsWith(TRPC_PATH)) {
      return false;
    }

    if (request.method === 'POST' && !isWithinSizeLimit(request)) {
      onRejected('too-large');
      response.writeHead(413, {connection: 'close'}).end(`state a content length of at most ${ENVELOPE_BYTES_MAX} bytes`);
      return true;
    }

    void handleRequest(request, response);
    return true;
  };
};

/** Sends envelopes to other processes. */
export type EnvelopeSender = {
  /** Delivers an envelope and returns the envelope of the reply, if there is one; throws when no response arrives in time. */
  deliver: (address: string, envelope: Envelope, timeoutMs: number) => Promise<Envelope | undefined>;
  close: () => Promise<void>;
};

/** Request options that `httpLink` sets. */
type LinkRequest = {body: string; headers: Record<string, string>; signal: AbortSignal};

/** Creates a sender. A timeout closes the connection, so that the next message uses a new one. */
export const createEnvelopeSender = (): EnvelopeSender => {
  const dispatcher = new Agent({
    connections: 4,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    maxResponseSize: ENVELOPE_BYTES_MAX,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
  const clients = new Map<string, TRPCClient<FleetRouter>>();

  // `httpLink` uses only the `json` method of the response. Creating a full `fetch` response would cost more than the request itself.
  const createClient = (address: string): TRPCClient<FleetRouter> => {
    const origin = `http://${address}`;
    const sendRequest = async (_: unknown, init: unknown) => {
      const {body, headers, signal} = init as LinkRequest;
      const response = await dispatcher.request({
        origin, path: DELIVER_PATH, method: 'POST', body, headers, signal,
      });
      return {json: async () => response.body.json()};
    };

    return createTRPCClient<FleetRouter>({links: [httpLink({url: `${origin}${TRPC_PATH}`, fetch: sendRequest as never})]});
  };

  const clientFor = (address: string): TRPCClient<FleetRouter> => {
    const client = clients.get(address) ?? createClient(address);
    // A Map iterates in insertion order, so the first client is the least recently used one.
    clients.delete(address);
    clients.set(address, client);
    if (clients.size > CACHED_CLIENTS_MAX) {
      clients.delete(clients.keys().next().value!);
    }

    return client;
  };

  return {
    async deliver(address, envelope, timeoutMs) {
      const reply = await clientFor(address).deliver.mutate(envelope, {signal: AbortSignal.timeout(timeoutMs)});
      return reply === null ? undefined : envelopeSchema.parse(reply);
    },
    close: async () => dispatcher.destroy(),
  };
};
