/** Emulated backend server over HTTP, with slots, a queue, service times, sub-calls and injected faults. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent} from 'undici';
import {CALL_TOKEN_HEADER, DEADLINE_HEADER, REQUEST_ID_HEADER} from '../../shared/constants.js';
import {createRandom} from '../../shared/random.js';
import {createAdminServer} from './admin-server.js';
import {startAnnouncement, type Announcement} from './announcement.js';
import {createCounters, createCounterReport, type CounterReport} from './counters.js';
import {
  firstHeaderValue, listen, readBody, respond, respondJson,
} from './http.js';
import {
  CALL_PATH_HEADER, checkMessage, encodeMessage, ATTEMPT_HEADER,
} from './message.js';
import type {Run, RunEnd} from './runs.js';
import {coldStartFactor, drawServiceTime} from './service-time.js';
import {
  backendServerSettingsSchema, type BackendServerSettingsInput, type ControlCommand, type EmulatedRequestKind,
} from './settings.js';
import {createSlotPool} from './slot-pool.js';
import {runSubCalls, type SubCallOutcome} from './sub-calls.js';

/** Handle on an emulated backend server. */
export type BackendServerEmulator = {
  /** Starts listening and announcing; resolves to the bound addresses. */
  start: () => Promise<{address: string; admin: string}>;
  /** Withdraws the announcement, waits for requests in flight up to `drainMs`, and closes all listeners. */
  stop: () => Promise<void>;
  /** Closes all connections immediately, without withdrawing the announcement; the admin listener stays open until `stop`. */
  crash: () => void;
  control: (control: ControlCommand) => void;
  counters: () => CounterReport;
  runs: () => readonly Run[];
};

/** Callbacks to the program that runs the emulator. */
export type BackendServerHooks = {
  /** Called after a `leave` command has completed. */
  onLeft?: () => void;
};

const DEFAULT_DEADLINE_MS = 30_000;
const DRAIN_POLL_MS = 20;
/** Time for which it keeps serving after the withdrawal, because callers send requests until membership updates reach them. */
const DRAIN_GRACE_MS = 500;

const matchesPath = (pattern: string, path: string): boolean =>
  pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern;

const sleepUnlessAborted = async (milliseconds: number, signal: AbortSignal): Promise<boolean> => {
  try {
    await delay(milliseconds, undefined, {signal});
    return true;
  } catch {
    return false;
  }
};

/** Abort reason of a request whose deadline passed. Comparing with the clock is not reliable: a timer may fire slightly before the clock reaches the deadline. */
const DEADLINE_ABORT_REASON = 'deadline';

type RequestEnd = Extract<RunEnd, 'completed' | 'cancelled' | 'deadline' | 'sub-call-failed'>;

/** Identity, deadline and abort signal of a request. */
type RequestContext = {
  requestId: string;
  bodyId: string;
  /** Number of the client's attempt, from 1; 0 if the attempt header was missing. */
  attemptNumber: number;
  callPath: string;
  callToken: string | undefined;
  /** On the clock of `performance.now()`. */
  deadlineAt: number;
  signal: AbortSignal;
};

