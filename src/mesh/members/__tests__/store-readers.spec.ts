/** Guards against a zone in which a confirmed change is not in force in time at a process that reaches the store, and against store calls that grow with the fleet. */
import test from 'ava';
import {createRandom} from '../../../shared/random.js';
import {createStoreReaders, readingTimes} from '../store-readers.js';
import {createZone, type Zone} from './zone-simulation.js';

const BOUND_MS = 2000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
/** Sizes of zones, each with the number of seeds that are played. */
const SIZES = [[5, 6], [25, 3], [100, 1]] as const;

/** Runs a zone until it has settled after its start. */
const startZone = (size: number, seed: number): Zone => {
  const zone = createZone({size, boundMs: BOUND_MS, seed});
  zone.run(4000);
  return zone;
};

const processesOf = (zone: Zone, indexes: readonly number[]) => indexes.map(index => zone.processes[index]!);

/** Processes that are made unable to read, by their rank. */
const faults: Array<{title: string; ranks: (size: number) => number[]}> = [
  {title: 'the store answers all', ranks: () => []},
  {title: 'the first reader hears nothing', ranks: () => [0]},
  {title: 'the first two readers hear nothing', ranks: () => [0, 1]},
  {title: 'all readers of the first groups hear nothing', ranks: size => Array.from({length: Math.min(16, size - 1)}, (_, rank) => rank)},
  {title: 'six tenths hear nothing, the first ones among them', ranks: size => Array.from({length: Math.floor(size * 0.6)}, (_, rank) => rank)},
  {title: 'all but the last one hear nothing', ranks: size => Array.from({length: size - 1}, (_, rank) => rank)},
];

const kinds = ['silent', 'refused', 'suspended', 'restarted'] as const;

for (const [size, seedCount] of SIZES) {
  for (const {title, ranks} of faults) {
    test(`${size} processes, ${title}: each one that reaches the store has a change within the bound`, t => {
      for (const seed of SEEDS.slice(0, seedCount)) {
        for (const kind of kinds) {
          const zone = startZone(size, seed);
          const failing = zone.ranked().slice(0, ranks(size).length);
          const sound = zone.ranked().slice(failing.length);
          for (const process of failing) {
            zone.fail(process, kind);
          }

          for (let change = 0; change < 4; change++) {
            zone.run(zone.random() * 1500);
            const version = zone.change();
            zone.run(BOUND_MS);
            const late = sound.filter(process => process.version < version);
            t.deepEqual(late.map(({name}) => name), [], `seed ${seed}, ${kind}, change ${change}`);
          }
        }
      }
    });
  }
}

for (const seed of SEEDS) {
  test(`processes lose and regain the store at random: none that has reached it for the stability time is late, seed ${seed}`, t => {
    const zone = startZone(25, seed);
    const random = createRandom(seed * 1000);
    const stabilityMs = 3000;
    const soundSince = new Map(zone.processes.map(({name}) => [name, zone.now()]));
    const due: Array<{version: number; at: number}> = [];
    for (let step = 0; step < 400; step++) {
      zone.run(100);
      const process = zone.processes[Math.floor(random() * zone.processes.length)]!;
      if (random() < 0.3) {
        if (process.failure === undefined) {
          zone.fail(process, kinds[Math.floor(random() * kinds.length)]!);
        } else {
          zone.recover(process);
        }
      }

      if (random() < 0.05) {
        due.push({version: zone.change(), at: zone.now() + BOUND_MS});
      }

      const inForce = Math.max(0, ...due.filter(({at}) => at <= zone.now()).map(({version}) => version));
      for (const {name, failure, version} of zone.processes) {
        if (failure !== undefined) {
          soundSince.set(name, zone.now());
        }

        t.false(zone.now() - soundSince.get(name)! >= stabilityMs && version < inForce, `${name} is late at ${zone.now()}`);
      }
    }
  });
}

test('without faults the calls to the store do not grow with the zone', t => {
  const callsPerSecond = [5, 25, 100, 400].map(size => {
    const zone = startZone(size, 1);
    const before = zone.calls();
    zone.run(10_000);
    return (zone.calls() - before) / 10;
  });
  t.true(Math.max(...callsPerSecond) <= 1000 / readingTimes(BOUND_MS).watchMs * 1.1, `calls per second: ${callsPerSecond.join(', ')}`);
});

const callCases: Array<{title: string; blindShare: number; perSecondMax: number}> = [
  // A few that take over and try once in a while, beside the one that reads.
  {title: 'six tenths of a zone cannot reach the store', blindShare: 0.6, perSecondMax: 12},
  // All processes of the zone together may try 50 times a second, each at least once a second.
  {title: 'nobody reaches the store', blindShare: 1, perSecondMax: 75},
];

for (const {title, blindShare, perSecondMax} of callCases) {
  test(`calls to the store while ${title}`, t => {
    const rates = [100, 400].map(size => {
      const zone = startZone(size, 2);
      for (const process of zone.ranked().slice(0, Math.round(size * blindShare))) {
        zone.fail(process, 'refused');
      }

      zone.run(10_000);
      const before = zone.calls();
      zone.run(10_000);
      return (zone.calls() - before) / 10;
    });
    // The second zone is four times as large; its calls are bounded for the zone as a whole.
    t.true(Math.max(...rates) <= perSecondMax * 2, `calls per second: ${rates.join(', ')}`);
    t.true(rates[1]! <= Math.max(perSecondMax, rates[0]! * 1.5), `calls per second: ${rates.join(', ')}`);
  });
}

test('a process that hears of no other one reads the store itself', t => {
  let time = 0;
  const readers = createStoreReaders({
    zone: 'z', self: 'a', incarnation: '1', now: () => time, times: readingTimes(BOUND_MS), onNews: () => undefined,
  });
  readers.setMembers(['a', ...Array.from({length: 38}, (_, index) => `host-${index}`)], true);
  time = BOUND_MS;
  t.true(readers.isReader());
});

test('a reading that reports a newer version than this process has does not count until the version has arrived', t => {
  const zone = startZone(5, 3);
  const [first, second] = zone.ranked();
  // All configuration messages are lost, so the news of readings must not keep this process from reading.
  zone.loseConfigurations(second!);
  for (const process of zone.ranked().slice(2)) {
    zone.fail(process, 'refused');
  }

  const version = zone.change();
  zone.run(BOUND_MS);
  t.deepEqual(processesOf(zone, [zone.processes.indexOf(first!), zone.processes.indexOf(second!)]).map(process => process.version), [version, version]);
});

test('the links that news of readings need are bounded', t => {
  let time = 0;
  const nodes = Array.from({length: 1000}, (_, index) => `host-${index}`);
  const readers = createStoreReaders({
    zone: 'z', self: 'host-1', incarnation: '1', now: () => time, times: readingTimes(BOUND_MS), onNews: () => undefined,
  });
  readers.setMembers(nodes, true);
  time = 5000;
  t.true(readers.contacts(() => 'unreachable').length <= 6);
  t.true(readers.contacts(() => 'open').length <= 6);
});
