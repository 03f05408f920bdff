/** Status of the backend server of this host: whether it may get calls and how fast, from its announcements, its responses and what other processes know of it. */
import {mergeRecord} from '../links/backend-records.js';
import type {DecisionLog} from '../decision-log.js';
import type {BackendStatement} from '../entry/http-dialect.js';
import type {BackendRecord, RefusalReason} from '../message.js';
import {
  applyAnnouncement, applyDeparture, applyLeaving, type Announcement, type LocalBackend,
} from './announcement.js';
import {createCallRateLimit, type CallRateLimit} from './call-rate-limit.js';
import {createDepartures, type Departure} from './departures.js';
import {createDoubtfulAnnouncement} from './doubtful-announcement.js';

/** Dispatch of a call: the start of the backend server that it went to, and its time in milliseconds of the clock. */
export type Dispatch = {backend: Announcement; startedAt: number};

/** Status of the backend server of this host. */
export type BackendStatus = {
  /** Limit of the rate of calls. */
  rateLimit: Pick<CallRateLimit, 'perSecond' | 'waitMs' | 'recordDispatch'>;
  /** Applies an announcement. */
  announce: (announcement: Announcement) => void;
  /** Applies a deregistration; `startedAt` is the start of the instance, if it states it. */
  leave: (instance: string, startedAt?: number) => void;
  /** Applies what a backend server states in the response to a call; a statement of one that has been replaced since concerns no later call. */
  applyStatement: (statement: BackendStatement, dispatch: Dispatch) => void;
  /** Applies what another process knows. */
  recall: (record: BackendRecord, from: string) => void;
  /** Applies the departures that the store holds, after which none is unknown. */
  restoreDepartures: (departures: readonly Departure[]) => void;
  /** What is to be remembered; undefined when nothing is known. */
  record: () => BackendRecord | undefined;
  /** Records that a connection could not be opened; after several in a row the backend server counts as absent. */
  recordConnectFailure: (cause: string) => void;
  recordConnected: () => void;
  /** Takes a backend server out of use that has stopped to announce itself; called periodically. */
  expire: () => void;
  resetAnnouncementTimeout: () => void;
  /** Announced backend server; undefined when there is none or it has left. */
  announced: () => Extract<LocalBackend, {kind: 'announced'}> | undefined;
  /** Backend server that calls are dispatched to: the announced one, or one that has left and still receives calls for part of the drain time. */
  target: () => Announcement | undefined;
  /** Reason why no call may be dispatched now; undefined when calls may be. */
  unavailableReason: () => RefusalReason | undefined;
  hasLeft: () => boolean;
};

/** Options of the status. */
export type BackendStatusOptions = {
  now: () => number;
  /** Time in milliseconds since the Unix epoch. @default Date.now */
  wallClock?: () => number;
  log: DecisionLog;
  /** Longest time for which a draining or leaving backend server may still receive calls, in milliseconds. */
  drainMs: number;
  /** Interval at which the backend server announces itself, in milliseconds. */
  announcementMs: number;
  /** Calls that run and wait, for the log. */
  callCounts: () => {running: number; queued: number};
  /** Called with the first announcement of a backend server, before other processes are informed. */
  onReplaced: (announcement: Announcement) => void;
  /** Called when anything that other processes have to know has changed. */
  onChange: () => void;
  /** Called with all departures when there is a new one, which has to outlast this process. */
  onDeparture?: (departures: Departure[]) => void;
  /** Whether the store may hold departures that this process does not know yet, as after a restart. @default false */
  awaitsDepartures?: boolean;
};

/** Share of the drain time in which calls from processes that have not learned of the drain are still dispatched; the rest covers their transit to the backend server. */
const DRAIN_ACCEPT_SHARE = 0.4;
/** Announcements that may be missed before the backend server counts as absent. */
const MISSED_ANNOUNCEMENTS_MAX = 4;
/** Consecutive failed connects after which the backend server counts as absent until its next announcement. */
const CONNECT_FAILURES_MAX = 2;

/** Relative change of a rate limit that other processes hear of; a limit may vary with each response. */
const PUBLISHED_RATE_CHANGE = 0.1;

const isSameStart = (a: Announcement, b: Announcement): boolean => a.instance === b.instance && a.startedAt === b.startedAt;

