/** Finds the route of a request and spreads a route's requests over its targets. */
import type {Route, RoutingConfiguration} from './routing-configuration.js';

/** Routes of one configuration. */
export type RouteTable = {
  version: number;
  configuration: RoutingConfiguration;
  /** Longest matching prefix among the routes of the host. */
  findRoute: (host: string, path: string) => Route | undefined;
  /** Next target of the route; shares follow the weights exactly over any run of requests. */
  pick: (route: Route) => string;
};

type Credit = {service: string; weight: number; credit: number};

const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/u, '');

const pathOf = (url: string): string => {
  const end = url.search(/[?#]/u);
  return end === -1 ? url : url.slice(0, end);
};

/** Smooth weighted round robin: the target with the most credit is next and pays for all. */
const pickTarget = (credits: Credit[]): string => {
  let total = 0;
  let best = credits[0]!;
  for (const entry of credits) {
    entry.credit += entry.weight;
    total += entry.weight;
    if (entry.credit > best.credit) {
      best = entry;
    }
  }

  best.credit -= total;
  return best.service;
};

/** Builds the table of a configuration. */
export const createRouteTable = (configuration: RoutingConfiguration): RouteTable => {
  const byHost = new Map<string, Route[]>();
  for (const route of configuration.routes) {
    const host = normalizeHost(route.host);
    const routes = byHost.get(host) ?? [];
    routes.push(route);
    byHost.set(host, routes);
  }

  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.prefix.length - a.prefix.length);
  }

  const credits = new Map<string, Credit[]>();
  return {
    version: configuration.version,
    configuration,
    findRoute(host, url) {
      const path = pathOf(url);
      return byHost.get(normalizeHost(host))?.find(route => path.startsWith(route.prefix));
    },
    pick(route) {
      if (route.targets.length === 1) {
        return route.targets[0]!.service;
      }

      const known = credits.get(route.name) ?? route.targets.map(target => ({...target, credit: 0}));
      credits.set(route.name, known);
      return pickTarget(known);
    },
  };
};
