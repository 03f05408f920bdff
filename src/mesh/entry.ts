/** HTTP listener for the callers of this host: the clients and the backend server itself. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {listenOn} from '../shared/address.js';
import {forwardRequest, type ForwardingOptions, type RequestOutcome} from './call-path.js';
import type {DecisionLog} from './decision-log.js';
import type {HttpDialect} from './protocol.js';
import type {RouteTable} from './route-table.js';
import type {ClientLimits, Route} from './routing-configuration.js';

/** The entry. */
export type CallerListener = {
  start: () => Promise<void>;
  /** The process stops: from now on connections close behind their last answer. */
  retire: () => void;
  /** New requests are refused. */
  refuse: () => void;
  /** Takes over the limits of a configuration for connections and headers. */
  setLimits: (limits: ClientLimits) => void;
  inFlight: () => number;
  close: () => void;
};

/** Options of the entry. */
export type CallerListenerOptions = ForwardingOptions & {
  address: string;
  dialect: HttpDialect;
  /** Name of the service on this host, stated to backend servers as the caller. */
  callerService: string;
  routes: () => RouteTable | undefined;
  log: DecisionLog;
  /** Bytes of bodies that the process holds at most. */
  heldBytesMax: number;
  /** A request for a route arrived. */
  onArrived: (route: string) => void;
  /** Observes the time of a finished request, in milliseconds. */
  onFinished: (route: Route, outcome: RequestOutcome['kind'], milliseconds: number) => void;
  /** A call from this host has failed; it may be one of its backend server, whose calls cannot be told from those of clients. */
  onCallFailed: (lacking: readonly string[]) => void;
};

/** Longest time for a request without a stated deadline and without a route's bound, in milliseconds. */
const DEADLINE_DEFAULT_MS = 30_000;
/** Time before the caller's deadline at which it gets the final answer, in milliseconds: the answer has to reach it. */
const DEADLINE_MARGIN_MS = 20;
const HEADER_MAX_BYTES = 64 * 1024;
/** Connections that may wait to be accepted: all clients of a host reconnect at the same moment. */
const BACKLOG = 1024;
const IDLE_DEFAULT_MS = 15_000;
/** Time to come back for a caller of a process that knows no configuration yet, in milliseconds. */
const RETRY_AFTER_STARTING_MS = 200;
/** Time to come back for a caller of a process that stops, in milliseconds; it is sent to another host meanwhile. */
const RETRY_AFTER_STOPPING_MS = 100;
const RETRY_AFTER_MEMORY_MS = 500;

const FIRST_SERVER_ERROR_STATUS = 500;
/** Difference of the stated time by which a request counts as sent again, in milliseconds. */
const CLIENT_RETRY_DEADLINE_GAP_MS = 10;

/** Services that lacked room for a failed call to `service` or for one below it. */
const overloadedServices = (outcome: RequestOutcome, service: string): readonly string[] => {
  switch (outcome.kind) {
    case 'answered': {
      return outcome.lackingBelow;
    }

    case 'not-run':
    case 'unknown': {
      return outcome.reason === 'no-room' || outcome.reason === 'deadline' ? [service] : [];
    }
  }
};

type ErrorResponse = {status: number; reason: string; retryAfterMs?: number};
type SocketState = {pendingRequests: number};
type RequestState = {bufferedBytes: number};

const headerBytes = (rawHeaders: readonly string[]): number => {
  let bytes = 0;
  for (const text of rawHeaders) {
    bytes += text.length + 2;
  }

  return bytes;
};

