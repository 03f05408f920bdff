/** Results of a load run: one record per request, and a summary per request kind and per priority. */
import {build, type Histogram} from 'hdr-histogram-js';

/** Outcome of one request; times are in milliseconds from the start of the schedule. */
export type RequestRecord = {
  id: string;
  kind: string;
  priority: number;
  group: string;
  idempotent: boolean;
  scheduledMs: number;
  /** Delay of its start behind the schedule; large values mean that the load generator itself was overloaded. */
  startLateMs: number;
  finishedMs: number;
  /** Whether a whole response arrived before its deadline. */
  completed: boolean;
  /** Number of attempts, including ticket exchanges. */
  sendings: number;
  /** Number of attempts that followed a failure; ticket exchanges are not included. */
  resends: number;
  /** Arrival times of rejections with the outcome `not-run`. */
  notRunAtMs: number[];
  /** Outcome header of the last rejection; `none` if there was no rejection, `unstated` if the header was missing. */
  lastOutcome: string;
  /** Reason header of the last attempt if it was rejected, otherwise the result of that attempt, such as `timed-out`. */
  lastReason: string;
  /** Attempts with an incomplete or altered 200 response. */
  truncated: number;
  /** Attempts with a whole 200 response to another request. */
  swapped: number;
  /** Attempts whose connection broke before a response. */
  cut: number;
};

/** Number of requests that did not complete, for one combination of last reason and last outcome. */
export type FailureCount = {reason: string; outcome: string; count: number};

/** Summary of the requests of one request kind or one priority. */
export type LoadSummary = {
  name: string;
  offered: number;
  completed: number;
  successRatio: number;
  /** Latency percentiles of completed requests, measured from the scheduled start; 0 if none completed. */
  p50Milliseconds: number;
  p99Milliseconds: number;
  failures: FailureCount[];
  truncated: number;
  swapped: number;
  cut: number;
  resends: number;
};

/** Result of a load run. */
export type LoadResult = {
  /** Start of the schedule, in milliseconds since the Unix epoch. */
  startedAt: number;
  kinds: LoadSummary[];
  priorities: LoadSummary[];
  maxStartLateMs: number;
  records: RequestRecord[];
};

/** Builds a histogram of the latencies of completed requests, in microseconds. */
export const latencyHistogram = (records: readonly RequestRecord[]): Histogram => {
  const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 3});
  for (const record of records.filter(({completed}) => completed)) {
    histogram.recordValue(Math.max(1, Math.round((record.finishedMs - record.scheduledMs) * 1000)));
  }

  return histogram;
};

const countFailures = (records: readonly RequestRecord[]): FailureCount[] => {
  const counts = new Map<string, FailureCount>();
  for (const {lastReason, lastOutcome} of records.filter(({completed}) => !completed)) {
    const key = `${lastReason}/${lastOutcome}`;
    const entry = counts.get(key) ?? {reason: lastReason, outcome: lastOutcome, count: 0};
    entry.count++;
    counts.set(key, entry);
  }

  return [...counts.values()].sort((a, b) => b.count - a.count);
};

const sumBy = (records: readonly RequestRecord[], valueOf: (record: RequestRecord) => number): number =>
  records.reduce((sum, record) => sum + valueOf(record), 0);

/** Summarises records; the name is that of their request kind or priority. */
export const summarise = (name: string, records: readonly RequestRecord[]): LoadSummary => {
  const histogram = latencyHistogram(records);
  const completed = records.filter(record => record.completed).length;
  return {
    name,
    offered: records.length,
    completed,
    successRatio: records.length === 0 ? 0 : completed / records.length,
    p50Milliseconds: completed === 0 ? 0 : histogram.getValueAtPercentile(50) / 1000,
    p99Milliseconds: completed === 0 ? 0 : histogram.getValueAtPercentile(99) / 1000,
    failures: countFailures(records),
    truncated: sumBy(records, record => record.truncated),
    swapped: sumBy(records, record => record.swapped),
    cut: sumBy(records, record => record.cut),
    resends: sumBy(records, record => record.resends),
  };
};

const summariseBy = (records: readonly RequestRecord[], keyOf: (record: RequestRecord) => string): LoadSummary[] =>
  [...new Set(records.map(record => keyOf(record)))].sort()
    .map(key => summarise(key, records.filter(record => keyOf(record) === key)));

/** Builds the result of a load run from its records. */
export const buildResult = (startedAt: number, records: RequestRecord[]): LoadResult => ({
  startedAt,
  kinds: summariseBy(records, ({kind}) => kind),
  priorities: summariseBy(records, ({priority}) => String(priority)),
  maxStartLateMs: records.map(({startLateMs}) => startLateMs).sort((a, b) => a - b).at(-1) ?? 0,
  records,
});
