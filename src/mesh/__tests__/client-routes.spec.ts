/** Guards against refusing a call of a request that is already under way, which would waste all work above it, and against never refusing a request of a client. */
import test from 'ava';
import {createClientRoutes, type RouteOrigin} from '../client-routes.js';

const cases: Array<{title: string; services: string[]; arrives: boolean; merged: RouteOrigin[]; known: boolean}> = [
  {
    title: 'a route that has not arrived anywhere is not one of clients', services: ['a'], arrives: false, merged: [], known: false,
  },
  {
    title: 'a route that arrives at hosts of each service is one of clients', services: ['a', 'b'], arrives: true, merged: [{route: 'r', service: 'b'}], known: true,
  },
  {
    title: 'a route that arrives at hosts of one service only is called by it', services: ['a', 'b'], arrives: true, merged: [], known: false,
  },
  {
    title: 'a route that does not arrive here is not one of clients', services: ['a', 'b'], arrives: false, merged: [{route: 'r', service: 'b'}], known: false,
  },
  {
    title: 'a service that cannot be reached does not count', services: ['a'], arrives: true, merged: [{route: 'r', service: 'gone'}], known: true,
  },
];

for (const {title, services, arrives, merged, known} of cases) {
  test(title, t => {
    const seen: RouteOrigin[] = [];
    const routes = createClientRoutes({
      service: 'a',
      services: () => new Set(services),
      onSeen(origin) {
        seen.push(origin);
      },
    });
    routes.merge(merged);
    if (arrives) {
      routes.observe('r');
      routes.observe('r');
    }

    t.is(routes.has('r'), known);
    t.deepEqual(seen, arrives ? [{route: 'r', service: 'a'}] : [], 'an origin is told once');
    t.false(routes.has('other'));
  });
}

test('an origin that another process has told is not told again', t => {
  const routes = createClientRoutes({
    service: 'a',
    services: () => new Set(['a']),
    onSeen() {
      t.fail();
    },
  });
  routes.merge([{route: 'r', service: 'a'}]);
  routes.observe('r');
  t.deepEqual(routes.list(), [{route: 'r', service: 'a'}]);
});
