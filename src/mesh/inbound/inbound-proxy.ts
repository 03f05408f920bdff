/** Inbound proxy: every call to the backend server of this host passes through it. It refuses, queues and dispatches calls, drains, and runs non-idempotent calls at most once. */
import {Buffer} from 'node:buffer';
import {createBodyAccount} from '../flow-control/body-account.js';
import {createBodyGrants, type BodyGrants} from '../flow-control/body-grants.js';
import type {ReportedDemand} from '../fair-shares/demand-tracker.js';
import type {
  BackendLoad, BackendRecord, BackendState, RefusalReason, CallResult,
} from '../message.js';
import type {Announcement} from './announcement.js';
import {createBackendConnectionPool} from './backend-connection-pool.js';
import type {ExchangeResult} from './backend-connection.js';
import {createBackendStatus} from './backend-status.js';
import {createCallQueue} from './call-queue.js';
import {createCrashDetector} from './crash-detector.js';
import type {Departure} from './departures.js';
import {createBackendLoadTracker} from './backend-load-tracker.js';
import {createDispatchRecords} from './dispatch-records.js';
import {overloadedSince, type ActiveCall, type InboundCall} from './inbound-call.js';
import type {InboundProxyOptions} from './inbound-proxy-options.js';
import {createSuspectIsolation} from './suspect-isolation.js';

/** Passes calls from this and other processes to the backend server of this host. */
export type InboundProxy = {
  /** Dispatches, queues or refuses a call. `onResult` is called once, unless the call is cancelled. */
  submit: (inbound: InboundCall) => void;
  /** Cancels a call whose caller disconnected: removes it from the queue, or closes the connection on which it runs. */
  cancel: (key: string) => void;
  /** Handles an announcement of the backend server. */
  announce: (announcement: Announcement) => void;
  /** Handles the deregistration of an instance of the backend server; `startedAt` is its start, if it states it. */
  leave: (instance: string, startedAt?: number) => void;
  /** Reports the backend server as draining to the other processes, because this process is stopping. */
  drain: () => void;
  /** What the backend server has stated about itself, to this process or to others that have reported it; undefined when nothing is known. */
  record: () => BackendRecord | undefined;
  /** Applies what another process knows of the backend server of this host; it matters after a restart of this process. */
  recall: (record: BackendRecord, from: string) => void;
  /** Applies the departures that the store holds. */
  restoreDepartures: (departures: readonly Departure[]) => void;
  /** Applies everything that depends on time: queue timeouts, the end of a drain, missed announcements, and the expiry of records and connections. */
  tick: () => void;
  /** Restarts the announcement timeout; called after this process was suspended, when announcements that arrived meanwhile have not been read yet. */
  resetAnnouncementTimeout: () => void;
  /** State of the backend server, as published to the other processes. */
  state: () => BackendState;
  /** Current load, with the service times of all routes and the demand by workspace, or with the service time of one route only. */
  load: (route?: string) => BackendLoad;
  /** Recent demand for the backend server by workspace; undefined without calls of workspaces. */
  workspaceDemand: () => ReportedDemand | undefined;
  /** Number of calls that are queued or running, or whose body is awaited. */
  inFlight: () => number;
  /** Routes of the calls that the backend server is running. */
  runningRoutes: () => ReadonlySet<string>;
  /** Account of the bodies of calls from other processes, and grants for long ones. */
  bodies: BodyGrants;
  /** Whether the backend server has deregistered. */
  hasBackendLeft: () => boolean;
  /** Closes all connections to the backend server. */
  close: () => void;
};

/** Responses with this status or above are failures; their duration is left out of the service times. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** Memory that the bodies of calls from other processes hold at most by default, in bytes. */
const BODY_BYTES_DEFAULT = 32 * 1024 * 1024;

const NO_BODY = Buffer.alloc(0);

