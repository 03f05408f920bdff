/** The refusal level before it followed the change of the queue, for comparison in the simulation. */
import type {RefusalLevels, ServiceLoad} from '../refusal-levels.js';

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
const REFUSAL_LEVEL_MAX = 2;
/** Longest interval that one update accounts for, in milliseconds: the load during a suspension of the process is not known. */
const UPDATE_INTERVAL_MAX_MS = 500;
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
export const createPreviousRefusalLevels = (): RefusalLevels => {
  const levels = new Map<string, number>();
  return {
    of: service => levels.get(service) ?? 0,
    update(service, load, elapsedMs) {
      const seconds = Math.min(UPDATE_INTERVAL_MAX_MS, elapsedMs) / SECOND_MS;
      const level = (levels.get(service) ?? 0) + (refusalLevelSlope(load) * seconds);
      levels.set(service, Math.max(0, Math.min(REFUSAL_LEVEL_MAX, level)));
    },
    reset(service) {
      levels.set(service, 0);
    },
  };
};
