/** Guards against requests that are routed to the wrong service, and against traffic shares that differ from the weights. */
import test from 'ava';
import type {CallRank} from '../retry-budget.js';
import {createRouteTable} from '../route-table.js';
import type {Route, RoutingConfiguration, Workspace} from '../routing-configuration.js';

const route = (name: string, prefix: string, targets: Route['targets'], host = 'a.example'): Route => ({
  name, host, prefix, idempotent: true, timeoutMs: 1000, targetMs: 100, priority: 0, attemptsMax: 2, targets,
});

const createConfiguration = (routes: Route[]): RoutingConfiguration => ({
  version: 1,
  routes,
  services: [],
  limits: {
    headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
  },
});

const table = createRouteTable(createConfiguration([
  route('root', '/', [{service: 's', weight: 1}]),
  route('short', '/a/', [{service: 's', weight: 1}]),
  route('long', '/a/b/', [{service: 's', weight: 1}]),
  route('other', '/a/', [{service: 's', weight: 1}], 'b.example'),
]));

const cases: Array<{host: string; path: string; expected: string | undefined}> = [
  {host: 'a.example', path: '/a/b/c', expected: 'long'},
  {host: 'A.Example:8080', path: '/a/b/', expected: 'long'},
  {host: 'a.example', path: '/a/b', expected: 'short'},
  {host: 'a.example', path: '/a/x?y=/a/b/', expected: 'short'},
  {host: 'a.example', path: '/ab/', expected: 'root'},
  {host: 'b.example', path: '/a/b/', expected: 'other'},
  {host: 'b.example', path: '/x/', expected: undefined},
  {host: 'c.example', path: '/a/', expected: undefined},
];

for (const {host, path, expected} of cases) {
  test(`route of ${host}${path}`, t => {
    t.is(table.findRoute(host, path)?.name, expected);
  });
}

const splits = [[90, 10], [50, 50], [1, 2, 3], [100, 0.5]];

for (const weights of splits) {
  test(`shares of the weights ${weights.join(', ')}`, t => {
    const split = route('split', '/s/', weights.map((weight, index) => ({service: `s${index}`, weight})));
    const splitTable = createRouteTable(createConfiguration([split]));
    const picks = Array.from({length: 300}, () => splitTable.selectService(split));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    for (const [index, weight] of weights.entries()) {
      const share = picks.filter(service => service === `s${index}`).length / picks.length;
      t.true(Math.abs(share - (weight / total)) < 0.01, `${share} for ${weight}/${total}`);
    }
  });
}

const workspaceOf = (name: string, priority: number | undefined): Workspace => ({
  name, keyDigests: [], priority, ratePerS: undefined, burst: 0,
});
const [first, second, plain] = [workspaceOf('first', 1), workspaceOf('second', 4), workspaceOf('plain', undefined)];
const rankedTable = createRouteTable({...createConfiguration([{...route('three', '/', [{service: 's', weight: 1}]), priority: 3}]), workspaces: [first, second, plain]});

// Guards against a workspace that takes the retries of more urgent ones, and against calls of backend servers that lose theirs.
const ranks: Array<{title: string; workspace: Workspace | undefined; priority: number; expected: CallRank}> = [
  {
    title: 'the most urgent workspace', workspace: first, priority: 1, expected: 'urgent',
  },
  {
    title: 'a less urgent workspace', workspace: second, priority: 4, expected: 'ordinary',
  },
  {
    title: 'a workspace without a priority', workspace: plain, priority: 3, expected: 'ordinary',
  },
  {
    title: 'a call of a backend server', workspace: undefined, priority: 3, expected: 'urgent',
  },
];

for (const {title, workspace, priority, expected} of ranks) {
  test(`the retries of ${title} are ${expected}`, t => {
    t.is(rankedTable.rankOf('s', {priority, workspace}), expected);
  });
}

test('without workspaces, retries are ranked by the routes to the service', t => {
  const plainTable = createRouteTable(createConfiguration([
    {...route('one', '/a/', [{service: 's', weight: 1}]), priority: 1}, {...route('two', '/b/', [{service: 's', weight: 1}]), priority: 2},
  ]));
  t.deepEqual([1, 2].map(priority => plainTable.rankOf('s', {priority, workspace: undefined})), ['urgent', 'ordinary']);
});
