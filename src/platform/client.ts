/** HTTP client of the platform's object API: versioned objects, conditional writes and watches. */
import {Client, Pool} from 'undici';
import {z} from 'zod';
import type {Random} from '../shared/random.js';
import {fail, ok, type Result} from '../shared/result.js';
import {createStrictConnector} from '../shared/strict-connector.js';
import {
  createRateLimiter, recordResponse, recordFailure, returnToken, reserveToken, type RateLimiterOptions,
} from './rate-limiter.js';
import {createTimers, type Timers} from './timers.js';
import {platformObjectSchema, startWatch, type OpenStream} from './watch.js';

/** Object as stored on the platform. */
export type PlatformObject = {
  kind: string;
  name: string;
  /** Grows with each write of any object; equal versions mean equal content. */
  version: number;
  value: unknown;
};

/** Reason why a call to the platform failed. */
export type PlatformError =
  | {kind: 'unreachable'; message: string}
  | {kind: 'timed-out'; message: string}
  | {kind: 'conflict'; message: string; current: PlatformObject | undefined}
  | {kind: 'not-found'; message: string}
  | {kind: 'too-large'; message: string}
  | {kind: 'rejected'; message: string};

/** Conditional write of an object. */
export type PlatformWrite = {
  kind: string;
  name: string;
  value: unknown;
  /** Version that the write replaces; undefined creates the object. */
  expectedVersion: number | undefined;
};

/** Event of a watch. */
export type WatchEvent =
  | {kind: 'changed'; object: PlatformObject}
  | {kind: 'deleted'; objectKind: string; name: string; version: number}
  /**
  The watch ended or went silent and could not be resumed, or the platform no longer keeps the requested version.
  No more events follow. The caller must read the current state and open a new watch.
  */
  | {kind: 'broken'; message: string};

/** Client of the platform. */
export type PlatformClient = {
  read: (kind: string, name: string) => Promise<Result<PlatformObject, PlatformError>>;
  list: (kind: string) => Promise<Result<PlatformObject[], PlatformError>>;
  /** After `unreachable` and `timed-out` the outcome is unknown: read the object and compare its `writeId`. */
  write: (write: PlatformWrite) => Promise<Result<PlatformObject, PlatformError>>;
  /** Reports changes to the objects of a kind after a version, until the watch is closed or broken. */
  watch: (kind: string, afterVersion: number, onEvent: (event: WatchEvent) => void) => {close: () => void};
  close: () => Promise<void>;
};

/** Options of a platform client. */
export type PlatformClientOptions = {
  /** Address of the platform, `ip:port` or a URL. */
  address: string;
  /** Timeout of a call, including its wait for the rate limiter, in milliseconds. @default 3000 */
  timeoutMs?: number;
  /** Time without data after which a watch is considered silent, in milliseconds. @default 3500 */
  silenceTimeoutMs?: number;
  /** Calls that may wait for the rate limiter at the same time; further ones fail without being sent. @default 100 */
  waitingCallsMax?: number;
  /** Options of the rate limiter. */
  rateLimit?: RateLimiterOptions;
  /** Clock and timers. @default those of the operating system */
  timers?: Timers;
  /** Random number generator for jitter. @default Math.random */
  random?: Random;
};

const DEFAULT_TIMEOUT_MS = 3000;
// The platform sends a bookmark every second, so a watch is considered silent after three missed ones.
const DEFAULT_SILENCE_TIMEOUT_MS = 3500;
const DEFAULT_WAITING_CALLS_MAX = 100;
const STATUS_SERVER_ERROR_MIN = 500;
const STATUS_TOO_MANY_REQUESTS = 429;

type PlatformResponse = {status: number; body: unknown};

type PlatformRequest = {method: 'GET' | 'PUT'; path: string; headers?: Record<string, string>; body?: string};

const objectListSchema = z.object({objects: z.array(platformObjectSchema)});
const conflictSchema = z.object({current: platformObjectSchema.nullable().optional()});
const errorMessageSchema = z.object({message: z.string()});

