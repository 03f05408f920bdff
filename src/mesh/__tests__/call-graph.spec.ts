/** Guards against an admission that learns only from failures which services a route needs: the first requests of a surge, or after a restart, would pay for it. */
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

const cases: Array<{title: string; arrivals: Array<{running: string[]; called: string; times: number}>; below: string[]}> = [
  {title: 'calls beside runs of one route are made for it', arrivals: [{running: ['a'], called: 'b', times: 8}], below: ['b']},
  {title: 'a few of them are not enough', arrivals: [{running: ['a'], called: 'b', times: 7}], below: []},
  {title: 'calls beside runs of two routes say nothing', arrivals: [{running: ['a', 'x'], called: 'b', times: 50}], below: []},
  {title: 'calls without a run say nothing', arrivals: [{running: [], called: 'b', times: 50}], below: []},
  {title: 'a route does not call itself', arrivals: [{running: ['a'], called: 'a', times: 50}], below: []},
  {
    title: 'calls further down count', arrivals: [{running: ['a'], called: 'b', times: 8}, {running: ['b'], called: 'c', times: 8}], below: ['b', 'c'],
  },
  {
    title: 'a few calls of runs that were just cancelled do not', arrivals: [{running: ['x'], called: 'b', times: 500}, {running: ['a'], called: 'b', times: 20}], below: [],
  },
];

for (const {title, arrivals, below} of cases) {
  test(title, t => {
    const {graph, learnt} = createGraph();
    for (const {running, called, times} of arrivals) {
      for (let index = 0; index < times; index++) {
        graph.observe(new Set(running), called);
      }
    }

    t.deepEqual([...graph.below('a', isNeverClientRoute)], below);
    t.is(learnt.length, graph.list().length, 'each edge is told once');
  });
}

test('requests of clients that arrive beside a run are not made for it', t => {
  const {graph} = createGraph();
  for (let index = 0; index < 10; index++) {
    graph.observe(new Set(['a']), 'client');
  }

  t.deepEqual([...graph.below('a', route => route === 'client')], []);
});

test('what another process has learnt is taken over and told to nobody, and a cycle ends', t => {
  const {graph, learnt} = createGraph();
  graph.merge([{caller: 'a', called: 'b'}, {caller: 'b', called: 'a'}]);
  t.deepEqual([...graph.below('a', isNeverClientRoute)], ['b', 'a']);
  t.deepEqual(learnt, []);
});
