/** Admitted shares of the workspaces at one overloaded service, from their use and the shares that were admitted before. */
import type {ServiceUse} from './service-use.js';
import {USE_AVERAGE_MS} from './use-tracker.js';
import {divideCapacity, type WorkspaceShares} from './workspace-shares.js';

/** A request that arrived, as far as its part in the requests of its workspace is concerned. */
export type ArrivedRequest = {
  workspace: string;
  /** Factor that its priority has on the refused share. */
  urgencyFactor: number;
  isClientRetry: boolean;
};

/** Admitted shares at one service. */
export type ServiceShares = {
  /** Divides the share `admittedShare` of all work among the workspaces. */
  update: (use: ServiceUse, admittedShare: number) => void;
  /**
  Share of the requests of a workspace that is admitted, with this factor of their priority on the refused share.
  Within a workspace, the factor moves refusals to the less urgent requests without changing their total.
  */
  admittedShare: (workspace: string, urgencyFactor: number) => number;
  /** Takes note of a request, whether or not it is admitted. */
  recordRequest: (request: ArrivedRequest) => void;
  /** Mean urgency factor of all requests. */
  meanUrgencyFactor: () => number;
  /** Result of the last division; undefined before it. */
  shares: () => WorkspaceShares | undefined;
};

/** Time constant of the moving average of a demand, in milliseconds. Reports that are two seconds late would make the shares oscillate without it. */
const DEMAND_AVERAGE_MS = 500;
/** Lowest admitted share that a use is divided by. */
const DIVISOR_MIN = 0.002;
/** Weight of the newest request in the means over the requests of a workspace. */
const REQUEST_SMOOTHING = 0.02;
/** Lowest admitted share of the least urgent requests, as a part of that of their workspace. */
const LEAST_URGENT_MIN = 0.3;

/** What is known of a workspace, or of the mean of the others. */
type Tracked = {
  /**
  Share of its requests that is admitted, each retry counted as a request.
  The division is by new requests: the retries of a client have to get what one request would get.
  */
  share: number;
  /** Moving average of `share`. */
  admitted: number;
  /** Demand by new requests; undefined before the first report. */
  demand: number | undefined;
  /** Mean urgency factor of the requests; undefined before the first one. */
  urgencyFactor: number | undefined;
  /** Part of the requests that are retries. */
  retryShare: number;
};

const INITIAL: Tracked = {
  share: 1, admitted: 1, demand: undefined, urgencyFactor: undefined, retryShare: 0,
};

const approach = (value: number | undefined, target: number, weight: number): number => value === undefined ? target : value + (weight * (target - value));

/** Weight of a new value in a moving average, after a time without one. */
const weightAfter = (elapsedMs: number, averageMs: number): number => 1 - Math.exp(-elapsedMs / averageMs);

/** Updates the demand of a workspace from its use. The shares are averaged like the use, so that the quotient follows a change of the shares at once. */
const withUse = (tracked: Tracked, use: number, elapsedMs: number): Tracked & {demand: number} => {
  const admitted = approach(tracked.admitted, tracked.share, weightAfter(elapsedMs, USE_AVERAGE_MS));
  const demand = use * (1 - tracked.retryShare) / Math.max(DIVISOR_MIN, admitted);
  return {...tracked, admitted, demand: approach(tracked.demand, demand, weightAfter(elapsedMs, DEMAND_AVERAGE_MS))};
};

const withShare = (tracked: Tracked, share: number): Tracked => ({...tracked, share: share === 1 ? 1 : share * (1 - tracked.retryShare)});

/** Creates the shares of a service at which everything is admitted. */
export const createServiceShares = (now: () => number): ServiceShares => {
  let named = new Map<string, Tracked>();
  let others = {...INITIAL};
  let meanUrgencyFactor: number | undefined;
  let divided: WorkspaceShares | undefined;
  let updatedAt = now();

  const trackedOf = (workspace: string): Tracked => named.get(workspace) ?? others;

  return {
    update(use, admittedShare) {
      const elapsedMs = now() - updatedAt;
      updatedAt = now();
      const othersUse = use.others.count === 0 ? 0 : use.others.use / use.others.count;
      const othersTracked = withUse(others, othersUse, elapsedMs);
      const namedTracked = new Map([...use.named].map(([workspace, workspaceUse]) => {
        // A workspace that is named for the first time was admitted like the others until now.
        const known = named.get(workspace) ?? {...others, demand: undefined};
        return [workspace, withUse(known, workspaceUse, elapsedMs)];
      }));
      const shares = divideCapacity({
        named: new Map([...namedTracked].map(([workspace, {demand}]) => [workspace, demand])),
        others: {meanDemand: othersTracked.demand, count: use.others.count},
      }, admittedShare);
      divided = shares;
      named = new Map([...namedTracked].map(([workspace, tracked]) => [workspace, withShare(tracked, shares.named.get(workspace)!)]));
      others = withShare(othersTracked, shares.others);
    },
    admittedShare(workspace, urgencyFactor) {
      const {share, urgencyFactor: meanFactor = urgencyFactor} = trackedOf(workspace);
      return Math.min(1, Math.max(LEAST_URGENT_MIN * share, 1 - ((1 - share) * urgencyFactor / meanFactor)));
    },
    recordRequest({workspace, urgencyFactor, isClientRetry}) {
      const tracked = trackedOf(workspace);
      meanUrgencyFactor = approach(meanUrgencyFactor, urgencyFactor, REQUEST_SMOOTHING);
      tracked.urgencyFactor = approach(tracked.urgencyFactor, urgencyFactor, REQUEST_SMOOTHING);
      tracked.retryShare = approach(tracked.retryShare, isClientRetry ? 1 : 0, REQUEST_SMOOTHING);
    },
    meanUrgencyFactor: () => meanUrgencyFactor ?? 1,
    shares: () => divided,
  };
};