const errorMessageOf = (response: PlatformResponse): string => {
  const parsed = errorMessageSchema.safeParse(response.body);
  return parsed.success ? parsed.data.message : `the platform answered with status ${response.status}`;
};

const toPlatformObject = ({kind, name, version, value}: z.infer<typeof platformObjectSchema>): PlatformObject => ({
  kind, name, version, value,
});

/** Converts a response without the expected content into an error. */
const toPlatformError = (response: PlatformResponse): PlatformError => {
  const message = errorMessageOf(response);
  switch (response.status) {
    case 404: {
      return {kind: 'not-found', message};
    }

    case 409:
    case 412: {
      const parsed = conflictSchema.safeParse(response.body);
      const current = parsed.success && parsed.data.current ? toPlatformObject(parsed.data.current) : undefined;
      return {kind: 'conflict', message, current};
    }

    case 413: {
      return {kind: 'too-large', message};
    }

    case 200: {
      // The response may have been cut, so the outcome is unknown.
      return {kind: 'unreachable', message: 'the platform answered with content that cannot be read; check the platform address, and read the object before writing it again'};
    }

    default: {
      // An intermediary can return 5xx after the platform has applied the write, so the outcome is unknown.
      return response.status >= STATUS_SERVER_ERROR_MIN ? {kind: 'unreachable', message} : {kind: 'rejected', message};
    }
  }
};

const parseObject = (response: PlatformResponse): Result<PlatformObject, PlatformError> => {
  const parsed = platformObjectSchema.safeParse(response.body);
  return response.status === 200 && parsed.success ? ok(toPlatformObject(parsed.data)) : fail(toPlatformError(response));
};

const parseObjects = (response: PlatformResponse): Result<PlatformObject[], PlatformError> => {
  const parsed = objectListSchema.safeParse(response.body);
  return response.status === 200 && parsed.success ? ok(parsed.data.objects.map(object => toPlatformObject(object))) : fail(toPlatformError(response));
};

const encodePath = (...parts: string[]): string => `/${parts.map(part => encodeURIComponent(part)).join('/')}`;

