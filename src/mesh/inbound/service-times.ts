/** Moving averages of the service time of the backend server of this host, over all calls and by route. */

/** Mean service time of the calls of a route. */
export type RouteServiceTime = {
  route: string;
  /** In milliseconds. */
  serviceMs: number;
};

/** Mean service times of a backend server. */
export type ServiceTimes = {
  /** Records the duration of a successful call. */
  record: (route: string, milliseconds: number) => void;
  /** Mean over all calls, in milliseconds. */
  mean: () => number;
  /** Means by route; with an argument, only that of the given route, if known. */
  byRoute: (route?: string) => RouteServiceTime[];
  /** Removes all samples, because the backend server has been replaced. */
  reset: () => void;
};

/** Weight of the newest call in a moving average. */
const SMOOTHING_FACTOR = 0.05;
/** Mean that is assumed before the first response, in milliseconds. */
const INITIAL_MEAN_MS = 50;
/** Number of calls up to which the mean of a route is an arithmetic mean; after them it is a moving average. */
const WARM_UP_CALLS = 1 / SMOOTHING_FACTOR;
/** Maximum number of tracked routes; the least recently used one is removed first. */
const ROUTES_MAX = 50;

type RunningMean = {milliseconds: number; calls: number};

const addSample = ({milliseconds, calls}: RunningMean, sample: number): RunningMean => {
  const weight = Math.max(SMOOTHING_FACTOR, 1 / Math.min(WARM_UP_CALLS, calls + 1));
  return {milliseconds: milliseconds + (weight * (sample - milliseconds)), calls: calls + 1};
};

/** Creates service times without a sample. */
export const createServiceTimes = (): ServiceTimes => {
  let overallMeanMs = INITIAL_MEAN_MS;
  const routes = new Map<string, RunningMean>();
  return {
    record(route, milliseconds) {
      overallMeanMs += SMOOTHING_FACTOR * (milliseconds - overallMeanMs);
      const mean = addSample(routes.get(route) ?? {milliseconds: 0, calls: 0}, milliseconds);
      routes.delete(route);
      routes.set(route, mean);
      if (routes.size > ROUTES_MAX) {
        const [oldest] = routes.keys();
        routes.delete(oldest!);
      }
    },
    mean: () => overallMeanMs,
    byRoute: route => [...routes]
      .filter(([name]) => route === undefined || name === route)
      .map(([name, {milliseconds}]) => ({route: name, serviceMs: milliseconds})),
    reset() {
      overallMeanMs = INITIAL_MEAN_MS;
      routes.clear();
    },
  };
};
