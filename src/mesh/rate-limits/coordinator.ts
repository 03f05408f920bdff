/** Grants permits to the processes of its zone from the fractions that they lend, and to coordinators of other zones what its own zone does not need. */
import type {DecisionLog} from '../decision-log.js';
import type {PermitAsk, PermitGrant} from '../message.js';
import {createBorrowing, type OtherCoordinator} from './borrowing.js';
import {createCoordinatedWorkspace, unmetPermits, type CoordinatedWorkspace} from './coordinated-workspace.js';
import {createLentLimits, type FleetPart} from './lent-limits.js';
import type {WorkspaceLimit} from './permit-bucket.js';
import {createPermitLots, sumPermits, type PermitLots} from './permit-lots.js';
import type {Permits, PermitsWanted} from './permit-messages.js';
import {
  LOAN_MS, PERMIT_LIFETIME_MS, POLL_MS, RETRY_AFTER_MAX_MS, SECOND_MS,
} from './times.js';

/** Part of a process that grants permits; it does nothing before it is asked. */
export type Coordinator = {
  /** Clock in the answers, in milliseconds. */
  clock: () => number;
  /** Answers a poll; undefined for one that arrives again. */
  answer: (from: string, message: PermitsWanted) => Permits | undefined;
  /** Takes the permits that a coordinator of another zone has granted. */
  receive: (from: string, message: Permits) => void;
  /** Fraction of every limit that processes lend it now. */
  lentFraction: () => number;
  /** Drives what depends on time; called periodically. */
  tick: () => void;
  /** Forgets the polls that were not answered, because this process was suspended. */
  resetExchanges: () => void;
};

/** Options of a coordinator. */
export type CoordinatorOptions = {
  now: () => number;
  log: DecisionLog;
  /** Added to the clock in the answers, so that a clock from before a restart is not taken for a present one. */
  clockOrigin: number;
  /** Number of the first poll that it sends. */
  firstExchange: number;
  /** Limited workspaces by name; a new map with each configuration. */
  limits: () => ReadonlyMap<string, WorkspaceLimit>;
  /** Fractions of the limits that this process and its zone own, and the number of zones. */
  fleetPart: () => FleetPart;
  isInZone: (node: string) => boolean;
  /** Coordinators of other zones that can be reached. */
  others: () => OtherCoordinator[];
  send: (node: string, message: PermitsWanted) => void;
  schedule: (milliseconds: number, run: () => void) => void;
};

/** Time without asks after which the state of a workspace, once its bucket is full, or of a process that asked is dropped, in milliseconds. */
const IDLE_MS = 5000;
/** Interval at which state that is no longer needed is dropped, in milliseconds. */
const CLEANING_MS = 1000;
/** `Retry-After` for a workspace that has no limit in the configuration here, or while too little is lent for a permit, in milliseconds. */
const UNKNOWN_RETRY_MS = 200;
/** Shortest interval between two log lines about the lent fraction, in milliseconds, and the smallest change that is logged. */
const LOG_INTERVAL_MS = 1000;
const LOG_CHANGE = 0.01;

/** Whether granted permits come from the bucket of this coordinator or from a coordinator of another zone. */
type GrantSource = 'own' | 'borrowed';

/** Granted permits. */
type GrantedPart = {permits: number; lifetimeMs: number; source: GrantSource};

/** State of one process that asks. */
type Asker = {lastExchange: number; seenAt: number; /** Permits granted to it that may still be unused. */ issued: Map<string, PermitLots<GrantSource>>};

