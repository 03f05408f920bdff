/** Stand-in for the platform's object API over HTTP. docs/platform-api.md states the contract. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {faultsSchema, NO_FAULTS, type Faults} from './faults.js';
import {
  createStore, VALUE_MAX_BYTES, type Change, type Condition, type Snapshot, type StoreFault,
} from './store.js';

/** Options of the emulated platform. */
export type PlatformEmulatorOptions = {
  /** IP address to listen on. @default '127.0.0.1' */
  host?: string;
  /** Port to listen on; 0 takes a free one. @default 0 */
  port?: number;
  /** Time until a call is answered, in milliseconds. @default 2 */
  latencyMs?: number;
  /** Time between the bookmarks of a watch, in milliseconds. @default 1000 */
  bookmarkMs?: number;
  /** Number of changes that watches can resume over. @default 10000 */
  historyLimit?: number;
};

/** Kind of call that is counted. */
export type CallKind = 'read' | 'list' | 'write' | 'delete' | 'watch';

/** Number of calls since the start, by kind; a waiting watch counts as one call. */
export type CallCounts = Record<CallKind, number>;

/** Emulated platform. */
export type PlatformEmulator = {
  /** Starts listening and returns the address, `ip:port`. */
  start: () => Promise<string>;
  stop: () => Promise<void>;
  counts: () => CallCounts;
  /** Number of watches that are open now. */
  openWatches: () => number;
  /** Changes the given faults and leaves the others. */
  setFaults: (faults: Partial<Faults>) => void;
  /** Ends the connections of all open watches. */
  breakWatches: () => void;
  snapshot: () => Snapshot;
  /** Returns to an older snapshot, version counter included, and ends all watches. */
  restore: (snapshot: Snapshot) => void;
};

type Target =
  | {kind: 'object'; objectKind: string; name: string}
  | {kind: 'list'; objectKind: string}
  | {kind: 'watch'; objectKind: string; after: number}
  | {kind: 'admin'; operation: string}
  | {kind: 'unknown'};

type Watch = {objectKind: string; response: ServerResponse; afterVersion: number; bookmarks: NodeJS.Timeout};

const ADMIN_SEGMENT = '.emulator';

// A request may carry JSON escapes and white space beyond the value itself; larger bodies are cut off unread.
const BODY_MAX_BYTES = 4 * VALUE_MAX_BYTES;

const targetOf = (request: IncomingMessage): Target => {
  const url = new URL(request.url ?? '/', 'http://platform');
  const [area = '', objectKind = '', name = '', ...rest] = url.pathname.slice(1).split('/').map(part => decodeURIComponent(part));
  const after = Number(url.searchParams.get('after') ?? 0);
  switch (area) {
    case ADMIN_SEGMENT: {
      return {kind: 'admin', operation: objectKind};
    }

    case 'objects': {
      return objectKind === '' || rest.length > 0
        ? {kind: 'unknown'}
        : (name === '' ? {kind: 'list', objectKind} : {kind: 'object', objectKind, name});
    }

    case 'watch': {
      return objectKind === '' || !Number.isSafeInteger(after) ? {kind: 'unknown'} : {kind: 'watch', objectKind, after};
    }

    default: {
      return {kind: 'unknown'};
    }
  }
};

const conditionOf = (request: IncomingMessage): Condition | undefined => {
  if (request.headers['if-none-match'] === '*') {
    return {kind: 'absent'};
  }

  const version = Number(request.headers['if-match'] ?? Number.NaN);
  return Number.isSafeInteger(version) ? {kind: 'version', version} : undefined;
};

const readBody = async (request: IncomingMessage): Promise<string | undefined> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes <= BODY_MAX_BYTES) {
      chunks.push(chunk);
    }
  }

  return bytes > BODY_MAX_BYTES ? undefined : Buffer.concat(chunks).toString();
};

const parseJson = (text: string): {value: unknown} | undefined => {
  try {
    return {value: JSON.parse(text) as unknown};
  } catch {
    return undefined;
  }
};

const send = (response: ServerResponse, status: number, body: unknown): void => {
  if (!response.destroyed) {
    response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
  }
};

const sendFault = (response: ServerResponse, fault: StoreFault): void => {
  switch (fault.kind) {
    case 'conflict': {
      send(response, 409, {message: 'the condition does not hold; read the object and decide again', current: fault.current ?? null});
      break;
    }

    case 'too-large': {
      send(response, 413, {message: `the value has ${fault.bytes} bytes; at most ${VALUE_MAX_BYTES} are stored`});
      break;
    }
  }
};

