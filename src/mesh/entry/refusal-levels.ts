/** Refusal level of each service: how much of the demand is refused at its start, by the queues that the inbound proxies of the service report. */
import type {DecisionLog} from '../decision-log.js';

/** Total load of the backend servers of a service that this process can reach. */
export type ServiceLoad = {
  /** Backend servers that accept calls; without one, the service has no capacity. */
  backends: number;
  running: number;
  queued: number;
  /** Sum of their concurrency limits. */
  limit: number;
};

/** Refusal levels by service. */
export type RefusalLevels = {
  /** Refused share of the least urgent routes that depend on a service; it may exceed 1. */
  of: (service: string) => number;
  /** Changes the level of a service by its load, for the time since an earlier update. */
  update: (service: string, load: ServiceLoad, elapsedMs: number) => void;
  /** Sets the level of a service to 0. */
  reset: (service: string, load: ServiceLoad) => void;
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
/** Highest refusal level; it also rejects part of the requests of routes three priorities above the least urgent one. */
export const REFUSAL_LEVEL_MAX = 2;
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

/** Creates levels of 0. */
export const createRefusalLevels = (log: Pick<DecisionLog, 'write'>): RefusalLevels => {
  const levels = new Map<string, number>();
  const loggedLevels = new Map<string, number>();

  const set = (service: string, level: number, load: ServiceLoad): void => {
    levels.set(service, level);
    const logged = loggedLevels.get(service) ?? 0;
    if (Math.abs(level - logged) >= LOGGED_CHANGE_MIN || (level === 0 && logged > 0)) {
      loggedLevels.set(service, level);
      log.write('info', 'admission-changed', {service, refusedShare: Math.round(level * 100) / 100, ...load});
    }
  };

  return {
    of: service => levels.get(service) ?? 0,
    update(service, load, elapsedMs) {
      const seconds = Math.min(UPDATE_INTERVAL_MAX_MS, elapsedMs) / SECOND_MS;
      const level = (levels.get(service) ?? 0) + (refusalLevelSlope(load) * seconds);
      set(service, Math.max(0, Math.min(REFUSAL_LEVEL_MAX, level)), load);
    },
    reset(service, load) {
      set(service, 0, load);
    },
  };
};
