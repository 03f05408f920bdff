/** Grants permits to the processes of its zone from the fractions that they lend, and to coordinators of other zones what its own zone does not need. */
import type {DecisionLog} from '../decision-log.js';
import type {Message, PermitAsk, PermitGrant} from '../message.js';
import {createDemandEstimate, type DemandEstimate} from './demand-estimate.js';
import {createExchanges} from './exchanges.js';
import {createLoanBook} from './loans.js';
import {createPermitBucket, type PermitBucket, type WorkspaceLimit} from './permit-bucket.js';
import {createPermitLots, type PermitLots} from './permit-lots.js';
import {
  LOAN_MS, PERMIT_LIFETIME_MS, POLL_BATCH_MS, POLL_MS, RETRY_AFTER_MAX_MS, SECOND_MS, WAIT_MAX_MS,
} from './times.js';

/** Poll of a coordinator. */
export type PermitsWanted = Extract<Message, {type: 'permits-wanted'}>;
/** Answer to a poll. */
export type Permits = Extract<Message, {type: 'permits'}>;

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

/** Coordinator of another zone, with the number of members there. */
export type OtherCoordinator = {node: string; members: number};

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
  /** Fractions of one process and of all listed members of this zone, as this process knows them. */
  share: () => {ofProcess: number; ofZone: number};
  isInZone: (node: string) => boolean;
  /** Coordinators of other zones that can be reached. */
  others: () => OtherCoordinator[];
  send: (node: string, message: PermitsWanted) => void;
  schedule: (milliseconds: number, run: () => void) => void;
};

/** Time without asks after which the state of a workspace, once its bucket is full, or of a process that asked is dropped, in milliseconds. */
const IDLE_MS = 5000;
/** Time for which earlier lent fractions are remembered, in milliseconds; the bucket of a workspace without recent requests is filled from them. */
const HISTORY_MS = 10_000;
/** Interval at which state that is no longer needed is dropped, in milliseconds. */
const CLEANING_MS = 1000;
/** Time in which a coordinator of another zone answers, in milliseconds; processes that are short ask again after it. */
const BORROW_MS = 25;
/** Shortest and longest time for which a coordinator that had too few permits is not asked again, in milliseconds. */
const DRY_MIN_MS = 20;
const DRY_MAX_MS = 2000;
/** Time after which an answer is no longer expected, in milliseconds. */
const ANSWER_MS = 100;
/** `Retry-After` for a workspace that has no limit in the configuration here, or while nothing is lent, in milliseconds. */
const UNKNOWN_RETRY_MS = 200;
const RETRY_MIN_MS = 20;
/** Factor of the permits that are borrowed ahead. */
const AHEAD = 1.25;
/** Growth of the part that is asked of a coordinator that granted all, and smallest part. */
const WEIGHT_GROWTH = 1.3;
const WEIGHT_MIN = 0.05;
/** Shortest interval between two log lines about the lent fraction, in milliseconds, and the smallest change that is logged. */
const LOG_INTERVAL_MS = 1000;
const LOG_CHANGE = 0.01;

/** State of one workspace. */
type Entry = {
  bucket: PermitBucket;
  /** Permits from other zones. */
  borrowed: PermitLots;
  /** Permits that the processes of the zone have kept. */
  used: DemandEstimate;
  /** Permits that each process of the zone lacked at its last poll. */
  unmet: Map<string, {permits: number; at: number}>;
  /** Permits asked of other coordinators and not answered, by exchange. */
  asked: Map<number, {permits: number; at: number}>;
  /** Part that is asked of each other coordinator; it falls when that one has little to give. */
  weights: Map<string, number>;
  /** Times until which other coordinators have no permits. */
  dryUntil: Map<string, number>;
  usedAt: number;
};

type GrantedPart = {permits: number; lifetimeMs: number};

/** State of one process that asks. */
type Asker = {lastExchange: number; seenAt: number; /** Permits granted to it that may still be unused. */ issued: Map<string, PermitLots>};

const sumRecent = (items: ReadonlyMap<unknown, {permits: number; at: number}>, since: number): number =>
  [...items.values()].filter(({at}) => at >= since).reduce((sum, {permits}) => sum + permits, 0);

/** Divides a number of permits in proportion to weights, in whole parts. */
export const divide = (permits: number, weights: readonly number[]): number[] => {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let given = 0;
  let cumulated = 0;
  // The heaviest comes first, so that a single permit is asked of it.
  const order = weights.map((weight, index) => ({weight, index})).sort((a, b) => b.weight - a.weight);
  const parts = weights.map(() => 0);
  for (const {weight, index} of order) {
    cumulated += weight;
    const upTo = Math.ceil((permits * cumulated / total) - 1e-9);
    parts[index] = upTo - given;
    given = upTo;
  }

  return parts;
};

