/**
Limits the requests of each workspace over the whole fleet.

A process asks the coordinator of its zone for permits ahead of its requests, and lends it the part of every limit that it owns. The processes' parts add up to the limit,
so the coordinators together never grant more, whichever of them can reach each other. `docs/design/rate-limits.md` has the proof and the failures.
*/
import type {DecisionLog} from '../decision-log.js';
import type {Workspace} from '../entry/routing-configuration.js';
import type {Reachability} from '../members/store-readers.js';
import type {Member, Message} from '../message.js';
import type {OtherCoordinator} from './borrowing.js';
import {createCoordinator} from './coordinator.js';
import {chooseCoordinator, coordinatorOrder, linkedCandidates} from './coordinator-choice.js';
import {AHEAD_FACTOR, createDemandEstimate, type DemandEstimate} from './demand-estimate.js';
import {ANSWER_MS, createExchanges} from './exchanges.js';
import {createFleetShare} from './fleet-share.js';
import {createLender} from './loans.js';
import type {WorkspaceLimit} from './permit-bucket.js';
import {createPermitLots, sumPermits, type PermitLots} from './permit-lots.js';
import {grantsByWorkspace, type Permits, type PermitsWanted} from './permit-messages.js';
import {
  IDLE_POLL_MS, LISTING_MS, LOAN_MS, PERMIT_LIFETIME_MS, POLL_BATCH_MS, POLL_MS, RETRY_AFTER_MAX_MS, SECOND_MS, WAIT_MAX_MS,
} from './times.js';

/** Answer to a request for a permit. */
export type Permit =
  | {kind: 'granted'; /** Returns the permit, because the request has not run. */ giveBack: () => void}
  | {kind: 'limited'; retryAfterMs: number};

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

/** Listed members of the fleet; `generation` increases with each change. */
export type ListedFleet = {generation: () => number; members: () => readonly Member[]};

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

/** Requests that wait for permits at most, over all workspaces. */
const WAITING_MAX = 1000;
/** Time without requests after which the state of a workspace is dropped, in milliseconds. */
const IDLE_MS = 5000;
/** Time after a request for which polls are frequent, in milliseconds. */
const RECENT_MS = 1000;
/** Time without an answer after which another coordinator is chosen, in milliseconds: a few polls. */
const SILENT_MS = 500;
/** Time for which a silent coordinator is passed over, in milliseconds. */
const PASSED_OVER_MS = 5000;
/** Time for which a link must have been open before its process takes over from a working coordinator, in milliseconds. */
const STABLE_MS = 3000;
/** Time without a tick after which this process counts as suspended, in milliseconds. */
const STALL_MS = 300;
/** Processes of a zone that a link is kept to, and that keep links to other zones: the coordinator and the one that follows it. */
const CANDIDATES = 2;
/** Resolution of timers, in milliseconds; they may fire early by less. */
const TIMER_MS = 1;
const RETRY_MIN_MS = 50;
/** Time without refusals after which the next one is logged again, in milliseconds. */
const REFUSING_MS = 5000;
const CLOCK_ORIGIN_MAX_MS = 2 ** 40;

type Waiting = {resolve: (permit: Permit) => void; expiresAt: number};

/** State of a workspace with recent requests. */
type Holding = {
  workspace: string;
  limit: WorkspaceLimit;
  lots: PermitLots;
  waiting: Waiting[];
  demand: DemandEstimate;
  granted: DemandEstimate;
  usedAt: number;
  /** Permits asked for and not answered. */
  asked: {permits: number; at: number} | undefined;
  /** Time until which the coordinator has no further permits. */
  limitedUntil: number;
  /** Time that the last refused request was told to come back at. */
  slotAt: number;
  refusedAt: number;
};

const UNLIMITED: Permit = {kind: 'granted', giveBack() {}}; // eslint-disable-line @typescript-eslint/no-empty-function

