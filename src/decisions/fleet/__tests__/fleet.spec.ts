/** Tests that no configuration reverts, that the newest one reaches every process, and that the membership recovers (invariants 6 and 8), under faults of hosts, network and platform, alone and two together. */
import assert from 'node:assert/strict';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {emptyConfiguration, hashObjects, type Configuration} from '../../../objects/configuration.js';
import {declaredObjectSchema} from '../../../objects/schema.js';
import {endpointsOf, isZoneStale, type FleetState} from '../fleet.js';
import {Network} from './network.js';

/** Creates a configuration with as many services as its sequence. */
const configurationOf = (sequence: number, label = ''): Configuration => {
  const objects = Array.from({length: sequence}, (_, index) => declaredObjectSchema.parse({kind: 'Service', name: `s${index}`, labels: {label}}));
  return {
    ...emptyConfiguration, sequence, objects, hash: hashObjects(objects),
  };
};

const ZONES = ['north', 'south'];
const HOSTS = ZONES.flatMap(zone => [1, 2, 3, 4].map(index => ({zone, host: `${zone}${index}`})));
const CONTACTS = ['a-north1', 'a-south1', 'a-north2', 'a-south2'];

const announce = (network: Network, host: string, draining = false): void => {
  network.decide(network.processes.get(`a-${host}`)!, {
    kind: 'local-changed',
    backend: {
      service: `${host.slice(0, -1)}-service`, slots: 10, connections: 100, coldStartMs: 0, draining, labels: {},
    },
  });
};

const startFleet = (seed: number): Network => {
  const network = new Network(seed);
  for (const {zone, host} of HOSTS) {
    network.start(host, zone, CONTACTS);
    announce(network, host);
  }

  network.run(6000);
  network.apply(configurationOf(1));
  network.run(3000);
  return network;
};

const stateOf = (network: Network, host: string): FleetState => network.processes.get(`a-${host}`)!.state;
const runningSequences = (network: Network): number[] =>
  [...network.processes.values()].filter(({down, pausedUntil}) => !down && pausedUntil <= network.now).map(({state}) => state.configuration.current.sequence);
const aliveHostsSeenBy = (network: Network, host: string): string[] =>
  [...stateOf(network, host).membership.members.values()].filter(({record}) => record.state === 'alive').map(({record}) => record.host).sort();
const allHaveSequence = (network: Network, sequence: number): boolean => runningSequences(network).every(each => each === sequence);
const assertConverged = (t: ExecutionContext, network: Network, sequence: number): void => {
  t.deepEqual(runningSequences(network).filter(each => each !== sequence), []);
  t.deepEqual(network.revertedHosts, []);
};

const watchersOf = (network: Network, zone: string): string[] => stateOf(network, `${zone}1`).roles.watchers;
const replaceProcess = (network: Network, host: string, startedAt?: number): void => {
  network.start(host, host.slice(0, -1), CONTACTS, startedAt);
  announce(network, host);
};

type Fault = {
  name: string; start: (network: Network) => void; heal: (network: Network) => void;
  /** Whether every running process can still reach the newest configuration. */
  connected: boolean;
};

const addCut = (cut: Network['cut']) => (network: Network): void => {
  const before = network.cut;
  network.cut = (from, to) => before(from, to) || cut(from, to);
};

const heal = (network: Network): void => {
  network.cut = () => false;
  network.faults = {lost: 0, duplicated: 0, delayMs: 5};
  Object.assign(network.platform, {downUntil: 0, silentWatches: false, loseAnswers: false});
  network.platform.cutZones.clear();
};

const isInFirstHalf = (state: FleetState): boolean => /[12]$/u.test(state.self.host);
const createHostFault = (name: string, start: (network: Network, host: string) => void, finish: (network: Network, host: string) => void): Fault => ({
  name,
  connected: true,
  start(network) {
    start(network, watchersOf(network, 'north')[0]!);
  },
  heal(network) {
    for (const {host} of HOSTS) {
      finish(network, host);
    }
  },
});
const createNetworkFault = (name: string, connected: boolean, start: (network: Network) => void): Fault => ({
  name, connected, start, heal,
});

