/**
Limits the requests of each workspace over the whole fleet.

A process asks the coordinator of its zone for permits ahead of its requests, and lends it the part of every limit that it owns. The processes' parts add up to the limit,
so the coordinators together never grant more, whichever of them can reach each other. `docs/design/rate-limits.md` has the proof and the failures.
*/
import type {DecisionLog} from '../decision-log.js';
import type {Workspace} from '../entry/routing-configuration.js';
import type {Reachability} from '../members/store-readers.js';
import type {Member, Message} from '../message.js';
import {createCoordinator} from './coordinator.js';
import {createExchanges} from './exchanges.js';
import {createLender} from './loans.js';
import type {WorkspaceLimit} from './permit-bucket.js';
import {
  createAsk, createPermitHoldings, TIMER_MS, type Permit,
} from './permit-holdings.js';
import {grantsByWorkspace, type Permits, type PermitsWanted} from './permit-messages.js';
import {
  IDLE_POLL_MS, LOAN_MS, PERMIT_LIFETIME_MS, POLL_BATCH_MS, POLL_MS, RETRY_AFTER_MAX_MS,
} from './times.js';
import {createZoneCoordinators, type ListedFleet} from './zone-coordinators.js';

export type {Permit} from './permit-holdings.js';

/** Rate limiter of one process. */
export type WorkspaceRateLimiter = {
  /** Takes a permit for a request: at once while permits are held or without a limit, otherwise within the longest wait. */
  acquire: (workspace: Workspace) => Permit | Promise<Permit>;
  /** Drives polls; called periodically. */
  tick: () => void;
  /** Answers a poll of another process; undefined when there is nothing to answer. */
  answer: (from: string, message: PermitsWanted) => Permits | undefined;
  /** Takes the answer to a poll of this process. */
  receive: (from: string, message: Permits) => void;
  /** Other processes to which links are to be kept; none without a limited workspace. */
  contacts: (reachability: (node: string) => Reachability) => string[];
  /** Coordinator that this process asks, and the fraction of every limit that is lent to this process. */
  status: () => {coordinator: string | undefined; lentFraction: number};
  /** Records that the entry of this process in the member list is new. */
  recordListed: () => void;
};

/** Options of the rate limiter. */
export type WorkspaceRateLimiterOptions = {
  self: Pick<Member, 'node' | 'zone'>;
  now: () => number;
  log: DecisionLog;
  /** Workspaces of the configuration in force; the same array until it changes. */
  workspaces: () => readonly Workspace[] | undefined;
  fleet: ListedFleet;
  /** Whether a link to a process is open. */
  isOpen: (node: string) => boolean;
  /** Sends a message over an open link. */
  send: (node: string, message: Message) => void;
  /** Number of the first poll, larger than the numbers of earlier starts of this process. @default the time of day in milliseconds */
  firstExchange?: number;
  /** Added to the clock in answers, and different with each start. @default a random number */
  clockOrigin?: number;
  /** @default setTimeout */
  schedule?: (milliseconds: number, run: () => void) => void;
};

/** Time after a request for which polls are frequent, in milliseconds. */
const RECENT_MS = 1000;
/** Time without an answer after which another coordinator is chosen, in milliseconds: a few polls. */
const SILENT_MS = 500;
/** Time without a tick after which this process counts as suspended, in milliseconds. */
const STALL_MS = 300;
const CLOCK_ORIGIN_MAX_MS = 2 ** 40;

const UNLIMITED: Permit = {kind: 'granted', giveBack() {}}; // eslint-disable-line @typescript-eslint/no-empty-function

