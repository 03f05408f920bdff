/** Estimates how long the backend server takes for calls of each request kind. */
import {blend, withSample, type Average} from './average.js';
import {RECENT_SMOOTHING, REQUEST_KINDS_MAX, SERVICE_TIME_STALE_MS} from './constants.js';

type ServiceTime = {
  /** Mean time for which a call holds its slot, in milliseconds. */
  usualMs: number;
  /** Time without waits for sub-calls. */
  own: Average;
  sampledAt: number;
};

/** Service times by request kind, and the mean slot time of all calls in milliseconds. */
export type ServiceTimes = {kinds: Map<string, ServiceTime>; meanMs: number | undefined};

/** Creates estimates without samples. */
export const createServiceTimes = (): ServiceTimes => ({kinds: new Map(), meanMs: undefined});

/** A call that has ended. Times are in milliseconds. */
export type ServedCall = {
  requestKind: string;
  /** Time for which it held its slot. */
  heldMs: number;
  /** Part of it that was not spent waiting for sub-calls. */
  ownMs: number;
};

/** Adds a call; returns the ratio of its own time to the usual one without load. */
export const addServiceTime = (times: ServiceTimes, {requestKind, heldMs, ownMs}: ServedCall, now: number): number => {
  const known = times.kinds.get(requestKind);
  times.meanMs = blend(times.meanMs ?? heldMs, heldMs, RECENT_SMOOTHING);
  if (known !== undefined || times.kinds.size < REQUEST_KINDS_MAX) {
    times.kinds.set(requestKind, {
      usualMs: blend(known?.usualMs ?? heldMs, heldMs, RECENT_SMOOTHING),
      own: withSample(known?.own, ownMs),
      sampledAt: now,
    });
  }

  return known === undefined ? 1 : ownMs / Math.max(known.own.baseMs, 1);
};

/** Usual time for which a call of a request kind holds its slot, in milliseconds; 0 when unknown. */
export const usualServiceMs = (times: ServiceTimes, requestKind: string): number =>
  times.kinds.get(requestKind)?.usualMs ?? times.meanMs ?? 0;

/** Time that a call of a request kind needs at least, in milliseconds; falls from the usual time to 0 while samples are absent. */
export const neededServiceMs = (times: ServiceTimes, requestKind: string, now: number): number => {
  const known = times.kinds.get(requestKind);
  return known === undefined ? 0 : known.usualMs / (2 ** Math.floor((now - known.sampledAt) / SERVICE_TIME_STALE_MS));
};
