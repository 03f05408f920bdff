/** HTTP exchanges with backend servers and other processes, with an end to each connection that goes silent. */
import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {type Headers, forwardedResponseHeaders} from './headers.js';
import {BUFFERED_REPLY_BYTES, type Attempt, type Message} from './message.js';

/** Exchange with one address. */
export type Exchange = {
  message: Message;
  /** Headers besides those of the message. */
  headers: Headers;
  timeoutMs: number;
  /** Time without any sign of life after which the connection counts as silent; undefined when only the timeout counts. */
  silenceMs: number | undefined;
  /** Cancels the exchange when the caller has gone. */
  signal: AbortSignal;
  /** Keep whole replies of any declared size up to `BUFFERED_REPLY_BYTES`. */
  newConnection: boolean;
};

/** HTTP client for one address. */
export type Transport = {
  send: (exchange: Exchange) => Promise<Attempt>;
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
const KEEP_ALIVE_MS = 4000;

/** A timer that fires this late shows that this process itself is slow; silence proves nothing then. In milliseconds. */
const LATE_TIMER_MS = 50;
/** Time between new connections that are tried to an end that was not heard at all, in milliseconds. */
const TRY_INTERVAL_MS = 1000;
/** Time in which idle connections are not replaced a second time, in milliseconds. */
const RENEW_INTERVAL_MS = 1000;

const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EHOSTDOWN', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

const errorCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

type EndCause = 'running' | 'timed-out' | 'silent' | 'gone';

/** Watches an exchange: one timer for the deadline and one for silence. */
const createWatchdog = (exchange: Exchange, signs: SignsOfLife) => {
  const controller = new AbortController();
  let cause: EndCause = 'running';
  let heardAt = performance.now();
  let silence: NodeJS.Timeout | undefined;
  const end = (reason: EndCause) => {
    cause = reason;
    controller.abort();
  };

  const deadline = setTimeout(end, Math.max(1, exchange.timeoutMs), 'timed-out' satisfies EndCause);
  const watchSilence = (silenceMs: number, waitMs: number) => {
    const dueAt = performance.now() + waitMs;
    silence = setTimeout(() => {
      const now = performance.now();
      const leftMs = silenceMs - (now - heardAt);
      if (leftMs > 0) {
        watchSilence(silenceMs, leftMs);
      } else if (now - dueAt < LATE_TIMER_MS && signs.isSilent(heardAt)) {
        end('silent');
      } else {
        watchSilence(silenceMs, silenceMs);
      }
    }, waitMs);
  };

  if (exchange.silenceMs !== undefined) {
    watchSilence(exchange.silenceMs, exchange.silenceMs);
  }

  const onGone = () => {
    end('gone');
  };

  if (exchange.signal.aborted) {
    end('gone');
  }

  exchange.signal.addEventListener('abort', onGone, {once: true});
  return {
    signal: controller.signal,
    cause: () => cause,
    onSignOfLife() {
      heardAt = performance.now();
      signs.note(heardAt);
    },
    onHead() {
      signs.note(performance.now());
      clearTimeout(silence);
    },
    stop() {
      clearTimeout(deadline);
      clearTimeout(silence);
      exchange.signal.removeEventListener('abort', onGone);
    },
  };
};

/** What the other end was heard to do, over all connections to it. */
type SignsOfLife = {
  note: (at: number) => void;
  /** Whether an exchange that last heard something at a time is on a silent connection. */
  isSilent: (heardAt: number) => boolean;
};

/**
Creates the signs of life of one other end.

A connection is silent when the other end was heard on another one meanwhile. When nothing was heard at all, the
other end may be slow or gone as well, so only one exchange a second tries a new connection; if that is heard, the
others follow. Without this an overloaded process had all its connections replaced at once, which added to its load.
*/
const createSignsOfLife = (): SignsOfLife => {
  let lastAt = Number.NEGATIVE_INFINITY;
  let triedAt = Number.NEGATIVE_INFINITY;
  return {
    note(at) {
      lastAt = at;
    },
    isSilent(heardAt) {
      const now = performance.now();
      if (lastAt > heardAt) {
        return true;
      }

      if (now - triedAt < TRY_INTERVAL_MS) {
        return false;
      }

      triedAt = now;
      return true;
    },
  };
};

const declaredLength = (headers: Headers): number | undefined => {
  const text = headers['content-length'];
  return typeof text === 'string' ? Number(text) : undefined;
};

/** Waits for running exchanges; a pool that is already closed is not an error here. */
const closeQuietly = async (pool: Pool): Promise<void> => {
  try {
    await pool.close();
  } catch {}
};

const requestHeaders = (exchange: Exchange): Headers => ({...exchange.message.headers, ...exchange.headers});

/** Creates a transport; connections open as they are needed, up to the bound. */
export const createTransport = (options: TransportOptions): Transport => {
  const createPool = () => new Pool(`http://${options.address}`, {
    connections: options.connections,
    pipelining: 1,
    connect: {timeout: CONNECT_TIMEOUT_MS},
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const signs = createSignsOfLife();
  let pool = createPool();
  let renewedAt = Number.NEGATIVE_INFINITY;

  /** Leaves all open connections to their running exchanges and starts with new ones. */
  const renew = () => {
    if (performance.now() - renewedAt < RENEW_INTERVAL_MS) {
      return;
    }

    renewedAt = performance.now();
    const old = pool;
    pool = createPool();
    void closeQuietly(old);
  };

  const exchangeOnce = async (exchange: Exchange, watchdog: ReturnType<typeof createWatchdog>): Promise<Attempt> => {
    const {message} = exchange;
    const body = message.body.open();
    const response = await pool.request({
      path: message.path,
      method: message.method,
      headers: requestHeaders(exchange) as Record<string, string | string[]>,
      ...(body !== undefined && {body}),
      signal: watchdog.signal,
      onInfo: watchdog.onSignOfLife,
    });
    watchdog.onHead();
    const headers = forwardedResponseHeaders(response.headers);
    const length = message.method === 'HEAD' ? 0 : declaredLength(headers);
    if (length !== undefined && length <= BUFFERED_REPLY_BYTES) {
      const whole = Buffer.from(await response.body.arrayBuffer());
      watchdog.stop();
      return {kind: 'replied', reply: {status: response.statusCode, headers, body: whole}};
    }

    response.body.once('close', watchdog.stop);
    return {kind: 'replied', reply: {status: response.statusCode, headers, body: response.body}};
  };

  return {
    async send(exchange) {
      if (exchange.newConnection) {
        renew();
      }

      const watchdog = createWatchdog(exchange, signs);
      try {
        return await exchangeOnce(exchange, watchdog);
      } catch (error) {
        watchdog.stop();
        const cause = watchdog.cause();
        if (cause === 'timed-out' || cause === 'silent') {
          return {kind: cause};
        }

        return {kind: NOT_CONNECTED_CODES.has(errorCode(error)) ? 'not-connected' : 'lost'};
      }
    },
    async close() {
      await closeQuietly(pool);
    },
  };
};
