/** Records of the calls that an emulated backend server received, including those that it did not run. */

/** How a call ended; `shed` and `abandoned` calls never ran. */
export type RunEnd = 'completed' | 'cancelled' | 'deadline' | 'sub-call-failed' | 'shed' | 'abandoned' | 'running';

/** A call that a backend server received; times are in milliseconds, `startedAt` since the Unix epoch. */
export type Run = {
  requestId: string;
  /** Number of the client's attempt that it belongs to, from 1; 0 if the attempt header was missing. */
  sending: number;
  /** Position in the call tree of the request; empty for the call by the client itself. */
  callPath: string;
  /** Id in the message body; the request id if the body is empty. */
  bodyId: string;
  service: string;
  requestKind: string;
  idempotent: boolean;
  /** Time at which it acquired a slot; undefined for a call that did not run. */
  startedAt: number | undefined;
  /** Time that it held its slot. */
  slotMs: number;
  end: RunEnd;
};

/**
Counts the runs of non-idempotent requests beyond the first run of each request; the runs may come from several backend servers.

A run counts as soon as it has started, because a cancelled run may already have had its effect.
*/
export const countDuplicateRuns = (runs: readonly Run[]): number => {
  const nonIdempotentRuns = runs.filter(run => !run.idempotent && run.startedAt !== undefined);
  const distinctRequests = new Set(nonIdempotentRuns.map(run => JSON.stringify([run.service, run.requestKind, run.bodyId])));
  return nonIdempotentRuns.length - distinctRequests.size;
};