const lineOf = (change: Change): string => `${JSON.stringify(change)}\n`;

/** Creates an emulated platform that holds no objects. */
export const createPlatformEmulator = (options: PlatformEmulatorOptions = {}): PlatformEmulator => {
  const {host = '127.0.0.1', port = 0, latencyMs = 2, bookmarkMs = 1000, historyLimit = 10_000} = options;
  const store = createStore(historyLimit);
  const counts: CallCounts = {
    read: 0, list: 0, write: 0, delete: 0, watch: 0,
  };
  const watches = new Set<Watch>();
  const sockets = new Set<Socket>();
  const hanging = new Set<ServerResponse>();
  let faults: Faults = {...NO_FAULTS};
  let kept: Snapshot | undefined;

  const quiet = (): boolean => faults.watch === 'silent' || faults.outage === 'hang';

  const sendChanges = (watch: Watch): void => {
    const changes = quiet() ? [] : store.changesAfter(watch.objectKind, watch.afterVersion);
    if (changes === undefined) {
      watch.response.destroy();
      return;
    }

    for (const change of changes) {
      watch.response.write(lineOf(change));
      watch.afterVersion = change.version;
    }
  };

  const sendBookmark = (watch: Watch): void => {
    if (quiet()) {
      return;
    }

    sendChanges(watch);
    watch.afterVersion = store.version();
    watch.response.write(`${JSON.stringify({type: 'bookmark', version: store.version()})}\n`);
  };

  const breakWatches = (): void => {
    for (const watch of watches) {
      watch.response.destroy();
    }
  };

  const openWatch = (response: ServerResponse, objectKind: string, after: number): void => {
    if (store.changesAfter(objectKind, after) === undefined) {
      send(response, 410, {message: `changes after version ${after} are not kept; list the objects and watch from the listed version`});
      return;
    }

    response.writeHead(200, {'content-type': 'application/x-ndjson'}).flushHeaders();
    const watch: Watch = {
      objectKind, response, afterVersion: after, bookmarks: setInterval(() => {
        sendBookmark(watch);
      }, bookmarkMs),
    };
    watches.add(watch);
    response.on('close', () => {
      clearInterval(watch.bookmarks);
      watches.delete(watch);
    });
    sendBookmark(watch);
  };

  const published = (): void => {
    for (const watch of watches) {
      sendChanges(watch);
    }
  };

  const hang = (response: ServerResponse): void => {
    hanging.add(response);
    response.on('close', () => hanging.delete(response));
  };

  /** Answers a change that has taken effect, unless its response is to be lost. */
  const sendChanged = (response: ServerResponse, body: unknown): void => {
    published();
    if (faults.loseResponses === 0) {
      send(response, 200, body);
      return;
    }

    faults.loseResponses -= 1;
    if (faults.lossKind === 'hang') {
      hang(response);
    } else {
      response.destroy();
    }
  };

  const handleWrite = async (request: IncomingMessage, response: ServerResponse, target: Extract<Target, {kind: 'object'}>): Promise<void> => {
    const condition = conditionOf(request);
    const body = await readBody(request);
    const parsed = body === undefined ? undefined : parseJson(body);
    if (body === undefined) {
      send(response, 413, {message: `the body is too large; a value has at most ${VALUE_MAX_BYTES} bytes`});
      return;
    }

    if (condition === undefined || parsed === undefined) {
      send(response, 400, {message: 'send a JSON value with `if-none-match: *` or `if-match: <version>`'});
      return;
    }

    const written = store.write(target.objectKind, target.name, parsed.value, condition);
    if (written.kind === 'ok') {
      sendChanged(response, written.value);
    } else {
      sendFault(response, written.error);
    }
  };

  const handleDelete = (request: IncomingMessage, response: ServerResponse, target: Extract<Target, {kind: 'object'}>): void => {
    const condition = conditionOf(request);
    if (condition === undefined) {
      send(response, 400, {message: 'send `if-match: <version>`'});
      return;
    }

    const removed = store.remove(target.objectKind, target.name, condition);
    if (removed.kind === 'ok') {
      sendChanged(response, {version: removed.value});
    } else {
      sendFault(response, removed.error);
    }
  };

  const handleRead = (response: ServerResponse, target: Extract<Target, {kind: 'object'}>): void => {
    const object = store.read(target.objectKind, target.name);
    if (object === undefined) {
      send(response, 404, {message: `there is no ${target.objectKind} ${target.name}`, version: store.version()});
    } else {
      send(response, 200, object);
    }
  };

  const handleObject = async (request: IncomingMessage, response: ServerResponse, target: Extract<Target, {kind: 'object'}>): Promise<void> => {
    switch (request.method ?? '') {
      case 'GET': {
        handleRead(response, target);
        break;
      }

      case 'PUT': {
        await handleWrite(request, response, target);
        break;
      }

      case 'DELETE': {
        handleDelete(request, response, target);
        break;
      }

      default: {
        send(response, 405, {message: 'use GET, PUT or DELETE'});
      }
    }
  };

  const restore = (snapshot: Snapshot): void => {
    store.restore(snapshot);
    breakWatches();
  };

  const setFaults = (changes: Partial<Faults>): void => {
    faults = {...faults, ...changes};
    if (faults.outage === 'refuse') {
      breakWatches();
    }

    if (faults.outage !== 'hang') {
      for (const response of hanging) {
        response.destroy();
      }
    }

    published();
  };

  const setFaultsFromBody = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const parsed = faultsSchema.partial().safeParse(parseJson(await readBody(request) ?? '')?.value);
    if (!parsed.success) {
      send(response, 400, {message: parsed.error.message});
      return;
    }

    setFaults(parsed.data);
    send(response, 200, faults);
  };

  const handleAdmin = async (request: IncomingMessage, response: ServerResponse, operation: string): Promise<void> => {
    switch (operation) {
      case 'counts': {
        send(response, 200, {...counts, openWatches: watches.size});
        break;
      }

      case 'faults': {
        await setFaultsFromBody(request, response);
        break;
      }

      case 'break-watches': {
        breakWatches();
        send(response, 200, {});
        break;
      }

      case 'snapshot': {
        kept = store.snapshot();
        send(response, 200, {version: kept.version});
        break;
      }

      case 'restore': {
        if (kept === undefined) {
          send(response, 409, {message: 'no snapshot was taken; post to /.emulator/snapshot first'});
          break;
        }

        restore(kept);
        send(response, 200, {version: kept.version});
        break;
      }

      default: {
        send(response, 404, {message: 'use counts, faults, break-watches, snapshot or restore'});
      }
    }
  };

  const count = (request: IncomingMessage, target: Target): void => {
    const kinds: Record<string, CallKind> = {GET: 'read', PUT: 'write', DELETE: 'delete'};
    const kind = target.kind === 'object' ? kinds[request.method ?? ''] : (target.kind === 'list' || target.kind === 'watch' ? target.kind : undefined);
    if (kind !== undefined) {
      counts[kind] += 1;
    }
  };

  const handleCall = async (request: IncomingMessage, response: ServerResponse, target: Target): Promise<void> => {
    switch (target.kind) {
      case 'object': {
        await handleObject(request, response, target);
        break;
      }

      case 'list': {
        send(response, 200, {version: store.version(), objects: store.list(target.objectKind)});
        break;
      }

      case 'watch': {
        openWatch(response, target.objectKind, target.after);
        break;
      }

      case 'admin': {
        await handleAdmin(request, response, target.operation);
        break;
      }

      case 'unknown': {
        send(response, 404, {message: 'use /objects/<kind>, /objects/<kind>/<name> or /watch/<kind>?after=<version>'});
        break;
      }
    }
  };

  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const target = targetOf(request);
    if (target.kind === 'admin') {
      await handleCall(request, response, target);
      return;
    }

    // The outage at arrival decides, so that a call that is counted during an outage never takes effect.
    const {outage, slowMs} = faults;
    count(request, target);
    await sleep(latencyMs + slowMs);
    switch (outage) {
      case 'refuse': {
        response.destroy();
        break;
      }

      case 'hang': {
        hang(response);
        break;
      }

      case 'none': {
        await handleCall(request, response, target);
        break;
      }
    }
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => { // eslint-disable-line promise/prefer-await-to-then
      // A caller that closes its connection while its body is being read ends the call.
      response.destroy();
    });
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });

  return {
    start: async () => new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        resolve(`${host}:${(server.address() as AddressInfo).port}`);
      });
    }),
    stop: async () => new Promise(resolve => {
      server.close(() => {
        resolve();
      });
      for (const socket of sockets) {
        socket.destroy();
      }
    }),
    counts: () => ({...counts}),
    openWatches: () => watches.size,
    setFaults,
    breakWatches,
    snapshot: store.snapshot,
    restore,
  };
};
