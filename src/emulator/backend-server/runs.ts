/** Record of the calls that reached an emulated backend server, and of what it ran. */

/** How a call ended: `shed` and `abandoned` ones never ran. */
export type RunEnd = 'completed' | 'cancelled' | 'deadline' | 'sub-call-failed' | 'shed' | 'abandoned' | 'running';

/** One call that reached a backend server; times are in milliseconds, `startedAt` since the Unix epoch. */
export type Run = {
  requestId: string;
  /** Which sending by the client it belongs to, from 1; 0 when the client did not say. */
  sending: number;
  /** Place of the call in the request's tree of calls; empty for the client's own call. */
  callPath: string;
  /** Id inside the body; the request id when the body has none. */
  bodyId: string;
  service: string;
  requestKind: string;
  idempotent: boolean;
  /** When it got its slot; undefined for a call that did not run. */
  startedAt: number | undefined;
  /** Time that the run held its slot. */
  slotMs: number;
  end: RunEnd;
};

/**
Counts runs beyond the first of the same non-idempotent request, over any number of backend servers.

A run counts from its start: one that is cancelled half way may already have had its effect.
*/
export const countDuplicateRuns = (runs: readonly Run[]): number => {
  const nonIdempotentRuns = runs.filter(run => !run.idempotent && run.startedAt !== undefined);
  const distinctRequests = new Set(nonIdempotentRuns.map(run => JSON.stringify([run.service, run.requestKind, run.bodyId])));
  return nonIdempotentRuns.length - distinctRequests.size;
};