/** Creates a coordinator without loans. */
export const createCoordinator = (options: CoordinatorOptions): Coordinator => {
  const {now, log} = options;
  const entries = new Map<string, Entry>();
  const askers = new Map<string, Asker>();
  const loans = createLoanBook();
  const exchanges = createExchanges(options.firstExchange);
  let limits = options.limits();
  let fraction = 0;
  /** Lent fractions, each from a time on. */
  let history: Array<{at: number; fraction: number}> = [{at: now(), fraction: 0}];
  /** Times at which limits were added or changed, within the time of the history. */
  const changedAt = new Map<string, number>();
  let cleanedAt = now();
  let roundAt = Number.NEGATIVE_INFINITY;
  let isRoundScheduled = false;
  let logged = {fraction: 0, at: Number.NEGATIVE_INFINITY};

  const clock = (): number => options.clockOrigin + now();

  const lentFraction = (): number => {
    const {ofProcess, ofZone} = options.share();
    return loans.fraction(ofProcess, ofZone);
  };

  const applyShare = (time: number): void => {
    fraction = lentFraction();
    if (history.at(-1)!.fraction !== fraction) {
      history.push({at: time, fraction});
    }

    for (const [workspace, entry] of entries) {
      const limit = limits.get(workspace);
      if (limit === undefined) {
        entries.delete(workspace);
      } else {
        entry.bucket.setShare(time, fraction, limit);
      }
    }
  };

  /** Applies everything that has changed up to now: loans that ended, in their order, then the members and the configuration. */
  const advance = (time: number): void => {
    loans.expire(time, applyShare);
    const next = options.limits();
    if (next !== limits) {
      for (const [workspace, limit] of next) {
        const known = limits.get(workspace);
        if (known?.ratePerS !== limit.ratePerS || known.burst !== limit.burst) {
          changedAt.set(workspace, time);
        }
      }

      limits = next;
      applyShare(time);
    } else if (lentFraction() !== fraction) {
      applyShare(time);
    }
  };

  /** Bucket of a workspace without recent requests, as if it had been there since the history begins or its limit was set. */
  const createBucket = (workspace: string, limit: WorkspaceLimit, time: number): PermitBucket => {
    const since = Math.max(history[0]!.at, time - HISTORY_MS, changedAt.get(workspace) ?? Number.NEGATIVE_INFINITY);
    const bucket = createPermitBucket(since);
    for (const step of history) {
      bucket.setShare(Math.max(since, step.at), step.fraction, limit);
    }

    return bucket;
  };

  /** Drops what is no longer needed. */
  const clean = (time: number): void => {
    cleanedAt = time;
    const kept = history.findLastIndex(({at}) => at <= time - HISTORY_MS);
    history = history.slice(Math.max(0, kept));
    for (const [workspace, at] of changedAt) {
      if (time - at > HISTORY_MS) {
        changedAt.delete(workspace);
      }
    }

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

  const entryOf = (workspace: string, limit: WorkspaceLimit, time: number): Entry => {
    const known = entries.get(workspace);
    if (known !== undefined) {
      known.usedAt = time;
      return known;
    }

    const created: Entry = {
      bucket: createBucket(workspace, limit, time), borrowed: createPermitLots(), used: createDemandEstimate(time), unmet: new Map(), asked: new Map(), weights: new Map(), dryUntil: new Map(), usedAt: time,
    };
    entries.set(workspace, created);
    return created;
  };

  const unmetPermits = (entry: Entry, time: number): number => sumRecent(entry.unmet, time - WAIT_MAX_MS);

  /** Permits that other coordinators should grant for the time until the next round. */
  const lackingPermits = (entry: Entry, time: number): number => {
    const intervalS = POLL_MS / SECOND_MS;
    const ahead = (entry.used.ratePerS() * AHEAD * intervalS) - (entry.bucket.ratePerS() * intervalS) - entry.bucket.available(time);
    return Math.max(0, Math.floor(ahead)) + unmetPermits(entry, time) - entry.borrowed.count(time) - sumRecent(entry.asked, time - ANSWER_MS);
  };

  const dropUnanswered = (entry: Entry, time: number): void => {
    for (const [exchange, {at}] of entry.asked) {
      if (time - at > ANSWER_MS) {
        entry.asked.delete(exchange);
      }
    }
  };

  const isDry = (entry: Entry, node: string, time: number): boolean => (entry.dryUntil.get(node) ?? time) > time;

  const asksFor = (workspace: string, entry: Entry, others: readonly OtherCoordinator[], time: number): Array<{to: string; ask: PermitAsk}> => {
    dropUnanswered(entry, time);
    const lacking = lackingPermits(entry, time);
    if (lacking > 0) {
      const able = others.filter(({node}) => !isDry(entry, node, time));
      const parts = divide(lacking, able.map(({node, members}) => members * (entry.weights.get(node) ?? 1)));
      return able.flatMap(({node}, index) => parts[index] === 0 ? [] : [{to: node, ask: {workspace, wanted: parts[index]!, returned: 0}}]);
    }

    return others.flatMap(({node}) => {
      const surplus = Math.max(0, -lackingPermits(entry, time));
      const returned = entry.borrowed.takeFrom(time, node, surplus);
      return returned === 0 ? [] : [{to: node, ask: {workspace, wanted: 0, returned}}];
    });
  };

  /** Asks the coordinators of other zones for what this zone lacks, and returns what it does not need. */
  const askOthers = (): void => {
    const time = now();
    roundAt = time;
    const others = options.others();
    if (others.length === 0) {
      return;
    }

    const asks = [...entries].flatMap(([workspace, entry]) => asksFor(workspace, entry, others, time));
    for (const {node} of others) {
      const own = asks.filter(({to}) => to === node).map(({ask}) => ask);
      if (own.length > 0) {
        const exchange = exchanges.begin(time, node);
        for (const {workspace, wanted} of own.filter(ask => ask.wanted > 0)) {
          entries.get(workspace)!.asked.set(exchange, {permits: wanted, at: time});
        }

        options.send(node, {
          type: 'permits-wanted', exchange, loan: undefined, asks: own,
        });
      }
    }
  };

  const requestRound = (): void => {
    if (isRoundScheduled) {
      return;
    }

    const waitMs = roundAt + POLL_BATCH_MS - now();
    if (waitMs <= 0) {
      askOthers();
    } else {
      isRoundScheduled = true;
      options.schedule(Math.ceil(waitMs), () => {
        isRoundScheduled = false;
        askOthers();
      });
    }
  };

  /** Time after which a process that lacks permits should ask again, in milliseconds: what other processes lack comes first. */
  const retryAfterMs = (entry: Entry, from: string, time: number): number => {
    const others = options.others();
    if (others.some(({node}) => !isDry(entry, node, time))) {
      return BORROW_MS;
    }

    const ownMs = entry.bucket.ratePerS() === 0 ? UNKNOWN_RETRY_MS : entry.bucket.waitMs(time, 1 + Math.max(0, unmetPermits(entry, time) - (entry.unmet.get(from)?.permits ?? 0)));
    const othersMs = others.map(({node}) => entry.dryUntil.get(node)! - time + BORROW_MS);
    return Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_MIN_MS, Math.ceil(Math.min(ownMs, ...othersMs))));
  };

  const putBack = (asker: Asker, entry: Entry, {workspace, returned}: PermitAsk, time: number): number => {
    const issued = asker.issued.get(workspace)?.take(time, returned) ?? [];
    const permits = issued.reduce((sum, lot) => sum + lot.permits, 0);
    entry.bucket.putBack(time, permits);
    return permits;
  };

  const grantOwnZone = (from: string, entry: Entry, wanted: number, time: number): GrantedPart[] => {
    const borrowed = entry.borrowed.take(time, wanted).map(({permits, expiresAt}) => ({permits, lifetimeMs: expiresAt - time}));
    const borrowedPermits = borrowed.reduce((sum, {permits}) => sum + permits, 0);
    const own = entry.bucket.take(time, wanted - borrowedPermits);
    entry.used.add(borrowedPermits + own);
    entry.unmet.set(from, {permits: wanted - borrowedPermits - own, at: time});
    return [...borrowed, {permits: own, lifetimeMs: PERMIT_LIFETIME_MS}];
  };

  /** Another zone gets what the own zone does not need until the next poll; a small bucket stays as full as the own zone uses its rate. */
  const grantOtherZone = (entry: Entry, wanted: number, time: number): GrantedPart[] => {
    const {bucket} = entry;
    const usedPerS = entry.used.ratePerS();
    const usedShare = bucket.ratePerS() === 0 ? 1 : Math.min(1, usedPerS / bucket.ratePerS());
    const reserved = Math.floor(Math.min(bucket.size() * usedShare, usedPerS * POLL_MS / SECOND_MS));
    const spare = bucket.available(time) - reserved;
    const permits = unmetPermits(entry, time) > 0 ? 0 : bucket.take(time, Math.max(0, Math.min(wanted, spare)));
    return [{permits, lifetimeMs: PERMIT_LIFETIME_MS}];
  };

  const grant = (from: string, asker: Asker, ask: PermitAsk, time: number): PermitGrant[] => {
    const {workspace, wanted} = ask;
    const limit = limits.get(workspace);
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
    const issued = asker.issued.get(workspace) ?? createPermitLots();
    asker.issued.set(workspace, issued);
    for (const {permits, lifetimeMs} of parts) {
      issued.add({permits, expiresAt: time + lifetimeMs, source: from});
    }

    const granted = parts.reduce((sum, {permits}) => sum + permits, 0);
    const isShort = granted < wanted;
    if (isShort && isOwnZone) {
      requestRound();
    }

    const retryMs = isShort ? (isOwnZone ? retryAfterMs(entry, from, time) : Math.min(RETRY_AFTER_MAX_MS, Math.ceil(entry.bucket.waitMs(time, 1)))) : 0;
    return parts.filter(({permits}) => permits > 0 || granted === 0).map(part => ({workspace, ...part, retryAfterMs: retryMs}));
  };

  const recordLoan = (from: string, loan: PermitsWanted['loan'], time: number): void => {
    if (loan?.echoedClock === undefined || loan.echoedClock > clock() || !options.isInZone(from)) {
      return;
    }

    const until = loan.echoedClock - options.clockOrigin + LOAN_MS;
    if (until > time) {
      loans.put(from, loan.fraction, until);
      advance(time);
    }
  };

  /** Asks less of a coordinator that granted less than it was asked for, and more of one that granted all. */
  const recordAnswer = ({from, exchange, entry, granted, retryMs, time}: {from: string; exchange: number; entry: Entry; granted: number; retryMs: number; time: number}): void => {
    const asked = entry.asked.get(exchange)?.permits ?? 0;
    entry.asked.delete(exchange);
    if (asked === 0) {
      return;
    }

    const weight = entry.weights.get(from) ?? 1;
    entry.weights.set(from, granted < asked ? Math.max(WEIGHT_MIN, weight * granted / asked) : Math.min(1, weight * WEIGHT_GROWTH));
    if (granted < asked) {
      entry.dryUntil.set(from, time + Math.min(DRY_MAX_MS, Math.max(DRY_MIN_MS, retryMs)));
    } else {
      entry.dryUntil.delete(from);
    }

    if (granted < asked && unmetPermits(entry, time) > 0) {
      requestRound();
    }
  };

  const logLent = (time: number): void => {
    if (Math.abs(fraction - logged.fraction) >= LOG_CHANGE && time - logged.at >= LOG_INTERVAL_MS) {
      logged = {fraction, at: time};
      log.write('info', 'rate-limit-lent', {fraction: Number(fraction.toFixed(4)), lenders: loans.size(), buckets: entries.size});
    }
  };

  return {
    clock,
    answer(from, message) {
      const time = now();
      advance(time);
      const asker = askers.get(from) ?? {lastExchange: Number.NEGATIVE_INFINITY, seenAt: time, issued: new Map<string, PermitLots>()};
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
    receive(from, message) {
      const time = now();
      const sentAt = exchanges.end(message.exchange, from);
      if (sentAt === undefined) {
        return;
      }

      const granted = new Map<string, {permits: number; retryMs: number}>();
      for (const {workspace, permits, lifetimeMs, retryAfterMs: retryMs} of message.grants) {
        granted.set(workspace, {permits: (granted.get(workspace)?.permits ?? 0) + permits, retryMs});
        entries.get(workspace)?.borrowed.add({permits, expiresAt: sentAt + Math.min(lifetimeMs, PERMIT_LIFETIME_MS), source: from});
      }

      for (const [workspace, {permits, retryMs}] of granted) {
        const entry = entries.get(workspace);
        if (entry !== undefined) {
          recordAnswer({
            from, exchange: message.exchange, entry, granted: permits, retryMs, time,
          });
          log.count('permits', 'borrowed', permits);
        }
      }
    },
    lentFraction() {
      advance(now());
      return fraction;
    },
    tick() {
      const time = now();
      advance(time);
      for (const entry of entries.values()) {
        entry.used.update(time);
      }

      if (time - cleanedAt >= CLEANING_MS) {
        clean(time);
      }

      if (time - roundAt >= POLL_MS && entries.size > 0) {
        askOthers();
      }

      logLent(time);
    },
    resetExchanges: exchanges.reset,
  };
};
