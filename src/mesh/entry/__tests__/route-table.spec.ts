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

test('retries are ranked by the routes to the service', t => {
  const plainTable = createRouteTable(createConfiguration([
    {...route('one', '/a/', [{service: 's', weight: 1}]), priority: 1}, {...route('two', '/b/', [{service: 's', weight: 1}]), priority: 2},
  ]));
  t.deepEqual([1, 2].map(priority => plainTable.rankOf('s', priority)), ['urgent', 'ordinary']);
});
