/** Baseline proxy: round robin, a queue of fixed length and three retries at every hop, as commonly deployed. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {Agent, type Dispatcher} from 'undici';
import {ANNOUNCEMENT_PATH} from '../emulator/backend-server/announcement.js';
import {createSlotPool} from '../emulator/backend-server/slot-pool.js';
import {naiveSettingsSchema, type NaiveSettingsInput} from './settings.js';

/** Counters of a baseline proxy. */
export type NaiveCounters = {requests: number; retries: number; queueFull: number; failed: number};

/** Baseline proxy. */
export type NaiveProxy = {
  start: () => Promise<{entry: string; local: string}>;
  /** Stops listening, lets requests in flight finish, and closes. */
  stop: () => Promise<void>;
  counters: () => NaiveCounters;
};

const CONNECTION_HEADERS: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'host', 'transfer-encoding', 'upgrade', 'expect']);

const forwarded = (headers: IncomingMessage['headers']) =>
  Object.fromEntries(Object.entries(headers).filter(([name, value]) => value !== undefined && !CONNECTION_HEADERS.has(name)));

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

/** Request on its way to a backend server. */
type Forward = {
  method: string;
  path: string;
  headers: Record<string, string | string[] | undefined>;
  body: Buffer;
  signal: AbortSignal;
};

/** Creates a baseline proxy; it does nothing before `start`. */
export const createNaiveProxy = (options: NaiveSettingsInput): NaiveProxy => {
  const settings = naiveSettingsSchema.parse(options);
  const services = new Map(settings.services.map(service => [service.name, {...service, next: 0}]));
  const agent = new Agent({connections: settings.connectionsPerBackendServer, pipelining: 1});
  const slots = createSlotPool(settings.concurrency, settings.queueLength);
  const counters: NaiveCounters = {
    requests: 0, retries: 0, queueFull: 0, failed: 0,
  };

  const attempt = async (forward: Forward, backendServer: string): Promise<Dispatcher.ResponseData | undefined> => {
    try {
      return await agent.request({
        origin: `http://${backendServer}`,
        method: forward.method,
        path: forward.path,
        headers: forward.headers,
        body: forward.body.length === 0 ? undefined : forward.body,
        signal: AbortSignal.any([forward.signal, AbortSignal.timeout(settings.attemptTimeoutMs)]),
      });
    } catch {
      return undefined;
    }
  };

  /** Tries one backend server after the other; every 5xx response and every failure is retried. */
  const tryAll = async (forward: Forward, pick: () => string): Promise<Dispatcher.ResponseData | undefined> => {
    let response = await attempt(forward, pick());
    for (let retry = 0; retry < settings.retries && (response === undefined || response.statusCode >= 500) && !forward.signal.aborted; retry++) {
      counters.retries++;
      await response?.body.dump(); // eslint-disable-line no-await-in-loop
      response = await attempt(forward, pick()); // eslint-disable-line no-await-in-loop
    }

    return response;
  };

  const forwardAndRespond = async (forward: Forward, pick: () => string, response: ServerResponse) => {
    const upstream = await tryAll(forward, pick);
    if (upstream === undefined) {
      counters.failed++;
      respond(response, 502);
      return;
    }

    response.writeHead(upstream.statusCode, forwarded(upstream.headers));
    await pipeline(upstream.body, response);
  };

  const serve = async (request: IncomingMessage, response: ServerResponse) => {
    counters.requests++;
    const [, name, rest] = /^\/([^/?]+)(.*)$/u.exec(request.url ?? '/') ?? [];
    const service = services.get(name ?? '');
    if (service === undefined) {
      respond(response, 404);
      return;
    }

    const gone = new AbortController();
    response.once('close', () => {
      gone.abort();
    });
    const body = Buffer.concat(await request.toArray() as Buffer[]);
    const grant = await slots.acquire(gone.signal);
    if (grant.kind === 'full') {
      counters.queueFull++;
      respond(response, 503, {'retry-after': '1'});
    }

    if (grant.kind !== 'granted') {
      return;
    }

    const pick = () => service.backendServers[service.next++ % service.backendServers.length]!;
    try {
      await forwardAndRespond({
        method: request.method ?? 'GET', path: rest === '' ? '/' : rest!, headers: forwarded(request.headers), body, signal: gone.signal,
      }, pick, response);
    } finally {
      grant.release();
    }
  };

  const handle = async (request: IncomingMessage, response: ServerResponse) => {
    if (request.url === ANNOUNCEMENT_PATH) {
      // The list of backend servers is static.
      request.resume();
      respond(response, 204);
      return;
    }

    try {
      await serve(request, response);
    } catch {
      response.destroy();
    }
  };

  const createListener = () => createServer({keepAliveTimeout: 60_000}, (request, response) => {
    void handle(request, response);
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
