/**
Learns which routes clients use.

Requests of clients and calls of the backend server come from the same address. While the backend server of a host runs nothing it makes no calls,
so what arrives at that host then comes from a client.
*/

/** Routes that clients use. */
export type ClientRoutes = {
  /** Takes in that a request arrived; `backendIdle` tells that the backend server of this host has run nothing for a while. */
  observe: (route: string, backendIdle: boolean) => void;
  /** Takes in what another process has learnt. */
  merge: (routes: readonly string[]) => void;
  has: (route: string) => boolean;
  list: () => string[];
};

/** Requests that have to arrive at an idle backend server's host before a route counts; one may be a call that was already on its way. */
const OBSERVATIONS_MIN = 2;
/** Routes that are kept; more are not learnt. */
const ROUTES_MAX = 10_000;

/** Creates an empty set. `onLearnt` is called with each new route that this process has learnt by itself. */
export const createClientRoutes = (onLearnt: (route: string) => void): ClientRoutes => {
  const observations = new Map<string, number>();
  const known = new Set<string>();
  return {
    observe(route, backendIdle) {
      if (!backendIdle || known.has(route) || known.size >= ROUTES_MAX) {
        return;
      }

      const count = (observations.get(route) ?? 0) + 1;
      observations.set(route, count);
      if (count >= OBSERVATIONS_MIN) {
        known.add(route);
        onLearnt(route);
      }
    },
    merge(routes) {
      for (const route of routes) {
        known.add(route);
      }
    },
    has: route => known.has(route),
    list: () => [...known],
  };
};
