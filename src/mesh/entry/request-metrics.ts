/** Latency histograms of requests by route, priority and outcome, and their text rendering. */
import type {DecisionLog} from '../decision-log.js';
import type {RequestOutcome} from './request-forwarder.js';
import type {Route} from './routing-configuration.js';

/** Metrics of the requests that arrived at a process. */
export type RequestMetrics = {
  /** Records the latency of a finished request. */
  record: (route: Route, outcome: RequestOutcome['kind'], milliseconds: number) => void;
  /** Renders the histograms, the counters of the log and the given gauges as text for the metrics endpoint. */
  render: (log: DecisionLog, gauges: Readonly<Record<string, number>>) => string;
};

/** Upper bounds of the histogram buckets, in milliseconds; each is about twice the one before. */
const BUCKET_BOUNDS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000] as const;

type Series = {buckets: number[]; count: number; sumMs: number};

const renderSeries = (labels: string, {buckets, count, sumMs}: Series): string[] => {
  let total = 0;
  return [
    ...BUCKET_BOUNDS_MS.map((bound, index) => {
      total += buckets[index]!;
      return `jujubewell_request_ms_bucket{${labels},le="${bound}"} ${total}`;
    }),
    `jujubewell_request_ms_bucket{${labels},le="+Inf"} ${count}`,
    `jujubewell_request_ms_sum{${labels}} ${Math.round(sumMs)}`,
    `jujubewell_request_ms_count{${labels}} ${count}`,
  ];
};

/** Creates metrics without samples. */
export const createRequestMetrics = (): RequestMetrics => {
  const series = new Map<string, Series>();
  return {
    record(route, outcome, milliseconds) {
      const labels = `route="${route.name}",priority="${route.priority}",outcome="${outcome}"`;
      const known = series.get(labels) ?? {buckets: Array.from({length: BUCKET_BOUNDS_MS.length}, () => 0), count: 0, sumMs: 0};
      series.set(labels, known);
      const index = BUCKET_BOUNDS_MS.findIndex(bound => milliseconds <= bound);
      if (index !== -1) {
        known.buckets[index]!++;
      }

      known.count++;
      known.sumMs += milliseconds;
    },
    render(log, gauges) {
      return [
        ...[...log.counters()].flatMap(([family, labels]) => [...labels].map(([label, value]) => `jujubewell_${family}_total{kind="${label}"} ${value}`)),
        ...Object.entries(gauges).map(([name, value]) => `jujubewell_${name} ${value}`),
        ...[...series].flatMap(([labels, values]) => renderSeries(labels, values)),
        '',
      ].join('\n');
    },
  };
};
