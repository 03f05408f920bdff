/** Shows for each guard of the loans and permits a failure in which more would be granted without it; the guard is taken out in the simulation only. */
import test from 'ava';
import {createSimulation, type LimitMessage, type SimulationOptions} from './fleet-simulation.js';

const PROCESSES = 12;
const fleet: SimulationOptions = {
  seed: 3, zones: 3, processes: PROCESSES, limits: {w: {ratePerS: 100, burst: 100}},
};
/** Time after which all processes of a zone use the same coordinator, also when they lend without a wait. */
const WARM_UP_MS = 8000;
/** Sum of the counted fractions above which limits are exceeded; it allows for rounding. */
const SUM_MAX = 1.000_001;

/** Counts loans from their arrival, as if the coordinator took its own clock for the echoed one. */
const withoutEcho = (message: LimitMessage, _from: string, _to: string, receiverClock: number): LimitMessage =>
  message.type === 'permits-wanted' && message.loan !== undefined ? {...message, loan: {...message.loan, echoedClock: receiverClock}} : message;

/** Lends to every coordinator that is polled and has answered before, whether or not the fraction still counts elsewhere. */
const withoutLenderCount = () => {
  const clocks = new Map<string, number>();
  return (message: LimitMessage, from: string, to: string): LimitMessage => {
    if (message.type === 'permits') {
      clocks.set(`${to}|${from}`, message.clock);
      return message;
    }

    return {...message, loan: message.loan ?? {fraction: 1 / PROCESSES, echoedClock: clocks.get(`${from}|${to}`)}};
  };
};

const cases: Array<{title: string; withoutGuard: Partial<SimulationOptions>; run: (options: SimulationOptions) => Promise<number>}> = [
  {
    title: 'the echoed clock: polls that a suspended coordinator reads late lend nothing',
    withoutGuard: {tamper: withoutEcho},
    async run(options) {
      const simulation = createSimulation(options);
      await simulation.run(WARM_UP_MS);
      simulation.suspend(simulation.coordinatorOf('p0')!, 3500);
      await simulation.run(6000);
      return simulation.lentMax();
    },
  },
  {
    title: 'the wait after a start: a process that restarts does not lend again what it has lent before',
    withoutGuard: {skipsStartWait: true},
    async run(options) {
      const simulation = createSimulation(options);
      await simulation.run(WARM_UP_MS);
      const coordinator = simulation.coordinatorOf('p0')!;
      simulation.cutProcess(coordinator);
      for (const name of simulation.names().filter(each => each !== coordinator && simulation.zoneOf(each) === simulation.zoneOf('p0'))) {
        simulation.restart(name, 20);
      }

      await simulation.run(3000);
      return simulation.lentMax();
    },
  },
  {
    title: 'the lender\'s own count: a fraction is not lent to the next coordinator while it may count at the last one',
    withoutGuard: {tamper: withoutLenderCount()},
    async run(options) {
      const simulation = createSimulation(options);
      await simulation.run(WARM_UP_MS);
      simulation.restart(simulation.coordinatorOf('p0')!, 1500);
      await simulation.run(10_000);
      return simulation.lentMax();
    },
  },
];

for (const {title, withoutGuard, run} of cases) {
  test(title, async t => {
    const guarded = await run(fleet);
    const unguarded = await run({...fleet, ...withoutGuard});
    t.log({guarded, unguarded});
    t.true(guarded > 0.95, 'the fractions are lent');
    t.true(guarded <= SUM_MAX);
    t.true(unguarded > SUM_MAX);
  });
}

test('the clock: a process that was suspended uses no permits from before when requests are handled before its next tick', async t => {
  const run = async (clockOf: SimulationOptions['clockOf']): Promise<number> => {
    const simulation = createSimulation({...fleet, clockOf});
    await simulation.run(WARM_UP_MS);
    const stop = simulation.load('w', 60, () => 'p5');
    await simulation.run(3000);
    stop();
    simulation.cutProcess('p5');
    simulation.suspend('p5', 2000);
    await simulation.run(2000);
    simulation.resetCounts();
    for (let index = 0; index < 5; index++) {
      simulation.request('p5', 'w');
    }

    await simulation.run(6);
    return simulation.counts().used;
  };

  t.is(await run(undefined), 0);
  t.true(await run(({now, suspendedMs}) => () => now() - suspendedMs()) > 0);
});
