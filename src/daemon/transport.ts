/** HTTP client for backend servers and other processes, with detection of silent connections. */
import {Buffer} from 'node:buffer';
import {PassThrough, pipeline, type Readable} from 'node:stream';
import {Pool, type Dispatcher} from 'undici';
import {isFinalStatus} from '../shared/http-status.js';
import {createStrictConnector} from '../shared/strict-connector.js';
import {type Headers, forwardedResponseHeaders} from './headers.js';
import {BUFFERED_REPLY_BYTES_MAX, type TransportResult, type RequestMessage} from './message.js';
import type {ReplayBody} from './replay-body.js';

/** Request to the address of a transport. */
export type TransportRequest = {
  message: RequestMessage;
  /** Headers besides those of the message. */
  headers: Headers;
  timeoutMs: number;
  /** Time without a heartbeat after which the connection may be silent; undefined when only `timeoutMs` applies. */
  silenceTimeoutMs: number | undefined;
  /** Cancels the request when the caller has gone. */
  signal: AbortSignal;
  /** Sends on a new connection instead of an open one. */
  newConnection: boolean;
};

/** HTTP client for one address. */
export type Transport = {
  /** Sends a request; never rejects. */
  send: (request: TransportRequest) => Promise<TransportResult>;
  /** Resolves when running exchanges have ended. */
  close: () => Promise<void>;
};

/** Options of a transport. */
export type TransportOptions = {
  /** `ip:port`. */
  address: string;
  /** Maximum number of connections. */
  connections: number;
};

/** Timeout for opening a connection, in milliseconds. It is short because both ends are within one deployment. */
const CONNECT_TIMEOUT_MS = 1000;
/** Idle time after which a connection is closed, in milliseconds. It is shorter than that of the server, so that no request is sent on a connection that the server is closing. */
const KEEP_ALIVE_TIMEOUT_MS = 4000;

/** Maximum delay of a silence check, in milliseconds. A timer that fires later shows that this process is slow itself, so silence proves nothing. */
const TIMER_DELAY_MAX_MS = 50;
/** Interval between new connections to a server that is silent on all connections, in milliseconds. */
const PROBE_INTERVAL_MS = 1000;
/** Minimum time between two replacements of the connection pool, in milliseconds. */
const POOL_REPLACEMENT_INTERVAL_MS = 1000;

const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

const errorCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

/** Why a request was aborted; `running` if it was not. */
type EndReason = 'running' | 'timed-out' | 'silent' | 'gone';

/** Aborts a request on its timeout, on a silent connection, or when the caller has gone. */
const createWatchdog = (request: TransportRequest, activity: ActivityTracker) => {
  const controller = new AbortController();
  let endReason: EndReason = 'running';
  let lastActivityAt = performance.now();
  let silenceTimer: NodeJS.Timeout | undefined;
  const abort = (reason: EndReason) => {
    endReason = reason;
    controller.abort();
  };

  const deadlineTimer = setTimeout(abort, Math.max(1, request.timeoutMs), 'timed-out' satisfies EndReason);
  const scheduleSilenceCheck = (silenceTimeoutMs: number, waitMs: number) => {
    const dueAt = performance.now() + waitMs;
    silenceTimer = setTimeout(() => {
      const now = performance.now();
      const remainingMs = silenceTimeoutMs - (now - lastActivityAt);
      if (remainingMs > 0) {
        scheduleSilenceCheck(silenceTimeoutMs, remainingMs);
      } else if (now - dueAt < TIMER_DELAY_MAX_MS && activity.isSilent(lastActivityAt)) {
        abort('silent');
      } else {
        scheduleSilenceCheck(silenceTimeoutMs, silenceTimeoutMs);
      }
    }, waitMs);
  };

  if (request.silenceTimeoutMs !== undefined) {
    scheduleSilenceCheck(request.silenceTimeoutMs, request.silenceTimeoutMs);
  }

  const onCallerGone = () => {
    abort('gone');
  };

  if (request.signal.aborted) {
    abort('gone');
  }

  request.signal.addEventListener('abort', onCallerGone, {once: true});
  return {
    signal: controller.signal,
    reason: () => endReason,
    onInformationalResponse() {
      lastActivityAt = performance.now();
      activity.record(lastActivityAt);
    },
    onResponseHead() {
      activity.record(performance.now());
      clearTimeout(silenceTimer);
    },
    stop() {
      clearTimeout(deadlineTimer);
      clearTimeout(silenceTimer);
      request.signal.removeEventListener('abort', onCallerGone);
    },
  };
};

/** Tracks when a server last sent something, on any of the connections to it. */
type ActivityTracker = {
  record: (at: number) => void;
  /** Whether a connection counts as silent that last received data at `lastReceivedAt`. */
  isSilent: (lastReceivedAt: number) => boolean;
};

