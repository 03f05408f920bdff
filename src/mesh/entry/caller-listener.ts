/** HTTP listener for the callers of this host: clients and the backend server itself. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {listenOn} from '../../shared/address.js';
import type {DecisionLog} from '../decision-log.js';
import {createErrorBoundary} from '../error-boundary.js';
import {createBodyMonitor} from '../client-limits/body-monitor.js';
import {createConnectionAccount} from '../client-limits/connection-account.js';
import {createConnectionReader} from '../client-limits/connection-reader.js';
import type {ConnectionLimits} from '../client-limits/limits.js';
import {headCost} from '../client-limits/request-head.js';
import type {ReleasedMemory} from '../released-memory/released-memory.js';
import {createTurnQueue} from '../turn-queue.js';
import {permitByDeadline} from '../rate-limits/permit-by-deadline.js';
import type {WorkspaceRateLimiter} from '../rate-limits/workspace-rate-limiter.js';
import {
  closeConnection, evictConnection, settleRequest, type CallerConnection, type CallerRequest,
} from './caller-connection.js';
import {forwardRequest, type ForwardingOptions} from './request-forwarder.js';
import type {RequestOutcome} from './forwarded-request.js';
import type {HttpDialect, WorkspaceHeader} from './http-dialect.js';
import {BODY_REFUSALS} from './body-refusals.js';
import {overloadedServices} from './overloaded-services.js';
import {hasBody, readBody} from './request-body.js';
import {matchRequest} from './request-matching.js';
import {createResponseWriter} from './response-writer.js';
import type {RouteTable} from './route-table.js';
import type {ClientLimits, Route} from './routing-configuration.js';

/** Accepts requests of the callers of this host and forwards them to backend servers. */
export type CallerListener = {
  start: () => Promise<void>;
  /** Closes each connection after its last pending response, because the process is stopping. */
  drainConnections: () => void;
  /** Refuses new requests from now on. */
  refuseRequests: () => void;
  /** Applies the connection and header timeouts of a configuration. */
  setLimits: (limits: ClientLimits) => void;
  /** Number of requests whose response has not ended. */
  inFlight: () => number;
  /** Memory that the connections of callers hold, with reads that are not parsed yet, in bytes. */
  heldBytes: () => number;
  /** Closes the listener and all connections. */
  close: () => void;
};

/** Options of the listener. */
export type CallerListenerOptions = ForwardingOptions & {
  address: string;
  dialect: HttpDialect;
  /** Service of this host, named as the caller in forwarded requests. */
  callerService: string;
  /** Current route table; undefined until a configuration is known. */
  routeTable: () => RouteTable | undefined;
  log: DecisionLog;
  /** Memory that the connections of callers hold at most, in bytes. */
  heldBytesMax: number;
  /** Limits for the connections of callers. */
  clientLimits: ConnectionLimits;
  rateLimits: Pick<WorkspaceRateLimiter, 'acquire'>;
  releasedMemory: Pick<ReleasedMemory, 'mayRead'>;
  /** Called when a request for a route arrives. */
  onArrived: (route: string) => void;
  /** Called with the outcome of each request and its duration in milliseconds. */
  onFinished: (route: Route, outcome: RequestOutcome['kind'], milliseconds: number, workspace: WorkspaceHeader) => void;
  /** Called when a request with a route is refused before it is forwarded. */
  onRefused: (workspace: WorkspaceHeader) => void;
  /** Called with the overloaded services when a request fails. It may be a call of the backend server, which cannot be distinguished from a client's request. */
  onCallFailed: (overloadedServices: readonly string[]) => void;
};

/** Deadline of a request that states none, in milliseconds; the route's timeout applies as well. */
const DEADLINE_DEFAULT_MS = 30_000;
/** How long before the caller's deadline a request ends, in milliseconds: the response still has to reach the caller. */
const DEADLINE_MARGIN_MS = 20;
const HEADER_MAX_BYTES = 64 * 1024;
/** Length of the accept queue: all clients of a host may reconnect at the same moment. */
const ACCEPT_BACKLOG = 1024;
const IDLE_TIMEOUT_DEFAULT_MS = 15_000;
/** `Retry-After` when no permit arrived by the deadline, in milliseconds. */
const RETRY_AFTER_PERMIT_MS = 50;
/** Largest share of the memory for connections that one response counts for, so that it is sent however long it is. */
const RESPONSE_SHARE_MAX = 0.5;
/** Interval at which bodies and unread responses are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

const FIRST_SERVER_ERROR_STATUS = 500;
/** Gap to the longest deadline of the route above which a request counts as a client retry, in milliseconds. */
const CLIENT_RETRY_DEADLINE_GAP_MS = 10;

