/** Emulator of the platform's object API over HTTP, for tests and measurements. docs/platform-api.md specifies the API. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {faultsSchema, NO_FAULTS, type Faults} from './faults.js';
import {
  parseCondition, parseJson, parseRoute, readBody, type Route,
} from './request.js';
import {send, sendStoreError} from './response.js';
import {
  createStore, VALUE_MAX_BYTES, type Change, type Snapshot,
} from './store.js';

/** Options of the platform emulator. */
export type PlatformEmulatorOptions = {
  /** IP address to listen on. @default '127.0.0.1' */
  host?: string;
  /** Port to listen on; 0 selects a free port. @default 0 */
  port?: number;
  /** Delay before each call is handled, in milliseconds. @default 2 */
  latencyMs?: number;
  /** Interval between the bookmarks of a watch, in milliseconds. @default 1000 */
  bookmarkMs?: number;
  /** Number of past changes kept, from which a watch can resume. @default 10000 */
  historyLimit?: number;
};

/** Kind of call to the object API, as counted by the emulator. */
export type CallKind = 'read' | 'list' | 'write' | 'delete' | 'watch';

/** Number of calls since the start, by kind; an open watch counts as one call. */
export type CallCounts = Record<CallKind, number>;

/** Handle on a platform emulator. */
export type PlatformEmulator = {
  /** Starts listening and resolves to the address, `ip:port`. */
  start: () => Promise<string>;
  stop: () => Promise<void>;
  counts: () => CallCounts;
  /** Number of watches that are open now. */
  openWatches: () => number;
  /** Sets the given injected faults and leaves the others unchanged. */
  setFaults: (faults: Partial<Faults>) => void;
  /** Closes the connections of all open watches. */
  breakWatches: () => void;
  snapshot: () => Snapshot;
  /** Restores an older snapshot, including its version counter, and closes all watches. */
  restore: (snapshot: Snapshot) => void;
};

type Watch = {objectKind: string; response: ServerResponse; afterVersion: number; bookmarks: NodeJS.Timeout};

const toJsonLine = (change: Change): string => `${JSON.stringify(change)}\n`;

