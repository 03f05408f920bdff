/** Route lookup for requests, and weighted selection of a service among the targets of a route. */
import {createRequestPriorities, type RequestPriorities} from '../workspaces/request-priorities.js';
import {createWorkspaceDirectory, type WorkspaceDirectory} from '../workspaces/workspace-directory.js';
import type {CallRank} from './retry-budget.js';
import type {Route, RoutingConfiguration} from './routing-configuration.js';

/** Route table of one configuration. */
export type RouteTable = {
  version: number;
  configuration: RoutingConfiguration;
  /** Finds the route of the host with the longest matching path prefix. */
  findRoute: (host: string, path: string) => Route | undefined;
  workspaces: WorkspaceDirectory;
  priorities: RequestPriorities;
  /** `ordinary` when another route to the service has a more urgent priority, otherwise `urgent`. */
  rankOf: (service: string, routePriority: number) => CallRank;
  /** Selects the service of the next request of a route; the shares follow the weights over any sequence of requests. */
  selectService: (route: Route) => string;
};

type WeightedTarget = {service: string; weight: number; currentWeight: number};

const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/u, '');

const stripQuery = (url: string): string => {
  const end = url.search(/[?#]/u);
  return end === -1 ? url : url.slice(0, end);
};

/** Smooth weighted round robin: selects the target with the highest current weight and lowers that weight by the total. */
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

/** Builds the route table of a configuration. */
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

  /** Priority of the most urgent route to each service; lower numbers are more urgent. */
  const highestPriorities = new Map<string, number>();
  for (const {priority, targets} of configuration.routes) {
    for (const {service} of targets) {
      highestPriorities.set(service, Math.min(priority, highestPriorities.get(service) ?? priority));
    }
  }

  const workspaces = createWorkspaceDirectory(configuration.workspaces);

  const weightedTargets = new Map<string, WeightedTarget[]>();
  return {
    version: configuration.version,
    configuration,
    workspaces,
    priorities: createRequestPriorities(configuration.routes, configuration.workspaces),
    findRoute(host, url) {
      const path = stripQuery(url);
      return byHost.get(normalizeHost(host))?.find(route => path.startsWith(route.prefix));
    },
    rankOf: (service, routePriority) => routePriority <= (highestPriorities.get(service) ?? routePriority) ? 'urgent' : 'ordinary',
    selectService(route) {
      if (route.targets.length === 1) {
        return route.targets[0]!.service;
      }

      const known = weightedTargets.get(route.name) ?? route.targets.map(target => ({...target, currentWeight: 0}));
      weightedTargets.set(route.name, known);
      return selectTarget(known);
    },
  };
};
