/** Estimates how long the backend server takes for calls of each request kind. */
import {updateMean, withSample, type DurationAverages} from './moving-average.js';
import {RECENT_SMOOTHING, REQUEST_KINDS_MAX, SERVICE_TIME_STALE_MS} from './constants.js';

type ServiceTime = {
  /** Mean time for which a call holds its slot, in milliseconds. */
  meanMs: number;
  /** Time without waits for sub-calls. */
  selfTime: DurationAverages;
  sampledAt: number;
};

/** Service times by request kind, and the mean slot time of all calls in milliseconds. */
export type ServiceTimes = {kinds: Map<string, ServiceTime>; meanMs: number | undefined};

/** Creates estimates without samples. */
export const createServiceTimes = (): ServiceTimes => ({kinds: new Map(), meanMs: undefined});

/** A call that has ended. Times are in milliseconds. */
export type CompletedCall = {
  requestKind: string;
  /** Time for which it held its slot. */
  slotMs: number;
  /** Part of it that was not spent waiting for sub-calls. */
  selfMs: number;
};

/** Adds a call; returns the ratio of its own time to the usual one without load. */
export const addServiceTime = (times: ServiceTimes, {requestKind, slotMs, selfMs}: CompletedCall, now: number): number => {
  const known = times.kinds.get(requestKind);
  times.meanMs = updateMean(times.meanMs ?? slotMs, slotMs, RECENT_SMOOTHING);
  if (known !== undefined || times.kinds.size < REQUEST_KINDS_MAX) {
    times.kinds.set(requestKind, {
      meanMs: updateMean(known?.meanMs ?? slotMs, slotMs, RECENT_SMOOTHING),
      selfTime: withSample(known?.selfTime, selfMs),
      sampledAt: now,
    });
  }

  return known === undefined ? 1 : selfMs / Math.max(known.selfTime.baselineMs, 1);
};

/** Usual time for which a call of a request kind holds its slot, in milliseconds; 0 when unknown. */
export const meanServiceMs = (times: ServiceTimes, requestKind: string): number =>
  times.kinds.get(requestKind)?.meanMs ?? times.meanMs ?? 0;

/** Time that a call of a request kind needs at least, in milliseconds; falls from the usual time to 0 while samples are absent. */
export const neededServiceMs = (times: ServiceTimes, requestKind: string, now: number): number => {
  const known = times.kinds.get(requestKind);
  return known === undefined ? 0 : known.meanMs / (2 ** Math.floor((now - known.sampledAt) / SERVICE_TIME_STALE_MS));
};
