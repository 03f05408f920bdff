/** Supervisor tree: starts parts in order, restarts a part that fails, stops them in reverse order. */
import type {Random} from '../shared/random.js';

/** Part of a process. */
export type Part = {
  name: string;
  /** Rejects when the part cannot start; `onFailure` reports a failure after the start. */
  start: (onFailure: (error: Error) => void) => Promise<void>;
  stop: () => Promise<void>;
  /** Whether the process cannot do without the part, so that its first start must succeed. */
  required: boolean;
};

/** Condition of a part. */
export type PartState = {name: string; state: 'stopped' | 'running' | 'restarting'; failures: number; lastError: string | undefined};

/** Supervisor of parts. */
export type Supervisor = {
  /** Rejects when a required part cannot start; parts that were started are stopped then. */
  start: () => Promise<void>;
  stop: () => Promise<void>;
  states: () => PartState[];
};

/** Options of a supervisor. */
export type SupervisorOptions = {
  parts: readonly Part[];
  random: Random;
  report: (kind: string, cause: string) => void;
  /** Runs a function after a delay in milliseconds; returns its cancellation. */
  schedule: (delayMs: number, run: () => void) => () => void;
};

/** First delay before a restart, in milliseconds; it doubles with each failure in a row. */
const RESTART_MIN_MS = 100;
/** Longest delay before a restart, in milliseconds. */
const RESTART_MAX_MS = 10_000;

type Child = {part: Part; state: PartState; cancelRestart: (() => void) | undefined};

/** Creates a supervisor. */
export const createSupervisor = (options: SupervisorOptions): Supervisor => {
  let stopping = false;
  const children = options.parts.map((part): Child => ({
    part,
    state: {
      name: part.name, state: 'stopped', failures: 0, lastError: undefined,
    },
    cancelRestart: undefined,
  }));

  const restartDelay = (failures: number): number =>
    Math.min(RESTART_MAX_MS, RESTART_MIN_MS * (2 ** Math.min(failures, 10))) * (0.5 + (options.random() / 2));

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
