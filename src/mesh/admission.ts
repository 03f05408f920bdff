/**
Limits how many requests of clients start at this process while a service below their route lacks room.

A request that fails far down its chain has used up the room of all services above; refused at its start it costs nothing and can come back.
Each process judges by the queues that all doors of the service report, so all of them come to about the same share without talking about it.
*/
import type {Random} from '../shared/random.js';
import type {DecisionLog} from './decision-log.js';
import type {Dependencies} from './dependencies.js';

/** Room at all backend servers of a service that this process can reach. */
export type ServiceRoom = {
  /** Backend servers that take calls; without one there is no room. */
  backends: number;
  running: number;
  queued: number;
  /** Calls that all of them get at most at the same time. */
  limit: number;
};

/** Admission of the requests that clients start here. */
export type AdmissionController = {
  /** Whether a request may start. One that comes back after a refusal is preferred to a new one. */
  admit: (route: PrioritizedRoute, isReturn: boolean, random: Random) => boolean;
  /** Looks at the room of the services that routes depend on; call it often. */
  observe: () => void;
  /** Admitted share of a route. */
  admittedShare: (route: PrioritizedRoute) => number;
};

/** What the admission needs to know of a route. */
export type PrioritizedRoute = {name: string; priority: number};

/** Options of the admission. */
export type AdmissionControllerOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'write'>;
  dependencies: Pick<Dependencies, 'servicesOf' | 'dependentPriorities'>;
  room: (service: string) => ServiceRoom;
};

/** Waiting calls per running one above which fewer requests are admitted: a call then waits for half as long as it runs, and a chain of calls still ends in time. */
const QUEUE_RATIO_HIGH = 0.5;
/** Waiting calls per running one below which more requests are admitted. */
const QUEUE_RATIO_LOW = 0.2;
/** Growth of the refused share per second and unit of queue above the bound; a queue of two service times turns away most requests within a second. */
const REFUSAL_INCREASE_PER_S = 0.6;
const REFUSAL_INCREASE_MAX_PER_S = 1;
/** Fall of the refused share per second while no calls wait. */
const REFUSAL_DECREASE_PER_S = 0.15;
/** Idle part of the limit from which the refused share falls faster, in proportion to it. */
const IDLE_SHARE_MIN = 0.1;
const IDLE_DECREASE_FACTOR = 10;
/** Part of the refused share that applies to routes one rank more urgent. */
const PRIORITY_FACTOR = 0.7;
/** Lowest admitted share: a kind of request must not starve, and some have to find out whether there is room again. */
const ADMITTED_SHARE_MIN = 0.1;
/** Highest level; the routes three ranks above the least urgent one are then turned away as well. */
const REFUSAL_LEVEL_MAX = 2;
/** Longest time that one look accounts for, in milliseconds: after a standstill the room of that time is not known. */
const UPDATE_INTERVAL_MAX_MS = 500;
/** Change of the refused share that is written to the log. */
const LOGGED_CHANGE_MIN = 0.2;
const SECOND_MS = 1000;

/** Change of the refused share per second. */
const refusalLevelSlope = ({backends, running, queued, limit}: ServiceRoom): number => {
  if (backends === 0 || limit === 0) {
    return REFUSAL_INCREASE_MAX_PER_S;
  }

  const queueRatio = queued / limit;
  const idleShare = 1 - (running / limit);
  if (queueRatio > QUEUE_RATIO_HIGH) {
    // Calls that wait at one backend server while others have room are a matter of routing.
    return idleShare > IDLE_SHARE_MIN ? 0 : Math.min(REFUSAL_INCREASE_MAX_PER_S, REFUSAL_INCREASE_PER_S * (queueRatio - QUEUE_RATIO_HIGH));
  }

  const factor = idleShare > IDLE_SHARE_MIN ? 1 + (IDLE_DECREASE_FACTOR * idleShare) : 1;
  return queueRatio < QUEUE_RATIO_LOW ? -REFUSAL_DECREASE_PER_S * factor : 0;
};

/** Creates an admission that admits everything. */
export const createAdmission = ({now, log, dependencies, room}: AdmissionControllerOptions): AdmissionController => {
  /** Refused share of the least urgent routes that depend on a service. */
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

  /** Writes a line when the refused share of a service has changed noticeably. */
  const logChange = (service: string, load: ServiceRoom): void => {
    const level = refusalLevels.get(service) ?? 0;
    const logged = loggedLevels.get(service) ?? 0;
    if (Math.abs(level - logged) >= LOGGED_CHANGE_MIN || (level === 0 && logged > 0)) {
      loggedLevels.set(service, level);
      log.write('info', 'admission-changed', {service, refusedShare: Math.round(level * 100) / 100, ...load});
    }
  };

  return {
    observe() {
      const seconds = Math.min(UPDATE_INTERVAL_MAX_MS, now() - updatedAt) / SECOND_MS;
      updatedAt = now();
      for (const service of dependencies.servicesOf()) {
        const load = room(service);
        const level = (refusalLevels.get(service) ?? 0) + (refusalLevelSlope(load) * seconds);
        refusalLevels.set(service, Math.max(0, Math.min(REFUSAL_LEVEL_MAX, level)));
        logChange(service, load);
      }
    },
    admit(route, isReturn, random) {
      const admitted = admittedShare(route);
      return random() < (isReturn ? Math.sqrt(admitted) : admitted);
    },
    admittedShare,
  };
};
