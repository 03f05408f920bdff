/** Client of the platform's object API: versions, conditional writes and watches over HTTP. */
import {Client, Pool} from 'undici';
import {z} from 'zod';
import type {Random} from '../shared/random.js';
import {fail, ok, type Result} from '../shared/result.js';
import {
  createRateLimiter, recordResponse, recordFailure, returnToken, reserveToken, type RateLimiterOptions,
} from './rate-limiter.js';
import {createTimers, type Timers} from './timers.js';
import {platformObjectSchema, startWatch, type OpenStream} from './watch.js';

/** Object as the platform holds it. */
export type PlatformObject = {
  kind: string;
  name: string;
  /** Grows with each write of any object; equal versions mean equal content. */
  version: number;
  value: unknown;
};

/** Why a call to the platform failed. */
export type PlatformFault =
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

/** What a watch reports. */
export type WatchEvent =
  | {kind: 'changed'; object: PlatformObject}
  | {kind: 'deleted'; objectKind: string; name: string; version: number}
  /**
  The watch ended or went silent and could not be resumed, or the version is no longer kept.
  No more events follow; the caller opens a new watch after reading the state.
  */
  | {kind: 'broken'; message: string};

/** Client of the platform. */
export type PlatformClient = {
  read: (kind: string, name: string) => Promise<Result<PlatformObject, PlatformFault>>;
  list: (kind: string) => Promise<Result<PlatformObject[], PlatformFault>>;
  /** `unreachable` and `timed-out` leave the outcome open: read the object back and compare its write id. */
  write: (write: PlatformWrite) => Promise<Result<PlatformObject, PlatformFault>>;
  /** Reports changes of a kind after a version until closed or broken. */
  watch: (kind: string, afterVersion: number, onEvent: (event: WatchEvent) => void) => {close: () => void};
  close: () => Promise<void>;
};

/** Options of a client. */
export type PlatformClientOptions = {
  /** Address of the platform, `ip:port` or a URL. */
  address: string;
  /** Time that a call may take, its wait for a turn included, in milliseconds. @default 3000 */
  timeoutMs?: number;
  /** Time without data after which a watch counts as silent, in milliseconds. @default 3500 */
  silenceTimeoutMs?: number;
  /** Calls that may wait for their turn at the same time; further ones fail unsent. @default 100 */
  waitingCallsMax?: number;
  /** Rate and backoff. */
  rateLimit?: RateLimiterOptions;
  /** Clock and timers. @default those of the operating system */
  timers?: Timers;
  /** Source of the jitter. @default Math.random */
  random?: Random;
};

const DEFAULT_TIMEOUT_MS = 3000;
// The platform sends a bookmark every second, so three are missed before a watch counts as silent.
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

/** Turns an answer without the expected content into a fault. */
const toPlatformError = (response: PlatformResponse): PlatformFault => {
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

    default: {
      // An intermediary can answer 5xx after the platform has taken the write, so the outcome is open.
      return response.status >= STATUS_SERVER_ERROR_MIN ? {kind: 'unreachable', message} : {kind: 'rejected', message};
    }
  }
};

const parseObject = (response: PlatformResponse): Result<PlatformObject, PlatformFault> => {
  const parsed = platformObjectSchema.safeParse(response.body);
  return response.status === 200 && parsed.success ? ok(toPlatformObject(parsed.data)) : fail(toPlatformError(response));
};

const parseObjects = (response: PlatformResponse): Result<PlatformObject[], PlatformFault> => {
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

/** Creates a client of the platform. It opens no connection before the first call. */
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
  let pool = new Pool(origin);
  let waitingCalls = 0;

  /** Waits for a turn; false when the call has to fail unsent. */
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

  /** Later calls use new connections: idle ones of the same age may be silent as well. */
  const replacePool = (): void => {
    const replacedPool = pool;
    pool = new Pool(origin);
    void replacedPool.close();
  };

  const recordStatus = (status: number): void => {
    if (status >= STATUS_SERVER_ERROR_MIN || status === STATUS_TOO_MANY_REQUESTS) {
      recordFailure(rateLimiter, timers.now(), random);
    } else {
      recordResponse(rateLimiter);
    }
  };

  const sendRequest = async (request: PlatformRequest, signal: AbortSignal): Promise<Result<PlatformResponse, PlatformFault>> => {
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

  const requestWithTimeout = async (request: PlatformRequest): Promise<Result<PlatformResponse, PlatformFault>> => {
    const abortController = new AbortController();
    const cancel = timers.after(timeoutMs, () => {
      abortController.abort();
    });
    const hasToken = await waitForToken(abortController.signal);
    const result = hasToken
      ? await sendRequest(request, abortController.signal)
      : fail({kind: 'unreachable', message: `the call was not sent: the platform at ${address} has been failing or too many calls wait; try again later`} as const);
    cancel();
    return result;
  };

  const openWatchStream: OpenStream = async (kind, afterVersion, signal) => {
    if (!(await waitForToken(signal))) {
      return fail({kind: 'unreachable', message: `the watch of the platform at ${address} was not opened in time`});
    }

    const connection = new Client(origin, {headersTimeout: 0, bodyTimeout: 0});
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