const parseBody = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Creates a platform client. Connections are opened on demand. */
export const createPlatformClient = (options: PlatformClientOptions): PlatformClient => {
  const {
    address,
    timeoutMs = DEFAULT_TIMEOUT_MS,
    silenceTimeoutMs = DEFAULT_SILENCE_TIMEOUT_MS,
    waitingCallsMax = DEFAULT_WAITING_CALLS_MAX,
    timers = createTimers(),
    random = Math.random,
  } = options;
  const origin = address.includes('://') ? address : `http://${address}`;
  const rateLimiter = createRateLimiter(options.rateLimit ?? {}, timers.now());
  const watches = new Set<{close: () => void}>();
  const connect = createStrictConnector();
  const createPool = (): Pool => new Pool(origin, {connect});
  let pool = createPool();
  let waitingCalls = 0;

  /** Waits for the rate limiter; returns false if the call must fail without being sent. */
  const waitForToken = async (signal: AbortSignal): Promise<boolean> => {
    const waitMs = reserveToken(rateLimiter, timers.now());
    if (waitMs === 0) {
      return true;
    }

    if (waitingCalls >= waitingCallsMax) {
      returnToken(rateLimiter);
      return false;
    }

    waitingCalls += 1;
    const hasToken = await new Promise<boolean>(resolve => {
      const cancel = timers.after(waitMs, () => {
        resolve(true);
      });
      signal.addEventListener('abort', () => {
        cancel();
        resolve(false);
      });
    });
    waitingCalls -= 1;
    if (!hasToken) {
      returnToken(rateLimiter);
    }

    return hasToken;
  };

  /** Makes later calls use new connections, because idle ones of the same age may be dead as well. */
  const replacePool = (): void => {
    const replacedPool = pool;
    pool = createPool();
    void replacedPool.close();
  };

  const recordStatus = (status: number): void => {
    if (status >= STATUS_SERVER_ERROR_MIN || status === STATUS_TOO_MANY_REQUESTS) {
      recordFailure(rateLimiter, timers.now(), random);
    } else {
      recordResponse(rateLimiter);
    }
  };

  const sendRequest = async (request: PlatformRequest, signal: AbortSignal): Promise<Result<PlatformResponse, PlatformError>> => {
    try {
      const response = await pool.request({
        ...request, signal, headersTimeout: 0, bodyTimeout: 0,
      });
      const body = parseBody(await response.body.text());
      recordStatus(response.statusCode);
      return ok({status: response.statusCode, body});
    } catch (error) {
      recordFailure(rateLimiter, timers.now(), random);
      if (!signal.aborted) {
        return fail({kind: 'unreachable', message: `no answer from the platform at ${address} (${(error as Error).message}); check the address and the network`});
      }

      replacePool();
      return fail({kind: 'timed-out', message: `the platform at ${address} did not answer within ${timeoutMs} ms; try again later`});
    }
  };

  const requestWithTimeout = async (request: PlatformRequest): Promise<Result<PlatformResponse, PlatformError>> => {
    const abortController = new AbortController();
    const cancel = timers.after(timeoutMs, () => {
      abortController.abort();
    });
    const hasToken = await waitForToken(abortController.signal);
    const result = hasToken
      ? await sendRequest(request, abortController.signal)
      : fail({kind: 'unreachable', message: `the call was not sent, because earlier calls to the platform at ${address} failed or too many calls are waiting; try again later`} as const);
    cancel();
    return result;
  };

  const openWatchStream: OpenStream = async (kind, afterVersion, signal) => {
    if (!(await waitForToken(signal))) {
      return fail({kind: 'unreachable', message: `the watch of the platform at ${address} was not opened in time`});
    }

    const connection = new Client(origin, {connect, headersTimeout: 0, bodyTimeout: 0});
    const destroy = (): void => {
      void connection.destroy();
    };

    try {
      const response = await connection.request({method: 'GET', path: `${encodePath('watch', kind)}?after=${afterVersion}`, signal});
      recordStatus(response.statusCode);
      if (response.statusCode === 200) {
        return ok({chunks: response.body as AsyncIterable<Uint8Array>, destroy});
      }

      const errorResponse = {status: response.statusCode, body: parseBody(await response.body.text())};
      destroy();
      return fail(toPlatformError(errorResponse));
    } catch (error) {
      recordFailure(rateLimiter, timers.now(), random);
      destroy();
      return fail({kind: 'unreachable', message: `the watch of the platform at ${address} could not be opened (${(error as Error).message})`});
    }
  };

  const watch: PlatformClient['watch'] = (kind, afterVersion, onEvent) => {
    const startedWatch = startWatch({
      kind, afterVersion, silenceTimeoutMs, timers, random, openStream: openWatchStream, onEvent,
    });
    const watchHandle = {
      close() {
        watches.delete(watchHandle);
        startedWatch.close();
      },
    };
    watches.add(watchHandle);
    return watchHandle;
  };

  return {
    async read(kind, name) {
      const result = await requestWithTimeout({method: 'GET', path: encodePath('objects', kind, name)});
      return result.kind === 'ok' ? parseObject(result.value) : result;
    },
    async list(kind) {
      const result = await requestWithTimeout({method: 'GET', path: encodePath('objects', kind)});
      return result.kind === 'ok' ? parseObjects(result.value) : result;
    },
    async write({kind, name, value, expectedVersion}) {
      const condition: Record<string, string> = expectedVersion === undefined ? {'if-none-match': '*'} : {'if-match': String(expectedVersion)};
      const result = await requestWithTimeout({
        method: 'PUT', path: encodePath('objects', kind, name), headers: {'content-type': 'application/json', ...condition}, body: JSON.stringify(value),
      });
      return result.kind === 'ok' ? parseObject(result.value) : result;
    },
    watch,
    async close() {
      for (const watchHandle of watches) {
        watchHandle.close();
      }

      await pool.destroy();
    },
  };
};
