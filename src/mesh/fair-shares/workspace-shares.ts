/**
Max-min fair division of the capacity of an overloaded service among workspaces, all with the same weight.

Capacity and demand are service time. A workspace whose demand is below the level is admitted in full; every other one gets the level.
*/

/** Demand of a workspace, in milliseconds of service time per second. */
export type Demand = {
  /** By all its requests. */
  total: number;
  /** By its requests without the retries of clients. */
  fresh: number;
};

/** Demand of the workspaces of a service. */
export type WorkspaceDemands = {
  named: ReadonlyMap<string, Demand>;
  /** Workspaces that are not known by name: their number, and the mean demand of one. */
  others: {mean: Demand; count: number};
};

/** Result of a division: the share of its requests that is admitted, by workspace. */
export type WorkspaceShares = {
  /** Service time that a workspace gets at most, apart from its minimum share; infinite while there is capacity for all. */
  level: number;
  named: Map<string, number>;
  others: number;
};

/** Lowest admitted share of the fresh demand of a workspace. */
export const WORKSPACE_SHARE_MIN = 0.1;
/** Lowest admitted share of the fresh demand of a workspace relative to that of all; the promised quarter with a margin for errors of the estimated demands. */
export const SHARE_OF_MEAN_MIN = 0.3;

type CountedDemand = {demand: Demand; count: number};

/** Service time that a workspace gets at least when `admittedShare` of the fresh demand of all is admitted. Its retries do not raise it. */
export const minimumAmount = ({fresh}: Demand, admittedShare: number): number =>
  fresh * Math.min(admittedShare, Math.max(WORKSPACE_SHARE_MIN, SHARE_OF_MEAN_MIN * admittedShare));

/** Service time that a workspace gets at a level. */
const amountAt = (level: number, demand: Demand, admittedShare: number): number =>
  Math.max(minimumAmount(demand, admittedShare), Math.min(demand.total, level));

/** Level at which `capacity` is admitted. The admitted sum is linear between two neighbouring breakpoints. */
const findLevel = (demands: readonly CountedDemand[], capacity: number, admittedShare: number): number => {
  const admittedAt = (level: number): number => demands.reduce((sum, {demand, count}) => sum + (count * amountAt(level, demand, admittedShare)), 0);
  const breakpoints = [0, ...demands.flatMap(({demand}) => [minimumAmount(demand, admittedShare), demand.total])].sort((a, b) => a - b);
  const above = breakpoints.findIndex(level => admittedAt(level) >= capacity);
  if (above <= 0) {
    return above === 0 ? 0 : breakpoints.at(-1)!;
  }

  const [low, high] = [breakpoints[above - 1]!, breakpoints[above]!];
  const [admittedLow, admittedHigh] = [admittedAt(low), admittedAt(high)];
  return low + ((high - low) * (capacity - admittedLow) / (admittedHigh - admittedLow));
};

/** Divides a capacity for the share `admittedShare` of the fresh demand of all workspaces. */
export const divideCapacity = ({named, others}: WorkspaceDemands, admittedShare: number): WorkspaceShares => {
  if (admittedShare >= 1) {
    return {level: Number.POSITIVE_INFINITY, named: new Map([...named.keys()].map(name => [name, 1])), others: 1};
  }

  const demands = [...[...named.values()].map(demand => ({demand, count: 1})), {demand: others.mean, count: others.count}];
  const capacity = admittedShare * demands.reduce((sum, {demand, count}) => sum + (demand.fresh * count), 0);
  const level = findLevel(demands, capacity, admittedShare);
  const shareOf = (demand: Demand): number => demand.total <= level ? 1 : amountAt(level, demand, admittedShare) / demand.total;
  return {level, named: new Map([...named].map(([name, demand]) => [name, shareOf(demand)])), others: shareOf(others.mean)};
};
