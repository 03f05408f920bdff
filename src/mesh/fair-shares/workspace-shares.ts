/**
Max-min fair division of the capacity of an overloaded service among workspaces, all with the same weight.

Capacity and demand are service time. A workspace whose demand is below the level is admitted in full; every other one gets the level.
*/

/** Demand of the workspaces of a service, in milliseconds of service time per second. */
export type WorkspaceDemands = {
  named: ReadonlyMap<string, number>;
  /** Workspaces that are not known by name: their number, and the mean demand of one. */
  others: {meanDemand: number; count: number};
};

/** Result of a division: the share of its requests that is admitted, by workspace. */
export type WorkspaceShares = {
  /** Service time that a workspace gets at most, apart from its minimum share; infinite while there is capacity for all. */
  level: number;
  named: Map<string, number>;
  others: number;
};

/** Lowest admitted share of a workspace. */
export const WORKSPACE_SHARE_MIN = 0.1;
/** Lowest admitted share of a workspace relative to that of all requests; the promised quarter with a margin for errors of the estimated demands. */
export const SHARE_OF_MEAN_MIN = 0.3;

type Demand = {demand: number; count: number};

/** Lowest share that a workspace gets when `admittedShare` of all demand is admitted. */
export const minimumShare = (admittedShare: number): number =>
  Math.min(admittedShare, Math.max(WORKSPACE_SHARE_MIN, SHARE_OF_MEAN_MIN * admittedShare));

/** Service time that is admitted in total at a level. */
const admittedAt = (level: number, demands: readonly Demand[], shareMin: number): number =>
  demands.reduce((total, {demand, count}) => total + (count * Math.max(shareMin * demand, Math.min(demand, level))), 0);

/** Level at which `total` is admitted. The admitted sum is linear between two neighbouring breakpoints. */
const findLevel = (demands: readonly Demand[], total: number, shareMin: number): number => {
  const breakpoints = [0, ...demands.flatMap(({demand}) => [shareMin * demand, demand])].sort((a, b) => a - b);
  const above = breakpoints.findIndex(level => admittedAt(level, demands, shareMin) >= total);
  if (above <= 0) {
    return above === 0 ? 0 : breakpoints.at(-1)!;
  }

  const [low, high] = [breakpoints[above - 1]!, breakpoints[above]!];
  const [admittedLow, admittedHigh] = [admittedAt(low, demands, shareMin), admittedAt(high, demands, shareMin)];
  return low + ((high - low) * (total - admittedLow) / (admittedHigh - admittedLow));
};

/** Divides the share `admittedShare` of all demand among the workspaces. */
export const divideCapacity = ({named, others}: WorkspaceDemands, admittedShare: number): WorkspaceShares => {
  if (admittedShare >= 1) {
    return {level: Number.POSITIVE_INFINITY, named: new Map([...named.keys()].map(name => [name, 1])), others: 1};
  }

  const demands = [...[...named.values()].map(demand => ({demand, count: 1})), {demand: others.meanDemand, count: others.count}];
  const total = admittedShare * demands.reduce((sum, {demand, count}) => sum + (demand * count), 0);
  const shareMin = minimumShare(admittedShare);
  const level = findLevel(demands, total, shareMin);
  const shareOf = (demand: number): number => demand <= level ? 1 : Math.max(shareMin, level / demand);
  return {level, named: new Map([...named].map(([name, demand]) => [name, shareOf(demand)])), others: shareOf(others.meanDemand)};
};
