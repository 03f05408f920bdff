/** Supervisor: starts parts in order, restarts a part that fails and stops all in reverse order. */
import type {Random} from '../shared/random.js';

/** Part of a process that the supervisor starts and stops, such as a listener. */
export type Part = {
  name: string;
  /** Rejects when the part cannot start; `onFailure` reports a failure after the start. */
  start: (onFailure: (error: Error) => void) => Promise<void>;
  stop: () => Promise<void>;
  /** Whether the process cannot run without the part; its first start must then succeed. */
  required: boolean;
};

/** Current state of a part. */
export type PartState = {name: string; state: 'stopped' | 'running' | 'restarting'; failures: number; lastError: string | undefined};

/** Supervisor of the parts of a process. */
export type Supervisor = {
  /** Rejects when a required part cannot start, after the started parts were stopped. */
  start: () => Promise<void>;
  stop: () => Promise<void>;
  states: () => PartState[];
};

/** Options of a supervisor. */
export type SupervisorOptions = {
  parts: readonly Part[];
  random: Random;
  report: (kind: string, cause: string) => void;
  /** Runs a function after a delay in milliseconds; returns a function that cancels it. */
  schedule: (delayMs: number, run: () => void) => () => void;
};

/** Base of the restart delay, in milliseconds; it doubles with each failure of the part. */
const RESTART_DELAY_BASE_MS = 100;
/** Maximum restart delay, in milliseconds. */
const RESTART_DELAY_MAX_MS = 10_000;

type Child = {part: Part; state: PartState; cancelRestart: (() => void) | undefined};

/** Creates a supervisor; no part runs before `start`. */
export const createSupervisor = (options: SupervisorOptions): Supervisor => {
  let stopping = false;
  const children = options.parts.map((part): Child => ({
    part,
    state: {
      name: part.name, state: 'stopped', failures: 0, lastError: undefined,
    },
    cancelRestart: undefined,
  }));

  /** Exponential backoff with jitter, so that the parts of many processes do not restart together. */
  const restartDelay = (failures: number): number =>
    Math.min(RESTART_DELAY_MAX_MS, RESTART_DELAY_BASE_MS * (2 ** Math.min(failures, 10))) * (0.5 + (options.random() / 2));

  const handleFailure = (child: Child, error: Error) => {
    if (stopping || child.state.state === 'restarting') {
      return;
    }

    child.state.failures++;
    child.state.lastError = error.message;
    child.state.state = 'restarting';
    const delayMs = restartDelay(child.state.failures);
    options.report('part-failed', `${child.part.name} failed: ${error.message}; it is restarted in ${Math.round(delayMs)} ms`);
    child.cancelRestart = options.schedule(delayMs, () => {
      void restart(child);
    });
  };

  const startChild = async (child: Child) => {
    await child.part.start(error => {
      handleFailure(child, error);
    });
    child.state.state = 'running';
  };

  const toError = (error: unknown): Error => (error instanceof Error ? error : new Error(String(error)));

  const restart = async (child: Child) => {
    child.state.state = 'stopped';
    try {
      await child.part.stop();
      await startChild(child);
      options.report('part-restarted', `${child.part.name} runs again after ${child.state.failures} failures`);
    } catch (error) {
      handleFailure(child, toError(error));
    }
  };

  const stop = async () => {
    stopping = true;
    for (const child of [...children].reverse()) {
      child.cancelRestart?.();
      if (child.state.state === 'running') {
        await child.part.stop(); // eslint-disable-line no-await-in-loop
      }

      child.state.state = 'stopped';
    }
  };

  return {
    async start() {
      for (const child of children) {
        try {
          await startChild(child); // eslint-disable-line no-await-in-loop
        } catch (error) {
          if (child.part.required) {
            await stop(); // eslint-disable-line no-await-in-loop
            throw error;
          }

          handleFailure(child, toError(error));
        }
      }
    },
    stop,
    states: () => children.map(child => ({...child.state})),
  };
};
