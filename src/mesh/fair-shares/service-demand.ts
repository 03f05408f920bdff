/** Estimates the demand for a whole service by workspace from the reports of the backend servers that this process is linked with. */
import type {ReportedDemand} from './demand-tracker.js';
import type {Demand, WorkspaceDemands} from './workspace-shares.js';

/** Latest report of a backend server; `demand` is undefined when it has none, as from a process of an earlier version. */
export type DemandSample = {zone: string; demand: ReportedDemand | undefined; ageMs: number};

/** Demand for a service by workspace. */
export type ServiceDemand = WorkspaceDemands & {
  /** Age of the oldest report in it, in milliseconds. */
  ageMs: number;
};

/** Age up to which a report counts, in milliseconds; several reports may be lost before. */
export const REPORT_AGE_MAX_MS = 3000;
/** Workspaces that are known by name at a service. */
const NAMED_MAX = 32;

type WeightedReport = {report: ReportedDemand; weight: number};
type NamedDemand = {workspace: string} & Demand;

const sumOf = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

const NO_DEMAND: Demand = {total: 0, fresh: 0};

const add = (a: Demand, b: Demand): Demand => ({total: a.total + b.total, fresh: a.fresh + b.fresh});

const scale = ({total, fresh}: Demand, factor: number): Demand => ({total: total * factor, fresh: fresh * factor});

const sum = (demands: readonly Demand[]): Demand => ({total: sumOf(demands.map(({total}) => total)), fresh: sumOf(demands.map(({fresh}) => fresh))});

const sumByName = (demands: readonly NamedDemand[]): Map<string, Demand> => {
  const sums = new Map<string, Demand>();
  for (const {workspace, ...demand} of demands) {
    sums.set(workspace, add(sums.get(workspace) ?? NO_DEMAND, demand));
  }

  return sums;
};

/** How many backend servers of its zone each report stands for. */
const withWeights = (samples: ReadonlyArray<DemandSample & {demand: ReportedDemand}>, counts: ReadonlyMap<string, number>): WeightedReport[] => {
  const reports = new Map<string, number>();
  for (const {zone} of samples) {
    reports.set(zone, (reports.get(zone) ?? 0) + 1);
  }

  return samples.map(({zone, demand}) => ({report: demand, weight: Math.max(1, (counts.get(zone) ?? 0) / reports.get(zone)!)}));
};

/** What one report says of the names, and what remains. A name that it does not list is taken to have the mean demand of those that it lists together. */
const splitReport = ({report: {heaviest, others}, weight}: WeightedReport, names: ReadonlySet<string>): {named: NamedDemand[]; rest: Demand} => {
  const listed = heaviest.filter(({workspace}) => names.has(workspace));
  const listedNames = new Set(listed.map(({workspace}) => workspace));
  const unlisted = [...names].filter(name => !listedNames.has(name));
  const unnamed = heaviest.filter(({workspace}) => !names.has(workspace));
  const remaining = sum([others, ...unnamed]);
  const mean = scale(remaining, 1 / Math.max(1, others.count + unnamed.length, unlisted.length));
  return {
    named: [...listed, ...unlisted.map(workspace => ({workspace, ...mean}))].map(({workspace, ...demand}) => ({workspace, ...scale(demand, weight)})),
    rest: scale(add(remaining, scale(mean, -unlisted.length)), weight),
  };
};

/** Estimates the demand for a service; undefined without a recent report. */
export const estimateServiceDemand = (samples: readonly DemandSample[], counts: ReadonlyMap<string, number>): ServiceDemand | undefined => {
  const recent = samples.filter((sample): sample is DemandSample & {demand: ReportedDemand} => sample.demand !== undefined && sample.ageMs <= REPORT_AGE_MAX_MS);
  if (recent.length === 0) {
    return undefined;
  }

  const reports = withWeights(recent, counts);
  const listed = sumByName(reports.flatMap(({report, weight}) => report.heaviest.map(({workspace, ...demand}) => ({workspace, ...scale(demand, weight)}))));
  const names = new Set([...listed].sort(([, a], [, b]) => b.total - a.total).slice(0, NAMED_MAX).map(([name]) => name));
  const split = reports.map(report => splitReport(report, names));
  // Workspaces use all backend servers of a service, so the report with the most of them comes closest to their number.
  const workspaces = Math.max(...reports.map(({report}) => report.heaviest.length + report.others.count));
  const count = Math.max(0, workspaces - names.size);
  return {
    named: sumByName(split.flatMap(({named}) => named)),
    others: {mean: scale(sum(split.map(({rest}) => rest)), 1 / Math.max(1, count)), count},
    ageMs: Math.max(...recent.map(({ageMs}) => ageMs)),
  };
};

/** Adds up the demand for several services by the same workspaces. */
export const addServiceDemands = (demands: readonly ServiceDemand[]): ServiceDemand | undefined => {
  if (demands.length <= 1) {
    return demands[0];
  }

  const count = Math.max(...demands.map(({others}) => others.count));
  return {
    named: sumByName(demands.flatMap(({named}) => [...named].map(([workspace, demand]) => ({workspace, ...demand})))),
    others: {mean: scale(sum(demands.map(({others}) => scale(others.mean, others.count))), 1 / Math.max(1, count)), count},
    ageMs: Math.max(...demands.map(({ageMs}) => ageMs)),
  };
};