/** Creates a rate limiter; it lends and uses nothing for the time in which its fraction may count from before a restart. */
export const createWorkspaceRateLimiter = (options: WorkspaceRateLimiterOptions): WorkspaceRateLimiter => {
  const {self, now, log} = options;
  const schedule = options.schedule ?? ((milliseconds, run) => {
    setTimeout(run, milliseconds);
  });
  const firstExchange = options.firstExchange ?? Date.now();
  const holdings = new Map<string, Holding>();
  const exchanges = createExchanges(firstExchange);
  const lender = createLender(now() + LOAN_MS);
  const fleetShare = createFleetShare();
  const passedOverUntil = new Map<string, number>();
  const openSince = new Map<string, number>();
  let limits: ReadonlyMap<string, WorkspaceLimit> = new Map();
  let limitsOf: readonly Workspace[] | undefined;
  let zones = new Map<string, {nodes: Set<string>; order: string[]}>();
  let fleetGeneration = -1;
  let listedAt = Number.NEGATIVE_INFINITY;
  let coordinatorNode: string | undefined;
  let waitingCount = 0;
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

  const updateFleet = (): void => {
    if (fleetGeneration === options.fleet.generation()) {
      return;
    }

    fleetGeneration = options.fleet.generation();
    const members = options.fleet.members();
    fleetShare.update(now(), members.length);
    const nodes = new Map<string, string[]>();
    for (const {node, zone} of members) {
      nodes.set(zone, [...(nodes.get(zone) ?? []), node]);
    }

    zones = new Map([...nodes].map(([zone, inZone]) => [zone, {nodes: new Set(inZone), order: coordinatorOrder(zone, inZone)}]));
  };

  const ownZone = () => zones.get(self.zone) ?? {nodes: new Set<string>(), order: []};

  /** Fraction of every limit that this process may lend. */
  const ownFraction = (): number => ownZone().nodes.has(self.node) && now() - listedAt >= LISTING_MS ? fleetShare.ofProcess() : 0;

  const isUsable = (node: string): boolean => options.isOpen(node) && (passedOverUntil.get(node) ?? Number.NEGATIVE_INFINITY) <= now();

  const otherCoordinators = (): OtherCoordinator[] => [...zones].flatMap(([zone, {order}]) => {
    const node = zone === self.zone ? undefined : chooseCoordinator(order, '', isUsable);
    return node === undefined ? [] : [{node, members: order.length}];
  });

  const coordinator = createCoordinator({
    now,
    log,
    clockOrigin: options.clockOrigin ?? Math.floor(Math.random() * CLOCK_ORIGIN_MAX_MS),
    firstExchange,
    limits: currentLimits,
    share: () => ({ofProcess: fleetShare.ofProcess(), ofZone: ownZone().nodes.size * fleetShare.ofProcess()}),
    isInZone: node => ownZone().nodes.has(node),
    others: otherCoordinators,
    send: options.send,
    schedule,
  });

  const grantPermit = (holding: Holding, expiresAt: number): Permit => {
    let isHeld = true;
    log.count('permits', 'granted');
    holding.granted.add(1);
    return {
      kind: 'granted',
      giveBack() {
        if (!isHeld) {
          return;
        }

        isHeld = false;
        log.count('permits', 'given-back');
        holding.lots.add({permits: 1, expiresAt, source: ''});
        serveWaiting(holding);
      },
    };
  };

  /** Tells refused requests to come back one after the other, at the rate at which this process gets permits. */
  const refuse = (holding: Holding, time: number): Permit => {
    const ratePerS = Math.max(holding.granted.ratePerS(), holding.limit.ratePerS * fleetShare.ofProcess());
    const first = Math.max(time + RETRY_MIN_MS, holding.limitedUntil);
    const next = Math.max(first, holding.slotAt + (ratePerS > 0 ? SECOND_MS / ratePerS : RETRY_MIN_MS));
    holding.slotAt = next - time > RETRY_AFTER_MAX_MS ? first : next;
    log.count('permits', 'refused');
    if (time - holding.refusedAt > REFUSING_MS) {
      log.write('info', 'rate-limit-refusing', {
        workspace: holding.workspace, ...holding.limit, coordinator: coordinatorNode, askedPerS: Math.round(holding.demand.ratePerS()), grantedPerS: Math.round(holding.granted.ratePerS()), fraction: fleetShare.ofProcess(),
      });
    }

    holding.refusedAt = time;
    return {kind: 'limited', retryAfterMs: Math.min(RETRY_AFTER_MAX_MS, Math.ceil(holding.slotAt - time))};
  };

  const takePermit = (holding: Holding, time: number): Permit | undefined => {
    const [lot] = holding.lots.take(time, 1);
    return lot === undefined ? undefined : grantPermit(holding, lot.expiresAt);
  };

  /** Grants permits to the requests that wait, and refuses those whose time is over or that would wait in vain. */
  function serveWaiting(holding: Holding): void {
    const time = now();
    const left: Waiting[] = [];
    const {waiting} = holding;
    holding.waiting = [];
    for (const request of waiting) {
      const permit = takePermit(holding, time);
      if (permit !== undefined) {
        waitingCount--;
        request.resolve(permit);
      } else if (request.expiresAt - time < TIMER_MS || request.expiresAt < holding.limitedUntil) {
        waitingCount--;
        request.resolve(refuse(holding, time));
      } else {
        left.push(request);
      }
    }

    holding.waiting = [...left, ...holding.waiting];
  }

  /** Permits for the requests that are expected until the next poll. */
  const expectedRequests = ({demand, limit}: Holding): number =>
    Math.min(Math.floor(demand.ratePerS() * AHEAD_FACTOR * POLL_MS / SECOND_MS), Math.ceil(limit.burst + limit.ratePerS));

  const createAsk = (holding: Holding, time: number, isRegular: boolean) => {
    holding.demand.update(time);
    holding.granted.update(time);
    const expected = expectedRequests(holding);
    const held = holding.lots.count(time);
    // Half of the interval passes before the next answer is sure to have arrived.
    const kept = isRegular ? Math.min(held, Math.ceil(expected / 2)) : held;
    const returned = sumPermits(holding.lots.take(time, held - kept));
    const pending = holding.asked !== undefined && time - holding.asked.at < ANSWER_MS ? holding.asked.permits : 0;
    const wanted = Math.max(0, holding.waiting.length + expected - kept - pending);
    if (wanted > 0) {
      holding.asked = {permits: pending + wanted, at: time};
      log.count('permits', 'asked', wanted);
    }

    return {workspace: holding.workspace, wanted, returned};
  };

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
    const isMoving = borrower !== undefined && borrower !== coordinatorNode && (borrower === self.node || isUsable(borrower));
    const asked = [...holdings.values()].filter(({waiting, limitedUntil}) => isRegular || (waiting.length > 0 && limitedUntil <= time));
    const asks = asked.map(holding => createAsk(holding, time, isRegular)).filter(({wanted, returned}) => wanted > 0 || returned > 0);
    waitingPolledAt = time;
    if (!isRegular && asks.length === 0) {
      return;
    }

    polledAt = isRegular ? time : polledAt;
    if (isMoving) {
      sendPoll(borrower, {loan: undefined, asks});
    }

    if (!isMoving || isRegular) {
      sendPoll(coordinatorNode, {loan: lender.lend(time, coordinatorNode, ownFraction()), asks: isMoving ? [] : asks});
    }
  };

  const requestPoll = (earliest: number): void => {
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
  };

  function pollForWaiting(): void {
    const waiting = [...holdings.values()].filter(holding => holding.waiting.length > 0);
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
        holding.limitedUntil = retryAfterMs > 0 ? time + retryAfterMs : time;
        serveWaiting(holding);
      }
    }

    // The first answer brings the clock without which nothing can be lent.
    if (isFirst && from === coordinatorNode) {
      poll(true);
    }

    pollForWaiting();
  }

  const createHolding = (workspace: string, limit: WorkspaceLimit, time: number): Holding => {
    const created: Holding = {
      workspace, limit, lots: createPermitLots(), waiting: [], demand: createDemandEstimate(time), granted: createDemandEstimate(time), usedAt: time, asked: undefined, limitedUntil: time, slotAt: time, refusedAt: Number.NEGATIVE_INFINITY,
    };
    holdings.set(workspace, created);
    return created;
  };

  /** Notes since when the links to better ranked members are open, and passes over members that do not answer. */
  const observeCandidates = (order: readonly string[], time: number): void => {
    for (const node of order.slice(0, Math.max(0, order.indexOf(coordinatorNode ?? '')))) {
      if (!options.isOpen(node)) {
        openSince.delete(node);
      } else if (!openSince.has(node)) {
        openSince.set(node, time);
      }
    }

    if (coordinatorNode !== undefined && exchanges.isSilent(coordinatorNode, time, SILENT_MS)) {
      passedOverUntil.set(coordinatorNode, time + PASSED_OVER_MS);
    }

    for (const [node, until] of passedOverUntil) {
      if (until <= time) {
        passedOverUntil.delete(node);
      }
    }
  };

  const reviewCoordinator = (time: number): void => {
    const {order} = ownZone();
    observeCandidates(order, time);
    const current = coordinatorNode;
    const isKept = current !== undefined && lender.borrower(time) === current && order.includes(current) && (current === self.node || isUsable(current));
    const chosen = chooseCoordinator(order, self.node, node => isUsable(node) && (!isKept || node === current || time - (openSince.get(node) ?? time) >= STABLE_MS));
    if (chosen === current) {
      return;
    }

    log.write('info', 'rate-limit-coordinator', {coordinator: chosen, previous: current, lentTo: lender.borrower(time)});
    coordinatorNode = chosen;
    openSince.clear();
    poll(true);
  };

  const dropIdle = (time: number): void => {
    for (const [workspace, holding] of holdings) {
      const limit = limits.get(workspace);
      if (limit !== undefined) {
        holding.limit = limit;
      }

      if (holding.waiting.length === 0 && time - holding.usedAt > IDLE_MS) {
        holdings.delete(workspace);
      }
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

      const time = now();
      const holding = holdings.get(name) ?? createHolding(name, {ratePerS, burst}, time);
      holding.usedAt = time;
      holding.demand.add(1);
      const permit = holding.waiting.length === 0 ? takePermit(holding, time) : undefined;
      if (permit !== undefined) {
        return permit;
      }

      if (holding.limitedUntil > time + WAIT_MAX_MS || waitingCount >= WAITING_MAX) {
        return refuse(holding, time);
      }

      return new Promise(resolve => {
        waitingCount++;
        holding.waiting.push({resolve, expiresAt: time + WAIT_MAX_MS});
        schedule(WAIT_MAX_MS, () => {
          serveWaiting(holding);
        });
        requestPoll(holding.limitedUntil);
      });
    },
    tick() {
      const time = now();
      detectStall(time);
      if (currentLimits().size === 0) {
        holdings.clear();
        return;
      }

      updateFleet();
      reviewCoordinator(time);
      dropIdle(time);
      const isBusy = [...holdings.values()].some(({usedAt}) => time - usedAt < RECENT_MS);
      const canLend = coordinatorNode !== undefined && ownFraction() > 0 && lender.isFree(time, coordinatorNode);
      if (canLend || time - polledAt >= (isBusy ? POLL_MS : IDLE_POLL_MS)) {
        poll(true);
      }

      coordinator.tick();
    },
    answer(from, message) {
      updateFleet();
      return coordinator.answer(from, message);
    },
    receive,
    contacts(reachability) {
      if (currentLimits().size === 0) {
        return [];
      }

      updateFleet();
      const {order} = ownZone();
      const own = linkedCandidates(order, self.node, CANDIDATES, reachability);
      const isCandidate = own.filter(node => reachability(node) !== 'unreachable').length < CANDIDATES;
      const others = [...zones].flatMap(([zone, {order: nodes}]) => zone === self.zone || !isCandidate ? [] : linkedCandidates(nodes, '', CANDIDATES, reachability));
      return [...own, ...others];
    },
    status: () => ({coordinator: coordinatorNode, lentFraction: coordinator.lentFraction()}),
    recordListed() {
      listedAt = now();
    },
  };
};
