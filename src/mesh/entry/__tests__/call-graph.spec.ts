/** Guards against learning the dependencies of a route from failures only, which the first requests of a surge or after a restart would have to suffer. */
import test from 'ava';
import {createCallGraph, type CallEdge} from '../call-graph.js';

const createGraph = () => {
  const learnt: CallEdge[] = [];
  const graph = createCallGraph(edge => {
    learnt.push(edge);
  });
  return {graph, learnt};
};

const isNeverClientRoute = () => false;

const cases: Array<{title: string; arrivals: Array<{running: string[]; called: string; times: number}>; calledRoutes: string[]}> = [
  {title: 'calls during running calls of a single route are attributed to it', arrivals: [{running: ['a'], called: 'b', times: 8}], calledRoutes: ['b']},
  {title: 'fewer than eight observations are not enough', arrivals: [{running: ['a'], called: 'b', times: 7}], calledRoutes: []},
  {title: 'calls during running calls of two routes are not attributed', arrivals: [{running: ['a', 'x'], called: 'b', times: 50}], calledRoutes: []},
  {title: 'calls without a running call are not attributed', arrivals: [{running: [], called: 'b', times: 50}], calledRoutes: []},
  {title: 'a route does not call itself', arrivals: [{running: ['a'], called: 'a', times: 50}], calledRoutes: []},
  {
    title: 'transitive calls count', arrivals: [{running: ['a'], called: 'b', times: 8}, {running: ['b'], called: 'c', times: 8}], calledRoutes: ['b', 'c'],
  },
  {
    title: 'a few calls on behalf of cancelled calls are not attributed to another route',
    arrivals: [{running: ['x'], called: 'b', times: 500}, {running: ['a'], called: 'b', times: 20}],
    calledRoutes: [],
  },
];

for (const {title, arrivals, calledRoutes} of cases) {
  test(title, t => {
    const {graph, learnt} = createGraph();
    for (const {running, called, times} of arrivals) {
      for (let index = 0; index < times; index++) {
        graph.observe(new Set(running), called);
      }
    }

    t.deepEqual([...graph.calledRoutes('a', isNeverClientRoute)], calledRoutes);
    t.is(learnt.length, graph.list().length, 'each edge is reported once');
  });
}

test('requests of clients that arrive during a running call are not attributed to it', t => {
  const {graph} = createGraph();
  for (let index = 0; index < 10; index++) {
    graph.observe(new Set(['a']), 'client');
  }

  t.deepEqual([...graph.calledRoutes('a', route => route === 'client')], []);
});

test('edges of another process are added without being reported, and a cycle ends', t => {
  const {graph, learnt} = createGraph();
  graph.merge([{caller: 'a', called: 'b'}, {caller: 'b', called: 'a'}]);
  t.deepEqual([...graph.calledRoutes('a', isNeverClientRoute)], ['b', 'a']);
  t.deepEqual(learnt, []);
});