/** Creates a rate limiter; it lends and uses nothing for the time in which its fraction may count from before a restart. */
export const createWorkspaceRateLimiter = (options: WorkspaceRateLimiterOptions): WorkspaceRateLimiter => {
  const {self, now, log} = options;
  const schedule = options.schedule ?? ((milliseconds, run) => {
    setTimeout(run, milliseconds);
  });
  const firstExchange = options.firstExchange ?? Date.now();
  const exchanges = createExchanges(firstExchange);
  const lender = createLender(now() + LOAN_MS);
  let limits: ReadonlyMap<string, WorkspaceLimit> = new Map();
  let limitsOf: readonly Workspace[] | undefined;
  let coordinatorNode: string | undefined;
  let polledAt = Number.NEGATIVE_INFINITY;
  let waitingPolledAt = Number.NEGATIVE_INFINITY;
  /** Time of the poll that is scheduled next for waiting requests. */
  let pollDueAt = Number.POSITIVE_INFINITY;
  let tickedAt = now();

  const currentLimits = (): ReadonlyMap<string, WorkspaceLimit> => {
    const workspaces = options.workspaces();
    if (workspaces !== limitsOf) {
      limitsOf = workspaces;
      limits = new Map((workspaces ?? []).flatMap(({name, ratePerS, burst}) => ratePerS === undefined ? [] : [[name, {ratePerS, burst}]]));
    }

    return limits;
  };

  const zones = createZoneCoordinators({
    self, now, fleet: options.fleet, isOpen: options.isOpen,
  });

  const coordinator = createCoordinator({
    now,
    log,
    clockOrigin: options.clockOrigin ?? Math.floor(Math.random() * CLOCK_ORIGIN_MAX_MS),
    firstExchange,
    limits: currentLimits,
    fleetPart: () => ({ofProcess: zones.processShare(), ofZone: zones.zoneShare(), zones: zones.count()}),
    isInZone: zones.isInOwnZone,
    others: zones.others,
    send: options.send,
    schedule,
  });

  const holdings = createPermitHoldings({
    now,
    log,
    processShare: zones.processShare,
    coordinator: () => coordinatorNode,
    onWaiting: requestPoll,
    schedule,
  });

  const sendPoll = (to: string, message: Omit<PermitsWanted, 'type' | 'exchange'>): void => {
    const poll: PermitsWanted = {type: 'permits-wanted', exchange: exchanges.begin(now(), to), ...message};
    if (to !== self.node) {
      options.send(to, poll);
      return;
    }

    const answer = coordinator.answer(self.node, poll);
    if (answer !== undefined) {
      receive(self.node, answer);
    }
  };

  /** Polls the coordinator. While the fraction is still lent to an earlier one that can be reached, permits are asked of that one. */
  const poll = (isRegular: boolean): void => {
    const time = now();
    if (coordinatorNode === undefined) {
      return;
    }

    const borrower = lender.borrower(time);
    const isMoving = borrower !== undefined && borrower !== coordinatorNode && (borrower === self.node || zones.isUsable(borrower));
    const asked = holdings.all().filter(({waiting, limitedUntil}) => isRegular || (waiting.length > 0 && limitedUntil <= time));
    const asks = asked.map(holding => createAsk(holding, time, isRegular)).filter(({wanted, returned}) => wanted > 0 || returned > 0);
    for (const {wanted} of asks.filter(ask => ask.wanted > 0)) {
      log.count('permits', 'asked', wanted);
    }

    waitingPolledAt = time;
    if (!isRegular && asks.length === 0) {
      return;
    }

    polledAt = isRegular ? time : polledAt;
    if (isMoving) {
      sendPoll(borrower, {loan: undefined, asks});
    }

    if (!isMoving || isRegular) {
      sendPoll(coordinatorNode, {loan: lender.lend(time, coordinatorNode, zones.lendableShare()), asks: isMoving ? [] : asks});
    }
  };

  function requestPoll(earliest: number): void {
    const time = now();
    const dueAt = Math.max(earliest, waitingPolledAt + POLL_BATCH_MS);
    if (dueAt <= time) {
      poll(false);
    } else if (dueAt < pollDueAt) {
      pollDueAt = dueAt;
      schedule(Math.max(TIMER_MS, Math.ceil(dueAt - time)), () => {
        pollDueAt = Number.POSITIVE_INFINITY;
        pollForWaiting();
      });
    }
  }

  function pollForWaiting(): void {
    const waiting = holdings.all().filter(holding => holding.waiting.length > 0);
    if (waiting.length > 0) {
      requestPoll(Math.min(...waiting.map(({limitedUntil}) => limitedUntil)));
    }
  }

  function receive(from: string, message: Permits): void {
    const sentAt = exchanges.end(message.exchange, from);
    if (sentAt === undefined) {
      coordinator.receive(from, message);
      return;
    }

    const time = now();
    const isFirst = lender.recordClock(from, message.clock);
    for (const {workspace, permits, lifetimeMs} of message.grants) {
      holdings.get(workspace)?.lots.add({permits, expiresAt: sentAt + Math.min(lifetimeMs, PERMIT_LIFETIME_MS), source: from});
    }

    for (const [workspace, {retryAfterMs}] of grantsByWorkspace(message.grants)) {
      const holding = holdings.get(workspace);
      if (holding !== undefined) {
        holding.asked = undefined;
        holding.limitedUntil = time + Math.min(retryAfterMs, RETRY_AFTER_MAX_MS);
        holdings.serveWaiting(holding);
      }
    }

    // The first answer brings the clock without which nothing can be lent.
    if (isFirst && from === coordinatorNode) {
      poll(true);
    }

    pollForWaiting();
  }

  /** Chooses the coordinator again; one that leaves polls unanswered is passed over. */
  const reviewCoordinator = (time: number): void => {
    const previous = coordinatorNode;
    if (previous !== undefined && exchanges.isSilent(previous, time, SILENT_MS)) {
      zones.passOver(previous);
    }

    const lentTo = lender.borrower(time);
    coordinatorNode = zones.choose(previous, lentTo === previous);
    if (coordinatorNode !== previous) {
      log.write('info', 'rate-limit-coordinator', {coordinator: coordinatorNode, previous, lentTo});
      poll(true);
    }
  };

  /** Answers to polls from before a suspension are void, and say nothing about the coordinator. */
  const detectStall = (time: number): void => {
    if (time - tickedAt > STALL_MS) {
      exchanges.reset();
      coordinator.resetExchanges();
    }

    tickedAt = time;
  };

  return {
    acquire({name, ratePerS, burst}): Permit | Promise<Permit> {
      if (ratePerS === undefined) {
        return UNLIMITED;
      }

      return holdings.acquire(name, {ratePerS, burst});
    },
    tick() {
      const time = now();
      detectStall(time);
      if (currentLimits().size === 0) {
        holdings.clear();
        return;
      }

      zones.update();
      reviewCoordinator(time);
      holdings.review(limits);
      const isBusy = holdings.all().some(({usedAt}) => time - usedAt < RECENT_MS);
      const canLend = coordinatorNode !== undefined && zones.lendableShare() > 0 && lender.isFree(time, coordinatorNode);
      if (canLend || time - polledAt >= (isBusy ? POLL_MS : IDLE_POLL_MS)) {
        poll(true);
      }

      coordinator.tick();
    },
    answer(from, message) {
      zones.update();
      return coordinator.answer(from, message);
    },
    receive,
    contacts(reachability) {
      if (currentLimits().size === 0) {
        return [];
      }

      zones.update();
      return zones.contacts(reachability);
    },
    status: () => ({coordinator: coordinatorNode, lentFraction: coordinator.lentFraction()}),
    recordListed: zones.recordListed,
  };
};
