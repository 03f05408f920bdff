/** Counters of an emulated backend server. */
import {countDuplicateRuns, type Run} from './runs.js';

/** Counters that grow while a backend server runs. */
export type Counters = {
  requests: number;
  /** Requests without a declared request kind. */
  unmatched: number;
  completed: number;
  shed: number;
  cancelled: number;
  /** Requests whose deadline passed before they completed. */
  deadlineExpired: number;
  subCallFailed: number;
  /** Request bodies that arrived damaged. */
  damagedBodies: number;
  connectionsOpened: number;
  connectionsRefused: number;
};

/** Creates counters at zero. */
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

/** What the admin path reports: counters and the present state. */
export type CounterReport = Counters & {
  name: string;
  service: string;
  running: number;
  waiting: number;
  runs: number;
  duplicateRuns: number;
};

/** Combines counters, state and record of runs into a report. */
export const createCounterReport = (counters: Counters, state: Pick<CounterReport, 'name' | 'service' | 'running' | 'waiting'>, runs: readonly Run[]): CounterReport => ({
  ...counters, ...state, runs: runs.filter(run => run.startedAt !== undefined).length, duplicateRuns: countDuplicateRuns(runs),
});
