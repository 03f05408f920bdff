/** Counts the calls at the backend server of this host and what they take. */
import type {BackendLoad} from './message.js';
import {createServiceTimes} from './service-times.js';
import {createWindowCounter} from './window-counter.js';

/** A call that runs. */
export type Run = {route: string; startedAt: number};

/** Load of a backend server. */
export type DoorLoad = {
  /** A call has arrived at the door. */
  arrived: (isRepeat: boolean) => void;
  started: (run: Run) => void;
  ended: (run: Run) => void;
  /** A call was answered without a failure. */
  served: (run: Run) => void;
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
export const createDoorLoad = (now: () => number, windowMs: number): DoorLoad => {
  const serviceTimes = createServiceTimes();
  const requests = createWindowCounter(now, windowMs);
  const repeats = createWindowCounter(now, windowMs);
  const runningByRoute = new Map<string, number>();
  let running = 0;
  /** Sum of the start times of the running calls. */
  let startedSum = 0;

  /** Mean time that the running calls have taken so far: a backend server that has stopped answering shows here, and in no answer. */
  const meanAgeMs = (): number => running === 0 ? 0 : now() - (startedSum / running);

  const count = ({route, startedAt}: Run, change: 1 | -1): void => {
    running += change;
    startedSum += change * startedAt;
    const runs = (runningByRoute.get(route) ?? 0) + change;
    if (runs === 0) {
      runningByRoute.delete(route);
    } else {
      runningByRoute.set(route, runs);
    }
  };

  return {
    arrived(isRepeat) {
      (isRepeat ? repeats : requests).add();
    },
    started(run) {
      count(run, 1);
    },
    ended(run) {
      count(run, -1);
    },
    served({route, startedAt}) {
      serviceTimes.note(route, now() - startedAt);
    },
    running: () => running,
    runningRoutes: () => new Set(runningByRoute.keys()),
    serviceMs: serviceTimes.mean,
    reset: serviceTimes.reset,
    report({queued, limit}, route) {
      const meanMs = serviceTimes.mean();
      const slowness = Math.max(1, meanAgeMs() / meanMs);
      return {
        running,
        queued,
        limit,
        serviceMs: toTenths(meanMs * slowness),
        routes: serviceTimes.byRoute(route).map(time => ({route: time.route, serviceMs: toTenths(time.serviceMs * slowness)})),
        counted: {requests: requests.count(), repeats: repeats.count()},
      };
    },
  };
};
