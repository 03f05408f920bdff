/** Guards against counters that grow with the number of workspaces, and against names that break the text of the metrics. */
import test from 'ava';
import {createDecisionLog} from '../../decision-log.js';
import type {WorkspaceHeader} from '../http-dialect.js';
import {createRequestMetrics, type RequestMetrics} from '../request-metrics.js';
import type {Route} from '../routing-configuration.js';

const route: Route = {
  name: 'r', host: 'h', prefix: '/', idempotent: true, timeoutMs: 1000, targetMs: 100, priority: 0, attemptsMax: 1, targets: [{service: 's', weight: 1}],
};
const log = createDecisionLog({
  node: 'n', level: 'error', linesPerSecond: {
    debug: 0, info: 0, warn: 0, error: 0,
  }, sink: () => 0,
});
const named = (name: string): WorkspaceHeader => ({kind: 'named', name});
const workspaceLines = (metrics: RequestMetrics): string[] => metrics.render(log, {}).split('\n').filter(line => line.startsWith('jujubewell_workspace_requests_total'));

const cases: Array<{title: string; workspaces: WorkspaceHeader[]; expected: string[]}> = [
  {title: 'without workspaces nothing is counted', workspaces: [{kind: 'unused'}], expected: []},
  {title: 'a request without a workspace has an empty label', workspaces: [{kind: 'none'}], expected: ['jujubewell_workspace_requests_total{workspace="",outcome="answered"} 1']},
  {
    title: 'requests are counted for each workspace',
    workspaces: [named('a'), named('b'), named('a')],
    expected: ['jujubewell_workspace_requests_total{workspace="a",outcome="answered"} 2', 'jujubewell_workspace_requests_total{workspace="b",outcome="answered"} 1'],
  },
  {title: 'quotation marks and backslashes of a name are escaped', workspaces: [named(String.raw`a"b\c`)], expected: [String.raw`jujubewell_workspace_requests_total{workspace="a\"b\\c",outcome="answered"} 1`]},
];

for (const {title, workspaces, expected} of cases) {
  test(title, t => {
    const metrics = createRequestMetrics();
    for (const workspace of workspaces) {
      metrics.record(route, 'answered', 1, workspace);
    }

    t.deepEqual(workspaceLines(metrics), expected);
  });
}

test('outcomes are counted one by one, also of requests that were not forwarded', t => {
  const metrics = createRequestMetrics();
  metrics.record(route, 'not-run', 1, named('a'));
  metrics.record(route, 'unknown', 1, named('a'));
  metrics.recordRefused(named('a'));
  t.deepEqual(workspaceLines(metrics), ['not-run', 'unknown', 'refused'].map(outcome => `jujubewell_workspace_requests_total{workspace="a",outcome="${outcome}"} 1`));
});

test('a hundred workspaces are counted by name, all others together', t => {
  const metrics = createRequestMetrics();
  metrics.record(route, 'answered', 1, {kind: 'none'});
  for (let index = 0; index < 1000; index++) {
    metrics.record(route, 'answered', 1, named(`w${index}`));
  }

  metrics.record(route, 'answered', 1, named('w99'));
  metrics.record(route, 'answered', 1, named('w100'));
  const lines = workspaceLines(metrics);
  t.is(lines.length, 102);
  t.true(lines.includes('jujubewell_workspace_requests_total{workspace="w99",outcome="answered"} 2'));
  t.true(lines.includes('jujubewell_workspace_requests_total{workspace="other",outcome="answered"} 901'));
});
