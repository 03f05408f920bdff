/** Carries envelopes between processes: one tRPC procedure over HTTP. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createTRPCClient, httpLink} from '@trpc/client';
import {initTRPC, TRPCError} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {Agent, fetch} from 'undici';
import type {Result} from '../../shared/result.js';
import {CONNECT_TIMEOUT_MS, ENVELOPE_BYTES_MAX, IDLE_TIMEOUT_MS} from './constants.js';
import {envelopeSchema, type Envelope, type EnvelopeFault} from './envelope.js';

/** Path under which the procedures are served. */
export const TRPC_PATH = '/trpc/';

/** Handles a delivered envelope and returns the answer, if there is one. */
export type Receiver = (envelope: Envelope) => Result<Envelope | undefined, EnvelopeFault>;

// The development mode of tRPC would send stack traces to strangers.
const trpc = initTRPC.context<{receive: Receiver}>().create({isDev: false});

const router = trpc.router({
  deliver: trpc.procedure.input(envelopeSchema).mutation(({ctx, input}): Envelope | null => {
    const result = ctx.receive(input);
    if (result.kind === 'error') {
      throw new TRPCError({code: 'UNAUTHORIZED', message: result.error.message});
    }

    return result.value ?? null;
  }),
});

/** Router of the fleet; its client needs the type only. */
export type FleetRouter = typeof router;

/** Handles a request if it is for the fleet; false leaves it to the caller. */
export type FleetHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

const isWithinLimit = (request: IncomingMessage): boolean => {
  const length = Number(request.headers['content-length'] ?? Number.NaN);
  return length <= ENVELOPE_BYTES_MAX;
};

/** Creates a handler that can be mounted on an HTTP server. */
export const createHandler = (receive: Receiver, onRejected: (reason: 'too-large' | 'malformed') => void): FleetHandler => {
  const handle = createHTTPHandler({
    router,
    basePath: TRPC_PATH,
    maxBodySize: ENVELOPE_BYTES_MAX,
    createContext: () => ({receive}),
    onError({error}) {
      if (error.code !== 'UNAUTHORIZED') {
        onRejected(error.code === 'PAYLOAD_TOO_LARGE' ? 'too-large' : 'malformed');
      }
    },
  });
  return (request, response) => {
    if (!request.url?.startsWith(TRPC_PATH)) {
      return false;
    }

    if (request.method === 'POST' && !isWithinLimit(request)) {
      onRejected('too-large');
      response.writeHead(413, {connection: 'close'}).end(`state a content length of at most ${ENVELOPE_BYTES_MAX} bytes`);
      return true;
    }

    handle(request, response);
    return true;
  };
};

/** Sends envelopes to other processes. */
export type Sender = {
  /** Delivers an envelope and returns the answer; throws when none arrives in time. */
  deliver: (address: string, envelope: Envelope, timeoutMs: number) => Promise<Envelope | undefined>;
  close: () => Promise<void>;
};

/** Creates a sender. A message that times out closes its connection, so that the next one opens a new one. */
export const createSender = (): Sender => {
  const dispatcher = new Agent({
    connections: 4,
    pipelining: 1,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    maxResponseSize: ENVELOPE_BYTES_MAX,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
  const fetchWithin = async (url: string | URL | Request, init?: unknown) =>
    fetch(url as string, {...(init as Parameters<typeof fetch>[1]), dispatcher});
  return {
    async deliver(address, envelope, timeoutMs) {
      const client = createTRPCClient<FleetRouter>({
        links: [httpLink({url: `http://${address}${TRPC_PATH}`, fetch: fetchWithin as never})],
      });
      const answer = await client.deliver.mutate(envelope, {signal: AbortSignal.timeout(timeoutMs)});
      return answer === null ? undefined : envelopeSchema.parse(answer);
    },
    close: async () => dispatcher.destroy(),
  };
};
