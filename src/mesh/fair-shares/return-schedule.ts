/** Spreads the requests that clients send again over the time in which their workspace gets capacity, earlier refusals first. */

/** Times at which refused requests are asked to return. */
export type ReturnSchedule = {
  /** Records an admitted request of a workspace that has requests refused. */
  recordAdmitted: (workspace: string) => void;
  /** Time after which a request that is refused now may return, in milliseconds. */
  delayMs: (workspace: string, remainingMs: number) => number;
};

/** Part of its remaining time for which a client honours `Retry-After`. */
const HONOURED_SHARE = 1 / 3;
const DELAY_MIN_MS = 50;
/** Time constant of the moving average of the admitted rate, in milliseconds. */
const RATE_AVERAGE_MS = 1000;
/** Admitted rate that is assumed when a workspace has its first request refused, in requests per second. */
const RATE_INITIAL_PER_S = 10;
/** Lowest assumed rate, in requests per second. */
const RATE_MIN_PER_S = 1;
/** Workspaces whose rates are kept; the least recently refused one is removed first. */
const WORKSPACES_MAX = 100;
const SECOND_MS = 1000;

type Schedule = {ratePerS: number; updatedAt: number; nextAt: number};

/** Creates a schedule without refusals. */
export const createReturnSchedule = (now: () => number): ReturnSchedule => {
  const schedules = new Map<string, Schedule>();

  const decay = (schedule: Schedule): void => {
    schedule.ratePerS *= Math.exp((schedule.updatedAt - now()) / RATE_AVERAGE_MS);
    schedule.updatedAt = now();
  };

  const scheduleOf = (workspace: string): Schedule => {
    const schedule = schedules.get(workspace) ?? {ratePerS: RATE_INITIAL_PER_S, updatedAt: now(), nextAt: now()};
    schedules.delete(workspace);
    schedules.set(workspace, schedule);
    if (schedules.size > WORKSPACES_MAX) {
      const [oldest] = schedules.keys();
      schedules.delete(oldest!);
    }

    return schedule;
  };

  return {
    recordAdmitted(workspace) {
      const schedule = schedules.get(workspace);
      if (schedule !== undefined) {
        decay(schedule);
        schedule.ratePerS += SECOND_MS / RATE_AVERAGE_MS;
      }
    },
    delayMs(workspace, remainingMs) {
      const schedule = scheduleOf(workspace);
      decay(schedule);
      const latestMs = Math.max(DELAY_MIN_MS, remainingMs * HONOURED_SHARE);
      schedule.nextAt = Math.min(Math.max(schedule.nextAt, now()) + (SECOND_MS / Math.max(RATE_MIN_PER_S, schedule.ratePerS)), now() + latestMs);
      return Math.round(Math.max(DELAY_MIN_MS, schedule.nextAt - now()));
    },
  };
};
