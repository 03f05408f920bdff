/** Learns which services the client routes depend on, from requests that failed because one of those services was overloaded. */

/** Outcome of a request of a client route. */
export type RouteOutcome = {
  route: string;
  priority: number;
  /** Services whose overload made the request fail; empty when it succeeded or failed for another reason. */
  overloadedServices: readonly string[];
};

/** A service that requests of a route need, directly or through other services. */
export type Dependency = {route: string; priority: number; service: string};

/** The known dependencies of all client routes. */
export type Dependencies = {
  /** Evaluates the outcome of a request that ended at this process. */
  recordOutcome: (outcome: RouteOutcome) => void;
  /** Adds or confirms dependencies from another source, such as another process, and returns those that were not known; `onLearnt` is not called. */
  merge: (dependencies: readonly Dependency[]) => Dependency[];
  /** Services that a route depends on; without an argument, those of all routes. */
  servicesOf: (route?: string) => string[];
  /** Distinct priorities of the routes that depend on a service. */
  dependentPriorities: (service: string) => number[];
  list: () => Dependency[];
};

/** Options of the dependencies. */
export type DependenciesOptions = {
  now: () => number;
  /** Called with each new dependency that this process derived from outcomes. */
  onLearnt: (dependency: Dependency) => void;
};

/** Failed requests after which a dependency counts; a single one may coincide with a failure of another route on the same host. */
const FAILURES_MIN = 3;
/** Share of a route's recent requests that has to fail for the service's overload; unrelated failures that coincide with an overload are rarer. */
const FAILED_SHARE_MIN = 0.05;
/** Weight of the newest request in the moving average of the failed share, which covers about the last forty requests. */
const SMOOTHING_FACTOR = 0.025;
/** Time for which a dependency counts after its last confirmation, in milliseconds; routes and programs change rarely. */
const RETENTION_MS = 60_000;

/** Failures of a route's requests that an overload of one service caused. */
type Evidence = {failures: number; failedShare: number};
type ConfirmedDependency = Dependency & {confirmedAt: number};

/** Creates an empty set of dependencies. */
export const createDependencies = ({now, onLearnt}: DependenciesOptions): Dependencies => {
  const evidence = new Map<string, Map<string, Evidence>>();
  const confirmed = new Map<string, Map<string, ConfirmedDependency>>();

  const confirm = (dependency: Dependency): boolean => {
    const services = confirmed.get(dependency.route) ?? new Map<string, ConfirmedDependency>();
    confirmed.set(dependency.route, services);
    const isNew = !services.has(dependency.service);
    services.set(dependency.service, {...dependency, confirmedAt: now()});
    return isNew;
  };

  const currentOf = (route: string): ConfirmedDependency[] => {
    const services = confirmed.get(route);
    if (services === undefined) {
      return [];
    }

    for (const [service, {confirmedAt}] of services) {
      if (now() - confirmedAt > RETENTION_MS) {
        services.delete(service);
      }
    }

    return [...services.values()];
  };

  const all = (): ConfirmedDependency[] => [...confirmed.keys()].flatMap(route => currentOf(route));

  return {
    recordOutcome({route, priority, overloadedServices}) {
      const services = evidence.get(route) ?? new Map<string, Evidence>();
      evidence.set(route, services);
      for (const service of overloadedServices) {
        services.set(service, services.get(service) ?? {failures: 0, failedShare: 0});
      }

      for (const [service, serviceEvidence] of services) {
        const isOverloaded = overloadedServices.includes(service);
        serviceEvidence.failures += isOverloaded ? 1 : 0;
        serviceEvidence.failedShare += SMOOTHING_FACTOR * ((isOverloaded ? 1 : 0) - serviceEvidence.failedShare);
        if (isOverloaded && serviceEvidence.failures >= FAILURES_MIN && serviceEvidence.failedShare >= FAILED_SHARE_MIN && confirm({route, priority, service})) {
          onLearnt({route, priority, service});
        }
      }
    },
    merge: dependencies => dependencies.filter(dependency => confirm(dependency)),
    servicesOf: route => route === undefined ? [...new Set(all().map(({service}) => service))] : currentOf(route).map(({service}) => service),
    dependentPriorities: service => [...new Set(all().filter(dependency => dependency.service === service).map(({priority}) => priority))],
    list: () => all().map(({route, priority, service}) => ({route, priority, service})),
  };
};
