/** Guards against refusing a call of a request that is already under way, which would waste all work above it. */
import test from 'ava';
import {createClientRoutes} from '../client-routes.js';

const cases: Array<{title: string; arrivals: boolean[]; known: boolean}> = [
  {title: 'a route that arrives while the backend server works is not taken for one of clients', arrivals: [false, false, false, false], known: false},
  {title: 'one arrival at an idle backend server is not enough', arrivals: [false, true], known: false},
  {title: 'two are', arrivals: [true, false, true], known: true},
];

for (const {title, arrivals, known} of cases) {
  test(title, t => {
    const learnt: string[] = [];
    const routes = createClientRoutes(route => learnt.push(route));
    for (const idle of arrivals) {
      routes.observe('r', idle);
    }

    t.is(routes.has('r'), known);
    t.deepEqual(learnt, known ? ['r'] : []);
    t.false(routes.has('other'));
  });
}

test('what another process has learnt is taken over', t => {
  const learnt: string[] = [];
  const routes = createClientRoutes(route => learnt.push(route));
  routes.merge(['a', 'b']);
  t.deepEqual(routes.list(), ['a', 'b']);
  t.deepEqual(learnt, []);
});
