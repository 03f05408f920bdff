/** Lets the calls in flight end before the backend server leaves. */

/** State of a drain. */
export type Drain =
  | {kind: 'none'}
  /** `until` is the time from which calls in flight are cancelled. */
  | {kind: 'draining'; cancelAt: number; isCancelling: boolean}
  | {kind: 'drained'};

/** Starts a drain; one that is under way goes on with its own time limit. */
export const startDrain = (drain: Drain, drainMs: number, now: number): Drain =>
  drain.kind === 'none' ? {kind: 'draining', cancelAt: now + drainMs, isCancelling: false} : drain;

/** Whether the time for calls in flight is over and they have not been cancelled yet. */
export const mustCancelCalls = (drain: Drain, now: number): boolean =>
  drain.kind === 'draining' && !drain.isCancelling && now >= drain.cancelAt;

/** Whether the drain ends now, as nothing is in flight any more. */
export const isDrainComplete = (drain: Drain, inFlight: number): boolean => drain.kind === 'draining' && inFlight === 0;