/** Creates an emulated backend server; it listens after `start`. */
export const createBackendServerEmulator = (options: BackendServerSettingsInput, hooks: BackendServerHooks = {}): BackendServerEmulator => {
  const settings = backendServerSettingsSchema.parse(options);
  const {service, overflow} = settings;
  const random = createRandom(settings.seed);
  const counters = createCounters();
  const runs: Run[] = [];
  const slots = createSlotPool(settings.slots, overflow.kind === 'queue' ? overflow.length : 0);
  const agent = new Agent({connections: settings.slots * 4, pipelining: 1});
  const connectionReadyAt = new WeakMap<Socket, number>();
  const frozenSockets = new WeakSet<Socket>();
  const sockets = new Set<Socket>();
  let {slowness} = settings;
  let startedAt = 0;
  let acceptThreadBusyUntil = 0;
  const inFlight = {count: 0};
  let announcement: Announcement | undefined;
  const loadSamples: Array<{at: number; load: number}> = [];

  const drawActualServiceTime = (kind: EmulatedRequestKind): number =>
    drawServiceTime(kind.serviceTime, random) * slowness * coldStartFactor(settings.coldStart, performance.now() - startedAt);

  const classifyEnd = (outcome: SubCallOutcome | 'aborted', context: RequestContext): RequestEnd => {
    if (outcome === 'aborted' || context.signal.aborted) {
      return context.signal.reason === DEADLINE_ABORT_REASON ? 'deadline' : 'cancelled';
    }

    return outcome.kind === 'failed' ? 'sub-call-failed' : 'completed';
  };

  const executeRequest = async (kind: EmulatedRequestKind, context: RequestContext): Promise<SubCallOutcome | 'aborted'> => {
    if (!await sleepUnlessAborted(drawActualServiceTime(kind), context.signal)) {
      return 'aborted';
    }

    return settings.local === undefined
      ? {kind: 'completed'}
      : runSubCalls({...context, agent, local: settings.local}, kind.steps);
  };

  const countAndRespond = (response: ServerResponse, kind: EmulatedRequestKind, context: RequestContext, outcome: SubCallOutcome | 'aborted') => {
    switch (classifyEnd(outcome, context)) {
      case 'completed': {
        counters.completed++;
        respond(response, 200, encodeMessage(context.bodyId, service, kind.responseBytes));
        return;
      }

      case 'cancelled': {
        counters.cancelled++;
        return;
      }

      case 'deadline': {
        counters.deadlineExpired++;
        respond(response, 504);
        return;
      }

      case 'sub-call-failed': {
        counters.subCallFailed++;
        const retryAfter = outcome !== 'aborted' && outcome.kind === 'failed' ? outcome.retryAfterSeconds : undefined;
        respond(response, retryAfter === undefined ? 502 : 503, '', retryAfter === undefined ? {} : {'retry-after': String(retryAfter)});
      }
    }
  };

  const runInSlot = async (response: ServerResponse, kind: EmulatedRequestKind, context: RequestContext) => {
    const record: Run = {
      requestId: context.requestId,
      sending: context.attemptNumber,
      callPath: context.callPath,
      bodyId: context.bodyId,
      service,
      requestKind: kind.name,
      idempotent: kind.idempotent,
      startedAt: undefined,
      slotMs: 0,
      end: 'running',
    };
    runs.push(record);
    const acquired = await slots.acquire(context.signal);
    if (acquired.kind === 'full') {
      record.end = 'shed';
      counters.shed++;
      respond(response, 503, '', {'retry-after': String(overflow.kind === 'shed' ? overflow.retryAfterSeconds : 1)});
      return;
    }

    if (acquired.kind === 'abandoned') {
      record.end = 'abandoned';
      countAndRespond(response, kind, context, 'aborted');
      return;
    }

    const slotAcquiredAt = performance.now();
    record.startedAt = performance.timeOrigin + slotAcquiredAt;
    const outcome = await executeRequest(kind, context);
    acquired.release();
    record.end = classifyEnd(outcome, context);
    record.slotMs = performance.now() - slotAcquiredAt;
    countAndRespond(response, kind, context, outcome);
  };

  const readRequestContext = async (request: IncomingMessage, signal: AbortSignal, deadlineAt: number): Promise<RequestContext | undefined> => {
    const body = await readBody(request);
    const requestId = firstHeaderValue(request, REQUEST_ID_HEADER) ?? 'none';
    const check = body.length === 0 ? undefined : checkMessage(body);
    if (check?.kind === 'truncated') {
      counters.damagedBodies++;
      return undefined;
    }

    return {
      requestId,
      bodyId: check?.id ?? requestId,
      attemptNumber: Number(firstHeaderValue(request, ATTEMPT_HEADER) ?? 0),
      callPath: firstHeaderValue(request, CALL_PATH_HEADER) ?? '',
      callToken: firstHeaderValue(request, CALL_TOKEN_HEADER),
      deadlineAt,
      signal,
    };
  };

  const serveRequest = async (request: IncomingMessage, response: ServerResponse, kind: EmulatedRequestKind) => {
    const abortController = new AbortController();
    response.once('close', () => {
      abortController.abort();
    });
    const deadlineMs = Number(firstHeaderValue(request, DEADLINE_HEADER) ?? DEFAULT_DEADLINE_MS);
    const deadlineAt = performance.now() + deadlineMs;
    const timer = setTimeout(() => {
      abortController.abort(DEADLINE_ABORT_REASON);
    }, deadlineMs);
    try {
      const acceptDelayMs = (connectionReadyAt.get(request.socket) ?? 0) - performance.now();
      if (acceptDelayMs > 0) {
        await sleepUnlessAborted(acceptDelayMs, abortController.signal);
      }

      const context = await readRequestContext(request, abortController.signal, deadlineAt);
      if (context === undefined) {
        respond(response, 400);
      } else {
        await runInSlot(response, kind, context);
      }
    } finally {
      clearTimeout(timer);
    }
  };

  /** Serves `/load` with a delayed value and `/health` as always healthy, to emulate endpoints that mislead under overload; returns whether the path was one of them. */
  const respondToStatusPath = (response: ServerResponse, path: string): boolean => {
    if (path === '/health') {
      respondJson(response, {healthy: true});
      return true;
    }

    if (path === '/load') {
      const delayedSample = loadSamples.findLast(({at}) => at <= performance.now() - settings.loadReportDelayMs);
      respondJson(response, {load: delayedSample?.load ?? 0});
      return true;
    }

    return false;
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
    // A frozen connection stays open and accepts bytes, but never gets a response.
    if (frozenSockets.has(request.socket)) {
      return;
    }

    const path = (request.url ?? '/').split('?')[0]!;
    if (respondToStatusPath(response, path)) {
      return;
    }

    counters.requests++;
    const kind = settings.requestKinds.find(candidate => candidate.methods.includes(request.method ?? 'GET') && matchesPath(candidate.path, path));
    if (kind === undefined) {
      counters.unmatched++;
      respond(response, 404);
      return;
    }

    inFlight.count++;
    try {
      await serveRequest(request, response, kind);
    } catch {
      // The connection broke while the body was being received.
      counters.cancelled++;
    } finally {
      inFlight.count--;
    }
  };

  const server = createServer((request, response) => {
    void handleRequest(request, response);
  });
  server.maxConnections = settings.connections;
  server.keepAliveTimeout = 60_000;
  server.on('drop', () => {
    counters.connectionsRefused++;
  });
  server.on('connection', socket => {
    counters.connectionsOpened++;
    acceptThreadBusyUntil = Math.max(acceptThreadBusyUntil, performance.now()) + settings.connectionCostMs;
    connectionReadyAt.set(socket, acceptThreadBusyUntil);
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
    });
  });

  const freezeConnections = () => {
    for (const socket of sockets) {
      frozenSockets.add(socket);
      // Discards all further writes, so that responses in progress are lost too.
      socket.write = () => true;
    }
  };

  const counterReport = (): CounterReport => createCounterReport(
    counters,
    {
      name: settings.name, service, running: slots.running(), waiting: slots.waiting(),
    },
    runs,
  );

  // Takes a sample every 100 ms and keeps the latest 200, which cover 20 s.
  const loadSampleTimer = setInterval(() => {
    loadSamples.push({at: performance.now(), load: slots.running() / settings.slots});
    loadSamples.splice(0, loadSamples.length - 200);
  }, 100);
  loadSampleTimer.unref();

  /** Closes all request connections. The admin listener stays open, because the recorded runs are read after a crash. */
  const crash = () => {
    announcement?.cancel();
    announcement = undefined;
    clearInterval(loadSampleTimer);
    server.close();
    server.closeAllConnections();
    void agent.destroy();
  };

  const closeListeners = () => {
    crash();
    adminServer.close();
    adminServer.closeAllConnections();
  };

  const stop = async () => {
    const announced = announcement !== undefined;
    await announcement?.withdraw();
    await delay(announced ? DRAIN_GRACE_MS : 0);
    const drainEndsAt = performance.now() + settings.drainMs;
    while (inFlight.count > 0 && performance.now() < drainEndsAt) {
      await delay(DRAIN_POLL_MS); // eslint-disable-line no-await-in-loop
    }

    closeListeners();
  };

  const leave = async () => {
    await stop();
    hooks.onLeft?.();
  };

  const control = (command: ControlCommand) => {
    switch (command.kind) {
      case 'slowness': {
        slowness = command.factor;
        return;
      }

      case 'freeze-connections': {
        freezeConnections();
        return;
      }

      case 'leave': {
        void leave();
        return;
      }

      case 'crash': {
        crash();
      }
    }
  };

  const adminServer = createAdminServer({counters: counterReport, runs: () => runs, control});

  const announce = (address: string) => {
    if (settings.local !== undefined) {
      announcement = startAnnouncement(agent, settings.local, {
        kind: 'BackendServer',
        name: settings.name,
        labels: {},
        spec: {
          service, address, slots: settings.slots, connections: settings.connections, coldStartMs: settings.coldStart.milliseconds,
        },
      });
    }
  };

  return {
    async start() {
      startedAt = performance.now();
      const address = await listen(server, settings.address);
      const adminAddress = await listen(adminServer, settings.admin);
      announce(address);
      return {address, admin: adminAddress};
    },
    stop,
    crash,
    control,
    counters: counterReport,
    runs: () => runs,
  };
};