const FAULTS: Fault[] = [
  createHostFault('a watcher is lost and replaced at its address', (network, host) => {
    network.processes.get(`a-${host}`)!.down = true;
  }, (network, host) => {
    if (network.processes.get(`a-${host}`)!.down) {
      replaceProcess(network, host);
    }
  }),
  createHostFault('a watcher is paused and resumes', (network, host) => {
    network.processes.get(`a-${host}`)!.pausedUntil = network.now + 6000;
  }, () => undefined),
  createNetworkFault('messages are lost, duplicated, reordered and delayed', true, network => {
    network.faults = {lost: 0.1, duplicated: 0.2, delayMs: 150};
  }),
  createNetworkFault('a zone is cut from another in one direction', true, addCut((from, to) => from.self.zone === 'north' && to.self.zone === 'south')),
  createNetworkFault('all zones are cut', true, addCut((from, to) => from.self.zone !== to.self.zone)),
  createNetworkFault('a zone is split in two and only one half reaches the platform', false, network => {
    addCut((from, to) => isInFirstHalf(from) !== isInFirstHalf(to))(network);
    network.platform.cutZones.add('south');
  }),
  createNetworkFault('the platform is down', true, network => {
    network.platform.downUntil = Number.POSITIVE_INFINITY;
  }),
  createNetworkFault('a zone is cut from the platform', true, network => {
    network.platform.cutZones.add('north');
  }),
  createNetworkFault('platform watches deliver nothing', true, network => {
    network.platform.silentWatches = true;
  }),
  createNetworkFault('the platform is restored to an older state, and replies to writes are lost', true, network => {
    Object.assign(network.platform, {
      downUntil: network.now + 1500, loseAnswers: true, head: undefined, version: 0,
    });
  }),
];

test('with two faults at once, no configuration reverts, and every process has the newest 3 s after acceptance and after recovery', t => {
  const index = fc.nat({max: FAULTS.length - 1});
  fc.assert(fc.property(fc.nat(), index, index, (seed, first, second) => {
    const network = startFleet(seed);
    const faults = [FAULTS[first]!, FAULTS[second]!];
    assert.ok(allHaveSequence(network, 1));
    for (const fault of faults) {
      fault.start(network);
    }

    network.run(2500);
    const {platform} = network;
    const expected = (platform.head?.sequence ?? 0) >= 1 && network.now >= platform.downUntil && network.apply(configurationOf(2)) ? 2 : 1;
    assert.ok(!(expected === 2 && network.apply(configurationOf(2, 'racing'), platform.version - 1)));
    network.run(3000);
    // Two cuts together may leave some processes without any path to the newest configuration.
    const cuts = faults.filter(({name}) => name.includes('cut') || name.includes('down'));
    if (faults.every(({connected}) => connected) && new Set(cuts).size < 2) {
      assert.ok(allHaveSequence(network, expected), `${faults.map(({name}) => name).join('; ')}: ${runningSequences(network).join(' ')}`);
    }

    for (const fault of faults) {
      fault.heal(network);
    }

    heal(network);
    network.run(3000);
    assert.ok(allHaveSequence(network, expected), `${faults.map(({name}) => name).join('; ')} recovered: ${runningSequences(network).join(' ')}`);
    network.run(12_000);
    assert.deepEqual(network.revertedHosts, []);
    assert.equal(platform.head?.sequence, expected);
    assert.ok(platform.writes <= 12, `${platform.writes} writes`);
    for (const {zone, host} of HOSTS) {
      assert.deepEqual(aliveHostsSeenBy(network, host), HOSTS.filter(other => other.zone === zone && other.host !== host).map(other => other.host));
    }
  }), {numRuns: 60});
  t.pass();
});

test('a process that starts while the platform is down takes the newest configuration from peers and reports them as its source', t => {
  const network = startFleet(1);
  network.platform.downUntil = Number.POSITIVE_INFINITY;
  replaceProcess(network, 'north3');
  network.run(3000);
  const {current, source} = stateOf(network, 'north3').configuration;
  t.is(current.sequence, 1);
  t.is(source.kind, 'peer');
});

test('an older watch event or peer does not revert the configuration', t => {
  const network = startFleet(2);
  const process = network.processes.get(`a-${watchersOf(network, 'north')[0]!}`)!;
  network.apply(configurationOf(2));
  network.run(3000);
  network.decide(process, {kind: 'configuration-read', view: {by: 'watch', configuration: configurationOf(1), version: 1}});
  const {self} = stateOf(network, 'south4');
  const from = {
    ...self, zone: 'south', sequence: 1, hash: configurationOf(1).hash, digest: 0,
  };
  network.decide(process, {kind: 'message-received', message: {from, body: {kind: 'configuration-full', configuration: configurationOf(1)}}});
  network.run(1000);
  assertConverged(t, network, 2);
  t.is(network.platform.writes, 0);
});

