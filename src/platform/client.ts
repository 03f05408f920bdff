/** Client of the platform's object API: versions, conditional writes and watches over HTTP. */
import {Client, Pool} from 'undici';
import {z} from 'zod';
import type {Random} from '../shared/random.js';
import {fail, ok, type Result} from '../shared/result.js';
import {
  createPace, noteAnswer, noteFailure, returnTurn, takeTurn, type PaceOptions,
} from './pace.js';
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
  silenceMs?: number;
  /** Calls that may wait for their turn at the same time; further ones fail unsent. @default 100 */
  waitingMax?: number;
  /** Rate and backoff. */
  pace?: PaceOptions;
  /** Clock and timers. @default those of the operating system */
  timers?: Timers;
  /** Source of the jitter. @default Math.random */
  random?: Random;
};

const DEFAULT_TIMEOUT_MS = 3000;
// The platform sends a bookmark every second, so three are missed before a watch counts as silent.
const DEFAULT_SILENCE_MS = 3500;
const DEFAULT_WAITING_MAX = 100;
const STATUS_UNAVAILABLE = 500;
const STATUS_TOO_MANY = 429;

type Answer = {status: number; body: unknown};

type Request = {method: 'GET' | 'PUT'; path: string; headers?: Record<string, string>; body?: string};

const listSchema = z.object({objects: z.array(platformObjectSchema)});
const conflictSchema = z.object({current: platformObjectSchema.nullable().optional()});
const messageSchema = z.object({message: z.string()});

const messageOf = (answer: Answer): string => {
  const parsed = messageSchema.safeParse(answer.body);
  return parsed.success ? parsed.data.message : `the platform answered with status ${answer.status}`;
};

const toObject = ({kind, name, version, value}: z.infer<typeof platformObjectSchema>): PlatformObject => ({
  kind, name, version, value,
});

/** Turns an answer without the expected content into a fault. */
const faultOf = (answer: Answer): PlatformFault => {
  const message = messageOf(answer);
  switch (answer.status) {
    case 404: {
      return {kind: 'not-found', message};
    }

    case 409:
    case 412: {
      const parsed = conflictSchema.safeParse(answer.body);
      const current = parsed.success && parsed.data.current ? toObject(parsed.data.current) : undefined;
      return {kind: 'conflict', message, current};
    }

    case 413: {
      return {kind: 'too-large', message};
    }

    default: {
      // An intermediary can answer 5xx after the platform has taken the write, so the outcome is open.
      return answer.status >= STATUS_UNAVAILABLE ? {kind: 'unreachable', message} : {kind: 'rejected', message};
    }
  }
};

const objectOf = (answer: Answer): Result<PlatformObject, PlatformFault> => {
  const parsed = platformObjectSchema.safeParse(answer.body);
  return answer.status === 200 && parsed.success ? ok(toObject(parsed.data)) : fail(faultOf(answer));
};

const objectsOf = (answer: Answer): Result<PlatformObject[], PlatformFault> => {
  const parsed = listSchema.safeParse(answer.body);
  return answer.status === 200 && parsed.success ? ok(parsed.data.objects.map(object => toObject(object))) : fail(faultOf(answer));
};

