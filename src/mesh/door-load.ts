/** Counts the calls at the backend server of this host and what they take. */
import type {BackendLoad} from './message.js';
import {createServiceTimes} from './service-times.js';
import {createWindowCounter} from './window-counter.js';

/** A call that runs. */
export type RunningCall = {route: string; startedAt: number};

/** Load of a backend server. */
export type BackendLoadTracker = {
  /** A call has arrived at the door. */
  recordArrival: (isRepeat: boolean) => void;
  recordStart: (run: RunningCall) => void;
  recordEnd: (run: RunningCall) => void;
  /** A call was answered without a failure. */
  recordSuccess: (run: RunningCall) => void;
  running: () => number;
  runningRoutes: () => ReadonlySet<string>;
  /** Mean time of a call, in milliseconds. */
  serviceMs: () => number;
  /** The backend server is another one. */
  reset: () => void;
  /** Report for callers, with the times of all routes or of one. */
  report: (room: {queued: number; limit: number}, route?: string) => BackendLoad;
};

const toTenths = (milliseconds: number): number => Math.round(milliseconds * 10) / 10;

/** Creates the load of a backend server that runs nothing. `windowMs` is the window of the retry budget. */
export const createBackendLoadTracker = (now: () => number, windowMs: number): BackendLoadTracker => {
  const serviceTimes = createServiceTimes();
  const requests = createWindowCounter(now, windowMs);
  const repeats = createWindowCounter(now, windowMs);
  const runningByRoute = new Map<string, number>();
  let running = 0;
  /** Sum of the start times of the running calls. */
  let startTimeSum = 0;

  /** Mean time that the running calls have taken so far: a backend server that has stopped answering shows here, and in no answer. */
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
    },
    recordSuccess({route, startedAt}) {
      serviceTimes.record(route, now() - startedAt);
    },
    running: () => running,
    runningRoutes: () => new Set(runningByRoute.keys()),
    serviceMs: serviceTimes.mean,
    reset: serviceTimes.reset,
    report({queued, limit}, route) {
      const meanMs = serviceTimes.mean();
      const slowdown = Math.max(1, meanAgeMs() / meanMs);
      return {
        running,
        queued,
        limit,
        serviceMs: toTenths(meanMs * slowdown),
        routes: serviceTimes.byRoute(route).map(time => ({route: time.route, serviceMs: toTenths(time.serviceMs * slowdown)})),
        counted: {requests: requests.count(), repeats: repeats.count()},
      };
    },
  };
};
