/** HTTP exchanges with backend servers and other processes, with an end to each connection that goes silent. */
import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {type Headers, forwardedResponseHeaders} from './headers.js';
import {BUFFERED_REPLY_BYTES_MAX, type TransportResult, type RequestMessage} from './message.js';

/** Exchange with one address. */
export type TransportRequest = {
  message: RequestMessage;
  /** Headers besides those of the message. */
  headers: Headers;
  timeoutMs: number;
  /** Time without any sign of life after which the connection counts as silent; undefined when only the timeout counts. */
  silenceTimeoutMs: number | undefined;
  /** Cancels the exchange when the caller has gone. */
  signal: AbortSignal;
  /** Keep whole replies of any declared size up to `BUFFERED_REPLY_BYTES`. */
  newConnection: boolean;
};

/** HTTP client for one address. */
export type Transport = {
  send: (request: TransportRequest) => Promise<TransportResult>;
  close: () => Promise<void>;
};

/** Options of a transport. */
export type TransportOptions = {
  /** `ip:port`. */
  address: string;
  connections: number;
};

/** Time to open a connection, in milliseconds; both ends are within one deployment. */
const CONNECT_TIMEOUT_MS = 1000;
/** Idle connections are closed before the other end closes them, which avoids sending on a closing connection. In milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 4000;

/** A timer that fires this late shows that this process itself is slow; silence proves nothing then. In milliseconds. */
const TIMER_DELAY_MAX_MS = 50;
/** Time between new connections that are tried to an end that was not heard at all, in milliseconds. */
const PROBE_INTERVAL_MS = 1000;
/** Time in which idle connections are not replaced a second time, in milliseconds. */
const POOL_REPLACEMENT_INTERVAL_MS = 1000;

const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

const errorCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

type EndReason = 'running' | 'timed-out' | 'silent' | 'gone';

/** Watches an exchange: one timer for the deadline and one for silence. */
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

/** What the other end was heard to do, over all connections to it. */
type ActivityTracker = {
  record: (at: number) => void;
  /** Whether an exchange that last heard something at a time is on a silent connection. */
  isSilent: (lastHeardAt: number) => boolean;
};

/**
Creates the signs of life of one other end.

A connection is silent when the other end was heard on another one meanwhile. When nothing was heard at all, the
other end may be slow or gone as well, so only one exchange a second tries a new connection; if that is heard, the
others follow. Without this an overloaded process had all its connections replaced at once, which added to its load.
*/
const createActivityTracker = (): ActivityTracker => {
  let lastActivityAt = Number.NEGATIVE_INFINITY;
  let lastProbeAt = Number.NEGATIVE_INFINITY;
  return {
    record(at) {
      lastActivityAt = at;
    },
    isSilent(lastHeardAt) {
      const now = performance.now();
      if (lastActivityAt > lastHeardAt) {
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

const declaredLength = (headers: Headers): number | undefined => {
  const text = headers['content-length'];
  return typeof text === 'string' ? Number(text) : undefined;
};

/** Waits for running exchanges; a pool that is already closed is not an error here. */
const closePool = async (pool: Pool): Promise<void> => {
  try {
    await pool.close();
  } catch {}
};

const requestHeaders = (request: TransportRequest): Headers => ({...request.message.headers, ...request.headers});

/** Creates a transport; connections open as they are needed, up to the bound. */
export const createTransport = (options: TransportOptions): Transport => {
  const createPool = () => new Pool(`http://${options.address}`, {
    connections: options.connections,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const activity = createActivityTracker();
  let pool = createPool();
  let replacedAt = Number.NEGATIVE_INFINITY;

  /** Leaves all open connections to their running exchanges and starts with new ones. */
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
    const headers = forwardedResponseHeaders(response.headers);
    const length = message.method === 'HEAD' ? 0 : declaredLength(headers);
    if (length !== undefined && length <= BUFFERED_REPLY_BYTES_MAX) {
      const bufferedBody = Buffer.from(await response.body.arrayBuffer());
      watchdog.stop();
      return {kind: 'replied', reply: {status: response.statusCode, headers, body: bufferedBody}};
    }

    response.body.once('close', watchdog.stop);
    return {kind: 'replied', reply: {status: response.statusCode, headers, body: response.body}};
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