/** Creates a coordinator without loans. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
  const {now, log} = options;
  const entries = new Map<string, CoordinatedWorkspace>();
  const askers = new Map<string, Asker>();
  let cleanedAt = now();
  let logged = {fraction: 0, at: Number.NEGATIVE_INFINITY};

  const clock = (): number => options.clockOrigin + now();

  const lent = createLentLimits({
    createdAt: now(),
    limits: options.limits,
    fleetPart: options.fleetPart,
    onChange(at) {
      for (const [workspace, entry] of entries) {
        const limit = lent.limitOf(workspace);
        if (limit === undefined) {
          entries.delete(workspace);
        } else {
          entry.bucket.setShare(at, lent.fraction(), limit, lent.zonePart());
        }
      }
    },
  });
  const borrowing = createBorrowing({
    now,
    log,
    firstExchange: options.firstExchange,
    workspaces: entries,
    others: options.others,
    send: options.send,
    schedule: options.schedule,
  });

  /** Drops what is no longer needed. */
  const clean = (time: number): void => {
    cleanedAt = time;
    lent.clean(time);
    for (const [workspace, entry] of entries) {
      if (time - entry.usedAt > IDLE_MS && entry.bucket.isFull(time)) {
        entries.delete(workspace);
      }
    }

    for (const [node, {seenAt, issued}] of askers) {
      if (time - seenAt > IDLE_MS) {
        askers.delete(node);
      }

      for (const [workspace, lots] of issued) {
        if (lots.count(time) === 0) {
          issued.delete(workspace);
        }
      }
    }
  };

  const entryOf = (workspace: string, limit: WorkspaceLimit, time: number): CoordinatedWorkspace => {
    const known = entries.get(workspace);
    if (known !== undefined) {
      known.usedAt = time;
      return known;
    }

    const created = createCoordinatedWorkspace(lent.createBucket(workspace, limit, time), time);
    entries.set(workspace, created);
    return created;
  };

  /** Time after which a process that lacks permits should ask again, in milliseconds: what other processes lack comes first. */
  const retryAfterMs = (entry: CoordinatedWorkspace, from: string, time: number): number => {
    const unmetElsewhere = Math.max(0, unmetPermits(entry, time) - (entry.unmet.get(from)?.permits ?? 0));
    const ownMs = entry.bucket.ratePerS() === 0 || entry.bucket.size() < 1 ? UNKNOWN_RETRY_MS : entry.bucket.waitMs(time, 1 + unmetElsewhere);
    return borrowing.retryAfterMs(entry, ownMs, time);
  };

  const putBack = (asker: Asker, entry: CoordinatedWorkspace, {workspace, returned}: PermitAsk, time: number): number => {
    const issued = asker.issued.get(workspace)?.take(time, returned) ?? [];
    const permits = sumPermits(issued);
    entry.bucket.putBack(time, permits, sumPermits(issued.filter(({source}) => source === 'own')));
    return permits;
  };

  const grantOwnZone = (from: string, entry: CoordinatedWorkspace, wanted: number, time: number): GrantedPart[] => {
    const borrowed = entry.borrowed.take(time, wanted).map(({permits, expiresAt}) => ({permits, lifetimeMs: expiresAt - time, source: 'borrowed' as const}));
    const borrowedPermits = sumPermits(borrowed);
    const own = entry.bucket.take(time, wanted - borrowedPermits);
    entry.used.add(borrowedPermits + own);
    const unmet = wanted - borrowedPermits - own;
    if (unmet > 0) {
      entry.unmet.set(from, {permits: unmet, at: time});
    } else {
      entry.unmet.delete(from);
    }

    return [...borrowed, {permits: own, lifetimeMs: PERMIT_LIFETIME_MS, source: 'own'}];
  };

  /** Another zone gets what the own zone does not need until the next poll; a small bucket stays as full as the own zone uses its rate. */
  const grantOtherZone = (entry: CoordinatedWorkspace, wanted: number, time: number): GrantedPart[] => {
    const {bucket} = entry;
    const usedPerS = entry.used.ratePerS();
    const usedShare = bucket.ratePerS() === 0 ? 1 : Math.min(1, usedPerS / bucket.ratePerS());
    const reserved = Math.floor(Math.min(bucket.size() * usedShare, usedPerS * POLL_MS / SECOND_MS));
    const spare = bucket.available(time) - reserved;
    const permits = unmetPermits(entry, time) > 0 ? 0 : bucket.take(time, Math.max(0, Math.min(wanted, spare)));
    return [{permits, lifetimeMs: PERMIT_LIFETIME_MS, source: 'own'}];
  };

  const grant = (from: string, asker: Asker, ask: PermitAsk, time: number): PermitGrant[] => {
    const {workspace, wanted} = ask;
    const limit = lent.limitOf(workspace);
    if (limit === undefined) {
      return [{
        workspace, permits: 0, lifetimeMs: 0, retryAfterMs: UNKNOWN_RETRY_MS,
      }];
    }

    const entry = entryOf(workspace, limit, time);
    const isOwnZone = options.isInZone(from);
    const returned = putBack(asker, entry, ask, time);
    entry.used.add(isOwnZone ? -returned : 0);
    if (wanted === 0) {
      entry.unmet.delete(from);
      return [];
    }

    const parts = isOwnZone ? grantOwnZone(from, entry, wanted, time) : grantOtherZone(entry, wanted, time);
    const issued = asker.issued.get(workspace) ?? createPermitLots<GrantSource>();
    asker.issued.set(workspace, issued);
    for (const {permits, lifetimeMs, source} of parts) {
      issued.add({permits, expiresAt: time + lifetimeMs, source});
    }

    const granted = sumPermits(parts);
    const isShort = granted < wanted;
    if (isShort && isOwnZone) {
      borrowing.requestRound();
    }

    const retryMs = isShort ? (isOwnZone ? retryAfterMs(entry, from, time) : Math.min(RETRY_AFTER_MAX_MS, Math.ceil(entry.bucket.waitMs(time, 1)))) : 0;
    return parts.filter(({permits}) => permits > 0 || granted === 0).map(({permits, lifetimeMs}) => ({
      workspace, permits, lifetimeMs, retryAfterMs: retryMs,
    }));
  };

  const recordLoan = (from: string, loan: PermitsWanted['loan'], time: number): void => {
    if (loan?.echoedClock === undefined || loan.echoedClock > clock() || !options.isInZone(from)) {
      return;
    }

    const until = loan.echoedClock - options.clockOrigin + LOAN_MS;
    if (until > time) {
      lent.putLoan(from, loan.fraction, until);
      lent.advance(time);
    }
  };

  const logLent = (time: number): void => {
    const fraction = lent.fraction();
    if (Math.abs(fraction - logged.fraction) >= LOG_CHANGE && time - logged.at >= LOG_INTERVAL_MS) {
      logged = {fraction, at: time};
      log.write('info', 'rate-limit-lent', {fraction: Number(fraction.toFixed(4)), lenders: lent.lenders(), buckets: entries.size});
    }
  };

  return {
    clock,
    answer(from, message) {
      const time = now();
      lent.advance(time);
      const asker = askers.get(from) ?? {lastExchange: Number.NEGATIVE_INFINITY, seenAt: time, issued: new Map<string, PermitLots<GrantSource>>()};
      if (message.exchange <= asker.lastExchange) {
        return undefined;
      }

      askers.set(from, asker);
      asker.lastExchange = message.exchange;
      asker.seenAt = time;
      recordLoan(from, message.loan, time);
      return {
        type: 'permits', exchange: message.exchange, clock: clock(), grants: message.asks.flatMap(ask => grant(from, asker, ask, time)),
      };
    },
    receive: borrowing.receive,
    lentFraction() {
      lent.advance(now());
      return lent.fraction();
    },
    tick() {
      const time = now();
      lent.advance(time);
      for (const entry of entries.values()) {
        entry.used.update(time);
      }

      if (time - cleanedAt >= CLEANING_MS) {
        clean(time);
      }

      borrowing.tick(time);
      logLent(time);
    },
    resetExchanges: borrowing.resetExchanges,
  };
};