const pathOf = (...parts: string[]): string => `/${parts.map(part => encodeURIComponent(part)).join('/')}`;

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
    silenceMs = DEFAULT_SILENCE_MS,
    waitingMax = DEFAULT_WAITING_MAX,
    timers = createTimers(),
    random = Math.random,
  } = options;
  const origin = address.includes('://') ? address : `http://${address}`;
  const pace = createPace(options.pace ?? {}, timers.now());
  const watches = new Set<{close: () => void}>();
  let pool = new Pool(origin);
  let waiting = 0;

  /** Waits for a turn; false when the call has to fail unsent. */
  const waitForTurn = async (signal: AbortSignal): Promise<boolean> => {
    const waitMs = takeTurn(pace, timers.now());
    if (waitMs === 0) {
      return true;
    }

    if (waiting >= waitingMax) {
      returnTurn(pace);
      return false;
    }

    waiting += 1;
    const started = await new Promise<boolean>(resolve => {
      const cancel = timers.after(waitMs, () => {
        resolve(true);
      });
      signal.addEventListener('abort', () => {
        cancel();
        resolve(false);
      });
    });
    waiting -= 1;
    if (!started) {
      returnTurn(pace);
    }

    return started;
  };

  /** Later calls use new connections: idle ones of the same age may be silent as well. */
  const replacePool = (): void => {
    const old = pool;
    pool = new Pool(origin);
    void old.close();
  };

  const noteAnswered = (status: number): void => {
    if (status >= STATUS_UNAVAILABLE || status === STATUS_TOO_MANY) {
      noteFailure(pace, timers.now(), random);
    } else {
      noteAnswer(pace);
    }
  };

  const exchange = async (request: Request, signal: AbortSignal): Promise<Result<Answer, PlatformFault>> => {
    try {
      const response = await pool.request({
        ...request, signal, headersTimeout: 0, bodyTimeout: 0,
      });
      const body = parseBody(await response.body.text());
      noteAnswered(response.statusCode);
      return ok({status: response.statusCode, body});
    } catch (error) {
      noteFailure(pace, timers.now(), random);
      if (!signal.aborted) {
        return fail({kind: 'unreachable', message: `no answer from the platform at ${address} (${(error as Error).message}); check the address and the network`});
      }

      replacePool();
      return fail({kind: 'timed-out', message: `the platform at ${address} did not answer within ${timeoutMs} ms; try again later`});
    }
  };

  const call = async (request: Request): Promise<Result<Answer, PlatformFault>> => {
    const abort = new AbortController();
    const cancel = timers.after(timeoutMs, () => {
      abort.abort();
    });
    const started = await waitForTurn(abort.signal);
    const result = started
      ? await exchange(request, abort.signal)
      : fail({kind: 'unreachable', message: `the call was not sent: the platform at ${address} has been failing or too many calls wait; try again later`} as const);
    cancel();
    return result;
  };

  const openStream: OpenStream = async (kind, afterVersion, signal) => {
    if (!(await waitForTurn(signal))) {
      return fail({kind: 'unreachable', message: `the watch of the platform at ${address} was not opened in time`});
    }

    const connection = new Client(origin, {headersTimeout: 0, bodyTimeout: 0});
    const destroy = (): void => {
      void connection.destroy();
    };

    try {
      const response = await connection.request({method: 'GET', path: `${pathOf('watch', kind)}?after=${afterVersion}`, signal});
      noteAnswered(response.statusCode);
      if (response.statusCode === 200) {
        return ok({chunks: response.body as AsyncIterable<Uint8Array>, destroy});
      }

      const answer = {status: response.statusCode, body: parseBody(await response.body.text())};
      destroy();
      return fail(faultOf(answer));
    } catch (error) {
      noteFailure(pace, timers.now(), random);
      destroy();
      return fail({kind: 'unreachable', message: `the watch of the platform at ${address} could not be opened (${(error as Error).message})`});
    }
  };

  const watch: PlatformClient['watch'] = (kind, afterVersion, onEvent) => {
    const started = startWatch({
      kind, afterVersion, silenceMs, timers, random, open: openStream, onEvent,
    });
    const handle = {
      close() {
        watches.delete(handle);
        started.close();
      },
    };
    watches.add(handle);
    return handle;
  };

  return {
    async read(kind, name) {
      const answer = await call({method: 'GET', path: pathOf('objects', kind, name)});
      return answer.kind === 'ok' ? objectOf(answer.value) : answer;
    },
    async list(kind) {
      const answer = await call({method: 'GET', path: pathOf('objects', kind)});
      return answer.kind === 'ok' ? objectsOf(answer.value) : answer;
    },
    async write({kind, name, value, expectedVersion}) {
      const condition: Record<string, string> = expectedVersion === undefined ? {'if-none-match': '*'} : {'if-match': String(expectedVersion)};
      const answer = await call({
        method: 'PUT', path: pathOf('objects', kind, name), headers: {'content-type': 'application/json', ...condition}, body: JSON.stringify(value),
      });
      return answer.kind === 'ok' ? objectOf(answer.value) : answer;
    },
    watch,
    async close() {
      for (const handle of watches) {
        handle.close();
      }

      await pool.destroy();
    },
  };
};
