/**
Admission control: rejects a share of the client requests at this process while a service that their route depends on is overloaded.

A request that fails deep in the call graph has already used capacity of every service above; one that is rejected at its start costs nothing and can be retried.
Each process decides by the queue lengths that the inbound proxies of the service report, so all processes arrive at about the same share without coordination.
*/
import type {Random} from '../../shared/random.js';
import type {DecisionLog} from '../decision-log.js';
import type {Dependencies} from './dependencies.js';

/** Total load of the backend servers of a service that this process can reach. */
export type ServiceLoad = {
  /** Backend servers that accept calls; without one, the service has no capacity. */
  backends: number;
  running: number;
  queued: number;
  /** Sum of their concurrency limits. */
  limit: number;
};

/** Decides which client requests this process forwards. */
export type AdmissionController = {
  /** Whether to admit a request. A retry by a client is admitted with a higher probability than a new request. */
  admit: (route: PrioritizedRoute, isClientRetry: boolean, random: Random) => boolean;
  /** Updates the admitted shares from the load of the services that routes depend on; to be called at short intervals. */
  update: () => void;
  /** Share of a route's new requests that is admitted. */
  admittedShare: (route: PrioritizedRoute) => number;
};

/** Name and priority of a route; a lower number is more urgent. */
export type PrioritizedRoute = {name: string; priority: number};

/** Options of the admission controller. */
export type AdmissionControllerOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'write'>;
  dependencies: Pick<Dependencies, 'servicesOf' | 'dependentPriorities'>;
  /** Current load of a service. */
  serviceLoad: (service: string) => ServiceLoad;
};

/** Queued calls per slot above which fewer requests are admitted. At 0.5 a call waits for half of its service time, and a chain of calls still meets its deadline. */
const QUEUE_RATIO_HIGH = 0.5;
/** Queued calls per slot below which more requests are admitted. */
const QUEUE_RATIO_LOW = 0.2;
/** Increase of the refusal level per second, per unit of the queue ratio above `QUEUE_RATIO_HIGH`: a queue of two service times rejects most requests within a second. */
const REFUSAL_INCREASE_PER_S = 0.6;
const REFUSAL_INCREASE_MAX_PER_S = 1;
/** Decrease of the refusal level per second while the queue is short. */
const REFUSAL_DECREASE_PER_S = 0.15;
/** Idle share of the limit above which the refusal level decreases faster, in proportion to that share. */
const IDLE_SHARE_MIN = 0.1;
const IDLE_DECREASE_FACTOR = 10;
/** Factor on the refused share for each dependent priority that is less urgent than the route's own. */
const PRIORITY_FACTOR = 0.7;
/** Lowest admitted share: no route may starve, and some requests have to probe whether capacity is back. */
const ADMITTED_SHARE_MIN = 0.1;
/** Highest refusal level; it also rejects part of the requests of routes three priorities above the least urgent one. */
const REFUSAL_LEVEL_MAX = 2;
/** Longest interval that one update accounts for, in milliseconds: the load during a suspension of the process is not known. */
const UPDATE_INTERVAL_MAX_MS = 500;
/** Smallest change of the refusal level that is logged. */
const LOGGED_CHANGE_MIN = 0.2;
const SECOND_MS = 1000;

/** Change of the refusal level per second under the given load. */
const refusalLevelSlope = ({backends, running, queued, limit}: ServiceLoad): number => {
  if (backends === 0 || limit === 0) {
    return REFUSAL_INCREASE_MAX_PER_S;
  }

  const queueRatio = queued / limit;
  const idleShare = 1 - (running / limit);
  if (queueRatio > QUEUE_RATIO_HIGH) {
    // Calls that queue at one backend server while others are idle call for better routing, not for rejections.
    return idleShare > IDLE_SHARE_MIN ? 0 : Math.min(REFUSAL_INCREASE_MAX_PER_S, REFUSAL_INCREASE_PER_S * (queueRatio - QUEUE_RATIO_HIGH));
  }

  const factor = idleShare > IDLE_SHARE_MIN ? 1 + (IDLE_DECREASE_FACTOR * idleShare) : 1;
  return queueRatio < QUEUE_RATIO_LOW ? -REFUSAL_DECREASE_PER_S * factor : 0;
};

/** Creates an admission controller; it admits everything until `update` observes an overload. */
export const createAdmissionController = ({now, log, dependencies, serviceLoad}: AdmissionControllerOptions): AdmissionController => {
  /** By service, the refused share of the least urgent routes that depend on it; it may exceed 1. */
  const refusalLevels = new Map<string, number>();
  const loggedLevels = new Map<string, number>();
  let updatedAt = now();

  const refusedShare = (service: string, priority: number): number => {
    const lessUrgentPriorities = dependencies.dependentPriorities(service).filter(other => other > priority).length;
    return (refusalLevels.get(service) ?? 0) * (PRIORITY_FACTOR ** lessUrgentPriorities);
  };

  const admittedShare = ({name, priority}: PrioritizedRoute): number => {
    const refused = Math.max(0, ...dependencies.servicesOf(name).map(service => refusedShare(service, priority)));
    return Math.max(ADMITTED_SHARE_MIN, 1 - refused);
  };

  /** Logs a noticeable change of the refusal level of a service. */
  const logChange = (service: string, load: ServiceLoad): void => {
    const level = refusalLevels.get(service) ?? 0;
    const logged = loggedLevels.get(service) ?? 0;
    if (Math.abs(level - logged) >= LOGGED_CHANGE_MIN || (level === 0 && logged > 0)) {
      loggedLevels.set(service, level);
      log.write('info', 'admission-changed', {service, refusedShare: Math.round(level * 100) / 100, ...load});
    }
  };

  return {
    update() {
      const seconds = Math.min(UPDATE_INTERVAL_MAX_MS, now() - updatedAt) / SECOND_MS;
      updatedAt = now();
      for (const service of dependencies.servicesOf()) {
        const load = serviceLoad(service);
        const level = (refusalLevels.get(service) ?? 0) + (refusalLevelSlope(load) * seconds);
        refusalLevels.set(service, Math.max(0, Math.min(REFUSAL_LEVEL_MAX, level)));
        logChange(service, load);
      }
    },
    admit(route, isClientRetry, random) {
      const admitted = admittedShare(route);
      return random() < (isClientRetry ? Math.sqrt(admitted) : admitted);
    },
    admittedShare,
  };
};