/** Creates the entry. */
export const createEntry = (options: CallerListenerOptions): CallerListener => {
  const {dialect, log, now} = options;
  const sockets = new Map<Socket, SocketState>();
  const longestDeadlineByRoute = new Map<string, number>();
  let totalBufferedBytes = 0;
  let inFlight = 0;
  let drainingConnections = false;
  let refusingRequests = false;

  /** A connection may close only behind the last request that was read from it. */
  const shouldCloseConnection = (request: IncomingMessage): boolean => drainingConnections && (sockets.get(request.socket)?.pendingRequests ?? 1) <= 1;

  const writeError = (request: IncomingMessage, response: ServerResponse, requestId: string | undefined, {status, reason, retryAfterMs}: ErrorResponse): void => {
    if (response.destroyed || response.headersSent) {
      return;
    }

    const body = Buffer.from(`${JSON.stringify({error: reason})}\n`);
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (requestId !== undefined) {
      headers.push(...dialect.requestIdHeaders(requestId));
    }

    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
    }

    if (shouldCloseConnection(request) || !request.complete) {
      headers.push('Connection', 'close');
    }

    log.count('refusals', reason);
    response.writeHead(status, headers);
    response.end(body);
  };

  const writeOutcome = (request: IncomingMessage, response: ServerResponse, requestId: string, outcome: RequestOutcome): void => {
    switch (outcome.kind) {
      case 'answered': {
        if (response.destroyed || response.headersSent) {
          return;
        }

        const headers = dialect.answerHeaders(outcome.rawHeaders);
        const isBodiless = request.method === 'HEAD' || outcome.status === 204 || outcome.status === 304;
        if (outcome.framed && !isBodiless) {
          headers.push('Content-Length', String(outcome.body.length));
        }

        // An answer whose end may be a cut must not look complete, so it ends with the connection here as well.
        response.useChunkedEncodingByDefault = outcome.framed;
        if (!outcome.framed || shouldCloseConnection(request)) {
          headers.push('Connection', 'close');
        }

        response.writeHead(outcome.status, headers);
        response.end(isBodiless ? undefined : outcome.body);
        return;
      }

      case 'not-run': {
        writeError(request, response, requestId, {status: 503, reason: outcome.reason, retryAfterMs: outcome.retryAfterMs});
        return;
      }

      case 'unknown': {
        writeError(request, response, requestId, {status: outcome.timedOut ? 504 : 502, reason: outcome.reason});
      }
    }
  };

  const readBody = async (request: IncomingMessage, state: RequestState, limit: number): Promise<Buffer | 'too-large' | 'memory-full' | 'gone'> =>
    new Promise(resolve => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
        totalBufferedBytes += chunk.length;
        state.bufferedBytes += chunk.length;
        if (bytes > limit) {
          resolve('too-large');
        } else if (totalBufferedBytes > options.heldBytesMax) {
          resolve('memory-full');
        } else {
          chunks.push(chunk);
        }
      });
      request.on('end', () => {
        resolve(Buffer.concat(chunks));
      });
      request.on('close', () => {
        resolve('gone');
      });
      request.on('error', () => {
        resolve('gone');
      });
    });

  const hasBody = (request: IncomingMessage): boolean =>
    request.headers['transfer-encoding'] !== undefined || (request.headers['content-length'] ?? '0') !== '0';

  const matchRoute = (request: IncomingMessage, table: RouteTable | undefined, requestId: string | undefined): Route | ErrorResponse => {
    if (table === undefined) {
      return {status: 503, reason: 'no-configuration', retryAfterMs: RETRY_AFTER_STARTING_MS};
    }

    if (refusingRequests) {
      return {status: 503, reason: 'stopping', retryAfterMs: RETRY_AFTER_STOPPING_MS};
    }

    if (headerBytes(request.rawHeaders) > table.configuration.limits.headerBytes) {
      return {status: 431, reason: 'headers-too-large'};
    }

    const route = table.findRoute(request.headers.host ?? '', request.url ?? '/');
    if (route === undefined) {
      return {status: 404, reason: 'no-route'};
    }

    return requestId === undefined ? {status: 400, reason: 'request-id-missing'} : route;
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse, state: RequestState): Promise<void> => {
    const arrivedAt = now();
    const table = options.routes();
    const {requestId, deadlineMs} = dialect.readCaller(request.headers);
    const matched = matchRoute(request, table, requestId);
    if ('status' in matched) {
      log.write('info', 'request-refused', {request: requestId, ...matched, version: table?.version});
      request.resume();
      writeError(request, response, requestId, matched);
      return;
    }

    const route = matched;
    options.onArrived(route.name);
    const statedDeadlineMs = deadlineMs ?? DEADLINE_DEFAULT_MS;
    const deadlineAt = arrivedAt + Math.max(0, Math.min(statedDeadlineMs - DEADLINE_MARGIN_MS, route.timeoutMs));
    const body = hasBody(request) ? await readBody(request, state, table!.configuration.limits.bodyBytes) : Buffer.alloc(0);
    if (body === 'gone') {
      return;
    }

    if (body === 'too-large') {
      writeError(request, response, requestId, {status: 413, reason: 'body-too-large'});
      return;
    }

    if (body === 'memory-full') {
      writeError(request, response, requestId, {status: 503, reason: 'memory-full', retryAfterMs: RETRY_AFTER_MEMORY_MS});
      return;
    }

    if (response.destroyed) {
      return;
    }

    const service = table!.pick(route);
    const requestHandle = forwardRequest(options, {
      requestId: requestId!,
      route,
      service,
      rank: table!.rankOf(service, route.priority),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: dialect.forwardedHeaders(request.rawHeaders, options.callerService),
      body,
      isClientRetry: detectClientRetry(route.name, statedDeadlineMs),
      configurationVersion: table!.version,
      arrivedAt,
      deadlineAt,
    }, outcome => {
      const milliseconds = now() - arrivedAt;
      const failed = outcome.kind !== 'answered' || outcome.status >= FIRST_SERVER_ERROR_STATUS;
      options.onFinished(route, outcome.kind, milliseconds);
      if (failed) {
        options.onCallFailed(overloadedServices(outcome, service));
      }

      writeOutcome(request, response, requestId!, outcome);
    });
    response.on('close', () => {
      if (!response.writableFinished) {
        log.write('debug', 'caller-gone', {request: requestId});
      }

      requestHandle.cancel();
    });
  };

  /** A client that sends a request again has less time left than one that sends it for the first time. */
  const detectClientRetry = (route: string, statedDeadlineMs: number): boolean => {
    const longestDeadlineMs = Math.max(longestDeadlineByRoute.get(route) ?? 0, statedDeadlineMs);
    longestDeadlineByRoute.set(route, longestDeadlineMs);
    return statedDeadlineMs < longestDeadlineMs - CLIENT_RETRY_DEADLINE_GAP_MS;
  };

  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    const socketState = sockets.get(request.socket) ?? {pendingRequests: 0};
    const state = {bufferedBytes: 0};
    sockets.set(request.socket, socketState);
    socketState.pendingRequests++;
    inFlight++;
    response.on('close', () => {
      socketState.pendingRequests--;
      inFlight--;
      totalBufferedBytes -= state.bufferedBytes;
    });
    void handleRequest(request, response, state);
  };

  const server = createServer({
    maxHeaderSize: HEADER_MAX_BYTES, keepAliveTimeout: IDLE_DEFAULT_MS, noDelay: true, requestTimeout: 0, connectionsCheckingInterval: 1000,
  }, onRequest);
  server.on('connection', (socket: Socket) => {
    sockets.set(socket, {pendingRequests: 0});
    socket.on('close', () => {
      sockets.delete(socket);
    });
  });

  return {
    start: async () => listenOn(server, options.address, BACKLOG),
    retire() {
      drainingConnections = true;
    },
    refuse() {
      refusingRequests = true;
    },
    setLimits({headerTimeoutMs, idleTimeoutMs}) {
      server.headersTimeout = headerTimeoutMs;
      server.keepAliveTimeout = idleTimeoutMs;
    },
    inFlight: () => inFlight,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
};
