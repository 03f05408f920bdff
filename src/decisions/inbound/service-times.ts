/** Estimates of how long calls of each request kind take at the backend server. */
import {updateMean, withSample, type DurationAverages} from './moving-average.js';
import {RECENT_EWMA_WEIGHT, REQUEST_KINDS_MAX, SERVICE_TIME_STALE_MS} from './constants.js';

type ServiceTime = {
  /** Mean time for which a call occupies its slot, in milliseconds. */
  meanMs: number;
  /** Slot time without waits for sub-calls. */
  selfTime: DurationAverages;
  sampledAt: number;
};

/** Service times by request kind, and the mean slot time of all calls in milliseconds. */
export type ServiceTimes = {kinds: Map<string, ServiceTime>; meanMs: number | undefined};

/** Creates estimates without any sample. */
export const createServiceTimes = (): ServiceTimes => ({kinds: new Map(), meanMs: undefined});

/** Times of a call that has ended, in milliseconds. */
export type CompletedCall = {
  requestKind: string;
  /** Time for which it occupied its slot. */
  slotMs: number;
  /** Part of the slot time that was not spent waiting for sub-calls. */
  selfMs: number;
};

/** Adds a call; returns its latency inflation, the ratio of its self time to the baseline without load. */
export const addServiceTime = (times: ServiceTimes, {requestKind, slotMs, selfMs}: CompletedCall, now: number): number => {
  const known = times.kinds.get(requestKind);
  times.meanMs = updateMean(times.meanMs ?? slotMs, slotMs, RECENT_EWMA_WEIGHT);
  if (known !== undefined || times.kinds.size < REQUEST_KINDS_MAX) {
    times.kinds.set(requestKind, {
      meanMs: updateMean(known?.meanMs ?? slotMs, slotMs, RECENT_EWMA_WEIGHT),
      selfTime: withSample(known?.selfTime, selfMs),
      sampledAt: now,
    });
  }

  return known === undefined ? 1 : selfMs / Math.max(known.selfTime.baselineMs, 1);
};

/** Returns the mean slot time of a request kind in milliseconds, or that of all calls if the kind has no samples; 0 without any sample. */
export const meanServiceMs = (times: ServiceTimes, requestKind: string): number =>
  times.kinds.get(requestKind)?.meanMs ?? times.meanMs ?? 0;

/** Returns the service time that a call of a request kind is assumed to need, in milliseconds; decays from the mean to 0 while there are no samples. */
export const neededServiceMs = (times: ServiceTimes, requestKind: string, now: number): number => {
  const known = times.kinds.get(requestKind);
  return known === undefined ? 0 : known.meanMs / (2 ** Math.floor((now - known.sampledAt) / SERVICE_TIME_STALE_MS));
};
