/** The only way to the backend server of this host: admission, queue, dispatch, drain and at-most-once. */
import {Buffer} from 'node:buffer';
import {
  createQueue, enqueue, removeOverdue, removeQueued, takeNext, type QueuedCall,
} from '../decisions/inbound/queue.js';
import {
  takeAnnouncement, takeLeave, type Announcement, type LocalBackend,
} from './announcement.js';
import {createBackendPool, type RunningExchange} from './backend-pool.js';
import type {ExchangeResult} from './backend-connection.js';
import type {DecisionLog} from './decision-log.js';
import {createDoorLoad} from './door-load.js';
import type {
  BackendLoad, BackendState, CallHead, DoorRefusal, DoorResult,
} from './message.js';
import type {HttpDialect} from './protocol.js';
import {createRunRecords} from './run-records.js';

/** A call offered to the door. */
export type Offer = {
  /** Unique within this process. */
  key: string;
  call: CallHead;
  body: Buffer;
  onResult: (result: DoorResult, body: Buffer) => void;
};

/** The door. */
export type Door = {
  offer: (offer: Offer) => void;
  /** The caller has gone: a waiting call is dropped, a running one is broken off. */
  cancel: (key: string) => void;
  announce: (announcement: Announcement) => void;
  leave: (instance: string) => void;
  /** The process stops: no new calls of others. */
  stop: () => void;
  tick: () => void;
  /** This process stood still: announcements of that time have not been read yet. */
  resume: () => void;
  state: () => BackendState;
  /** Load with the times of all routes, or of one. */
  load: (route?: string) => BackendLoad;
  inFlight: () => number;
  /** Routes whose calls the backend server runs. */
  runningRoutes: () => ReadonlySet<string>;
  hasLeft: () => boolean;
  close: () => void;
};

/** Failed calls of the backend server of this host. */
export type FailuresBelow = {
  /** Time of the last one, in milliseconds of the clock. */
  failedAt: number;
  /** Times of the last ones that failed because a service lacked room, by that service. */
  lackingAt: Map<string, number>;
};

/** Options of the door. */
export type DoorOptions = {
  dialect: HttpDialect;
  now: () => number;
  log: DecisionLog;
  /** Bound of the time in which a leaving backend server may still get calls, in milliseconds. */
  drainMs: number;
  /** Window of the retry budget, in milliseconds. */
  retryWindowMs: number;
  /** Interval at which the backend server announces itself, in milliseconds. */
  announcementMs: number;
  below: () => FailuresBelow;
  /** Connections that a backend server of a service accepts. */
  connections: (service: string) => number;
  /** Called whenever what callers should know of the backend server has changed. */
  onState: (state: BackendState) => void;
};

/** Part of the drain time in which calls of processes that do not know of the drain yet are still passed on; the rest covers their way to the backend server. */
const DRAIN_ACCEPT_SHARE = 0.4;
/** Announcements that may be missed before the backend server counts as gone. */
const ANNOUNCEMENTS_MISSED = 4;
/** Part of the remaining time that a call may wait for a slot; the rest is needed to run it. */
const WAIT_SHARE = 0.5;
/** Failed connects in a row after which the backend server counts as gone until it announces itself. */
const CONNECT_FAILURES_MAX = 2;
const RETRY_AFTER_MIN_MS = 50;

/** First status of a failure; failures say nothing of the time that a call takes. */
const SERVER_ERROR = 500;

const noBytes = Buffer.alloc(0);

type Active = {
  offer: Offer;
  arrivedAt: number;
  deadlineAt: number;
  run: {exchange: RunningExchange | undefined; startedAt: number} | undefined;
  ended: boolean;
};

const toTenths = (milliseconds: number): number => Math.round(milliseconds * 10) / 10;

const lackingSince = ({lackingAt}: FailuresBelow, startedAt: number): string[] =>
  [...lackingAt].filter(([, at]) => at >= startedAt).map(([service]) => service);

