/** Finds the route of a request and spreads a route's requests over its targets. */
import type {CallRank} from './retry-budget.js';
import type {Route, RoutingConfiguration} from './routing-configuration.js';

/** Routes of one configuration. */
export type RouteTable = {
  version: number;
  configuration: RoutingConfiguration;
  /** Longest matching prefix among the routes of the host. */
  findRoute: (host: string, path: string) => Route | undefined;
  /** Whether another route to the service is more urgent than this priority. */
  rankOf: (service: string, priority: number) => CallRank;
  /** Next target of the route; shares follow the weights exactly over any run of requests. */
  pick: (route: Route) => string;
};

type WeightedTarget = {service: string; weight: number; currentWeight: number};

const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/u, '');

const stripQuery = (url: string): string => {
  const end = url.search(/[?#]/u);
  return end === -1 ? url : url.slice(0, end);
};

/** Smooth weighted round robin: the target with the most credit is next and pays for all. */
const selectTarget = (targets: WeightedTarget[]): string => {
  let total = 0;
  let best = targets[0]!;
  for (const target of targets) {
    target.currentWeight += target.weight;
    total += target.weight;
    if (target.currentWeight > best.currentWeight) {
      best = target;
    }
  }

  best.currentWeight -= total;
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

  /** Priority of the most urgent route to each service. */
  const highestPriorities = new Map<string, number>();
  for (const {priority, targets} of configuration.routes) {
    for (const {service} of targets) {
      highestPriorities.set(service, Math.min(priority, highestPriorities.get(service) ?? priority));
    }
  }

  const weightedTargets = new Map<string, WeightedTarget[]>();
  return {
    version: configuration.version,
    configuration,
    findRoute(host, url) {
      const path = stripQuery(url);
      return byHost.get(normalizeHost(host))?.find(route => path.startsWith(route.prefix));
    },
    rankOf: (service, priority) => priority <= (highestPriorities.get(service) ?? priority) ? 'urgent' : 'ordinary',
    pick(route) {
      if (route.targets.length === 1) {
        return route.targets[0]!.service;
      }

      const known = weightedTargets.get(route.name) ?? route.targets.map(target => ({...target, currentWeight: 0}));
      weightedTargets.set(route.name, known);
      return selectTarget(known);
    },
  };
};
