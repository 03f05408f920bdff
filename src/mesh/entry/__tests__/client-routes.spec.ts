/** Guards against rejecting a call within a running request, which would waste the work done for it, and against never rejecting requests of clients. */
import test from 'ava';
import {createClientRoutes, type RouteOrigin} from '../client-routes.js';

const cases: Array<{title: string; services: string[]; arrives: boolean; merged: RouteOrigin[]; known: boolean}> = [
  {
    title: 'a route without any request is not a client route', services: ['a'], arrives: false, merged: [], known: false,
  },
  {
    title: 'a route whose requests arrive at hosts of each service is a client route', services: ['a', 'b'], arrives: true, merged: [{route: 'r', service: 'b'}], known: true,
  },
  {
    title: 'a route whose requests arrive at hosts of one service only is not a client route', services: ['a', 'b'], arrives: true, merged: [], known: false,
  },
  {
    title: 'a route without requests at this host is not a client route', services: ['a', 'b'], arrives: false, merged: [{route: 'r', service: 'b'}], known: false,
  },
  {
    title: 'a service that cannot be reached is not required', services: ['a'], arrives: true, merged: [{route: 'r', service: 'gone'}], known: true,
  },
];

for (const {title, services, arrives, merged, known} of cases) {
  test(title, t => {
    const seen: RouteOrigin[] = [];
    const routes = createClientRoutes({
      service: 'a',
      services: () => new Set(services),
      onNewOrigin(origin) {
        seen.push(origin);
      },
    });
    routes.merge(merged);
    if (arrives) {
      routes.observe('r');
      routes.observe('r');
    }

    t.is(routes.has('r'), known);
    t.deepEqual(seen, arrives ? [{route: 'r', service: 'a'}] : [], 'an origin is reported once');
    t.false(routes.has('other'));
  });
}

test('an origin that another process reported is not reported again', t => {
  const routes = createClientRoutes({
    service: 'a',
    services: () => new Set(['a']),
    onNewOrigin() {
      t.fail();
    },
  });
  routes.merge([{route: 'r', service: 'a'}]);
  routes.observe('r');
  t.deepEqual(routes.list(), [{route: 'r', service: 'a'}]);
});
