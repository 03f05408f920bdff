/** Borrows permits from the coordinators of other zones, with the polls that processes send to their coordinator. */
import type {DecisionLog} from '../decision-log.js';
import type {PermitAsk} from '../message.js';
import {
  dropFormerCoordinators, dropFormerUnmet, sumSince, unmetPermits, type CoordinatedWorkspace,
} from './coordinated-workspace.js';
import {AHEAD_FACTOR} from './demand-estimate.js';
import {ANSWER_MS, createExchanges} from './exchanges.js';
import {grantsByWorkspace, type Permits, type PermitsWanted} from './permit-messages.js';
import {
  PERMIT_LIFETIME_MS, POLL_BATCH_MS, POLL_MS, RETRY_AFTER_MAX_MS, SECOND_MS,
} from './times.js';

/** Coordinator of another zone, with the number of members there. */
export type OtherCoordinator = {node: string; members: number};

/** Borrowing by one coordinator. */
export type Borrowing = {
  /** Asks the other coordinators soon, because a process lacks permits. */
  requestRound: () => void;
  /** Time after which a process that lacks permits should ask again, in milliseconds, when the bucket of its zone has them after `ownMs`. */
  retryAfterMs: (entry: CoordinatedWorkspace, ownMs: number, now: number) => number;
  /** Takes the permits that a coordinator of another zone has granted. */
  receive: (from: string, message: Permits) => void;
  /** Asks the other coordinators in regular rounds; called periodically. */
  tick: (now: number) => void;
  /** Forgets the polls that were not answered. */
  resetExchanges: () => void;
};

/** Options of the borrowing. */
export type BorrowingOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'count'>;
  /** Number of the first poll. */
  firstExchange: number;
  /** Workspaces that permits were asked for. */
  workspaces: ReadonlyMap<string, CoordinatedWorkspace>;
  /** Coordinators of other zones that can be reached. */
  others: () => OtherCoordinator[];
  send: (node: string, message: PermitsWanted) => void;
  schedule: (milliseconds: number, run: () => void) => void;
};

/** Time in which a coordinator of another zone answers, in milliseconds; processes that are short ask again after it. */
const BORROW_MS = 25;
/** Shortest and longest time for which a coordinator that had too few permits is not asked again, in milliseconds. */
const EXHAUSTED_MIN_MS = 20;
const EXHAUSTED_MAX_MS = 2000;
const RETRY_MIN_MS = 20;
/** Growth of the part that is asked of a coordinator that granted all, and smallest part. */
const WEIGHT_GROWTH = 1.3;
const WEIGHT_MIN = 0.05;

/** Divides a number of permits in proportion to weights, in whole parts. */
export const divide = (permits: number, weights: readonly number[]): number[] => {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let given = 0;
  let cumulative = 0;
  // The heaviest comes first, so that a single permit is asked of it.
  const order = weights.map((weight, index) => ({weight, index})).sort((a, b) => b.weight - a.weight);
  const parts = weights.map(() => 0);
  for (const {weight, index} of order) {
    cumulative += weight;
    const upTo = Math.ceil((permits * cumulative / total) - 1e-9);
    parts[index] = upTo - given;
    given = upTo;
  }

  return parts;
};

