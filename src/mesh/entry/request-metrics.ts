/** Latency histograms of requests by route, priority and outcome, numbers of requests by workspace and outcome, and their text rendering. */
import type {DecisionLog} from '../decision-log.js';
import type {WorkspaceHeader} from './http-dialect.js';
import type {RequestOutcome} from './forwarded-request.js';
import type {Route} from './routing-configuration.js';

/** Metrics of the requests that arrived at a process. */
export type RequestMetrics = {
  /** Records the latency of a finished request, and counts it for its workspace. */
  record: (route: Route, outcome: RequestOutcome['kind'], milliseconds: number, workspace: WorkspaceHeader) => void;
  /** Counts a request that was refused before it was forwarded. */
  recordRefused: (workspace: WorkspaceHeader) => void;
  /** Renders the histograms, the counters of the log and the given gauges as text for the metrics endpoint. */
  render: (log: DecisionLog, gauges: Readonly<Record<string, number>>) => string;
};

/** Upper bounds of the histogram buckets, in milliseconds; each is about twice the one before. */
const BUCKET_BOUNDS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000] as const;

/** Workspaces that are counted by name; the first ones that send a request. */
const NAMED_WORKSPACES_MAX = 100;
/** Label of all workspaces that are not counted by name. */
const OTHER_WORKSPACES = 'other';
/** Label of requests without a workspace, which no workspace can have as its name. */
const NO_WORKSPACE = '';

type WorkspaceOutcome = RequestOutcome['kind'] | 'refused';
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

/** Escapes a label value of the text format. */
const escapeLabel = (value: string): string => value.replaceAll('\\', String.raw`\\`).replaceAll('"', String.raw`\"`).replaceAll('\n', String.raw`\n`);

/** Creates metrics without samples. */
export const createRequestMetrics = (): RequestMetrics => {
  const series = new Map<string, Series>();
  const workspaceCounts = new Map<string, Map<WorkspaceOutcome, number>>();

  const labelOf = (workspace: Exclude<WorkspaceHeader, {kind: 'unused'}>): string => {
    if (workspace.kind === 'none') {
      return NO_WORKSPACE;
    }

    const namedCount = workspaceCounts.size - [NO_WORKSPACE, OTHER_WORKSPACES].filter(label => workspaceCounts.has(label)).length;
    return workspaceCounts.has(workspace.name) || namedCount < NAMED_WORKSPACES_MAX ? workspace.name : OTHER_WORKSPACES;
  };

  const countRequest = (workspace: WorkspaceHeader, outcome: WorkspaceOutcome): void => {
    if (workspace.kind === 'unused') {
      return;
    }

    const label = labelOf(workspace);
    const counts = workspaceCounts.get(label) ?? new Map<WorkspaceOutcome, number>();
    workspaceCounts.set(label, counts);
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  };

  return {
    recordRefused(workspace) {
      countRequest(workspace, 'refused');
    },
    record(route, outcome, milliseconds, workspace) {
      countRequest(workspace, outcome);
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
        ...[...workspaceCounts].flatMap(([label, counts]) => [...counts].map(([outcome, value]) => `jujubewell_workspace_requests_total{workspace="${escapeLabel(label)}",outcome="${outcome}"} ${value}`)),
        ...[...series].flatMap(([labels, values]) => renderSeries(labels, values)),
        '',
      ].join('\n');
    },
  };
};