/**
Creates the activity tracker of one server.

A connection is silent if the server has since sent data on another one. If it has sent data on none, it may also be
slow or down, so only one request per second moves to a new connection; if that one receives data, the others follow.
Without this limit, all connections to an overloaded process were replaced at once, which added to its load.
*/
const createActivityTracker = (): ActivityTracker => {
  let lastActivityAt = Number.NEGATIVE_INFINITY;
  let lastProbeAt = Number.NEGATIVE_INFINITY;
  return {
    record(at) {
      lastActivityAt = at;
    },
    isSilent(lastReceivedAt) {
      const now = performance.now();
      if (lastActivityAt > lastReceivedAt) {
        return true;
      }

      if (now - lastProbeAt < PROBE_INTERVAL_MS) {
        return false;
      }

      lastProbeAt = now;
      return true;
    },
  };
};

/** Statuses of responses without a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** Bytes that HTTP does not allow in a reason phrase. */
const CONTROL_CHARACTER = /[\u0000-\u0008\u000A-\u001F\u007F]/u; // eslint-disable-line no-control-regex

/** Whether HTTP allows a status line, as far as undici does not check it. */
const isSoundStatusLine = ({statusCode, statusText}: Dispatcher.ResponseData): boolean => isFinalStatus(statusCode) && !CONTROL_CHARACTER.test(statusText);

/** Whether a response ends with its connection. */
const endsWithConnection = ({method}: RequestMessage, {statusCode, headers}: Dispatcher.ResponseData): boolean =>
  method !== 'HEAD' && !BODILESS_STATUSES.has(statusCode) && headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;

/** Passes on a response that ends with its connection. If the connection ends before the request has been read, the server has broken off. */
const readToEnd = (body: Readable, request: ReplayBody): Readable => {
  const whole = new PassThrough({
    flush(callback) {
      callback(request.consumed() ? null : new Error('the connection of a response without a length ended before the request was sent'));
    },
  });
  // An error reaches the reader of the result.
  pipeline(body, whole, () => undefined);
  return whole;
};

const declaredLength = (headers: Headers): number | undefined => {
  const text = headers['content-length'];
  return typeof text === 'string' ? Number(text) : undefined;
};

/** Closes a pool after its running exchanges; a pool that is already closed is not an error. */
const closePool = async (pool: Pool): Promise<void> => {
  try {
    await pool.close();
  } catch {}
};

const requestHeaders = (request: TransportRequest): Headers => ({...request.message.headers, ...request.headers});

/** Creates a transport; it opens connections on demand, up to the maximum. */
export const createTransport = (options: TransportOptions): Transport => {
  const createPool = () => new Pool(`http://${options.address}`, {
    connections: options.connections,
    pipelining: 1,
    connect: createStrictConnector({timeoutMs: CONNECT_TIMEOUT_MS}),
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const activity = createActivityTracker();
  let pool = createPool();
  let replacedAt = Number.NEGATIVE_INFINITY;

  /** Replaces the connection pool; running exchanges finish on the connections of the previous one. */
  const replacePool = () => {
    if (performance.now() - replacedAt < POOL_REPLACEMENT_INTERVAL_MS) {
      return;
    }

    replacedAt = performance.now();
    const previousPool = pool;
    pool = createPool();
    void closePool(previousPool);
  };

  const sendOnce = async (request: TransportRequest, watchdog: ReturnType<typeof createWatchdog>): Promise<TransportResult> => {
    const {message} = request;
    const body = message.body.open();
    const response = await pool.request({
      path: message.path,
      method: message.method,
      headers: requestHeaders(request) as Record<string, string | string[]>,
      ...(body !== undefined && {body}),
      signal: watchdog.signal,
      onInfo: watchdog.onInformationalResponse,
    });
    watchdog.onResponseHead();
    if (!isSoundStatusLine(response)) {
      watchdog.stop();
      response.body.on('error', () => undefined).destroy();
      return {kind: 'lost'};
    }

    const headers = forwardedResponseHeaders(response.headers);
    const length = message.method === 'HEAD' ? 0 : declaredLength(headers);
    if (length !== undefined && length <= BUFFERED_REPLY_BYTES_MAX) {
      const bufferedBody = Buffer.from(await response.body.arrayBuffer());
      watchdog.stop();
      return {kind: 'replied', reply: {status: response.statusCode, headers, body: bufferedBody}};
    }

    response.body.once('close', watchdog.stop);
    return {
      kind: 'replied',
      reply: {
        status: response.statusCode,
        headers,
        body: endsWithConnection(message, response) ? readToEnd(response.body, message.body) : response.body,
      },
    };
  };

  return {
    async send(request) {
      if (request.newConnection) {
        replacePool();
      }

      const watchdog = createWatchdog(request, activity);
      try {
        return await sendOnce(request, watchdog);
      } catch (error) {
        watchdog.stop();
        const reason = watchdog.reason();
        if (reason === 'timed-out' || reason === 'silent') {
          return {kind: reason};
        }

        return {kind: NOT_CONNECTED_CODES.has(errorCode(error)) ? 'not-connected' : 'lost'};
      }
    },
    async close() {
      await closePool(pool);
    },
  };
};
