/** Admitted shares of the workspaces at one overloaded service, from their use and the shares that were admitted before. */
import type {ServiceUse} from './service-use.js';
import {USE_AVERAGE_MS} from './use-tracker.js';
import {divideCapacity, type WorkspaceShares} from './workspace-shares.js';

/** Admitted shares at one service. */
export type ServiceShares = {
  /** Divides the share `admittedShare` of all work among the workspaces. */
  update: (use: ServiceUse, admittedShare: number) => void;
  /**
  Admitted share of a request of a workspace. `urgencyFactor` is the factor that its priority has on the refused share.
  Within a workspace, it moves refusals to the less urgent requests without changing their total.
  */
  admittedShare: (workspace: string, urgencyFactor: number) => number;
  /** Takes note of the urgency of a request. */
  recordRequest: (workspace: string, urgencyFactor: number) => void;
  /** Mean urgency factor of all requests. */
  meanUrgencyFactor: () => number;
  /** Result of the last division; undefined before it. */
  shares: () => WorkspaceShares | undefined;
};

/** Time constant of the moving average of a demand, in milliseconds. Reports that are two seconds late would make the shares oscillate without it. */
const DEMAND_AVERAGE_MS = 500;
/** Lowest admitted share that a use is divided by. */
const DIVISOR_MIN = 0.05;
/** Weight of the newest request in the mean urgency factor. */
const URGENCY_SMOOTHING = 0.02;

/** What is known of a workspace, or of the mean of the others. */
type Tracked = {
  share: number;
  /** Moving average of `share`. */
  admitted: number;
  /** Undefined before the first report. */
  demand: number | undefined;
  /** Mean urgency factor of the requests; undefined before the first one. */
  urgencyFactor: number | undefined;
};

const INITIAL: Tracked = {
  share: 1, admitted: 1, demand: undefined, urgencyFactor: undefined,
};

const approach = (value: number | undefined, target: number, weight: number): number => value === undefined ? target : value + (weight * (target - value));

/** Creates the shares of a service at which everything is admitted. */
export const createServiceShares = (now: () => number): ServiceShares => {
  let named = new Map<string, Tracked>();
  let others = INITIAL;
  const all: Pick<Tracked, 'urgencyFactor'> = {urgencyFactor: undefined};
  let divided: WorkspaceShares | undefined;
  let updatedAt = now();

  const trackedOf = (workspace: string): Tracked => named.get(workspace) ?? others;

  const withUse = (tracked: Tracked, use: number, elapsedMs: number): Tracked & {demand: number} => {
    const admitted = approach(tracked.admitted, tracked.share, 1 - Math.exp(-elapsedMs / USE_AVERAGE_MS));
    const demand = approach(tracked.demand, use / Math.max(DIVISOR_MIN, admitted), 1 - Math.exp(-elapsedMs / DEMAND_AVERAGE_MS));
    return {...tracked, admitted, demand};
  };

  return {
    update(use, admittedShare) {
      const elapsedMs = now() - updatedAt;
      updatedAt = now();
      // A workspace that is named for the first time was admitted like the others until now.
      const namedDemands = new Map([...use.named].map(([workspace, workspaceUse]) => [workspace, withUse(named.get(workspace) ?? {...others, demand: undefined, urgencyFactor: undefined}, workspaceUse, elapsedMs)]));
      const othersDemand = withUse(others, use.others.count === 0 ? 0 : use.others.use / use.others.count, elapsedMs);
      divided = divideCapacity({
        named: new Map([...namedDemands].map(([workspace, {demand}]) => [workspace, demand])),
        others: {meanDemand: othersDemand.demand, count: use.others.count},
      }, admittedShare);
      named = new Map([...namedDemands].map(([workspace, tracked]) => [workspace, {...tracked, share: divided!.named.get(workspace)!}]));
      others = {...othersDemand, share: divided.others};
    },
    admittedShare(workspace, urgencyFactor) {
      const tracked = trackedOf(workspace);
      return 1 - ((1 - tracked.share) * urgencyFactor / (tracked.urgencyFactor ?? urgencyFactor));
    },
    recordRequest(workspace, urgencyFactor) {
      const tracked = trackedOf(workspace);
      all.urgencyFactor = approach(all.urgencyFactor, urgencyFactor, URGENCY_SMOOTHING);
      if (tracked.share < 1) {
        tracked.urgencyFactor = approach(tracked.urgencyFactor, urgencyFactor, URGENCY_SMOOTHING);
      }
    },
    meanUrgencyFactor: () => all.urgencyFactor ?? 1,
    shares: () => divided,
  };
};
