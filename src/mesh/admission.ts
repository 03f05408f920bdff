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
export type Admission = {
  /** Whether a request may start. One that comes back after a refusal is preferred to a new one. */
  admit: (route: AdmittedRoute, isReturn: boolean, random: Random) => boolean;
  /** Looks at the room of the services that routes depend on; call it often. */
  observe: () => void;
  /** Admitted share of a route. */
  share: (route: AdmittedRoute) => number;
};

/** What the admission needs to know of a route. */
export type AdmittedRoute = {name: string; priority: number};

/** Options of the admission. */
export type AdmissionOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'write'>;
  dependencies: Pick<Dependencies, 'servicesOf' | 'prioritiesOn'>;
  room: (service: string) => ServiceRoom;
};

/** Waiting calls per running one above which fewer requests are admitted: a call then waits for half as long as it runs, and a chain of calls still ends in time. */
const QUEUE_HIGH = 0.5;
/** Waiting calls per running one below which more requests are admitted. */
const QUEUE_LOW = 0.2;
/** Growth of the refused share per second and unit of queue above the bound; a queue of two service times turns away most requests within a second. */
const GROWTH_PER_S = 0.6;
const GROWTH_MAX_PER_S = 1;
/** Fall of the refused share per second while no calls wait. */
const FALL_PER_S = 0.15;
/** Idle part of the limit from which the refused share falls faster, in proportion to it. */
const IDLE_MIN = 0.1;
const IDLE_FALL_FACTOR = 10;
/** Part of the refused share that applies to routes one rank more urgent. */
const RANK_FACTOR = 0.7;
/** Lowest admitted share: a kind of request must not starve, and some have to find out whether there is room again. */
const SHARE_MIN = 0.1;
/** Highest level; the routes three ranks above the least urgent one are then turned away as well. */
const LEVEL_MAX = 2;
/** Longest time that one look accounts for, in milliseconds: after a standstill the room of that time is not known. */
const LOOK_MAX_MS = 500;
/** Change of the refused share that is written to the log. */
const TOLD_CHANGE = 0.2;
const SECOND_MS = 1000;

/** Change of the refused share per second. */
const slopeOf = ({backends, running, queued, limit}: ServiceRoom): number => {
  if (backends === 0 || limit === 0) {
    return GROWTH_MAX_PER_S;
  }

  const queue = queued / limit;
  const idle = 1 - (running / limit);
  if (queue > QUEUE_HIGH) {
    // Calls that wait at one backend server while others have room are a matter of routing.
    return idle > IDLE_MIN ? 0 : Math.min(GROWTH_MAX_PER_S, GROWTH_PER_S * (queue - QUEUE_HIGH));
  }

  const factor = idle > IDLE_MIN ? 1 + (IDLE_FALL_FACTOR * idle) : 1;
  return queue < QUEUE_LOW ? -FALL_PER_S * factor : 0;
};

/** Creates an admission that admits everything. */
export const createAdmission = ({now, log, dependencies, room}: AdmissionOptions): Admission => {
  /** Refused share of the least urgent routes that depend on a service. */
  const levels = new Map<string, number>();
  const toldLevels = new Map<string, number>();
  let lookedAt = now();

  const refusedBy = (service: string, priority: number): number => {
    const lessUrgent = dependencies.prioritiesOn(service).filter(other => other > priority).length;
    return (levels.get(service) ?? 0) * (RANK_FACTOR ** lessUrgent);
  };

  const share = ({name, priority}: AdmittedRoute): number => {
    const refused = Math.max(0, ...dependencies.servicesOf(name).map(service => refusedBy(service, priority)));
    return Math.max(SHARE_MIN, 1 - refused);
  };

  /** Writes a line when the refused share of a service has changed noticeably. */
  const tell = (service: string, current: ServiceRoom): void => {
    const level = levels.get(service) ?? 0;
    const told = toldLevels.get(service) ?? 0;
    if (Math.abs(level - told) >= TOLD_CHANGE || (level === 0 && told > 0)) {
      toldLevels.set(service, level);
      log.write('info', 'admission-changed', {service, refusedShare: Math.round(level * 100) / 100, ...current});
    }
  };

  return {
    observe() {
      const seconds = Math.min(LOOK_MAX_MS, now() - lookedAt) / SECOND_MS;
      lookedAt = now();
      for (const service of dependencies.servicesOf()) {
        const current = room(service);
        const level = (levels.get(service) ?? 0) + (slopeOf(current) * seconds);
        levels.set(service, Math.max(0, Math.min(LEVEL_MAX, level)));
        tell(service, current);
      }
    },
    admit(route, isReturn, random) {
      const admitted = share(route);
      return random() < (isReturn ? Math.sqrt(admitted) : admitted);
    },
    share,
  };
};
