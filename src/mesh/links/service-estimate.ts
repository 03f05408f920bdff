/** Estimates the load of a whole service from the backend servers that this process is linked with. */
import type {ServiceLoad} from '../entry/refusal-levels.js';
import {estimateServiceDemand, type ServiceDemand} from '../fair-shares/service-demand.js';
import type {BackendLoad} from '../message.js';
import type {CountedCalls} from '../entry/retry-budget.js';

/** Backend server whose load is known; `load` is undefined when it accepts no calls. */
export type LoadSample = {
  zone: string;
  load: BackendLoad | undefined;
  /** Time since the demand by workspace in the load was reported, in milliseconds. @default 0 */
  demandAgeMs?: number;
};

/** Number of backend servers of a service, by zone. */
export type BackendCounts = ReadonlyMap<string, number>;

/** Shortest service time that counts, in milliseconds. */
const SERVICE_MS_MIN = 0.1;

/** How many backend servers each sample of a zone stands for. */
const weightsByZone = (samples: readonly LoadSample[], counts: BackendCounts): Map<string, number> => {
  const sampled = new Map<string, number>();
  for (const {zone} of samples) {
    sampled.set(zone, (sampled.get(zone) ?? 0) + 1);
  }

  return new Map([...sampled].map(([zone, count]) => [zone, Math.max(1, (counts.get(zone) ?? 0) / count)]));
};

/** Total of a figure over a service. */
const estimateTotal = (samples: readonly LoadSample[], counts: BackendCounts, figureOf: (load: BackendLoad) => number): number => {
  const weights = weightsByZone(samples, counts);
  return samples.reduce((total, {zone, load}) => total + (load === undefined ? 0 : figureOf(load) * weights.get(zone)!), 0);
};

/** Estimates the total load of a service. */
export const estimateServiceLoad = (samples: readonly LoadSample[], counts: BackendCounts): ServiceLoad => {
  const limit = estimateTotal(samples, counts, load => load.limit);
  const callsPerMs = estimateTotal(samples, counts, load => load.limit / Math.max(SERVICE_MS_MIN, load.serviceMs));
  return {
    backends: estimateTotal(samples, counts, () => 1),
    running: estimateTotal(samples, counts, ({running}) => running),
    queued: estimateTotal(samples, counts, ({queued}) => queued),
    limit,
    serviceMs: callsPerMs === 0 ? undefined : limit / callsPerMs,
  };
};

/** Estimates the calls that all inbound proxies of a service counted; undefined without a sample. */
export const estimateCallCounts = (samples: readonly LoadSample[], counts: BackendCounts): CountedCalls | undefined =>
  samples.some(({load}) => load !== undefined)
    ? {
      requests: estimateTotal(samples, counts, ({counted}) => counted.requests),
      repeats: estimateTotal(samples, counts, ({counted}) => counted.repeats),
    }
    : undefined;

/** Estimates the demand for a service by workspace; undefined without a recent report. */
export const estimateWorkspaceDemand = (samples: readonly LoadSample[], counts: BackendCounts): ServiceDemand | undefined =>
  estimateServiceDemand(samples.map(({zone, load, demandAgeMs = 0}) => ({zone, demand: load?.workspaces, ageMs: demandAgeMs})), counts);
