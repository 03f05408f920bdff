/** Guards against more requests of a workspace in a window than its limit allows, whatever fails meanwhile. */
import test from 'ava';
import fc from 'fast-check';
import {createRandom} from '../../../shared/random.js';
import {createSimulation, type Simulation} from './fleet-simulation.js';

const limits = {small: {ratePerS: 4, burst: 4}, bare: {ratePerS: 40, burst: 0}, large: {ratePerS: 200, burst: 200}};
const lowered = {small: {ratePerS: 2, burst: 0}, bare: {ratePerS: 20, burst: 0}, large: {ratePerS: 60, burst: 20}};
const raised = {small: {ratePerS: 8, burst: 0}, bare: {ratePerS: 60, burst: 30}, large: {ratePerS: 300, burst: 100}};

/** Time in which few requests arrive before each of the overloads, so that the buckets are full, in milliseconds. */
const PAUSE_MS = 1500;

type Step = {kind: 'cut-zone' | 'cut-process' | 'heal' | 'suspend' | 'restart' | 'restart-all' | 'add' | 'remove' | 'lower' | 'raise'; at: number; pick: number; milliseconds: number};

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('cut-zone', 'cut-process', 'heal', 'suspend', 'suspend', 'restart', 'restart', 'restart-all', 'add', 'remove', 'lower', 'raise'),
  at: fc.nat(14_000),
  pick: fc.nat(1_000_000),
  milliseconds: fc.integer({min: 50, max: 4000}),
});

const apply = (simulation: Simulation, zones: number, {kind, pick, milliseconds}: Step): void => {
  const names = simulation.names();
  const name = names[pick % names.length]!;
  switch (kind) {
    case 'cut-zone': {
      simulation.cutZone(`z${pick % zones}`);
      return;
    }

    case 'cut-process': {
      simulation.cutProcess(name);
      return;
    }

    case 'heal': {
      simulation.heal();
      return;
    }

    case 'suspend': {
      simulation.suspend(name, milliseconds);
      return;
    }

    case 'restart': {
      simulation.restart(name, milliseconds / 10);
      return;
    }

    case 'restart-all': {
      for (const each of names) {
        simulation.restart(each, milliseconds / 10);
      }

      return;
    }

    case 'add': {
      simulation.add(`z${pick % zones}`);
      return;
    }

    case 'remove': {
      simulation.remove(name);
      return;
    }

    case 'lower':
    case 'raise': {
      simulation.setLimits(kind === 'lower' ? lowered : raised, 2500);
    }
  }
};

const overload = (simulation: Simulation, seed: number, factor: number): void => {
  const random = createRandom(seed);
  for (const [workspace, {ratePerS}] of Object.entries(limits)) {
    simulation.load(workspace, ratePerS * factor, () => {
      const names = simulation.names();
      const first = Math.floor(simulation.now() / 700) % names.length;
      // Half of the requests arrive at a process that changes, the others anywhere.
      return random() < 0.5 ? names[first]! : names[Math.floor(random() * names.length)]!;
    }, () => simulation.now() % 8000 < PAUSE_MS ? 0.05 : 1.5);
  }
};

for (const {processes, runs} of [{processes: 4, runs: 12}, {processes: 13, runs: 12}, {processes: 40, runs: 5}]) {
  test(`${processes} processes stay within the bound over cuts, suspensions, restarts, and changes of members and limits`, async t => {
    let worst = 0;
    await fc.assert(fc.asyncProperty(
      fc.integer({min: 1, max: 1_000_000}),
      fc.integer({min: 3, max: 4}),
      fc.constantFrom({lost: 0, doubled: 0, late: 0}, {lost: 0.02, doubled: 0.05, late: 0.02}, {lost: 0.1, doubled: 0.3, late: 0.2}),
      fc.array(stepArbitrary, {minLength: 1, maxLength: 12}),
      async (seed, zones, faults, steps) => {
        const simulation = createSimulation({
          seed, zones, processes, limits, faults,
        });
        overload(simulation, seed, 3);
        for (const step of [...steps].sort((a, b) => a.at - b.at)) {
          await simulation.run(Math.max(0, step.at - simulation.now())); // eslint-disable-line no-await-in-loop
          apply(simulation, zones, step);
        }

        await simulation.run(20_000 - simulation.now());
        const {share, used, bound} = simulation.worst();
        worst = Math.max(worst, share);
        if (share > 1) {
          t.log({
            share, used, bound, steps,
          });
        }

        return share <= 1;
      },
    ), {seed: 20_261, numRuns: runs, endOnFailure: true});
    t.log({worst: worst.toFixed(3)});
    t.pass();
  });
}

test('300 processes stay within the bound when a zone is cut off, all are killed, and the limits are lowered', async t => {
  const simulation = createSimulation({
    seed: 7, zones: 4, processes: 300, limits, faults: {lost: 0.01, doubled: 0.02, late: 0.02},
  });
  overload(simulation, 7, 3);
  await simulation.run(5000);
  simulation.cutZone('z1');
  await simulation.run(3000);
  for (const name of simulation.names()) {
    simulation.restart(name, 200);
  }

  await simulation.run(4000);
  simulation.heal();
  simulation.setLimits(lowered, 2500);
  await simulation.run(8000);
  t.log(simulation.worst());
  t.true(simulation.worst().share <= 1);
});
