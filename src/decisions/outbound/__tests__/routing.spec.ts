/** Guards against overfilled, cold or draining backend servers, needless traffic between zones, and routing costs that grow with the fleet. */
import test from 'ava';
import fc from 'fast-check';
import type {Endpoint} from '../outbound.js';
import {inFlightLimit} from '../endpoint-records.js';
import {slowStartWeight} from '../routing.js';
import {spillShare} from '../spill-over.js';
import {
  createDriver, createEndpoint, createEndpoints, rejected, responded, type Attempt, type Driver,
} from './harness.js';

const countHosts = (driver: Driver, calls: number): Map<string, number> => {
  const counts = new Map<string, number>();
  for (let sent = 0; sent < calls; sent++) {
    const attempt = driver.arrive() as Attempt;
    counts.set(attempt.endpoint.host, (counts.get(attempt.endpoint.host) ?? 0) + 1);
    driver.end(attempt, responded());
  }

  return counts;
};

const anyHost = fc.constantFrom('h0', 'h1', 'h2', 'h3', 'h4', 'h5');

const anyFields = fc.record({
  zone: fc.constantFrom('a', 'b'), slots: fc.integer({min: 1, max: 4}), draining: fc.boolean(), incarnation: fc.constantFrom('1', '2'),
});

const change = fc.oneof(
  {weight: 6, arbitrary: fc.record({kind: fc.constant('arrive' as const)})},
  {weight: 4, arbitrary: fc.record({kind: fc.constant('end' as const), nth: fc.nat(), how: fc.constantFrom('ok', 'lost', 'connect', 'gone', 'draining')})},
  {weight: 2, arbitrary: fc.record({kind: fc.constant('update' as const), host: anyHost, fields: anyFields})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('replace' as const), host: anyHost})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.integer({min: 0, max: 3000})})},
);

/** Naive model: the listed endpoints and the attempts in flight, searched in full. */
type Model = {listed: Map<string, Endpoint>; running: Attempt[]};

const isValidTarget = ({listed, running}: Model, attempt: Attempt): boolean => {
  const target = listed.get(attempt.endpoint.host);
  const sameTarget = running.filter(({endpoint: {host, incarnation}}) => host === target?.host && incarnation === target.incarnation);
  return target !== undefined && !target.draining && target.incarnation === attempt.endpoint.incarnation && sameTarget.length <= inFlightLimit(target);
};

const results = {
  ok: responded(), lost: {kind: 'lost'}, connect: {kind: 'not-connected'}, draining: rejected({reason: 'draining'}),
} as const;

/** Applies a change to the driver and the model, and returns whether the result is valid. */
const applyChange = (driver: Driver, model: Model, event: typeof change extends fc.Arbitrary<infer Value> ? Value : never): boolean => {
  switch (event.kind) {
    case 'arrive': {
      const action = driver.arrive({retryBudget: 0});
      model.running.push(...[action].filter(({kind}) => kind === 'attempt') as Attempt[]);
      return action.kind === 'reject' || isValidTarget(model, action as Attempt);
    }

    case 'end': {
      const [attempt] = model.running.splice(event.nth % Math.max(1, model.running.length), 1);
      const end = (ended: Attempt) => (event.how === 'gone' ? driver.decide({kind: 'caller-gone', callId: ended.callId}) : driver.end(ended, results[event.how]));
      return attempt === undefined || end(attempt).length === 1;
    }

    case 'update': {
      const changed = createEndpoint(event.host, event.fields);
      model.listed.set(event.host, changed);
      return driver.decide({kind: 'endpoints-updated', changed: [changed], removed: []}).length === 0;
    }

    case 'replace': {
      model.listed.delete(event.host);
      return driver.decide({kind: 'endpoints-changed', endpoints: [...model.listed.values()]}).length === 0;
    }

    case 'wait': {
      return driver.advance(event.ms).length === 0;
    }
  }
};

const isIndexConsistent = ({state}: Driver): boolean =>
  [...state.routing.services.values()].every(service => [...service.zones].every(([zone, {available}]) => {
    const naive = [...service.byHost.values()].filter(record => record.endpoint.zone === zone && !record.endpoint.draining
      && !record.reportedDraining && record.health.state === 'serving' && record.inFlight < inFlightLimit(record.endpoint));
    return naive.length === available.length && naive.every(record => available[record.availableIndex] === record);
  }));

test('every attempt goes to a listed endpoint that is not draining and below its limit, whatever changes meanwhile', t => {
  t.notThrows(() => {
    fc.assert(fc.property(fc.array(change, {maxLength: 120}), changes => {
      const driver = createDriver([]);
      const model: Model = {listed: new Map(), running: []};
      const sound = changes.every(event => applyChange(driver, model, event) && isIndexConsistent(driver));
      for (const attempt of model.running) {
        driver.end(attempt, responded());
      }

      const records = [...driver.state.routing.services.values()].flatMap(service => [...service.byHost.values()]);
      const idle = records.every(({inFlight}) => inFlight === 0);
      return sound && idle && driver.state.calls.size === 0 && driver.state.budgets.requests.size <= changes.length;
    }), {numRuns: 500, seed: 20_265});
  });
});

