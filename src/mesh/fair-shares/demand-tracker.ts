/**
Tracks the demand of each workspace for the backend server of this host.

Each call counts with its service time, divided by the share that was admitted of requests like it: so it stands for the refused ones as well, whichever process refused them.
*/
import type {Demand} from './workspace-shares.js';

/** Demand for a backend server by workspace, in milliseconds of service time per second. */
export type ReportedDemand = {
  /** Workspaces with the highest demand. */
  heaviest: Array<{workspace: string} & Demand>;
  /** Sum over all other workspaces, and their number. */
  others: Demand & {count: number};
};

/** What a call says of the request that it serves. */
export type CallOrigin = {
  /** Workspace of the request; missing for calls of backend servers, and without workspaces in the configuration. */
  workspace?: string;
  /** Share that was admitted of requests like this one. @default 1 */
  admittedShare?: number;
  /** Part of the requests of the workspace that were no retries of clients. @default 1 */
  freshShare?: number;
};

/** Tracks the demand for a backend server by workspace. */
export type DemandTracker = {
  /** Records the service time of a call that has ended, in milliseconds; one without a workspace is left out. */
  record: (call: CallOrigin, serviceMs: number) => void;
  /** Recent demand; undefined without recent calls of workspaces. It is recalculated at most every `REPORT_INTERVAL_MS`. */
  report: () => ReportedDemand | undefined;
};

/** Shortest interval between two reports that differ, in milliseconds. */
export const REPORT_INTERVAL_MS = 250;
/** Time constant of the moving averages, in milliseconds; six sevenths of the weight are on the last second. A longer one lets a workspace whose clients retry at once get more than its share. */
const AVERAGE_MS = 500;
/** Workspaces that a report names. */
const REPORTED_MAX = 8;
/** Workspaces that are tracked by name; the demand of the lightest of the further ones is added up. */
const TRACKED_MAX = 256;
/** Time without a call after which a workspace is no longer counted, in milliseconds. */
const RETENTION_MS = 5000;
/** Lowest admitted share that a service time is divided by. */
const ADMITTED_SHARE_MIN = 0.0001;
const SECOND_MS = 1000;

/** Moving average of demand; `used` is the service time without the refused requests, and `count` the number of workspaces. */
type Average = Demand & {used: number; count: number; updatedAt: number};

const toWhole = ({total, fresh}: Demand): Demand => ({total: Math.round(total), fresh: Math.round(fresh)});

/** Creates a tracker without demand. */
export const createDemandTracker = (now: () => number): DemandTracker => {
  const tracked = new Map<string, Average>();
  let rest: Average = {
    total: 0, fresh: 0, used: 0, count: 0, updatedAt: now(),
  };
  let reported: ReportedDemand | undefined;
  let reportedAt = Number.NEGATIVE_INFINITY;

  const currentOf = ({total, fresh, used, count, updatedAt}: Average): Omit<Average, 'updatedAt'> => {
    const decay = Math.exp((updatedAt - now()) / AVERAGE_MS);
    return {
      total: total * decay, fresh: fresh * decay, used: used * decay, count: count * decay,
    };
  };

  /** Tracked workspaces and their current demand, the heaviest first. */
  const ranking = (): Array<{workspace: string} & Demand> => [...tracked]
    .map(([workspace, average]) => {
      const {total, fresh, used} = currentOf(average);
      // What was served were different requests, however many of them seemed to be retries.
      return {workspace, total, fresh: Math.max(fresh, used)};
    })
    .sort((a, b) => b.total - a.total);

  /** Adds the lightest workspaces beyond `TRACKED_MAX` to the rest. */
  const foldLightest = (): void => {
    for (const {workspace, total, fresh} of ranking().slice(TRACKED_MAX)) {
      tracked.delete(workspace);
      const current = currentOf(rest);
      rest = {
        total: current.total + total, fresh: current.fresh + fresh, used: 0, count: current.count + 1, updatedAt: now(),
      };
    }
  };

  const createReport = (): ReportedDemand | undefined => {
    for (const [workspace, {updatedAt}] of tracked) {
      if (now() - updatedAt > RETENTION_MS) {
        tracked.delete(workspace);
      }
    }

    foldLightest();
    if (tracked.size === 0) {
      return undefined;
    }

    const ranked = ranking();
    const lighter = ranked.slice(REPORTED_MAX);
    const current = currentOf(rest);
    return {
      heaviest: ranked.slice(0, REPORTED_MAX).map(demand => ({workspace: demand.workspace, ...toWhole(demand)})),
      others: {
        ...toWhole({
          total: lighter.reduce((sum, {total}) => sum + total, current.total),
          fresh: lighter.reduce((sum, {fresh}) => sum + fresh, current.fresh),
        }),
        count: lighter.length + Math.round(current.count),
      },
    };
  };

  return {
    record({workspace, admittedShare = 1, freshShare = 1}, serviceMs) {
      if (workspace === undefined) {
        return;
      }

      const known = tracked.get(workspace);
      const current = known === undefined ? {total: 0, fresh: 0, used: 0} : currentOf(known);
      const used = serviceMs * SECOND_MS / AVERAGE_MS;
      const added = used / Math.max(ADMITTED_SHARE_MIN, admittedShare);
      tracked.set(workspace, {
        total: current.total + added, fresh: current.fresh + (added * freshShare), used: current.used + used, count: 1, updatedAt: now(),
      });
      if (tracked.size > 2 * TRACKED_MAX) {
        foldLightest();
      }
    },
    report() {
      if (now() - reportedAt >= REPORT_INTERVAL_MS) {
        reportedAt = now();
        reported = createReport();
      }

      return reported;
    },
  };
};