/** Creates the door. */
export const createDoor = (options: DoorOptions): Door => {
  const {now, log, dialect} = options;
  let local: LocalBackend = {kind: 'none'};
  let stopping = false;
  const doorLoad = createDoorLoad(now, options.retryWindowMs);
  let connectFailures = 0;
  const queue = createQueue();
  const calls = new Map<string, Active>();
  const runRecords = createRunRecords(now);
  const pool = createBackendPool({
    dialect,
    now,
    onReport(event, requestId) {
      log.count('backend_protocol', event);
      log.write('warn', event, {request: requestId});
    },
  });

  const announced = (): Announcement | undefined => local.kind === 'announced' ? local.announcement : undefined;
  const limit = (): number => {
    const backend = announced() ?? (local.kind === 'left' ? local.previous : undefined);
    return backend === undefined ? 0 : Math.min(backend.slots, options.connections(backend.service));
  };

  const load = (route?: string): BackendLoad => doorLoad.report({queued: queue.length, limit: limit()}, route);

  const state = (): BackendState => {
    if (local.kind !== 'announced') {
      return {kind: 'absent'};
    }

    const {announcement, drainingSince, heardAt} = local;
    return {
      kind: drainingSince !== undefined || stopping ? 'draining' : 'ready',
      service: announcement.service,
      instance: announcement.instance,
      load: load(),
      coldMs: Math.max(0, announcement.coldMs - (now() - heardAt)),
    };
  };

  const changed = (): void => {
    options.onState(state());
  };

  const end = (active: Active, result: DoorResult, body: Buffer): void => {
    if (active.ended) {
      return;
    }

    active.ended = true;
    calls.delete(active.offer.key);
    active.offer.onResult(result, body);
  };

  const retryAfter = (): number => Math.max(RETRY_AFTER_MIN_MS, Math.round((queue.length + 1) * doorLoad.serviceMs() / Math.max(1, limit())));

  const refuse = (active: Active, reason: DoorRefusal, arrived = false): void => {
    log.count('door_refusals', reason);
    const {requestId, route, priority} = active.offer.call;
    log.write('info', 'door-refused', {
      request: requestId, reason, route, priority, waitedMs: Math.round(now() - active.arrivedAt), remainingMs: Math.round(active.deadlineAt - now()), running: doorLoad.running(), queued: queue.length, limit: limit(), serviceMs: Math.round(doorLoad.serviceMs()),
    });
    end(active, {
      kind: 'refused', reason, arrived, retryAfterMs: retryAfter(),
    }, noBytes);
  };

  /** Why no call may be passed on at the moment. */
  const closedBecause = (): DoorRefusal | undefined => {
    if (local.kind === 'none' || (local.kind === 'left' && local.previous === undefined)) {
      return 'backend-absent';
    }

    const since = local.kind === 'left' ? local.leftAt : local.drainingSince;
    return since !== undefined && now() - since > options.drainMs * DRAIN_ACCEPT_SHARE ? 'backend-draining' : undefined;
  };

  const target = (): Announcement => local.kind === 'left' ? local.previous! : (local as {announcement: Announcement}).announcement;

  const noteConnectFailure = (cause: string): void => {
    connectFailures++;
    if (connectFailures === CONNECT_FAILURES_MAX && local.kind === 'announced') {
      log.write('warn', 'backend-unreachable', {instance: local.announcement.instance, cause});
      local = {kind: 'none'};
      changed();
    }
  };

  const settle = (active: Active, result: ExchangeResult): void => {
    const {call} = active.offer;
    const run = {route: call.route, startedAt: active.run!.startedAt};
    doorLoad.ended(run);
    switch (result.kind) {
      case 'answered': {
        connectFailures = 0;
        const statement = dialect.readBackend(result.status, result.rawHeaders);
        if (statement.notRun) {
          runRecords.withdraw(call.requestId);
          refuse(active, 'backend-refused', true);
          break;
        }

        const below = options.below();
        if (result.status < SERVER_ERROR) {
          doorLoad.served(run);
        }

        end(active, {
          kind: 'answered', status: result.status, rawHeaders: result.rawHeaders, framed: result.framed, failedBelow: below.failedAt >= active.run!.startedAt, lackingBelow: lackingSince(below, active.run!.startedAt),
        }, result.body);
        break;
      }

      case 'not-sent': {
        noteConnectFailure(result.cause);
        runRecords.withdraw(call.requestId);
        refuse(active, 'backend-unreachable');
        break;
      }

      case 'lost': {
        if (!active.ended) {
          log.count('door_losses', 'connection');
          log.write('warn', 'backend-lost', {request: call.requestId, cause: result.cause, ranMs: Math.round(now() - active.run!.startedAt)});
        }

        end(active, {kind: 'lost', cause: result.cause}, noBytes);
        break;
      }
    }

    dispatchNext();
  };

  const dispatch = (active: Active): void => {
    const {call, body} = active.offer;
    const remainingMs = Math.floor(active.deadlineAt - now());
    if (!call.idempotent && !runRecords.begin(call.requestId)) {
      log.write('warn', 'repeat-prevented', {request: call.requestId});
      end(active, {kind: 'lost', cause: 'the request was already passed on once'}, noBytes);
      return;
    }

    const startedAt = now();
    doorLoad.started({route: call.route, startedAt});
    const {instance} = target();
    active.run = {startedAt, exchange: undefined};
    active.run.exchange = pool.run({
      requestId: call.requestId,
      method: call.method,
      path: call.path,
      rawHeaders: [...call.rawHeaders, ...dialect.backendHeaders(instance, remainingMs)],
      body,
      onEnd(result) {
        settle(active, result);
      },
    });
  };

  const judge = (call: QueuedCall): 'take' | 'drop' => call.queueUntil <= now() ? 'drop' : 'take';

  const dispatchNext = (): void => {
    while (doorLoad.running() < limit() && queue.length > 0) {
      const {taken, dropped} = takeNext(queue, {isKindBlocked: () => false, judge});
      for (const {callId} of dropped) {
        refuse(calls.get(callId)!, 'queue-time');
      }

      if (taken === undefined) {
        return;
      }

      const active = calls.get(taken.callId)!;
      const closed = closedBecause();
      if (closed === undefined) {
        dispatch(active);
      } else {
        refuse(active, closed);
      }
    }
  };

  const rejectQueue = (reason: DoorRefusal): void => {
    for (const {callId} of removeOverdue(queue, Number.POSITIVE_INFINITY)) {
      refuse(calls.get(callId)!, reason);
    }
  };

  const queuedAhead = (priority: number): number => {
    let ahead = 0;
    for (const [index, lanes] of queue.priorities.entries()) {
      if (index <= priority) {
        for (const lane of lanes?.values() ?? []) {
          ahead += lane.length;
        }
      }
    }

    return ahead;
  };

  const wait = (active: Active): void => {
    const {call, key} = active.offer;
    const remainingMs = active.deadlineAt - now();
    const longestMs = Math.min(remainingMs * WAIT_SHARE, Math.max(call.targetMs, 0) + doorLoad.serviceMs());
    const expectedMs = (queuedAhead(call.priority) + 1) * doorLoad.serviceMs() / Math.max(1, limit());
    if (expectedMs > longestMs) {
      refuse(active, 'queue-full');
      return;
    }

    enqueue(queue, {
      callId: key, priority: call.priority, requestKind: call.route, arrivedAt: active.arrivedAt, deadlineAt: active.deadlineAt, queueUntil: now() + longestMs,
    });
  };

  const checkSilence = (): void => {
    if (local.kind === 'announced' && now() - local.heardAt > options.announcementMs * ANNOUNCEMENTS_MISSED) {
      log.write('warn', 'backend-silent', {instance: local.announcement.instance, silentMs: Math.round(now() - local.heardAt)});
      local = {kind: 'none'};
      changed();
    }
  };

  return {
    offer(offer) {
      const active: Active = {
        offer, arrivedAt: now(), deadlineAt: now() + offer.call.remainingMs, run: undefined, ended: false,
      };
      calls.set(offer.key, active);
      doorLoad.arrived(offer.call.isRepeat);
      const closed = closedBecause();
      if (closed !== undefined) {
        refuse(active, closed);
      } else if (target().service !== offer.call.service) {
        refuse(active, 'other-service');
      } else if (offer.call.remainingMs <= 0) {
        refuse(active, 'deadline-passed');
      } else if (doorLoad.running() < limit() && queue.length === 0) {
        dispatch(active);
      } else {
        wait(active);
      }
    },
    cancel(key) {
      const active = calls.get(key);
      if (active === undefined) {
        return;
      }

      active.ended = true;
      calls.delete(key);
      const {call} = active.offer;
      if (active.run === undefined) {
        removeQueued(queue, {priority: call.priority, requestKind: call.route}, key);
      } else {
        active.run.exchange?.cancel('the caller has gone');
      }
    },
    announce(announcement) {
      const taken = takeAnnouncement(local, announcement, now());
      local = taken.local;
      switch (taken.change) {
        case 'new-instance': {
          connectFailures = 0;
          doorLoad.reset();
          pool.reset(announcement.address);
          log.write('info', 'backend-announced', {...announcement});
          changed();
          break;
        }

        case 'draining': {
          log.write('info', 'backend-draining', {
            instance: announcement.instance, sequence: announcement.sequence, running: doorLoad.running(), queued: queue.length,
          });
          changed();
          break;
        }

        case 'outdated': {
          log.write('info', 'announcement-outdated', {instance: announcement.instance, sequence: announcement.sequence});
          break;
        }

        case 'refreshed': {
          break;
        }
      }

      dispatchNext();
    },
    leave(instance) {
      const before = local;
      local = takeLeave(local, instance, now());
      log.write('info', 'backend-left', {
        instance, known: local !== before, running: doorLoad.running(), queued: queue.length,
      });
      if (local !== before) {
        changed();
      }
    },
    stop() {
      stopping = true;
      changed();
    },
    tick() {
      const overdue = removeOverdue(queue, now());
      for (const {callId} of overdue) {
        refuse(calls.get(callId)!, 'queue-time');
      }

      const closed = closedBecause();
      if (closed !== undefined && queue.length > 0) {
        rejectQueue(closed);
      }

      checkSilence();
      runRecords.forget();
      pool.sweep();
      dispatchNext();
    },
    resume() {
      if (local.kind === 'announced') {
        local = {...local, heardAt: now()};
      }
    },
    state,
    load,
    inFlight: () => calls.size,
    runningRoutes: doorLoad.runningRoutes,
    hasLeft: () => local.kind === 'left',
    close: pool.close,
  };
};
