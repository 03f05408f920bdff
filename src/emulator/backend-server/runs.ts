/** Record of what an emulated backend server ran. */

/** How a run ended. */
export type RunEnd = 'completed' | 'cancelled' | 'deadline' | 'sub-call-failed';

/** One run of a request; times are in milliseconds, `startedAt` since the Unix epoch. */
export type Run = {
  requestId: string;
  /** Id inside the body; the request id when the body has none. */
  bodyId: string;
  service: string;
  requestKind: string;
  idempotent: boolean;
  startedAt: number;
  /** Time that the run held its slot. */
  slotMs: number;
  end: RunEnd | 'running';
};

/** Record of runs. */
export type RunRecord = {
  start: (run: Omit<Run, 'slotMs' | 'end'>) => Run;
  runs: () => readonly Run[];
};

/** Creates an empty record. */
export const createRunRecord = (): RunRecord => {
  const runs: Run[] = [];
  return {
    start(run) {
      const started: Run = {...run, slotMs: 0, end: 'running'};
      runs.push(started);
      return started;
    },
    runs: () => runs,
  };
};

/**
Counts runs beyond the first of the same non-idempotent request, over any number of backend servers.

A run counts from its start: one that is cancelled half way may already have had its effect.
*/
export const countDuplicateRuns = (runs: readonly Run[]): number => {
  const once = runs.filter(run => !run.idempotent);
  const distinct = new Set(once.map(run => JSON.stringify([run.service, run.requestKind, run.bodyId])));
  return once.length - distinct.size;
};
