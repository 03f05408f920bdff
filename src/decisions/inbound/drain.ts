/** Draining: calls in flight may complete before the backend server leaves. */

/** State of a drain. */
export type Drain =
  | {kind: 'none'}
  /** Calls in flight are cancelled from `cancelAt` on. */
  | {kind: 'draining'; cancelAt: number; isCancelling: boolean}
  | {kind: 'drained'};

/** Starts a drain; one in progress keeps its time limit. */
export const startDrain = (drain: Drain, drainMs: number, now: number): Drain =>
  drain.kind === 'none' ? {kind: 'draining', cancelAt: now + drainMs, isCancelling: false} : drain;

/** Returns whether the time limit has passed and the calls in flight have not been cancelled yet. */
export const mustCancelCalls = (drain: Drain, now: number): boolean =>
  drain.kind === 'draining' && !drain.isCancelling && now >= drain.cancelAt;

/** Returns whether a drain is in progress and no calls are left in flight. */
export const isDrainComplete = (drain: Drain, inFlight: number): boolean => drain.kind === 'draining' && inFlight === 0;