/** Creates the borrowing; nothing is asked before a round. */
export const createBorrowing = (options: BorrowingOptions): Borrowing => {
  const {now, log, workspaces} = options;
  const exchanges = createExchanges(options.firstExchange);
  let roundAt = Number.NEGATIVE_INFINITY;
  let isRoundScheduled = false;

  /** Permits that other coordinators should grant for the time until the next round. */
  const lackingPermits = (entry: CoordinatedWorkspace, time: number): number => {
    const intervalS = POLL_MS / SECOND_MS;
    const ahead = (entry.used.ratePerS() * AHEAD_FACTOR * intervalS) - (entry.bucket.ratePerS() * intervalS) - entry.bucket.available(time);
    return Math.max(0, Math.floor(ahead)) + unmetPermits(entry, time) - entry.borrowed.count(time) - sumSince(entry.asked, time - ANSWER_MS);
  };

  const dropUnanswered = (entry: CoordinatedWorkspace, time: number): void => {
    for (const [exchange, {at}] of entry.asked) {
      if (time - at > ANSWER_MS) {
        entry.asked.delete(exchange);
      }
    }
  };

  const isExhausted = (entry: CoordinatedWorkspace, node: string, time: number): boolean => (entry.exhaustedUntil.get(node) ?? time) > time;

  const asksFor = (workspace: string, entry: CoordinatedWorkspace, others: readonly OtherCoordinator[], time: number): Array<{to: string; ask: PermitAsk}> => {
    dropUnanswered(entry, time);
    const lacking = lackingPermits(entry, time);
    if (lacking > 0) {
      const available = others.filter(({node}) => !isExhausted(entry, node, time));
      const parts = divide(lacking, available.map(({node, members}) => members * (entry.weights.get(node) ?? 1)));
      return available.flatMap(({node}, index) => parts[index] === 0 ? [] : [{to: node, ask: {workspace, wanted: parts[index]!, returned: 0}}]);
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
    const coordinators = new Set(others.map(({node}) => node));
    for (const entry of workspaces.values()) {
      dropFormerCoordinators(entry, coordinators, time);
      dropFormerUnmet(entry, time);
    }

    if (others.length === 0) {
      return;
    }

    const asks = [...workspaces].flatMap(([workspace, entry]) => asksFor(workspace, entry, others, time));
    for (const {node} of others) {
      const own = asks.filter(({to}) => to === node).map(({ask}) => ask);
      if (own.length > 0) {
        const exchange = exchanges.begin(time, node);
        for (const {workspace, wanted} of own.filter(ask => ask.wanted > 0)) {
          workspaces.get(workspace)!.asked.set(exchange, {permits: wanted, at: time});
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

  /** Asks less of a coordinator that granted less than it was asked for, and more of one that granted all. */
  const recordAnswer = ({from, exchange, entry, granted, retryMs, time}: {from: string; exchange: number; entry: CoordinatedWorkspace; granted: number; retryMs: number; time: number}): void => {
    const asked = entry.asked.get(exchange)?.permits ?? 0;
    entry.asked.delete(exchange);
    if (asked === 0) {
      return;
    }

    const weight = entry.weights.get(from) ?? 1;
    entry.weights.set(from, granted < asked ? Math.max(WEIGHT_MIN, weight * granted / asked) : Math.min(1, weight * WEIGHT_GROWTH));
    if (granted < asked) {
      entry.exhaustedUntil.set(from, time + Math.min(EXHAUSTED_MAX_MS, Math.max(EXHAUSTED_MIN_MS, retryMs)));
    } else {
      entry.exhaustedUntil.delete(from);
    }

    if (granted < asked && unmetPermits(entry, time) > 0) {
      requestRound();
    }
  };

  return {
    requestRound,
    retryAfterMs(entry, ownMs, time) {
      const others = options.others();
      if (others.some(({node}) => !isExhausted(entry, node, time))) {
        return BORROW_MS;
      }

      const othersMs = others.map(({node}) => entry.exhaustedUntil.get(node)! - time + BORROW_MS);
      return Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_MIN_MS, Math.ceil(Math.min(ownMs, ...othersMs))));
    },
    receive(from, message) {
      const time = now();
      const sentAt = exchanges.end(message.exchange, from);
      if (sentAt === undefined) {
        return;
      }

      for (const {workspace, permits, lifetimeMs} of message.grants) {
        workspaces.get(workspace)?.borrowed.add({permits, expiresAt: sentAt + Math.min(lifetimeMs, PERMIT_LIFETIME_MS), source: from});
      }

      for (const [workspace, {permits, retryAfterMs}] of grantsByWorkspace(message.grants)) {
        const entry = workspaces.get(workspace);
        if (entry !== undefined) {
          recordAnswer({
            from, exchange: message.exchange, entry, granted: permits, retryMs: retryAfterMs, time,
          });
          log.count('permits', 'borrowed', permits);
        }
      }
    },
    tick(time) {
      if (time - roundAt >= POLL_MS && workspaces.size > 0) {
        askOthers();
      }
    },
    resetExchanges: exchanges.reset,
  };
};
