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
  /** Service time at which these limits give the capacity of the service, in milliseconds. @default SERVICE_DEFAULT_MS */
  serviceMs?: number | undefined;
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
/** Service time of a load without one, in milliseconds; backend servers report the same before their first response. */
const SERVICE_DEFAULT_MS = 50;
/** Mean age of a reported queue when the level is updated, in milliseconds. */
const REPORT_AGE_MS = 150;
/** Time in which a constant wait raises the level as much as its beginning did, in reaction times; with a shorter one, the level oscillates. */
const INTEGRAL_REACTIONS = 3;
/** Largest increase of the level per second by a constant wait, so that a group of requests that is already admitted does not raise it further. */
const INTEGRAL_INCREASE_MAX_PER_S = 0.3;
const REFUSAL_INCREASE_MAX_PER_S = 1;
/** Decrease of the refusal level per second while the queue is short. Processes that do not call the service learn only seconds later that slots are idle. */
const REFUSAL_DECREASE_PER_S = 0.4;
/** Idle share of the limit above which the refusal level decreases faster, in proportion to that share. */
const IDLE_SHARE_MIN = 0.1;
/** Highest refusal level. A tenth of the requests is admitted there, where they are divided by priority. */
export const REFUSAL_LEVEL_MAX = 2;
/** Longest interval that one update accounts for, in milliseconds: the load during a suspension of the process is not known. */
const UPDATE_INTERVAL_MAX_MS = 500;
/** Smallest change of the refusal level that is logged. */
const LOGGED_CHANGE_MIN = 0.2;
const SECOND_MS = 1000;

/** Refusal level of a service; `pressure` is the part of it that the present wait accounts for and that ends with it. */
type Level = {level: number; pressure: number};

const NO_REFUSAL: Level = {level: 0, pressure: 0};

/**
Refusal level after some time under the given load.
The wait in the queue is the work that exceeds the capacity, and its change is the difference between what arrives and what is served.
The level follows the change at once, and a wait that stays raises it further.
*/
const nextLevel = ({level, pressure}: Level, {backends, running, queued, limit, serviceMs = SERVICE_DEFAULT_MS}: ServiceLoad, seconds: number): Level => {
  const increaseMax = REFUSAL_INCREASE_MAX_PER_S * seconds;
  if (backends === 0 || limit === 0) {
    return {level: level + increaseMax, pressure};
  }

  const queueRatio = queued / limit;
  const idleShare = 1 - (running / limit);
  const hasIdleSlots = idleShare > IDLE_SHARE_MIN;
  if (queueRatio > QUEUE_RATIO_HIGH && hasIdleSlots) {
    // Calls that queue at one backend server while others are idle call for better routing, not for rejections.
    return {level, pressure};
  }

  // Time until a change of the level shows in the reported queue.
  const reactionMs = REPORT_AGE_MS + serviceMs;
  const reactionS = reactionMs / SECOND_MS;
  const waitPressure = Math.max(0, queueRatio - QUEUE_RATIO_HIGH) * serviceMs / reactionMs;
  const increase = seconds * Math.min(INTEGRAL_INCREASE_MAX_PER_S, waitPressure / (INTEGRAL_REACTIONS * reactionS));
  const nextPressure = Math.min(waitPressure, pressure + increaseMax - increase);
  const decreasePerS = queueRatio < QUEUE_RATIO_LOW ? REFUSAL_DECREASE_PER_S + (hasIdleSlots ? idleShare / reactionS : 0) : 0;
  return {level: level + nextPressure - pressure + increase - (decreasePerS * seconds), pressure: nextPressure};
};

/** Creates levels of 0. */
export const createRefusalLevels = (log: Pick<DecisionLog, 'write'>): RefusalLevels => {
  const levels = new Map<string, Level>();
  const loggedLevels = new Map<string, number>();

  const levelOf = (service: string): Level => levels.get(service) ?? NO_REFUSAL;

  const set = (service: string, next: Level, {backends, running, queued, limit}: ServiceLoad): void => {
    const level = Math.max(0, Math.min(REFUSAL_LEVEL_MAX, next.level));
    // The part that a wait accounts for is bounded as well, so that a level at its maximum does not fall with a wait that still asks for more.
    levels.set(service, {level, pressure: Math.min(next.pressure, level)});
    const logged = loggedLevels.get(service) ?? 0;
    if (Math.abs(level - logged) >= LOGGED_CHANGE_MIN || (level === 0 && logged > 0)) {
      loggedLevels.set(service, level);
      log.write('info', 'admission-changed', {
        service, refusedShare: Math.round(level * 100) / 100, backends, running, queued, limit,
      });
    }
  };

  return {
    of: service => levelOf(service).level,
    update(service, load, elapsedMs) {
      const seconds = Math.min(UPDATE_INTERVAL_MAX_MS, elapsedMs) / SECOND_MS;
      set(service, nextLevel(levelOf(service), load, seconds), load);
    },
    reset(service, load) {
      set(service, NO_REFUSAL, load);
    },
  };
};