test('a configuration that does not match its hash is rejected', t => {
  const network = startFleet(3);
  network.apply({...configurationOf(2), hash: 'other'});
  network.run(3000);
  assertConverged(t, network, 1);
  t.true(network.reports.some(({report}) => report.kind === 'configuration-rejected'));
});

test('of two configurations with the same sequence every process keeps the same one, and the conflict is reported', t => {
  const network = startFleet(4);
  addCut((from, to) => from.self.zone !== to.self.zone)(network);
  const [low, high] = [configurationOf(2, 'a'), configurationOf(2, 'b')].sort((a, b) => (a.hash < b.hash ? -1 : 1)) as [Configuration, Configuration];
  network.platform.cutZones.add('south');
  network.apply(high);
  network.run(3000);
  network.platform.cutZones.clear();
  network.platform.cutZones.add('north');
  network.apply(low);
  network.run(1000);
  heal(network);
  network.run(4000);
  t.deepEqual([...new Set([...network.processes.values()].map(({state}) => state.configuration.current.hash))], [high.hash]);
  t.is(network.platform.head?.hash, high.hash);
  t.true(network.reports.some(({report}) => report.kind === 'configuration-conflict'));
});

test('a restored platform gets the newer configuration back in few writes, also when replies are lost', t => {
  const network = startFleet(5);
  network.apply(configurationOf(2));
  network.run(3000);
  Object.assign(network.platform, {downUntil: network.now + 3000, loseAnswers: true});
  network.run(3000);
  Object.assign(network.platform, {head: configurationOf(1), version: 1});
  network.run(10_000);
  t.is(network.platform.head?.sequence, 2);
  t.true(network.platform.writes <= 2, `${network.platform.writes} writes`);
  assertConverged(t, network, 2);
});

test('a lost host is no endpoint after the suspicion timeout, and a late record does not bring it back', t => {
  const network = startFleet(6);
  network.processes.get('a-north3')!.down = true;
  network.run(8000);
  t.false(aliveHostsSeenBy(network, 'north1').includes('north3'));
  t.false(endpointsOf(stateOf(network, 'north1')).some(({host}) => host === 'north3'));
  const {self} = stateOf(network, 'north4');
  const from = {
    ...self, sequence: 1, hash: configurationOf(1).hash, digest: stateOf(network, 'north1').zones.digest,
  };
  const late = {...stateOf(network, 'north3').self};
  network.decide(network.processes.get('a-north1')!, {kind: 'message-received', message: {from, body: {kind: 'gossip', updates: [late]}}});
  t.false(aliveHostsSeenBy(network, 'north1').includes('north3'));
});

test('the record of a dead host is dropped after the retention time and is not accepted again', t => {
  const network = startFleet(7);
  network.processes.get('a-north3')!.down = true;
  network.run(630_000);
  // A member that has not dropped the record yet sends it in a sync.
  const {self} = stateOf(network, 'north4');
  const from = {
    ...self, sequence: 1, hash: configurationOf(1).hash, digest: stateOf(network, 'north1').zones.digest,
  };
  const dead = {...stateOf(network, 'north3').self, state: 'dead' as const};
  network.decide(network.processes.get('a-north1')!, {kind: 'message-received', message: {from, body: {kind: 'records', records: [dead]}}});
  t.deepEqual(['north1', 'north2', 'north4'].filter(host => stateOf(network, host).membership.members.has('north3')), []);
});

test('a process refutes the suspicion about it after a pause, and does not declare the others dead', t => {
  const network = startFleet(8);
  const paused = network.processes.get('a-north3')!;
  const suspected = stateOf(network, 'north4').self;
  // The process is paused while it suspects another one; messages to it are lost meanwhile.
  network.decide(paused, {
    kind: 'message-received', message: {
      from: {
        ...stateOf(network, 'north1').self, sequence: 1, hash: configurationOf(1).hash, digest: paused.state.zones.digest,
      },
      body: {kind: 'gossip', updates: [{...suspected, state: 'suspect'}]},
    },
  });
  paused.pausedUntil = network.now + 12_000;
  addCut((_, to) => to === paused.state && network.now < paused.pausedUntil)(network);
  network.run(11_900);
  t.false(aliveHostsSeenBy(network, 'north1').includes('north3'));
  network.run(4000);
  t.true(aliveHostsSeenBy(network, 'north1').includes('north3'));
  t.false(network.reports.some(({host, report}) => host === 'north3' && report.kind === 'member-dead'));
  t.true(paused.state.self.version > 2);
});

