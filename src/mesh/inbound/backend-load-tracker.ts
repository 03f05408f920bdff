/** Tracks the load of the backend server of this host: running calls, service times, and the call counts for the retry budget. */
import {createDemandTracker, type CallOrigin, type ReportedDemand} from '../fair-shares/demand-tracker.js';
import type {BackendLoad} from '../message.js';
import {createWindowCounter} from '../window-counter.js';
import {createServiceTimes} from './service-times.js';

/** A call that the backend server is running. */
export type RunningCall = CallOrigin & {route: string; startedAt: number};

/** Queue in front of a backend server, and what bounds the calls that leave it. */
export type QueueState = {
  queued: number;
  /** Maximum number of concurrent calls. */
  limit: number;
  /** Maximum rate of calls, per second; undefined when there is none. */
  perSecondMax: number | undefined;
};

/** Tracks the load of a backend server. */
export type BackendLoadTracker = {
  /** Records that a call arrived at the inbound proxy. */
  recordArrival: (isRepeat: boolean) => void;
  /** Records that a call was dispatched to the backend server. */
  recordStart: (run: RunningCall) => void;
  /** Records that a call ended, whatever its result. */
  recordEnd: (run: RunningCall) => void;
  /** Records the service time of a call that succeeded. */
  recordSuccess: (run: RunningCall) => void;
  /** Number of running calls. */
  running: () => number;
  /** Routes of the running calls. */
  runningRoutes: () => ReadonlySet<string>;
  /** Mean service time of all calls, in milliseconds. */
  serviceMs: () => number;
  /** Removes the service times, because the backend server has been replaced. */
  reset: () => void;
  /** Load report for callers, with the service times of all routes and the demand by workspace, or with the service time of one route only. */
  report: (queue: QueueState, route?: string) => BackendLoad;
  /** Recent demand by workspace; undefined without calls of workspaces. */
  workspaceDemand: () => ReportedDemand | undefined;
};

const SECOND_MS = 1000;

const toTenths = (milliseconds: number): number => Math.round(milliseconds * 10) / 10;

/** Adapts a concurrency limit and a service time to a rate limit, so that their quotient is the capacity and callers need only one formula for the time in the queue. */
const applyRateLimit = ({limit, perSecondMax}: QueueState, serviceMs: number): {limit: number; serviceMs: number} => {
  if (perSecondMax === undefined) {
    return {limit, serviceMs};
  }

  const usedLimit = Math.min(limit, Math.max(1, perSecondMax * serviceMs / SECOND_MS));
  return {limit: toTenths(usedLimit), serviceMs: Math.max(serviceMs, usedLimit * SECOND_MS / perSecondMax)};
};

/** Creates a tracker without running calls. `windowMs` is the window of the retry budget. */
export const createBackendLoadTracker = (now: () => number, windowMs: number): BackendLoadTracker => {
  const serviceTimes = createServiceTimes();
  const requests = createWindowCounter(now, windowMs);
  const repeats = createWindowCounter(now, windowMs);
  const workspaceDemand = createDemandTracker(now);
  const runningByRoute = new Map<string, number>();
  let running = 0;
  /** Sum of the start times of the running calls. */
  let startTimeSum = 0;

  /** Mean age of the running calls. It reveals a backend server that stopped responding, which the times of completed calls cannot show. */
  const meanAgeMs = (): number => running === 0 ? 0 : now() - (startTimeSum / running);

  const adjustRunning = ({route, startedAt}: RunningCall, change: 1 | -1): void => {
    running += change;
    startTimeSum += change * startedAt;
    const runs = (runningByRoute.get(route) ?? 0) + change;
    if (runs === 0) {
      runningByRoute.delete(route);
    } else {
      runningByRoute.set(route, runs);
    }
  };

  return {
    recordArrival(isRepeat) {
      (isRepeat ? repeats : requests).add();
    },
    recordStart(run) {
      adjustRunning(run, 1);
    },
    recordEnd(run) {
      adjustRunning(run, -1);
      workspaceDemand.record(run, now() - run.startedAt);
    },
    recordSuccess({route, startedAt}) {
      serviceTimes.record(route, now() - startedAt);
    },
    running: () => running,
    runningRoutes: () => new Set(runningByRoute.keys()),
    serviceMs: serviceTimes.mean,
    reset: serviceTimes.reset,
    report(queue, route) {
      const meanMs = serviceTimes.mean();
      const slowdown = Math.max(1, meanAgeMs() / meanMs);
      const {limit, serviceMs} = applyRateLimit(queue, meanMs * slowdown);
      const workspaces = route === undefined ? workspaceDemand.report() : undefined;
      return {
        running,
        queued: queue.queued,
        limit,
        serviceMs: toTenths(serviceMs),
        routes: serviceTimes.byRoute(route).map(time => ({route: time.route, serviceMs: toTenths(time.serviceMs * slowdown)})),
        counted: {requests: requests.count(), repeats: repeats.count()},
        ...(workspaces === undefined ? {} : {workspaces}),
      };
    },
    workspaceDemand: workspaceDemand.report,
  };
};
