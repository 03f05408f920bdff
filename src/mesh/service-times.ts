/** Mean times of calls at the backend server of this host, over all calls and by route. */

/** Mean time of the calls of a route. */
export type RouteTime = {
  route: string;
  /** In milliseconds. */
  serviceMs: number;
};

/** Service times of a backend server. */
export type ServiceTimes = {
  note: (route: string, milliseconds: number) => void;
  /** Mean over all calls, in milliseconds. */
  mean: () => number;
  /** Means by route; with a route, at most that one. */
  byRoute: (route?: string) => RouteTime[];
  /** Forgets everything: the backend server is another one. */
  reset: () => void;
};

/** Weight of the newest call in a mean. */
const SMOOTHING = 0.05;
/** Time that is assumed before the first answer, in milliseconds. */
const DEFAULT_MS = 50;
/** Calls of a route over which its first mean is a plain one. */
const FIRST_CALLS = 1 / SMOOTHING;
/** Routes that are kept; the one that was unused for longest goes first. */
const ROUTES_MAX = 50;

type Mean = {milliseconds: number; calls: number};

const next = ({milliseconds, calls}: Mean, sample: number): Mean => {
  const weight = Math.max(SMOOTHING, 1 / Math.min(FIRST_CALLS, calls + 1));
  return {milliseconds: milliseconds + (weight * (sample - milliseconds)), calls: calls + 1};
};

/** Creates service times without a sample. */
export const createServiceTimes = (): ServiceTimes => {
  let overall = DEFAULT_MS;
  const routes = new Map<string, Mean>();
  return {
    note(route, milliseconds) {
      overall += SMOOTHING * (milliseconds - overall);
      const mean = next(routes.get(route) ?? {milliseconds: 0, calls: 0}, milliseconds);
      routes.delete(route);
      routes.set(route, mean);
      if (routes.size > ROUTES_MAX) {
        const [oldest] = routes.keys();
        routes.delete(oldest!);
      }
    },
    mean: () => overall,
    byRoute: route => [...routes]
      .filter(([name]) => route === undefined || name === route)
      .map(([name, {milliseconds}]) => ({route: name, serviceMs: milliseconds})),
    reset() {
      overall = DEFAULT_MS;
      routes.clear();
    },
  };
};
