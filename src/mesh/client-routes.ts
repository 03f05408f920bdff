/**
Tells routes that clients use from routes that only backend servers call.

Requests of clients and calls of the backend server come from the same address. Clients of every host use all of their routes, while calls come from the hosts
of the services that make them; so a route that arrives at hosts of each service is one of clients.
*/

/** A route that arrived at a host of a service. */
export type RouteOrigin = {route: string; service: string};

/** Origins of routes. */
export type ClientRoutes = {
  /** Takes in that a request arrived at this host. */
  observe: (route: string) => void;
  /** Takes in what another process has seen. */
  merge: (origins: readonly RouteOrigin[]) => void;
  /** Whether clients use a route. */
  has: (route: string) => boolean;
  list: () => RouteOrigin[];
};

/** Options. */
export type ClientRoutesOptions = {
  /** Service of this host. */
  service: string;
  /** Services of the backend servers that can be reached, this host's included. */
  services: () => ReadonlySet<string>;
  /** Called with each origin that was not known before this process saw it. */
  onSeen: (origin: RouteOrigin) => void;
};

/** Routes that are kept; more are not looked at. */
const ROUTES_MAX = 10_000;

/** Creates an empty set. */
export const createClientRoutes = ({service: ownService, services, onSeen}: ClientRoutesOptions): ClientRoutes => {
  const origins = new Map<string, Set<string>>();

  const addOrigin = ({route, service}: RouteOrigin): boolean => {
    const originServices = origins.get(route) ?? new Set<string>();
    if (originServices.has(service) || (originServices.size === 0 && origins.size >= ROUTES_MAX)) {
      return false;
    }

    origins.set(route, originServices);
    originServices.add(service);
    return true;
  };

  return {
    observe(route) {
      const origin = {route, service: ownService};
      if (addOrigin(origin)) {
        onSeen(origin);
      }
    },
    merge(seen) {
      for (const origin of seen) {
        addOrigin(origin);
      }
    },
    has(route) {
      const originServices = origins.get(route);
      return originServices !== undefined && [...services()].every(service => originServices.has(service));
    },
    list: () => [...origins].flatMap(([route, known]) => [...known].map(service => ({route, service}))),
  };
};
