/** Admitted shares of requests without a workspace at the overloaded services, by priority. */
import type {Dependency} from './dependencies.js';
import {createPriorityMix, type PriorityMix} from './priority-mix.js';
import {ADMITTED_SHARE_MIN, admittedShareOf} from './priority-shares.js';

/** Admitted share of a priority at a service, and its part in the recent requests. */
export type PriorityShare = {priority: number; admittedShare: number; demandShare: number};

/** Admitted shares at the services that routes depend on. */
export type ServicePriorities = {
  /** Updates the overloaded services, and the routes that depend on them; the mix of the requests is tracked while a service is overloaded. */
  update: (overloaded: ReadonlySet<string>) => void;
  /** Whether routes of several priorities depend on an overloaded service, so that the most urgent requests are admitted first. */
  isDivided: (service: string) => boolean;
  /** Records a request that depends on the services, whether or not it is admitted. */
  record: (services: readonly string[], priority: number) => void;
  /** Share of the requests of a priority that a service admits at a refusal level. */
  admittedShare: (service: string, priority: number, level: number) => number;
  /** Admitted shares at a refusal level, the most urgent priority first; empty where they are not divided, and before the first request. */
  shares: (service: string, level: number) => PriorityShare[];
};

/** Options of the admitted shares. */
export type ServicePrioritiesOptions = {
  /** Known dependencies of all client routes. */
  dependencies: () => ReadonlyArray<Pick<Dependency, 'priority' | 'service'>>;
};

type DividedService = {mix: PriorityMix; priorities: readonly number[]};

/** Distinct priorities of the routes that depend on each of the services. */
const findPriorities = (services: ReadonlySet<string>, dependencies: ReadonlyArray<Pick<Dependency, 'priority' | 'service'>>): Map<string, Set<number>> => {
  const priorities = new Map<string, Set<number>>();
  for (const {priority, service} of dependencies.filter(dependency => services.has(dependency.service))) {
    priorities.set(service, (priorities.get(service) ?? new Set()).add(priority));
  }

  return priorities;
};

/** Creates shares while no service is overloaded. */
export const createServicePriorities = ({dependencies}: ServicePrioritiesOptions): ServicePriorities => {
  let divided = new Map<string, DividedService>();

  /** Demand by priority; before the first request, all priorities count alike. */
  const demandOf = ({mix, priorities}: DividedService): ReadonlyMap<number, number> =>
    mix.shares().size === 0 ? new Map(priorities.map(priority => [priority, 1 / priorities.length])) : mix.shares();

  return {
    update(overloaded) {
      const found = overloaded.size === 0 ? [] : [...findPriorities(overloaded, dependencies())].filter(([, priorities]) => priorities.size > 1);
      divided = new Map(found.map(([service, priorities]) => [service, {mix: divided.get(service)?.mix ?? createPriorityMix(), priorities: [...priorities]}]));
    },
    isDivided: service => divided.has(service),
    record(services, priority) {
      for (const service of services) {
        divided.get(service)?.mix.record(priority);
      }
    },
    admittedShare(service, priority, level) {
      const known = divided.get(service);
      return known === undefined ? Math.max(ADMITTED_SHARE_MIN, 1 - level) : admittedShareOf(priority, demandOf(known), level);
    },
    shares(service, level) {
      const known = divided.get(service);
      if (known === undefined) {
        return [];
      }

      const demand = known.mix.shares();
      return [...demand]
        .map(([priority, demandShare]) => ({priority, admittedShare: admittedShareOf(priority, demand, level), demandShare}))
        .sort((a, b) => a.priority - b.priority);
    },
  };
};