test('calls stay in the zone, and leave it when its endpoints are absent, draining or full', t => {
  const remote = createEndpoints(2, {zone: 'b'});
  t.deepEqual([...countHosts(createDriver([...createEndpoints(1), ...remote]), 50).keys()], ['a0']);
  t.regex([...countHosts(createDriver([...createEndpoints(1, {draining: true}), ...remote]), 1).keys()][0]!, /^b/u);
  const driver = createDriver([...createEndpoints(1, {slots: 1, connections: 1}), ...remote]);
  t.deepEqual(Array.from({length: 3}, () => (driver.arrive() as Attempt).endpoint.zone), ['a', 'b', 'b']);
  t.deepEqual([330, 20].map(connections => inFlightLimit(createEndpoint('a', {slots: 40, connections}))), [50, 20]);
});

/** Sends calls for some seconds, with responses that carry the given fractions; returns the spill share and zone of each call. */
const simulateSpill = (driver: Driver, seconds: number, fractions: (zone: string, index: number) => number) =>
  Array.from({length: seconds * 50}, (_, index) => {
    const attempt = driver.arrive({admissionHash: 0}) as Attempt;
    driver.end(attempt, responded({fraction: fractions(attempt.endpoint.zone, index)}));
    driver.advance(20);
    return {share: spillShare(driver.state.routing.services.get('s')!.spillShares, 1, driver.now), zone: attempt.endpoint.zone};
  });

test('calls leave an overloaded zone step by step, return when it recovers, and do not flap', t => {
  const driver = createDriver([...createEndpoints(3), ...createEndpoints(3, {zone: 'b'})]);
  const noise = simulateSpill(driver, 20, (_, index) => 0.9 + (0.05 * (index % 2)));
  t.true(noise.every(({share}) => share < 0.05), 'zones with equal fractions exchange no calls');
  const spilled = simulateSpill(driver, 10, zone => (zone === 'a' ? 0.3 : 1));
  t.true(spilled[25]!.share < 0.4 && spilled.at(-1)!.share > 0.5, 'the share grows over seconds');
  t.true(spilled.slice(-100).filter(({zone}) => zone === 'b').length > 50, 'calls follow the share');
  t.true(simulateSpill(driver, 20, () => 1).at(-1)!.share < 0.05);
});

test('two choices prefer the faster and the less loaded endpoint', t => {
  const driver = createDriver(createEndpoints(2));
  const first = driver.arrive() as Attempt;
  driver.end(first, responded({status: 503}), false);
  t.is(countHosts(driver, 20).get(first.endpoint.host), undefined, 'fast rejections must not attract calls');
  driver.advance(20_000);
  t.true(countHosts(driver, 100).get(first.endpoint.host)! > 30, 'the effect of a load fades');
  driver.end(driver.arrive() as Attempt, responded({durationMs: 200}));
  t.is(countHosts(driver, 50).size, 1);
});

test('a cold endpoint gets few calls at first and its full share after the slow start', t => {
  const driver = createDriver(createEndpoints(3));
  driver.now = 1000;
  driver.decide({kind: 'endpoints-updated', changed: [createEndpoint('cold'), createEndpoint('colder', {coldStartMs: 40_000})], removed: []});
  const early = countHosts(driver, 1000);
  t.true((early.get('cold') ?? 0) < 80 && early.get('a0')! > 200, `${[...early].join(' ')}`);
  driver.advance(10_000);
  const {byHost} = driver.state.routing.services.get('s')!;
  t.deepEqual(['cold', 'colder'].map(host => slowStartWeight(byHost.get(host)!, driver.now)), [1, 0.25]);
  t.true((countHosts(driver, 1000).get('cold') ?? 0) > 150);
});

test('a new incarnation starts with a new record, and late results of the old one do not change it', t => {
  const driver = createDriver(createEndpoints(1));
  const attempt = driver.arrive() as Attempt;
  driver.decide({kind: 'endpoints-changed', endpoints: createEndpoints(1, {incarnation: '2'})});
  driver.end(attempt, {kind: 'not-connected'}, false);
  const record = driver.state.routing.services.get('s')!.byHost.get('a0')!;
  t.deepEqual([record.inFlight, record.health.failures, record.latencyMs], [0, 0, 0]);
});

test('neither a choice nor a small change iterates over all endpoints', t => {
  const driver = createDriver(createEndpoints(2000));
  const {byHost, zones} = driver.state.routing.services.get('s')!;
  const fail = (): never => {
    throw new Error('iterated over all endpoints');
  };

  Object.assign(byHost, {values: fail, [Symbol.iterator]: fail});
  Object.assign(zones.get('a')!.available, {[Symbol.iterator]: fail, filter: fail, find: fail});
  t.is(countHosts(driver, 100).size > 50, true);
  driver.end(driver.arrive() as Attempt, {kind: 'lost'});
  t.is(driver.advance(100)[0]!.kind, 'attempt');
  driver.decide({kind: 'endpoints-updated', changed: [createEndpoint('a5', {draining: true})], removed: [{service: 's', host: 'a6'}]});
  t.is(byHost.size, 1999);
});
