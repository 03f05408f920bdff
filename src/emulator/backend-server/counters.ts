/** Counters of an emulated backend server. */
import {countDuplicateRuns, type Run} from './runs.js';

/** Cumulative counters since the start. */
export type Counters = {
  requests: number;
  /** Requests that match no declared request kind. */
  unmatched: number;
  completed: number;
  shed: number;
  cancelled: number;
  /** Requests whose deadline passed before they completed. */
  deadlineExpired: number;
  subCallFailed: number;
  /** Request bodies that were truncated or failed their checksum. */
  damagedBodies: number;
  connectionsOpened: number;
  connectionsRefused: number;
};

/** Creates counters that are all zero. */
export const createCounters = (): Counters => ({
  requests: 0,
  unmatched: 0,
  completed: 0,
  shed: 0,
  cancelled: 0,
  deadlineExpired: 0,
  subCallFailed: 0,
  damagedBodies: 0,
  connectionsOpened: 0,
  connectionsRefused: 0,
});

/** Response of the admin API: the counters and the current state. */
export type CounterReport = Counters & {
  name: string;
  service: string;
  running: number;
  waiting: number;
  runs: number;
  duplicateRuns: number;
};

/** Builds the report from the counters, the current state and the recorded runs. */
export const createCounterReport = (counters: Counters, state: Pick<CounterReport, 'name' | 'service' | 'running' | 'waiting'>, runs: readonly Run[]): CounterReport => ({
  ...counters, ...state, runs: runs.filter(run => run.startedAt !== undefined).length, duplicateRuns: countDuplicateRuns(runs),
});