/** Creates a platform emulator without objects; it listens after `start`. */
export const createPlatformEmulator = (options: PlatformEmulatorOptions = {}): PlatformEmulator => {
  const {host = '127.0.0.1', port = 0, latencyMs = 2, bookmarkMs = 1000, historyLimit = 10_000} = options;
  const store = createStore(historyLimit);
  const counts: CallCounts = {
    read: 0, list: 0, write: 0, delete: 0, watch: 0,
  };
  const watches = new Set<Watch>();
  const sockets = new Set<Socket>();
  const heldResponses = new Set<ServerResponse>();
  let faults: Faults = {...NO_FAULTS};
  let savedSnapshot: Snapshot | undefined;

  const areWatchesSilenced = (): boolean => faults.watch === 'silent' || faults.outage === 'hang';

  const sendChanges = (watch: Watch): void => {
    const changes = areWatchesSilenced() ? [] : store.changesAfter(watch.objectKind, watch.afterVersion);
    if (changes === undefined) {
      // The history no longer covers the position of this watch; the client has to list the objects again.
      watch.response.destroy();
      return;
    }

    for (const change of changes) {
      watch.response.write(toJsonLine(change));
      watch.afterVersion = change.version;
    }
  };

  const sendBookmark = (watch: Watch): void => {
    if (areWatchesSilenced()) {
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

  const notifyWatches = (): void => {
    for (const watch of watches) {
      sendChanges(watch);
    }
  };

  const holdResponse = (response: ServerResponse): void => {
    heldResponses.add(response);
    response.on('close', () => heldResponses.delete(response));
  };

  /** Responds to a change that has taken effect, unless `loseResponses` requires that the response is lost. */
  const sendChangeResult = (response: ServerResponse, body: unknown): void => {
    notifyWatches();
    if (faults.loseResponses === 0) {
      send(response, 200, body);
      return;
    }

    faults.loseResponses -= 1;
    if (faults.lossKind === 'hang') {
      holdResponse(response);
    } else {
      response.destroy();
    }
  };

  const handleWrite = async (request: IncomingMessage, response: ServerResponse, route: Extract<Route, {kind: 'object'}>): Promise<void> => {
    const condition = parseCondition(request);
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

    const written = store.write(route.objectKind, route.name, parsed.value, condition);
    if (written.kind === 'ok') {
      sendChangeResult(response, written.value);
    } else {
      sendStoreError(response, written.error);
    }
  };

  const handleDelete = (request: IncomingMessage, response: ServerResponse, route: Extract<Route, {kind: 'object'}>): void => {
    const condition = parseCondition(request);
    if (condition === undefined) {
      send(response, 400, {message: 'send `if-match: <version>`'});
      return;
    }

    const removed = store.remove(route.objectKind, route.name, condition);
    if (removed.kind === 'ok') {
      sendChangeResult(response, {version: removed.value});
    } else {
      sendStoreError(response, removed.error);
    }
  };

  const handleRead = (response: ServerResponse, route: Extract<Route, {kind: 'object'}>): void => {
    const object = store.read(route.objectKind, route.name);
    if (object === undefined) {
      send(response, 404, {message: `there is no ${route.objectKind} ${route.name}`, version: store.version()});
    } else {
      send(response, 200, object);
    }
  };

  const handleObject = async (request: IncomingMessage, response: ServerResponse, route: Extract<Route, {kind: 'object'}>): Promise<void> => {
    switch (request.method ?? '') {
      case 'GET': {
        handleRead(response, route);
        break;
      }

      case 'PUT': {
        await handleWrite(request, response, route);
        break;
      }

      case 'DELETE': {
        handleDelete(request, response, route);
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
      for (const response of heldResponses) {
        response.destroy();
      }
    }

    notifyWatches();
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
        savedSnapshot = store.snapshot();
        send(response, 200, {version: savedSnapshot.version});
        break;
      }

      case 'restore': {
        if (savedSnapshot === undefined) {
          send(response, 409, {message: 'no snapshot was taken; post to /.emulator/snapshot first'});
          break;
        }

        restore(savedSnapshot);
        send(response, 200, {version: savedSnapshot.version});
        break;
      }

      default: {
        send(response, 404, {message: 'use counts, faults, break-watches, snapshot or restore'});
      }
    }
  };

  const countCall = (request: IncomingMessage, route: Route): void => {
    const kindByMethod: Record<string, CallKind> = {GET: 'read', PUT: 'write', DELETE: 'delete'};
    const kind = route.kind === 'object' ? kindByMethod[request.method ?? ''] : (route.kind === 'list' || route.kind === 'watch' ? route.kind : undefined);
    if (kind !== undefined) {
      counts[kind] += 1;
    }
  };

  const handleCall = async (request: IncomingMessage, response: ServerResponse, route: Route): Promise<void> => {
    switch (route.kind) {
      case 'object': {
        await handleObject(request, response, route);
        break;
      }

      case 'list': {
        send(response, 200, {version: store.version(), objects: store.list(route.objectKind)});
        break;
      }

      case 'watch': {
        openWatch(response, route.objectKind, route.after);
        break;
      }

      case 'admin': {
        await handleAdmin(request, response, route.operation);
        break;
      }

      case 'unknown': {
        send(response, 404, {message: 'use /objects/<kind>, /objects/<kind>/<name> or /watch/<kind>?after=<version>'});
        break;
      }
    }
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const route = parseRoute(request);
    if (route.kind === 'admin') {
      await handleCall(request, response, route);
      return;
    }

    // Reads the faults at arrival, before the delay: a call that is counted during an outage must never take effect.
    const {outage, slowMs} = faults;
    countCall(request, route);
    await sleep(latencyMs + slowMs);
    switch (outage) {
      case 'refuse': {
        response.destroy();
        break;
      }

      case 'hang': {
        holdResponse(response);
        break;
      }

      case 'none': {
        await handleCall(request, response, route);
        break;
      }
    }
  };

  const server = createServer((request, response) => {
    handleRequest(request, response).catch(() => { // eslint-disable-line promise/prefer-await-to-then
      // The caller closed its connection while its request body was being read.
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
