/**
Distinguishes routes that clients use from routes that only backend servers call.

Requests of clients and calls of the backend server come from the same address. Clients use all of their routes at every host, while calls of backend servers
arrive only at hosts of the services that make them. So a route whose requests arrive at hosts of every service is a client route.
*/

/** A request for `route` arrived at a host of `service`. */
export type RouteOrigin = {route: string; service: string};

/** Known origins of routes, and the client routes derived from them. */
export type ClientRoutes = {
  /** Records that a request for a route arrived at this host. */
  observe: (route: string) => void;
  /** Adds origins recorded by another process and returns those that were not known; `onNewOrigin` is not called. */
  merge: (origins: readonly RouteOrigin[]) => RouteOrigin[];
  /** Whether a route is a client route. */
  has: (route: string) => boolean;
  /** All origins. */
  list: () => RouteOrigin[];
};

/** Options of the client routes. */
export type ClientRoutesOptions = {
  /** Service of this host. */
  service: string;
  /** Services of the backend servers that can be reached, including that of this host. */
  services: () => ReadonlySet<string>;
  /** Called with each new origin that this process recorded. */
  onNewOrigin: (origin: RouteOrigin) => void;
};

/** Maximum number of tracked routes; further ones are ignored. */
const ROUTES_MAX = 10_000;

/** Creates an empty set of origins. */
export const createClientRoutes = ({service: ownService, services, onNewOrigin}: ClientRoutesOptions): ClientRoutes => {
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
        onNewOrigin(origin);
      }
    },
    merge: reported => reported.filter(origin => addOrigin(origin)),
    has(route) {
      const originServices = origins.get(route);
      return originServices !== undefined && [...services()].every(service => originServices.has(service));
    },
    list: () => [...origins].flatMap(([route, known]) => [...known].map(service => ({route, service}))),
  };
};
