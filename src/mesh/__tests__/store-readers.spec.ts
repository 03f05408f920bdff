/** Guards against a zone without a process that watches the store, and against many that do. */
import test from 'ava';
import {chooseReaders, READERS_PER_ZONE, type Reachability} from '../store-readers.js';

const nodes = Array.from({length: 39}, (_, index) => `host-${index}`);

const readersAmong = (alive: readonly string[], reachability: (from: string, to: string) => Reachability): string[] =>
  alive.filter(self => chooseReaders('z', nodes, self, node => reachability(self, node)).isReader);

const allReaders = readersAmong(nodes, () => 'open');

const cases: Array<{title: string; lost: string[]}> = [
  {title: 'all processes run', lost: []},
  {title: 'one reader is lost', lost: allReaders.slice(0, 1)},
  {title: 'both readers are lost', lost: allReaders},
  {title: 'half of the zone is lost', lost: nodes.filter((_, index) => index % 2 === 0)},
  {title: 'all but one are lost', lost: nodes.slice(1)},
];

for (const {title, lost} of cases) {
  test(`${title}: the running processes agree on the readers`, t => {
    const alive = nodes.filter(node => !lost.includes(node));
    const readers = readersAmong(alive, (_, to) => lost.includes(to) ? 'unreachable' : 'open');
    t.is(readers.length, Math.min(READERS_PER_ZONE, alive.length));
  });
}

test('readers that are killed one after the other are replaced each time', t => {
  const lost = new Set<string>();
  for (let kill = 0; kill < 30; kill++) {
    const alive = nodes.filter(node => !lost.has(node));
    const readers = readersAmong(alive, (_, to) => lost.has(to) ? 'unreachable' : 'open');
    t.is(readers.length, READERS_PER_ZONE, `after ${kill} kills`);
    lost.add(readers[0]!);
  }
});

test('a process that reaches no other one reads the store itself', t => {
  t.is(readersAmong(nodes, () => 'unreachable').length, nodes.length);
});

test('a cut inside the zone leaves readers on either side', t => {
  const side = (node: string): boolean => Number(node.split('-')[1]) < 10;
  const readers = readersAmong(nodes, (from, to) => side(from) === side(to) ? 'open' : 'unreachable');
  t.is(readers.filter(node => side(node)).length, READERS_PER_ZONE);
  t.is(readers.filter(node => !side(node)).length, READERS_PER_ZONE);
});

test('the links that the choice needs are bounded', t => {
  t.true(Math.max(...nodes.map(self => chooseReaders('z', nodes, self, () => 'unreachable').contacts.length)) <= 6);
});