/** Creates the status without a backend server. */
export const createBackendStatus = (options: BackendStatusOptions): BackendStatus => {
  const {now, log, wallClock = Date.now} = options;
  const rateLimit = createCallRateLimit(now);
  let local: LocalBackend = {kind: 'none'};
  /** What is remembered of a backend server while it is not announced. */
  let recalled: BackendRecord | undefined;
  const departures = createDepartures();
  let awaitsDepartures = options.awaitsDepartures ?? false;
  const doubtful = createDoubtfulAnnouncement({now, announcementMs: options.announcementMs});
  /** Backend server that has deregistered without having been announced here, as after a restart of this process. */
  let unknownLeft: string | undefined;
  let publishedRate: number | undefined;
  let connectFailures = 0;

  const target = (): Announcement | undefined => {
    switch (local.kind) {
      case 'none': {
        return undefined;
      }

      case 'announced': {
        return local.announcement;
      }

      case 'left': {
        return local.previous;
      }
    }
  };

  const drainingSince = (): number | undefined => local.kind === 'left' ? local.leftAt : (local.kind === 'announced' ? local.drainingSince : undefined);

  const record = (): BackendRecord | undefined => {
    const backend = target();
    return backend === undefined
      ? recalled
      : {
        instance: backend.instance, startedAt: backend.startedAt, isLeaving: drainingSince() !== undefined, ratePerSecond: rateLimit.perSecond(),
      };
  };

  /** Takes the backend server out of use until its next announcement; what it has stated still holds then. */
  const takeOutOfUse = (): void => {
    recalled = record();
    local = {kind: 'none'};
    options.onChange();
  };

  /** Publishes the rate limit when it differs noticeably from what other processes know. */
  const publishRate = (): void => {
    const perSecond = rateLimit.perSecond();
    const isKnown = perSecond !== undefined && publishedRate !== undefined
      ? Math.abs(perSecond - publishedRate) <= PUBLISHED_RATE_CHANGE * publishedRate
      : perSecond === publishedRate;
    if (isKnown) {
      return;
    }

    log.write('info', 'backend-rate-limit', {instance: target()?.instance, perSecond: perSecond ?? null, previous: publishedRate ?? null});
    publishedRate = perSecond;
    options.onChange();
  };

  const keepDeparture = (departure: Departure): void => {
    if (departures.add(departure)) {
      options.onDeparture?.(departures.all());
    }
  };

  const keepDepartureOf = ({instance, startedAt}: Pick<Announcement, 'instance' | 'startedAt'>): void => {
    keepDeparture({kind: 'start', instance, startedAt});
  };

  const markLeaving = (since: number): void => {
    const previous = local;
    local = applyLeaving(local, since);
    if (local !== previous) {
      log.write('info', 'backend-states-leaving', {instance: target()?.instance, ...options.callCounts()});
      keepDepartureOf(target()!);
      options.onChange();
    }
  };

  /** Applies what is remembered of the announced backend server; it may have left long ago, so it gets no further calls then. */
  const applyRecalled = (): void => {
    if (local.kind !== 'announced' || recalled?.startedAt !== local.announcement.startedAt || recalled.instance !== local.announcement.instance) {
      return;
    }

    if (recalled.isLeaving) {
      markLeaving(Number.NEGATIVE_INFINITY);
    }

    if (recalled.ratePerSecond !== undefined && rateLimit.recall(recalled.ratePerSecond)) {
      publishRate();
    }
  };

  /** Applies the departure of the announced backend server; it may have left long ago, so it gets no further calls. */
  const applyKnownDeparture = (): void => {
    if (local.kind === 'announced' && departures.match(local.announcement) !== undefined) {
      markLeaving(Number.NEGATIVE_INFINITY);
    }
  };

  const announceNew = (announcement: Announcement): void => {
    connectFailures = 0;
    unknownLeft = undefined;
    rateLimit.reset();
    publishedRate = undefined;
    options.onReplaced(announcement);
    log.write('info', 'backend-announced', {...announcement});
    applyRecalled();
    applyKnownDeparture();
    if (announcement.state === 'draining') {
      keepDepartureOf(announcement);
    }

    options.onChange();
  };

  /**
  Whether an announcement may be a late one of a backend server that is gone: a ready one while departures are unknown, and one of an earlier start than the known one.
  The latter may also come from a later start, if the clock of the host was set back between the two.
  */
  const isDoubtful = ({startedAt, state}: Announcement): boolean => local.kind === 'none'
    ? awaitsDepartures && state === 'ready'
    : startedAt < target()!.startedAt;

  /** Whether an announcement comes from a backend server that has left. One that is still announced, or that nothing has followed, may go on to announce its drain. */
  const isFromDeparted = (announcement: Announcement): boolean => {
    const departure = departures.match(announcement);
    const known = target();
    return departure !== undefined && (departure.kind === 'instance' || (known !== undefined && !isSameStart(known, announcement)));
  };

  const apply = (announcement: Announcement): void => {
    const {instance, sequence} = announcement;
    const update = applyAnnouncement(local, announcement, now());
    local = update.local;
    switch (update.change) {
      case 'new-instance': {
        announceNew(announcement);
        break;
      }

      case 'draining': {
        log.write('info', 'backend-draining', {instance, sequence, ...options.callCounts()});
        keepDepartureOf(announcement);
        options.onChange();
        break;
      }

      case 'outdated': {
        log.write('info', 'announcement-outdated', {instance, sequence});
        break;
      }

      case 'refreshed': {
        break;
      }
    }
  };

  const announce = (announcement: Announcement): void => {
    const {instance, sequence} = announcement;
    if (isFromDeparted(announcement)) {
      log.write('info', 'announcement-outdated', {instance, sequence});
      return;
    }

    if (!isDoubtful(announcement)) {
      apply(announcement);
      return;
    }

    if (doubtful.isRepeatedBy(announcement, local.kind === 'announced' ? local.receivedAt : Number.NEGATIVE_INFINITY)) {
      doubtful.take();
      local = {kind: 'none'};
      apply(announcement);
      return;
    }

    doubtful.hold(announcement);
    log.write('info', 'announcement-doubtful', {instance, sequence, awaitsDepartures});
  };

  /** Keeps the deregistration of a backend server that is not announced here. */
  const keepUnknownLeft = (instance: string, startedAt: number | undefined): void => {
    const isRepeated = unknownLeft === instance || (local.kind === 'left' && local.instance === instance);
    unknownLeft = local.kind === 'none' ? instance : undefined;
    if (startedAt !== undefined) {
      keepDepartureOf({instance, startedAt});
    } else if (!isRepeated) {
      keepDeparture({kind: 'instance', instance, leftAt: wallClock()});
    }
  };

  return {
    rateLimit,
    announce,
    leave(instance, startedAt) {
      const previous = local;
      if (startedAt === undefined || target()?.startedAt === startedAt) {
        local = applyDeparture(local, instance, now());
      }

      log.write('info', 'backend-left', {instance, known: local !== previous, ...options.callCounts()});
      if (local === previous) {
        keepUnknownLeft(instance, startedAt);
      } else {
        keepDepartureOf(target()!);
        options.onChange();
      }
    },
    applyStatement({ratePerSecond, isLeaving}, {backend, startedAt}) {
      if (local.kind === 'none') {
        recalled = mergeRecord(recalled, {
          instance: backend.instance, startedAt: backend.startedAt, isLeaving, ratePerSecond: ratePerSecond ?? recalled?.ratePerSecond,
        });
        if (isLeaving) {
          keepDepartureOf(backend);
        }

        options.onChange();
        return;
      }

      if (target()?.startedAt !== backend.startedAt) {
        return;
      }

      if (rateLimit.applyStatement(ratePerSecond, startedAt)) {
        publishRate();
      }

      if (isLeaving) {
        markLeaving(now());
      }
    },
    recall(known, from) {
      recalled = mergeRecord(recalled, known);
      log.write('info', 'backend-recalled', {...known, from});
      applyRecalled();
    },
    restoreDepartures(earlier) {
      departures.restore(earlier);
      awaitsDepartures = false;
      applyKnownDeparture();
      const held = doubtful.take();
      if (held !== undefined) {
        announce(held);
      }
    },
    record,
    recordConnectFailure(cause) {
      connectFailures++;
      if (connectFailures === CONNECT_FAILURES_MAX && local.kind === 'announced') {
        log.write('warn', 'backend-unreachable', {instance: local.announcement.instance, cause});
        takeOutOfUse();
      }
    },
    recordConnected() {
      connectFailures = 0;
    },
    expire() {
      if (local.kind === 'announced' && now() - local.receivedAt > options.announcementMs * MISSED_ANNOUNCEMENTS_MAX) {
        log.write('warn', 'backend-silent', {instance: local.announcement.instance, silentMs: Math.round(now() - local.receivedAt)});
        takeOutOfUse();
      }
    },
    resetAnnouncementTimeout() {
      if (local.kind === 'announced') {
        local = {...local, receivedAt: now()};
      }
    },
    announced: () => local.kind === 'announced' ? local : undefined,
    target,
    unavailableReason() {
      const since = drainingSince();
      if (target() === undefined) {
        return 'backend-absent';
      }

      return since !== undefined && now() - since > options.drainMs * DRAIN_ACCEPT_SHARE ? 'backend-draining' : undefined;
    },
    hasLeft: () => local.kind === 'left' || (local.kind === 'none' && unknownLeft !== undefined),
  };
};
