/** Guards against links that grow with the fleet, and against backend servers that get far more callers than others, or none. */
import test from 'ava';
import type {Member} from '../../message.js';
import {chooseSubset, createRings} from '../subset.js';
import {createMembers} from '../../members/__tests__/members.js';

/** Stated bounds: links per process (four times those of a site with 13 hosts), and callers of the busiest backend server of a zone over the mean. */
const LINKS_MAX = 48;
const CALLERS_OVER_MEAN_MAX = 1.5;
const SERVICES = ['a', 'b', 'c', 'd'];

const isAlwaysUsable = () => true;

const linkedNodes = (rings: ReturnType<typeof createRings>, self: Member, isUsable: (member: Member) => boolean = isAlwaysUsable): string[] =>
  [...new Set(SERVICES.flatMap(service => chooseSubset(rings, self, service, isUsable).map(({node}) => node)))];

const cases = [
  {hosts: 20, zones: 3}, {hosts: 76, zones: 3}, {hosts: 195, zones: 5}, {hosts: 300, zones: 5}, {hosts: 2000, zones: 22},
];

for (const {hosts, zones} of cases) {
  test(`${hosts} hosts in ${zones} zones: callers are spread evenly`, t => {
    const members = createMembers(hosts, zones, SERVICES);
    const rings = createRings(members);
    const callers = new Map<string, number>(members.map(({node}) => [node, 0]));
    for (const member of members) {
      for (const node of linkedNodes(rings, member)) {
        callers.set(node, callers.get(node)! + 1);
      }
    }

    t.true(Math.min(...callers.values()) > 0, 'a backend server has no caller');
    for (const service of SERVICES) {
      const counts = members.filter(member => member.service === service).map(({node}) => callers.get(node)!);
      const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
      t.true(Math.max(...counts) <= mean * CALLERS_OVER_MEAN_MAX, `${service}: ${Math.max(...counts)} callers, mean ${mean}`);
    }
  });
}

for (const {hosts, zones} of cases.filter(entry => entry.zones <= 5)) {
  test(`${hosts} hosts in ${zones} zones: a process has a bounded number of links`, t => {
    const members = createMembers(hosts, zones, SERVICES);
    const rings = createRings(members);
    const most = Math.max(...members.map(member => linkedNodes(rings, member).length));
    t.true(most <= LINKS_MAX, `${most} links`);
  });
}

test('a small service is linked with as a whole', t => {
  const members = createMembers(13, 3, SERVICES);
  const rings = createRings(members);
  t.true(members.every(member => linkedNodes(rings, member).length === members.length - 1));
});

test('a new member moves few links', t => {
  const members = createMembers(195, 5, SERVICES);
  const before = createRings(members);
  const after = createRings([...members, {
    node: 'new', address: '10.1.0.1:1', zone: 'zone-0', service: 'a',
  }]);
  const moved = members.map(member => {
    const known = new Set(linkedNodes(before, member));
    return linkedNodes(after, member).filter(node => !known.has(node)).length;
  });
  t.true(moved.reduce((sum, count) => sum + count, 0) / members.length <= 2, 'more than two links a process move on average');
});

test('members that cannot be used are replaced, and are still taken when no others are left', t => {
  const members = createMembers(195, 5, SERVICES);
  const rings = createRings(members);
  const self = members[0]!;
  const lost = new Set(chooseSubset(rings, self, 'a', isAlwaysUsable).filter((_, index) => index % 2 === 0).map(({node}) => node));
  const replaced = chooseSubset(rings, self, 'a', ({node}) => !lost.has(node));
  t.false(replaced.some(({node}) => lost.has(node)));
  t.true(replaced.length >= chooseSubset(rings, self, 'a', isAlwaysUsable).length - 1);
  t.deepEqual(chooseSubset(rings, self, 'a', () => false), chooseSubset(rings, self, 'a', isAlwaysUsable));
});

test('a zone that is lost as a whole leaves links to every other zone', t => {
  const members = createMembers(195, 5, SERVICES);
  const rings = createRings(members);
  for (const self of members) {
    const zones = new Set(chooseSubset(rings, self, 'b', ({zone}) => zone !== 'zone-1').filter(({zone}) => zone !== 'zone-1').map(({zone}) => zone));
    t.is(zones.size, 4);
  }
});