/** Creates an inbound proxy without a backend server. */
export const createInboundProxy = (options: InboundProxyOptions): InboundProxy => {
  const {now, log, dialect, crashGuard} = options;
  let stopping = false;
  const loadTracker = createBackendLoadTracker(now, options.retryWindowMs);
  const calls = new Map<string, ActiveCall>();
  const dispatchRecords = createDispatchRecords(now);
  const suspectIsolation = createSuspectIsolation(crashGuard);
  const pool = createBackendConnectionPool({
    dialect,
    now,
    responseWaitBytes: options.responseWaitBytes,
    unsentBytes: options.unsentBytes,
    hasRoom: options.hasRoom,
    onProtocolEvent(event, requestId) {
      log.count('backend_protocol', event);
      log.write('warn', event, {request: requestId});
    },
  });

  const backendStatus = createBackendStatus({
    now,
    log,
    drainMs: options.drainMs,
    announcementMs: options.announcementMs,
    awaitsDepartures: options.awaitsDepartures,
    onDeparture: options.onDeparture,
    callCounts: () => ({running: loadTracker.running(), queued: queue.length()}),
    onReplaced({address}) {
      loadTracker.reset();
      pool.reset(address);
    },
    onChange() {
      publishState();
    },
  });
  const {rateLimit} = backendStatus;
  const bodies = createBodyGrants({
    now, log, account: createBodyAccount({heldBytesMax: options.bodyBytesMax ?? BODY_BYTES_DEFAULT}), obstacle: backendStatus.unavailableReason, hasRoom: options.hasRoom,
  });
  const queue = createCallQueue({
    now, serviceMs: loadTracker.serviceMs, limit: () => limit(), rateWaitMs: rateLimit.waitMs,
  });

  /** Counts a refused connection, unless another backend server has been announced since. */
  const recordConnectFailure = (startedAt: number, cause: string): void => {
    if (backendStatus.target()?.startedAt === startedAt) {
      backendStatus.recordConnectFailure(cause);
    }
  };

  const crashDetector = createCrashDetector<InboundCall>({
    onCrash({instance, startedAt}, lost) {
      recordConnectFailure(startedAt, 'the backend server has crashed');

      crashGuard.recordCrash({id: `${instance}/${startedAt}`, at: Date.now()}, lost);
    },
  });

  const limit = (): number => {
    const backend = backendStatus.target();
    return backend === undefined ? 0 : Math.min(backend.slots, options.connectionLimit(backend.service));
  };

  const load = (route?: string): BackendLoad => loadTracker.report({queued: queue.length(), limit: limit(), perSecondMax: rateLimit.perSecond()}, route);

  const state = (): BackendState => {
    const announced = backendStatus.announced();
    if (announced === undefined) {
      return {kind: 'absent'};
    }

    const {announcement, drainingSince, receivedAt} = announced;
    return {
      kind: drainingSince !== undefined || stopping ? 'draining' : 'ready',
      service: announcement.service,
      instance: announcement.instance,
      load: load(),
      coldMs: Math.max(0, announcement.coldMs - (now() - receivedAt)),
    };
  };

  const publishState = (): void => {
    options.onStateChange(state());
  };

  const complete = (active: ActiveCall, result: CallResult, body: Buffer): void => {
    if (active.ended) {
      return;
    }

    active.ended = true;
    calls.delete(active.inbound.key);
    active.inbound.onResult(result, body);
  };

  const refuse = (active: ActiveCall, reason: RefusalReason, arrived = false): void => {
    log.count('door_refusals', reason);
    const {requestId, route, priority} = active.inbound.call;
    log.write('info', 'door-refused', {
      request: requestId,
      reason,
      route,
      priority,
      waitedMs: Math.round(now() - active.arrivedAt),
      remainingMs: Math.round(active.deadlineAt - now()),
      running: loadTracker.running(),
      queued: queue.length(),
      limit: limit(),
      perSecond: rateLimit.perSecond(),
      serviceMs: Math.round(loadTracker.serviceMs()),
    });
    complete(active, {
      kind: 'refused', reason, arrived, retryAfterMs: queue.retryAfterMs(),
    }, NO_BODY);
  };

  const handleExchangeResult = (active: ActiveCall, result: ExchangeResult): void => {
    const {call} = active.inbound;
    const {route, workspace, admittedShare, freshShare} = call;
    const run = {
      route, startedAt: active.run!.startedAt, workspace, admittedShare, freshShare,
    };
    loadTracker.recordEnd(run);
    suspectIsolation.recordEnd(active.inbound);
    switch (result.kind) {
      case 'answered': {
        backendStatus.recordConnected();
        const metadata = dialect.readResponse(result.status, result.rawHeaders);
        backendStatus.applyStatement(metadata.statement, active.run!);
        if (metadata.notRun) {
          dispatchRecords.remove(call.requestId);
          refuse(active, 'backend-refused', true);
          break;
        }

        const failures = options.downstreamFailures();
        // Without a length, the response of a backend server that crashed meanwhile looks complete.
        if (result.framed) {
          crashGuard.recordEnd(call, active.inbound.body);
        }

        if (result.status < FIRST_SERVER_ERROR_STATUS) {
          loadTracker.recordSuccess(run);
        }

        complete(active, {
          kind: 'answered',
          status: result.status,
          rawHeaders: result.rawHeaders,
          framed: result.framed,
          failedBelow: failures.lastFailureAt >= active.run!.startedAt,
          lackingBelow: overloadedSince(failures, active.run!.startedAt),
        }, result.body);
        break;
      }

      case 'not-sent': {
        recordConnectFailure(active.run!.backend.startedAt, result.cause);
        dispatchRecords.remove(call.requestId);
        refuse(active, 'backend-unreachable');
        break;
      }

      case 'lost': {
        if (!active.ended) {
          log.count('door_losses', 'connection');
          log.write('warn', 'backend-lost', {request: call.requestId, cause: result.cause, ranMs: Math.round(now() - active.run!.startedAt)});
          crashDetector.recordLoss({
            call: active.inbound,
            backend: active.run!.backend,
            release() {
              complete(active, {kind: 'lost', cause: result.cause}, NO_BODY);
            },
          });
        }

        break;
      }
    }

    dispatchQueued();
  };

  const dispatch = (active: ActiveCall): void => {
    const {call, body} = active.inbound;
    if (!suspectIsolation.mayRun(active.inbound)) {
      refuse(active, 'crash-suspect');
      return;
    }

    const remainingMs = Math.floor(active.deadlineAt - now());
    if (!call.idempotent && !dispatchRecords.record(call.requestId)) {
      log.write('warn', 'repeat-prevented', {request: call.requestId});
      complete(active, {kind: 'lost', cause: 'the request was already dispatched to the backend server'}, NO_BODY);
      return;
    }

    suspectIsolation.recordStart(active.inbound);
    const startedAt = now();
    rateLimit.recordDispatch();
    loadTracker.recordStart({route: call.route, startedAt});
    const backend = backendStatus.target()!;
    active.run = {startedAt, backend, exchange: undefined};
    active.run.exchange = pool.run({
      requestId: call.requestId,
      method: call.method,
      path: call.path,
      rawHeaders: [...call.rawHeaders, ...dialect.addedRequestHeaders(backend.instance, remainingMs)],
      body,
      onEnd(result) {
        handleExchangeResult(active, result);
      },
    });
  };

  const mayDispatch = (): boolean => loadTracker.running() < limit() && rateLimit.waitMs(1) === 0;

  /** Why a call may not be dispatched to the backend server that is there now; asked when the call arrives and again when it leaves the queue, since another service may have taken the address meanwhile. */
  const findObstacle = ({service}: InboundCall['call']): RefusalReason | undefined =>
    backendStatus.unavailableReason() ?? (backendStatus.target()?.service === service ? undefined : 'other-service');

  const dispatchQueued = (): void => {
    while (mayDispatch() && queue.length() > 0) {
      const {taken, dropped} = queue.takeNext();
      for (const callId of dropped) {
        refuse(calls.get(callId)!, 'queue-time');
      }

      if (taken === undefined) {
        return;
      }

      const active = calls.get(taken)!;
      const obstacle = findObstacle(active.inbound.call);
      if (obstacle === undefined) {
        dispatch(active);
      } else {
        refuse(active, obstacle);
      }
    }
  };

  return {
    submit(inbound) {
      const active: ActiveCall = {
        inbound, arrivedAt: now(), deadlineAt: now() + inbound.call.remainingMs, run: undefined, ended: false,
      };
      if (inbound.call.crashRecord !== undefined) {
        crashGuard.merge([inbound.call.crashRecord]);
      }

      calls.set(inbound.key, active);
      loadTracker.recordArrival(inbound.call.isRepeat);
      const obstacle = findObstacle(inbound.call);
      if (obstacle !== undefined) {
        refuse(active, obstacle);
      } else if (inbound.call.remainingMs <= 0) {
        refuse(active, 'deadline-passed');
      } else if (mayDispatch() && queue.length() === 0) {
        dispatch(active);
      } else {
        const refusal = queue.add(active);
        if (refusal !== undefined) {
          refuse(active, refusal);
        }
      }
    },
    cancel(key) {
      const active = calls.get(key);
      if (active === undefined) {
        return;
      }

      active.ended = true;
      calls.delete(key);
      if (active.run === undefined) {
        queue.remove(active);
      } else {
        active.run.exchange?.cancel('the caller disconnected');
      }
    },
    announce(announcement) {
      backendStatus.announce(announcement);
      dispatchQueued();
    },
    leave: backendStatus.leave,
    record: backendStatus.record,
    recall: backendStatus.recall,
    restoreDepartures(departures) {
      backendStatus.restoreDepartures(departures);
      dispatchQueued();
    },
    drain() {
      stopping = true;
      publishState();
    },
    tick() {
      for (const callId of queue.removeOverdue(now())) {
        refuse(calls.get(callId)!, 'queue-time');
      }

      const unavailable = backendStatus.unavailableReason();
      if (unavailable !== undefined) {
        for (const callId of queue.removeOverdue(Number.POSITIVE_INFINITY)) {
          refuse(calls.get(callId)!, unavailable);
        }
      }

      backendStatus.expire();
      dispatchRecords.removeExpired();
      pool.closeExpired();
      bodies.tick();
      dispatchQueued();
    },
    resetAnnouncementTimeout: backendStatus.resetAnnouncementTimeout,
    state,
    load,
    workspaceDemand: loadTracker.workspaceDemand,
    inFlight: () => calls.size + bodies.unsubmitted(),
    runningRoutes: loadTracker.runningRoutes,
    bodies,
    hasBackendLeft: backendStatus.hasLeft,
    close: pool.close,
  };
};
