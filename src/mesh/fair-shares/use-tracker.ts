/** Tracks the service time that each workspace uses of the backend server of this host. */

/** Use of a backend server by workspace, in milliseconds of service time per second. */
export type WorkspaceUse = {
  /** Workspaces with the highest use. */
  heaviest: Array<{workspace: string; use: number}>;
  /** Sum over all other workspaces, and their number. */
  others: {use: number; count: number};
};

/** Tracks the use of a backend server by workspace. */
export type WorkspaceUseTracker = {
  /** Records the service time of a call that has ended, in milliseconds. */
  record: (workspace: string, serviceMs: number) => void;
  /** Recent use; undefined while no workspace has used the backend server. It is recalculated at most every `REPORT_INTERVAL_MS`. */
  report: () => WorkspaceUse | undefined;
};

/** Time constant of the moving average of use, in milliseconds. The admitted shares are averaged in the same way, so that their quotient is the demand. */
export const USE_AVERAGE_MS = 1000;
/** Shortest interval between two reports that differ, in milliseconds. */
export const REPORT_INTERVAL_MS = 250;
/** Workspaces that a report names. */
const REPORTED_MAX = 8;
/** Workspaces that are tracked by name; the use of the lightest of the further ones is added up. */
const TRACKED_MAX = 256;
/** Time without a call after which a workspace is no longer counted, in milliseconds. */
const RETENTION_MS = 5000;
const SECOND_MS = 1000;

/** Moving average of use; `count` is the number of workspaces in it. */
type Average = {use: number; count: number; updatedAt: number};

/** Creates a tracker without use. */
export const createWorkspaceUseTracker = (now: () => number): WorkspaceUseTracker => {
  const tracked = new Map<string, Average>();
  let rest: Average = {use: 0, count: 0, updatedAt: now()};
  let reported: WorkspaceUse | undefined;
  let reportedAt = Number.NEGATIVE_INFINITY;

  const decay = ({updatedAt}: Average): number => Math.exp((updatedAt - now()) / USE_AVERAGE_MS);

  /** Tracked workspaces and their current use, the heaviest first. */
  const ranking = (): Array<{workspace: string; use: number}> => [...tracked]
    .map(([workspace, average]) => ({workspace, use: average.use * decay(average)}))
    .sort((a, b) => b.use - a.use);

  /** Adds the lightest workspaces beyond `TRACKED_MAX` to the rest. */
  const foldLightest = (): void => {
    for (const {workspace, use} of ranking().slice(TRACKED_MAX)) {
      tracked.delete(workspace);
      rest = {use: (rest.use * decay(rest)) + use, count: (rest.count * decay(rest)) + 1, updatedAt: now()};
    }
  };

  const createReport = (): WorkspaceUse | undefined => {
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
    return {
      heaviest: ranked.slice(0, REPORTED_MAX).map(({workspace, use}) => ({workspace, use: Math.round(use)})),
      others: {
        use: Math.round(lighter.reduce((sum, {use}) => sum + use, rest.use * decay(rest))),
        count: lighter.length + Math.round(rest.count * decay(rest)),
      },
    };
  };

  return {
    record(workspace, serviceMs) {
      const known = tracked.get(workspace) ?? {use: 0, count: 1, updatedAt: now()};
      tracked.set(workspace, {use: (known.use * decay(known)) + (serviceMs * SECOND_MS / USE_AVERAGE_MS), count: 1, updatedAt: now()});
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