test('60 members know a configuration after 1 s and a draining host after 2 s, faster than updates on probes alone', t => {
  const network = new Network(15);
  const hosts = Array.from({length: 60}, (_, index) => `north${index}`);
  for (const host of hosts) {
    network.start(host, 'north', ['a-north0', 'a-north1']);
  }

  network.run(12_000);
  // Guards against starting processes that each take every role, and read and write the platform, before they know others.
  t.true(network.platform.reads <= 12, `${network.platform.reads} reads`);
  t.true(network.platform.statusWrites <= 3, `${network.platform.statusWrites} status writes`);
  network.apply(configurationOf(1));
  announce(network, 'north7', true);
  network.run(1000);
  assertConverged(t, network, 1);
  network.run(1000);
  const views = hosts.map(host => endpointsOf(stateOf(network, host)).find(endpoint => endpoint.host === 'north7')?.draining);
  t.deepEqual(hosts.filter((_, index) => !views[index]), []);
});

test('a process that replaces a host at its address takes over, also when its clock is behind', t => {
  const network = startFleet(9);
  replaceProcess(network, 'north3', 5);
  network.run(4000);
  const {incarnation} = stateOf(network, 'north3').self;
  for (const host of ['north1', 'north2', 'north4']) {
    t.is(stateOf(network, host).membership.members.get('north3')?.record.incarnation, incarnation);
  }
});

test('groups that dropped each other during a long partition merge through the contacts', t => {
  const network = startFleet(10);
  addCut((from, to) => isInFirstHalf(from) !== isInFirstHalf(to))(network);
  network.run(700_000);
  t.deepEqual(aliveHostsSeenBy(network, 'north4'), ['north3']);
  t.is(stateOf(network, 'north4').membership.members.size, 1);
  heal(network);
  network.run(15_000);
  t.deepEqual(aliveHostsSeenBy(network, 'north4'), ['north1', 'north2', 'north3']);
});

test('a draining or leaving host gets no new calls from its zone after 2 s and from another one after 3 s', t => {
  const network = startFleet(11);
  announce(network, 'north3', true);
  network.decide(network.processes.get('a-north4')!, {kind: 'leave'});
  network.run(2000);
  const north = endpointsOf(stateOf(network, 'north1')).filter(({zone}) => zone === 'north');
  t.deepEqual(north.filter(({draining}) => !draining).map(({host}) => host).sort(), ['north1', 'north2']);
  network.run(1000);
  const seen = endpointsOf(stateOf(network, 'south4')).filter(({zone}) => zone === 'north');
  t.deepEqual(seen.map(({host}) => host).sort(), ['north1', 'north2']);
});

test('an unheard zone is marked stale and keeps its contacts, and is no longer stale after the cut', t => {
  const network = startFleet(12);
  addCut((from, to) => from.self.zone !== to.self.zone)(network);
  network.run(30_000);
  t.true(isZoneStale(stateOf(network, 'south4'), 'north'));
  t.is(endpointsOf(stateOf(network, 'south4')).filter(({zone}) => zone === 'north').length, 3);
  heal(network);
  network.run(10_000);
  t.false(isZoneStale(stateOf(network, 'south4'), 'north'));
});

test('unchanged summaries are not sent again, and an unchanged status is not written again', t => {
  const network = startFleet(13);
  network.run(20_000);
  network.sent = [];
  const {statusWrites} = network.platform;
  network.run(20_000);
  t.is(network.sent.filter(({kind}) => kind === 'zones').length, 0);
  // Each of the four relays pulls from one other zone per second; no other process pulls.
  t.true(network.sent.filter(({kind}) => kind === 'zones-pull').length <= 84);
  t.is(network.platform.statusWrites, statusWrites);
});

test('the status of a zone states which host lags and why', t => {
  const network = startFleet(14);
  const lagging = HOSTS.map(({host}) => host).find(host => host.startsWith('north') && !watchersOf(network, 'north').includes(host))!;
  network.run(5000);
  // The host loses the pushes of the configuration within the first 200 ms and never pulls, as with a full disk or a bad link; probes arrive.
  const {state} = network.processes.get(`a-${lagging}`)!;
  state.configuration.nextPullAt = Number.POSITIVE_INFINITY;
  addCut((_, to) => to === state && network.now < 14_200)(network);
  network.apply(configurationOf(2));
  network.run(20_000);
  const status = network.platform.statuses.get('north')!;
  t.deepEqual(status.lagging.map(({host, sequence}) => ({host, sequence})), [{host: lagging, sequence: 1}]);
  t.true(status.lagging[0]!.reason.length > 0);
  t.true(network.platform.statusWrites <= 2 * ((network.now / 5000) + 1));
});