/** Creates a listener; it accepts connections after `start`. */
export const createCallerListener = (options: CallerListenerOptions): CallerListener => {
  const {dialect, log, now} = options;
  const boundary = createErrorBoundary(log, 'request');
  const sockets = new Map<Socket, CallerConnection>();
  const longestDeadlineByRoute = new Map<string, number>();
  const account = createConnectionAccount({heldBytesMax: options.heldBytesMax, limits: options.clientLimits, log});
  let idleTimeoutMs = IDLE_TIMEOUT_DEFAULT_MS;
  const bodyMonitor = createBodyMonitor({now, progressMs: () => options.clientLimits.bodyProgressMs ?? idleTimeoutMs});
  const readQueue = createTurnQueue();
  let inFlight = 0;
  let drainingConnections = false;
  let refusingRequests = false;

  /** While draining, a connection closes with the response to the last request that was read from it. */
  const shouldCloseConnection = (request: IncomingMessage): boolean => drainingConnections && (sockets.get(request.socket)?.pending.size ?? 1) <= 1;

  const {writeError, writeOutcome} = createResponseWriter({dialect, log, shouldCloseConnection});

  /** Ends a request after an unexpected error. Whether it has run is unknown here, so the response promises nothing. */
  const abandon = (request: IncomingMessage, response: ServerResponse, requestId: string | undefined): void => {
    if (response.headersSent) {
      response.destroy();
      return;
    }

    boundary.run(requestId, () => {
      response.statusMessage = '';
      writeError(request, response, requestId, {status: 502, reason: 'internal-error'});
    }, () => {
      response.destroy();
    });
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse, state: CallerRequest, socketState: CallerConnection): Promise<void> => {
    const arrivedAt = now();
    const table = options.routeTable();
    const metadata = dialect.readRequest(request.headers);
    const {requestId, deadlineMs} = metadata;
    const matched = matchRequest(request, metadata, {table, isStopping: refusingRequests, headerLinesMax: options.clientLimits.headerLines});
    if ('status' in matched) {
      log.write('info', 'request-refused', {request: requestId, ...matched, version: table?.version});
      request.resume();
      writeError(request, response, requestId, matched);
      return;
    }

    const {route, workspace} = matched;
    const workspaceHeader = table!.workspaces.headerOf(workspace);
    options.onArrived(route.name);
    const statedDeadlineMs = deadlineMs ?? DEADLINE_DEFAULT_MS;
    const deadlineAt = arrivedAt + Math.max(0, Math.min(statedDeadlineMs - DEADLINE_MARGIN_MS, route.timeoutMs));
    const body = hasBody(request)
      ? await readBody({
        request,
        reservation: state.reservation,
        lengthMax: table!.configuration.limits.bodyBytes,
        monitor: bodyMonitor,
        deadlineAt,
        onBegun(refuse) {
          state.refuseBody = refuse;
        },
      })
      : Buffer.alloc(0);
    state.refuseBody = undefined;
    if (body === 'aborted') {
      return;
    }

    if (typeof body === 'string') {
      const refusal = BODY_REFUSALS[body];
      options.onRefused(workspaceHeader);
      log.write('info', 'request-refused', {request: requestId, ...refusal});
      writeError(request, response, requestId, refusal);
      return;
    }

    if (state.settled) {
      return;
    }

    state.isForwarding = true;
    socketState.awaitingResponse++;
    const acquired = workspace === undefined ? undefined : options.rateLimits.acquire(workspace);
    const permit = acquired instanceof Promise ? await permitByDeadline(acquired, deadlineAt - now()) : acquired;
    if (permit === 'late') {
      options.onRefused(workspaceHeader);
      writeError(request, response, requestId, {status: 503, reason: 'deadline', retryAfterMs: RETRY_AFTER_PERMIT_MS});
      return;
    }

    if (permit?.kind === 'limited') {
      options.onRefused(workspaceHeader);
      writeError(request, response, requestId, {status: 429, reason: 'workspace-rate-limit', retryAfterMs: permit.retryAfterMs});
      return;
    }

    if (state.settled) {
      permit?.giveBack();
      return;
    }

    const service = table!.selectService(route);
    const requestHandle = forwardRequest(options, {
      requestId: requestId!,
      route,
      service,
      workspace,
      priority: table!.priorities.of(workspace, route.priority),
      rank: table!.rankOf(service, route.priority),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: dialect.forwardedRequestHeaders(request.rawHeaders, {callerService: options.callerService, workspace: workspaceHeader}),
      body,
      isClientRetry: detectClientRetry(route.name, statedDeadlineMs),
      configurationVersion: table!.version,
      arrivedAt,
      deadlineAt,
    }, outcome => {
      boundary.run(requestId, () => {
        const milliseconds = now() - arrivedAt;
        if (outcome.kind === 'not-run') {
          permit?.giveBack();
        }

        const failed = outcome.kind !== 'answered' || outcome.status >= FIRST_SERVER_ERROR_STATUS;
        options.onFinished(route, outcome.kind, milliseconds, workspaceHeader);
        if (failed) {
          options.onCallFailed(overloadedServices(outcome, service));
        }

        if (outcome.kind === 'answered' && !state.reservation.add(Math.min(outcome.body.length, options.heldBytesMax * RESPONSE_SHARE_MAX))) {
          return;
        }

        writeOutcome(request, response, requestId!, outcome);
      }, () => {
        abandon(request, response, requestId);
      });
    });
    state.cancel = () => {
      if (!response.writableFinished) {
        log.write('debug', 'caller-gone', {request: requestId});
      }

      if (requestHandle.cancel()) {
        permit?.giveBack();
      }
    };
  };

  const serve = async (request: IncomingMessage, response: ServerResponse, state: CallerRequest, socketState: CallerConnection): Promise<void> => {
    try {
      await handleRequest(request, response, state, socketState);
    } catch (error) {
      const {requestId} = dialect.readRequest(request.headers);
      boundary.report(requestId, error);
      abandon(request, response, requestId);
    }
  };

  /** A client that retries a request has less time left than with its first attempt, so it states a shorter deadline. */
  const detectClientRetry = (route: string, statedDeadlineMs: number): boolean => {
    const longestDeadlineMs = Math.max(longestDeadlineByRoute.get(route) ?? 0, statedDeadlineMs);
    longestDeadlineByRoute.set(route, longestDeadlineMs);
    return statedDeadlineMs < longestDeadlineMs - CLIENT_RETRY_DEADLINE_GAP_MS;
  };

  const settle = (connection: CallerConnection, request: CallerRequest): void => {
    if (settleRequest(connection, request)) {
      inFlight--;
    }
  };

  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    const socketState = sockets.get(request.socket);
    if (socketState === undefined) {
      // The connection has been closed while its requests were being parsed.
      return;
    }

    const state: CallerRequest = {
      response, reservation: socketState.part.reserve(), cancel: undefined, refuseBody: undefined, isForwarding: false, settled: false,
    };
    if (!state.reservation.add(headCost(request))) {
      return;
    }

    socketState.pending.add(state);
    inFlight++;
    response.on('close', () => {
      settle(socketState, state);
      socketState.isAnswered = true;
      socketState.reader?.wake();
    });
    void serve(request, response, state, socketState);
  };

  const server = createServer({
    maxHeaderSize: HEADER_MAX_BYTES, keepAliveTimeout: IDLE_TIMEOUT_DEFAULT_MS, noDelay: true, requestTimeout: 0, connectionsCheckingInterval: 1000,
  }, onRequest);
  // Node drops further lines without an error; one more than the limit is kept, so that such a request is refused.
  server.maxHeadersCount = options.clientLimits.headerLines + 1;
  server.on('timeout', (socket: Socket) => {
    // A pending response whose client reads is waited for.
    const isUnread = socket.writableLength > 0;
    const pending = sockets.get(socket)?.pending ?? new Set();
    if (isUnread) {
      log.count('connections_closed', 'response-unread');
    }

    if (isUnread || pending.size === 0) {
      closeConnection(socket, {pending});
    }
  });

  server.on('connection', (socket: Socket) => {
    const socketState: CallerConnection = {
      pending: new Set(),
      part: account.open({
        isForwarding: () => socketState.awaitingResponse > 0,
        isAnswered: () => socketState.isAnswered,
        evict() {
          evictConnection(socket, socketState);
        },
      }),
      reader: undefined,
      awaitingResponse: 0,
      isAnswered: false,
    };
    sockets.set(socket, socketState);
    const {pipelinedRequests, connectionBytes} = options.clientLimits;
    socketState.reader = createConnectionReader({
      socket,
      readQueue,
      releasedMemory: options.releasedMemory,
      isBlocked: () => socketState.awaitingResponse > 0 && (socketState.pending.size >= pipelinedRequests || socketState.part.heldBytes() >= connectionBytes),
      onError(error) {
        boundary.report(undefined, error);
        socket.destroy();
      },
    });
    socket.on('close', () => {
      sockets.delete(socket);
      socketState.part.close();
      // Responses that wait behind another one on their connection emit no event when it closes.
      for (const state of socketState.pending) {
        settle(socketState, state);
      }
    });
  });

  const checkTimer = setInterval(() => {
    bodyMonitor.tick();
    for (const socket of sockets.keys()) {
      if (socket.writableLength > 0 && socket.timeout !== idleTimeoutMs) {
        socket.setTimeout(idleTimeoutMs);
      }
    }
  }, CHECK_INTERVAL_MS);

  return {
    start: async () => listenOn(server, options.address, ACCEPT_BACKLOG),
    drainConnections() {
      drainingConnections = true;
    },
    refuseRequests() {
      refusingRequests = true;
    },
    setLimits(limits) {
      idleTimeoutMs = limits.idleTimeoutMs;
      server.headersTimeout = limits.headerTimeoutMs;
      server.keepAliveTimeout = limits.idleTimeoutMs;
    },
    inFlight: () => inFlight,
    heldBytes() {
      let bytes = account.heldBytes();
      for (const {reader} of sockets.values()) {
        bytes += reader!.unparsedBytes();
      }

      return bytes;
    },
    close() {
      clearInterval(checkTimer);
      // `server.close` closes connections whose response has been ended but not sent, so the reset comes first.
      for (const [socket, socketState] of sockets) {
        closeConnection(socket, socketState);
      }

      server.close();
      server.closeAllConnections();
    },
  };
};
