/** Guards against sending calls to a backend server that is overloaded, failing or silent while another one has free capacity. */
import test from 'ava';
import {createRandom} from '../../../shared/random.js';
import {chooseCandidate, type Candidate} from '../selection.js';

const candidate = (node: string, changes: Partial<Candidate<string>> = {}): Candidate<string> => ({
  destination: node, node, zone: 'a', load: {
    running: 0, queued: 0, limit: 10, serviceMs: 50, routes: [], counted: {requests: 0, repeats: 0},
  }, sentSinceReport: 0, isLive: true, coldMs: 0, failureRate: 0, ...changes,
});

const load = (running: number, queued: number, serviceMs = 50) => ({
  running, queued, limit: 10, serviceMs, routes: [], counted: {requests: 0, repeats: 0},
});

const cases: Array<{title: string; others: Partial<Candidate<string>>; shareMin: number}> = [
  {title: 'a backend server with a queue', others: {load: load(10, 20)}, shareMin: 0.9},
  {title: 'a backend server to which many calls were just sent', others: {sentSinceReport: 30}, shareMin: 0.9},
  {title: 'a slow backend server', others: {load: load(0, 0, 150)}, shareMin: 0.9},
  {title: 'a backend server that fails half of its calls', others: {failureRate: 0.5}, shareMin: 0.9},
  {title: 'a backend server that fails most of its calls quickly', others: {failureRate: 0.8, load: load(0, 0, 2)}, shareMin: 0.8},
  {title: 'a cold backend server', others: {coldMs: 1000}, shareMin: 0.8},
];

const share = (candidates: Array<Candidate<string>>, node: string): number => {
  const random = createRandom(3);
  const criteria = {
    zone: 'a', route: 'r', targetMs: 200, excludedNodes: new Set<string>(), requiresLive: false,
  };
  const picks = Array.from({length: 2000}, () => chooseCandidate(candidates, criteria, random)?.node);
  return picks.filter(pick => pick === node).length / picks.length;
};

for (const {title, others, shareMin} of cases) {
  test(`${title} gets few calls, but some`, t => {
    const measured = share([candidate('good'), candidate('other', others)], 'good');
    t.true(measured >= shareMin, `share ${measured}`);
    t.true(measured < 1, `share ${measured}`);
  });
}

const zoneCases: Array<{title: string; localMs: number; expected: string}> = [
  {title: 'equally fast', localMs: 50, expected: 'local'},
  {title: 'slower by less than the cross-zone penalty', localMs: 65, expected: 'local'},
  {title: 'slower by more than the cross-zone penalty', localMs: 200, expected: 'remote'},
];

test('calls do not queue in their zone while another zone has free slots', t => {
  const measured = share([candidate('local', {load: load(10, 2)}), candidate('remote', {zone: 'b', load: load(2, 0)})], 'remote');
  t.true(measured > 0.5, `share ${measured}`);
});

for (const {title, localMs, expected} of zoneCases) {
  test(`backend servers of another zone get calls only if they are faster by the penalty: the local one is ${title}`, t => {
    const candidates = [candidate('local', {load: load(0, 0, localMs)}), candidate('remote', {zone: 'b'})];
    const measured = share(candidates, 'local');
    t.true(expected === 'local' ? measured === 1 : measured < 0.2, `share ${measured}`);
  });
}

const routeTimeCases: Array<{title: string; routes: Array<{route: string; serviceMs: number}>; otherRoutes: Array<{route: string; serviceMs: number}>; shareMin: number}> = [
  {
    title: 'the time of the call\'s own route decides', routes: [{route: 'r', serviceMs: 20}], otherRoutes: [{route: 'r', serviceMs: 60}], shareMin: 0.9,
  },
  {
    title: 'times of other routes are ignored', routes: [{route: 'q', serviceMs: 20}], otherRoutes: [{route: 'q', serviceMs: 60}], shareMin: 0.4,
  },
  {
    title: 'a backend server without a known time is tried', routes: [], otherRoutes: [{route: 'r', serviceMs: 20}], shareMin: 0.4,
  },
  {
    title: 'a slower backend server that occasionally misses the target gets few calls', routes: [{route: 'r', serviceMs: 70}], otherRoutes: [{route: 'r', serviceMs: 110}], shareMin: 0.9,
  },
];

for (const {title, routes, otherRoutes, shareMin} of routeTimeCases) {
  test(`service times by route: ${title}`, t => {
    const measured = share([
      candidate('good', {load: {...load(0, 0), routes}}),
      candidate('other', {load: {...load(0, 0), routes: otherRoutes}}),
    ], 'good');
    t.true(measured >= shareMin && measured <= 1 - ((1 - shareMin) / 10), `share ${measured}`);
  });
}

const preferenceCases: Array<{title: string; running: number; shareMin: number; shareMax: number}> = [
  {
    title: 'an idle service prefers the fast one', running: 0, shareMin: 0.85, shareMax: 0.95,
  },
  {
    title: 'a nearly full service is used by speed, since all callers see the same reports', running: 9, shareMin: 0.6, shareMax: 0.75,
  },
];

for (const {title, running, shareMin, shareMax} of preferenceCases) {
  test(`one of two backend servers is twice as fast: ${title}`, t => {
    const measured = share([candidate('fast', {load: load(running, 0, 20)}), candidate('slow', {load: load(running, 0, 40)})], 'fast');
    t.true(measured >= shareMin && measured <= shareMax, `share ${measured}`);
  });
}

test('a nearly full service still avoids a backend server that fails half of its calls', t => {
  const measured = share([candidate('good', {load: load(9, 0)}), candidate('other', {load: load(9, 0), failureRate: 0.5})], 'good');
  t.true(measured >= 0.9 && measured < 1, `share ${measured}`);
});

test('non-idempotent calls go to live processes only, others also to silent ones if there is no live one', t => {
  const random = createRandom(3);
  const silentOnly = [candidate('x', {isLive: false})];
  const criteria = {
    zone: 'a', route: 'r', targetMs: 200, excludedNodes: new Set<string>(),
  };
  t.is(chooseCandidate(silentOnly, {...criteria, requiresLive: true}, random), undefined);
  t.is(chooseCandidate(silentOnly, {...criteria, requiresLive: false}, random)?.node, 'x');
  t.is(chooseCandidate(silentOnly, {...criteria, requiresLive: false, excludedNodes: new Set(['x'])}, random), undefined);
});
