/** Estimates the use of a whole service by workspace from the reports of the backend servers that this process is linked with. */
import type {WorkspaceUse} from './use-tracker.js';

/** Latest report of a backend server; `workspaces` is undefined when it has none, as from a process of an earlier version. */
export type UseSample = {zone: string; workspaces: WorkspaceUse | undefined; ageMs: number};

/** Use of a service by workspace, in milliseconds of service time per second. */
export type ServiceUse = {
  named: ReadonlyMap<string, number>;
  others: {use: number; count: number};
  /** Age of the oldest report in it, in milliseconds. */
  ageMs: number;
};

/** Age up to which a report counts, in milliseconds; several reports may be lost before. */
export const REPORT_AGE_MAX_MS = 3000;
/** Workspaces that are known by name at a service. */
const NAMED_MAX = 32;

type WeightedUse = {use: WorkspaceUse; weight: number};

/** How many backend servers of its zone each report stands for. */
const withWeights = (samples: ReadonlyArray<UseSample & {workspaces: WorkspaceUse}>, counts: ReadonlyMap<string, number>): WeightedUse[] => {
  const reports = new Map<string, number>();
  for (const {zone} of samples) {
    reports.set(zone, (reports.get(zone) ?? 0) + 1);
  }

  return samples.map(({zone, workspaces}) => ({use: workspaces, weight: Math.max(1, (counts.get(zone) ?? 0) / reports.get(zone)!)}));
};

const sumByName = (entries: Iterable<readonly [string, number]>): Map<string, number> => {
  const sums = new Map<string, number>();
  for (const [name, use] of entries) {
    sums.set(name, (sums.get(name) ?? 0) + use);
  }

  return sums;
};

/** Use in one report: what it says of the names, and what remains. A name that it does not list is taken to have the mean use of those that it lists together. */
const splitReport = ({heaviest, others}: WorkspaceUse, names: ReadonlySet<string>): {named: Array<[string, number]>; othersUse: number} => {
  const listed = heaviest.filter(({workspace}) => names.has(workspace));
  const unlisted = [...names].filter(name => !listed.some(({workspace}) => workspace === name));
  const remaining = heaviest.filter(({workspace}) => !names.has(workspace));
  const remainingUse = others.use + remaining.reduce((sum, {use}) => sum + use, 0);
  const meanUse = remainingUse / Math.max(1, others.count + remaining.length, unlisted.length);
  return {
    named: [...listed.map(({workspace, use}): [string, number] => [workspace, use]), ...unlisted.map((name): [string, number] => [name, meanUse])],
    othersUse: remainingUse - (unlisted.length * meanUse),
  };
};

/** Estimates the use of a service; undefined without a recent report. */
export const estimateServiceUse = (samples: readonly UseSample[], counts: ReadonlyMap<string, number>): ServiceUse | undefined => {
  const recent = samples.filter((sample): sample is UseSample & {workspaces: WorkspaceUse} => sample.workspaces !== undefined && sample.ageMs <= REPORT_AGE_MAX_MS);
  if (recent.length === 0) {
    return undefined;
  }

  const reports = withWeights(recent, counts);
  const heaviest = sumByName(reports.flatMap(({use, weight}) => use.heaviest.map(({workspace, use}) => [workspace, use * weight] as const)));
  const names = new Set([...heaviest].sort(([, a], [, b]) => b - a).slice(0, NAMED_MAX).map(([name]) => name));
  const split = reports.map(({use, weight}) => ({...splitReport(use, names), weight}));
  // Workspaces use all backend servers of a service, so the report with the most of them comes closest to their number.
  const workspaces = Math.max(...reports.map(({use}) => use.heaviest.length + use.others.count));
  return {
    named: sumByName(split.flatMap(({named, weight}) => named.map(([name, use]) => [name, use * weight] as const))),
    others: {use: split.reduce((sum, {othersUse, weight}) => sum + (othersUse * weight), 0), count: Math.max(0, workspaces - names.size)},
    ageMs: Math.max(...recent.map(({ageMs}) => ageMs)),
  };
};

/** Adds up the use of several services by the same workspaces. */
export const addServiceUses = (uses: readonly ServiceUse[]): ServiceUse | undefined => uses.length <= 1
  ? uses[0]
  : {
    named: sumByName(uses.flatMap(({named}) => [...named])),
    others: {use: uses.reduce((sum, {others}) => sum + others.use, 0), count: Math.max(...uses.map(({others}) => others.count))},
    ageMs: Math.max(...uses.map(({ageMs}) => ageMs)),
  };
