/** Guards against messages that grow with the number of learnt items times the number of processes. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import {createCallGraph} from '../call-graph.js';
import {createClientRoutes} from '../client-routes.js';
import {createDependencies} from '../dependencies.js';
import {createLearntRouteSpread} from '../learnt-routes.js';

const createProcess = () => {
  const clock = createManualClock();
  const clientRoutes = createClientRoutes({
    service: 's', services: () => new Set(['s']), onNewOrigin(origin) {
      spread.addOrigin(origin);
    },
  });
  const callGraph = createCallGraph(edge => {
    spread.addEdge(edge);
  });
  const dependencies = createDependencies({
    now: clock.now, onLearnt(dependency) {
      spread.addDependency(dependency);
    },
  });
  const spread = createLearntRouteSpread({
    now: clock.now, clientRoutes, callGraph, dependencies,
  });
  return {clock, clientRoutes, spread};
};

test('items that are learnt in quick succession travel in two messages', t => {
  const {clock, clientRoutes, spread} = createProcess();
  const sent = [];
  for (let index = 0; index < 50; index++) {
    clientRoutes.observe(`route-${index}`);
    clock.advance(5);
    sent.push(spread.takeDue());
  }

  clock.advance(300);
  sent.push(spread.takeDue());
  const messages = sent.filter(message => message !== undefined);
  t.is(messages.length, 2);
  t.is(messages.flatMap(({origins}) => origins).length, 50);
});

test('items of a peer are passed on once', t => {
  const {spread} = createProcess();
  const learnt = {origins: [{route: 'r', service: 'x'}], edges: [{caller: 'r', called: 'q'}], dependencies: [{route: 'r', priority: 1, service: 'x'}]};
  spread.merge(learnt);
  t.deepEqual(spread.takeDue(), learnt);
  spread.merge(learnt);
  t.is(spread.takeDue(), undefined);
});
