/** Permits that this process holds for each workspace, and the requests that wait for them. */
import type {DecisionLog} from '../decision-log.js';
import type {PermitAsk} from '../message.js';
import {AHEAD_FACTOR, createDemandEstimate, type DemandEstimate} from './demand-estimate.js';
import {ANSWER_MS} from './exchanges.js';
import type {WorkspaceLimit} from './permit-bucket.js';
import {createPermitLots, sumPermits, type PermitLots} from './permit-lots.js';
import {
  POLL_MS, RETRY_AFTER_MAX_MS, SECOND_MS, WAIT_MAX_MS,
} from './times.js';

/** Answer to a request for a permit. */
export type Permit =
  | {kind: 'granted'; /** Returns the permit, because the request has not run. */ giveBack: () => void}
  | {kind: 'limited'; retryAfterMs: number};

/** Permits by workspace. */
export type PermitHoldings = {
  /** Takes a permit for a request, or lets the request wait for one. */
  acquire: (workspace: string, limit: WorkspaceLimit) => Permit | Promise<Permit>;
  /** Holding of a workspace; undefined without recent requests. */
  get: (workspace: string) => Holding | undefined;
  all: () => Holding[];
  /** Grants permits to the requests that wait, and refuses those whose time is over or that would wait in vain. */
  serveWaiting: (holding: Holding) => void;
  /** Applies changed limits, and drops the workspaces without recent requests. */
  review: (limits: ReadonlyMap<string, WorkspaceLimit>) => void;
  clear: () => void;
};

/** Options of the holdings. */
export type PermitHoldingsOptions = {
  now: () => number;
  log: DecisionLog;
  /** Fraction of every limit that one process owns. */
  processShare: () => number;
  /** Coordinator that this process asks. */
  coordinator: () => string | undefined;
  /** Called when a request starts to wait, with the time before which the coordinator has no further permits. */
  onWaiting: (earliest: number) => void;
  schedule: (milliseconds: number, run: () => void) => void;
};

/** Requests that wait for permits at most, over all workspaces. */
const WAITING_MAX = 1000;
/** Time without requests after which the state of a workspace is dropped, in milliseconds. */
const IDLE_MS = 5000;
/** Resolution of timers, in milliseconds; they may fire early by less. */
export const TIMER_MS = 1;
const RETRY_MIN_MS = 50;
/** Time without refusals after which the next one is logged again, in milliseconds. */
const REFUSING_MS = 5000;

type Waiting = {resolve: (permit: Permit) => void; expiresAt: number};

/** State of a workspace with recent requests. */
export type Holding = {
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

const createHolding = (workspace: string, limit: WorkspaceLimit, now: number): Holding => ({
  workspace,
  limit,
  lots: createPermitLots(),
  waiting: [],
  demand: createDemandEstimate(now),
  granted: createDemandEstimate(now),
  usedAt: now,
  asked: undefined,
  limitedUntil: now,
  slotAt: now,
  refusedAt: Number.NEGATIVE_INFINITY,
});

/** Permits for the requests that are expected until the next poll. */
const expectedRequests = ({demand, limit}: Holding): number =>
  Math.min(Math.floor(demand.ratePerS() * AHEAD_FACTOR * POLL_MS / SECOND_MS), Math.ceil(limit.burst + limit.ratePerS));

/** Asks for the permits that a workspace lacks, and returns those that it does not need before the next poll. */
export const createAsk = (holding: Holding, time: number, isRegular: boolean): PermitAsk => {
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
  }

  return {workspace: holding.workspace, wanted, returned};
};

/** Creates the holdings of a process without permits. */
export const createPermitHoldings = (options: PermitHoldingsOptions): PermitHoldings => {
  const {now, log} = options;
  const holdings = new Map<string, Holding>();
  let waitingCount = 0;

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
    // Permits of a burst come at more than the rate of the limit, but no further ones follow at that rate.
    const ratePerS = Math.min(holding.limit.ratePerS, Math.max(holding.granted.ratePerS(), holding.limit.ratePerS * options.processShare()));
    const first = Math.max(time + RETRY_MIN_MS, holding.limitedUntil);
    const next = Math.max(first, holding.slotAt + (ratePerS > 0 ? SECOND_MS / ratePerS : RETRY_MIN_MS));
    holding.slotAt = next - time > RETRY_AFTER_MAX_MS ? first : next;
    log.count('permits', 'refused');
    if (time - holding.refusedAt > REFUSING_MS) {
      log.write('info', 'rate-limit-refusing', {
        workspace: holding.workspace,
        ...holding.limit,
        coordinator: options.coordinator(),
        askedPerS: Math.round(holding.demand.ratePerS()),
        grantedPerS: Math.round(holding.granted.ratePerS()),
        fraction: options.processShare(),
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

  const holdingOf = (workspace: string, limit: WorkspaceLimit, time: number): Holding => {
    const known = holdings.get(workspace);
    if (known !== undefined) {
      return known;
    }

    const created = createHolding(workspace, limit, time);
    holdings.set(workspace, created);
    return created;
  };

  return {
    acquire(workspace, limit): Permit | Promise<Permit> {
      const time = now();
      const holding = holdingOf(workspace, limit, time);
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
        options.schedule(WAIT_MAX_MS, () => {
          serveWaiting(holding);
        });
        options.onWaiting(holding.limitedUntil);
      });
    },
    get: workspace => holdings.get(workspace),
    all: () => [...holdings.values()],
    serveWaiting,
    review(limits) {
      const time = now();
      for (const [workspace, holding] of holdings) {
        holding.limit = limits.get(workspace) ?? holding.limit;
        if (holding.waiting.length === 0 && time - holding.usedAt > IDLE_MS) {
          holdings.delete(workspace);
        }
      }
    },
    clear() {
      holdings.clear();
    },
  };
};
