/** Guards against endpoints that are still used after their host or zone no longer lists them, and against endpoints that are never added. */
import test from 'ava';
import fc from 'fast-check';
import type {Endpoint} from '../../../decisions/outbound/outbound.js';
import {endpointOf, endpointsOf, endpointsOfZone} from '../../../decisions/fleet/fleet.js';
import {Network} from '../../../decisions/fleet/__tests__/network.js';
import {createEndpointIndex, type EndpointChange} from '../endpoint-index.js';

const sortedByKey = (endpoints: Iterable<Endpoint>) =>
  [...endpoints].sort((a, b) => `${a.service}/${a.host}` < `${b.service}/${b.host}` ? -1 : 1);

/** Applies changes in the same order as the outbound decision logic. */
const createReceiver = () => {
  const endpoints = new Map<string, Endpoint>();
  return {
    endpoints,
    apply({changed, removed}: EndpointChange) {
      for (const {service, host} of removed) {
        endpoints.delete(`${service}/${host}`);
      }

      for (const endpoint of changed) {
        endpoints.set(`${endpoint.service}/${endpoint.host}`, endpoint);
      }
    },
  };
};

const endpointArbitrary = (host: string) => fc.record({
  host: fc.constant(host),
  zone: fc.constant('north'),
  incarnation: fc.constantFrom('i1', 'i2'),
  service: fc.constantFrom('chiuse', 'registro'),
  address: fc.constantFrom('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'),
  slots: fc.constantFrom(1, 2),
  connections: fc.constant(10),
  draining: fc.boolean(),
  coldStartMs: fc.constant(0),
});

const groupArbitrary = fc.constantFrom(['h1'], ['h2'], ['h3', 'h4'], ['h5', 'h6']).chain(hosts => fc.record({
  source: fc.constant(hosts.join(' ')),
  endpoints: fc.uniqueArray(fc.oneof(...hosts.map(host => endpointArbitrary(host))), {selector: ({service, host}) => `${service}/${host}`}),
}));

test('incremental updates give the same endpoints and addresses as replacing the whole list', t => {
  fc.assert(fc.property(fc.array(fc.array(groupArbitrary, {maxLength: 3}), {maxLength: 12}), updates => {
    const index = createEndpointIndex();
    const receiver = createReceiver();
    const groups = new Map<string, readonly Endpoint[]>();
    for (const update of updates) {
      for (const {source, endpoints} of update) {
        groups.set(source, endpoints);
      }

      const change = index.update(update);
      receiver.apply(change);
      const allEndpoints = [...groups.values()].flat();
      t.deepEqual(sortedByKey(receiver.endpoints.values()), sortedByKey(allEndpoints));
      for (const address of ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3']) {
        t.is(change.addresses.has(address), allEndpoints.some(endpoint => endpoint.address === address));
      }
    }
  }), {seed: 1});
});

test('an unchanged endpoint is not reported again', t => {
  const index = createEndpointIndex();
  const [endpoint] = fc.sample(endpointArbitrary('h1'), {seed: 1, numRuns: 1}) as [Endpoint];
  t.is(index.update([{source: 'host h1', endpoints: [endpoint]}]).changed.length, 1);
  t.is(index.update([{source: 'host h1', endpoints: [{...endpoint}]}]).changed.length, 0);
});

test('a host that moved to another zone keeps its endpoint when the previous zone removes it later', t => {
  const index = createEndpointIndex();
  const [endpoint] = fc.sample(endpointArbitrary('h1'), {seed: 1, numRuns: 1}) as [Endpoint];
  index.update([{source: 'zone north', endpoints: [endpoint]}]);
  index.update([{source: 'zone south', endpoints: [{...endpoint, zone: 'south'}]}]);
  const {removed, addresses} = index.update([{source: 'zone north', endpoints: []}]);
  t.deepEqual(removed, []);
  t.true(addresses.has(endpoint.address));
});

test('the member changes of the fleet decision add up to its endpoint list after failures, restarts and withdrawn backend servers', t => {
  const network = new Network(1);
  const hosts = ['north', 'south'].flatMap(zone => [0, 1, 2, 3].map(index => ({host: `${zone}-${index}`, zone})));
  const processes = hosts.map(({host, zone}) => network.start(host, zone, ['a-north-0', 'a-south-0']));
  const announce = (index: number, service: string | undefined) => {
    network.decide(processes[index]!, {
      kind: 'local-changed', backend: service === undefined
        ? undefined
        : {
          service, slots: 10, connections: 100, coldStartMs: 0, draining: false, labels: {},
        },
    });
  };

  for (const index of processes.keys()) {
    announce(index, index % 2 === 0 ? 'chiuse' : 'registro');
  }

  network.run(15_000);
  announce(1, 'chiuse');
  announce(4, undefined);
  processes[2]!.down = true;
  processes[7]!.down = true;
  network.run(15_000);
  processes[2] = network.start('north-2', 'north', ['a-north-0']);
  announce(2, 'registro');
  network.run(15_000);

  for (const process of processes.filter(({down}) => !down)) {
    const index = createEndpointIndex();
    const receiver = createReceiver();
    for (const {action} of network.memberChanges.filter(change => change.process === process)) {
      // The test reads zones only in their final state, so it checks that each zone and host was reported after its last change.
      receiver.apply(index.update([
        ...action.removed.map(host => ({source: `host ${host}`, endpoints: []})),
        ...action.changed.map(record => ({source: `host ${record.host}`, endpoints: [endpointOf(record)].filter(endpoint => endpoint !== undefined)})),
        ...action.zones.map(zone => ({source: `zone ${zone}`, endpoints: endpointsOfZone(process.state, zone)})),
      ]));
    }

    t.true(endpointsOf(process.state).length > 4);
    t.deepEqual(sortedByKey(receiver.endpoints.values()), sortedByKey(endpointsOf(process.state)));
  }
});
