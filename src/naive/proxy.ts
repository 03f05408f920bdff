/** Naive proxy, the baseline of measurements: round robin, a bounded queue and by default three retries at every hop, as commonly deployed. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {Agent, type Dispatcher} from 'undici';
import {ANNOUNCEMENT_PATH} from '../emulator/backend-server/announcement.js';
import {createSlotPool} from '../emulator/backend-server/slot-pool.js';
import {naiveSettingsSchema, type NaiveSettingsInput} from './settings.js';

/** Cumulative counters of a naive proxy. */
export type NaiveCounters = {requests: number; retries: number; queueFull: number; failed: number};

/** Handle on a naive proxy. */
export type NaiveProxy = {
  start: () => Promise<{entry: string; local: string}>;
  /** Stops listening, waits for requests in flight, and closes all connections. */
  stop: () => Promise<void>;
  counters: () => NaiveCounters;
};

/** Headers that belong to one connection, or that the HTTP client sets itself. */
const NON_FORWARDED_HEADERS: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'host', 'transfer-encoding', 'upgrade', 'expect']);

const selectForwardedHeaders = (headers: IncomingMessage['headers']) =>
  Object.fromEntries(Object.entries(headers).filter(([name, value]) => value !== undefined && !NON_FORWARDED_HEADERS.has(name)));

const respond = (response: ServerResponse, status: number, headers: Record<string, string> = {}) => {
  if (!response.headersSent && !response.destroyed) {
    response.writeHead(status, {'content-length': 0, ...headers}).end();
  }
};

const listen = async (server: ReturnType<typeof createServer>, address: string): Promise<string> => new Promise((resolve, reject) => {
  const [host, port] = address.split(':');
  server.once('error', reject);
  server.listen(Number(port), host, () => {
    resolve(`${host}:${(server.address() as AddressInfo).port}`);
  });
});

const close = async (server: ReturnType<typeof createServer>): Promise<void> => new Promise(resolve => {
  server.close(() => {
    resolve();
  });
  server.closeIdleConnections();
});

/** Client request as it is sent to backend servers. */
type ForwardedRequest = {
  method: string;
  path: string;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
  signal: AbortSignal;
};

/** Creates a naive proxy; it listens after `start`. */
export const createNaiveProxy = (options: NaiveSettingsInput): NaiveProxy => {
  const settings = naiveSettingsSchema.parse(options);
  const services = new Map(settings.services.map(service => [service.name, {...service, nextIndex: 0}]));
  const agent = new Agent({connections: settings.connectionsPerBackendServer, pipelining: 1});
  const slots = createSlotPool(settings.concurrency, settings.queueLength);
  const counters: NaiveCounters = {
    requests: 0, retries: 0, queueFull: 0, failed: 0,
  };

  const sendAttempt = async (forwardedRequest: ForwardedRequest, backendServer: string): Promise<Dispatcher.ResponseData | undefined> => {
    try {
      return await agent.request({
        origin: `http://${backendServer}`,
        method: forwardedRequest.method,
        path: forwardedRequest.path,
        headers: forwardedRequest.headers,
        body: forwardedRequest.body.length === 0 ? undefined : forwardedRequest.body,
        signal: AbortSignal.any([forwardedRequest.signal, AbortSignal.timeout(settings.attemptTimeoutMs)]),
      });
    } catch {
      return undefined;
    }
  };

  /** Retries every 5xx response and every failed attempt at the next backend server, up to the retry limit. */
  const sendWithRetries = async (forwardedRequest: ForwardedRequest, pickBackendServer: () => string): Promise<Dispatcher.ResponseData | undefined> => {
    let response = await sendAttempt(forwardedRequest, pickBackendServer());
    for (let retry = 0; retry < settings.retries && (response === undefined || response.statusCode >= 500) && !forwardedRequest.signal.aborted; retry++) {
      counters.retries++;
      await response?.body.dump(); // eslint-disable-line no-await-in-loop
      response = await sendAttempt(forwardedRequest, pickBackendServer()); // eslint-disable-line no-await-in-loop
    }

    return response;
  };

  const forwardAndRespond = async (forwardedRequest: ForwardedRequest, pickBackendServer: () => string, response: ServerResponse) => {
    const upstream = await sendWithRetries(forwardedRequest, pickBackendServer);
    if (upstream === undefined) {
      counters.failed++;
      respond(response, 502);
      return;
    }

    response.writeHead(upstream.statusCode, selectForwardedHeaders(upstream.headers));
    await pipeline(upstream.body, response);
  };

  const serveRequest = async (request: IncomingMessage, response: ServerResponse) => {
    counters.requests++;
    const [, name, rest] = /^\/([^/?]+)(.*)$/u.exec(request.url ?? '/') ?? [];
    const service = services.get(name ?? '');
    if (service === undefined) {
      respond(response, 404);
      return;
    }

    const clientClosed = new AbortController();
    response.once('close', () => {
      clientClosed.abort();
    });
    const body = Buffer.concat(await request.toArray() as Buffer[]);
    const acquired = await slots.acquire(clientClosed.signal);
    if (acquired.kind === 'full') {
      counters.queueFull++;
      respond(response, 503, {'retry-after': '1'});
    }

    if (acquired.kind !== 'granted') {
      return;
    }

    const pickBackendServer = () => service.backendServers[service.nextIndex++ % service.backendServers.length]!;
    try {
      await forwardAndRespond({
        method: request.method ?? 'GET', path: rest === '' ? '/' : rest!, headers: selectForwardedHeaders(request.headers), body, signal: clientClosed.signal,
      }, pickBackendServer, response);
    } finally {
      acquired.release();
    }
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
    if (request.url === ANNOUNCEMENT_PATH) {
      // Announcements are accepted and ignored, because the list of backend servers is static.
      request.resume();
      respond(response, 204);
      return;
    }

    try {
      await serveRequest(request, response);
    } catch {
      response.destroy();
    }
  };

  const createListener = () => createServer({keepAliveTimeout: 60_000}, (request, response) => {
    void handleRequest(request, response);
  });
  const entry = createListener();
  const local = createListener();
  return {
    start: async () => ({entry: await listen(entry, settings.entry), local: await listen(local, settings.local)}),
    async stop() {
      await Promise.all([close(entry), close(local)]);
      await agent.destroy();
    },
    counters: () => counters,
  };
};
