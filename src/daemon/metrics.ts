/** Counters, gauges and latency histograms of a process, in Prometheus text format. */
import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';
import type {CallContext} from '../shared/call-context.js';

/** Fields of a call that are used as metric labels. */
export type CallLabels = Pick<CallContext, 'service' | 'requestKind' | 'priority'>;

/** Metrics of a process. */
export type Metrics = {
  countRejection: (reason: string, part: string, call: CallLabels) => void;
  countRetry: (reason: string, call: CallLabels) => void;
  countCall: (part: string, status: number, call: CallLabels) => void;
  countMessage: (direction: 'in' | 'out', outcome: string, bytes: number) => void;
  recordLatency: (part: string, call: CallLabels, milliseconds: number) => void;
  setGauge: (name: GaugeName, value: number) => void;
  /** Renders the text of `/metrics`. */
  render: () => Promise<string>;
};

/** Name of a gauge, without its `jujubewell_` prefix. */
export type GaugeName = 'calls_in_flight' | 'calls_waiting' | 'concurrency_limit' | 'members' | 'configuration_sequence' | 'tickets';

const GAUGES: Readonly<Record<GaugeName, string>> = {
  calls_in_flight: 'Calls in flight at the backend server of this host.',
  calls_waiting: 'Calls waiting for a slot of the backend server of this host.',
  concurrency_limit: 'Calls that the backend server of this host gets at most at the same time.',
  members: 'Processes that this process knows.',
  configuration_sequence: 'Sequence of the configuration in effect.',
  tickets: 'Ticket records that are held.',
};

const QUANTILES = [50, 90, 99, 99.9] as const;
const MICROSECONDS_PER_MILLISECOND = 1000;
/** Highest latency that a histogram records, in microseconds; longer ones count as this one. */
const HIGHEST_LATENCY_US = 3_600_000_000;

const renderHistograms = (histograms: ReadonlyMap<string, Histogram>): string[] => [
  '# HELP jujubewell_call_seconds Time of a call at this process.',
  '# TYPE jujubewell_call_seconds summary',
  ...[...histograms].flatMap(([labels, histogram]) => [
    ...QUANTILES.map(quantile =>
      `jujubewell_call_seconds{${labels},quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile) / 1e6}`),
    `jujubewell_call_seconds_count{${labels}} ${histogram.totalCount}`,
  ]),
];

/** Creates metrics with all values at zero. */
export const createMetrics = (): Metrics => {
  const registry = new Registry();
  const registers = [registry];
  const callLabels = ['service', 'request_kind', 'priority'] as const;
  const rejections = new Counter({
    name: 'jujubewell_rejections_total', help: 'Rejected calls by reason.', labelNames: ['reason', 'part', ...callLabels], registers,
  });
  const retries = new Counter({
    name: 'jujubewell_retries_total', help: 'Retries by reason.', labelNames: ['reason', ...callLabels], registers,
  });
  const calls = new Counter({
    name: 'jujubewell_calls_total', help: 'Calls by status.', labelNames: ['part', 'status', ...callLabels], registers,
  });
  const messages = new Counter({
    name: 'jujubewell_control_messages_total', help: 'Control messages between processes.', labelNames: ['direction', 'outcome'], registers,
  });
  const messageBytes = new Counter({
    name: 'jujubewell_control_bytes_total', help: 'Bytes of control messages between processes.', labelNames: ['direction'], registers,
  });
  const gauges = new Map(Object.entries(GAUGES).map(([name, help]) =>
    [name, new Gauge({name: `jujubewell_${name}`, help, registers})]));
  const histograms = new Map<string, Histogram>();
  const labelValues = (call: CallLabels) => ({service: call.service, request_kind: call.requestKind, priority: String(call.priority)});

  return {
    countRejection(reason, part, call) {
      rejections.inc({reason, part, ...labelValues(call)});
    },
    countRetry(reason, call) {
      retries.inc({reason, ...labelValues(call)});
    },
    countCall(part, status, call) {
      calls.inc({part, status: String(status), ...labelValues(call)});
    },
    countMessage(direction, outcome, bytes) {
      messages.inc({direction, outcome});
      messageBytes.inc({direction}, bytes);
    },
    recordLatency(part, call, milliseconds) {
      const labels = `part="${part}",service="${call.service}",request_kind="${call.requestKind}",priority="${call.priority}"`;
      const histogram = histograms.get(labels) ?? buildHistogram({
        bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_LATENCY_US, numberOfSignificantValueDigits: 2,
      });
      histograms.set(labels, histogram);
      histogram.recordValue(Math.min(HIGHEST_LATENCY_US, Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND))));
    },
    setGauge(name, value) {
      gauges.get(name)!.set(value);
    },
    async render() {
      const text = await registry.metrics();
      return `${text}${renderHistograms(histograms).join('\n')}\n`;
    },
  };
};
