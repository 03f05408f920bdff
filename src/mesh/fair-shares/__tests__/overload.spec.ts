/**
Guards against a workspace that takes the capacity of all others when a service has too little of it.
Each load runs with the rule without workspaces and with fair shares; the first one has to fail what the second one keeps.
*/
import test from 'ava';
import {simulateOverload, type SimulationOptions, type SimulationResult} from './overload-simulation.js';

/** Served share of the requests of workspaces that ask for less than their share. */
const OTHERS_SHARE_MIN = 0.95;
/** The same while shares are learnt, when the refusal level overshoots, and for clients that retry at once, whose demand is known less exactly. */
const OTHERS_SHARE_UNSETTLED_MIN = 0.85;
/** How much less of the requests of the smallest of them may be served; a few dozen of them are counted. */
const SMALLEST_SHARE_GAP = 0.25;
/** Served share of the heaviest workspaces relative to that of all requests. */
const SHARE_OF_ALL_MIN = 0.25;
/** Served share of a workspace whose clients retry at once relative to that of its equals; above 1, since its demand changes faster than its average. */
const ADVANTAGE_MAX = 1.125;
/** Served requests relative to the rule without workspaces. */
const TOTAL_MIN = 0.85;

const isHeavy = (name: string): boolean => name.startsWith('heavy');
const isOther = (name: string): boolean => !isHeavy(name);

/** Workspaces that send `ratePerS` together. */
const equalWorkspaces = (count: number, ratePerS: number) => Array.from({length: count}, (_, index) => ({name: `w${index}`, ratePerS: ratePerS / count}));

const FIVE_TIMES = [{name: 'heavy', ratePerS: 450}, ...equalWorkspaces(79, 210)];

type Load = Omit<SimulationOptions, 'rule' | 'overloaded'>;

const describe = (result: SimulationResult): string => {
  const toPercent = (share: number): string => `${Math.round(share * 100)} %`;
  return `heavy ${toPercent(result.shareOf(isHeavy))}, smallest ${toPercent(result.smallestShare(isOther))}, all others ${toPercent(result.shareOf(isOther))}, all ${toPercent(result.shareOf(() => true))}, ${Math.round(result.servedPerS)} a second`;
};

const keepsOthers = (result: SimulationResult, othersMin = OTHERS_SHARE_MIN): boolean => result.shareOf(isOther) >= othersMin && result.smallestShare(isOther) >= othersMin - SMALLEST_SHARE_GAP;

const loads: Array<{title: string; load: Load; hasOwnCapacity?: boolean; othersMin?: number}> = [
  {title: 'one of 80 workspaces sends five times its usual load', load: {workspaces: FIVE_TIMES}},
  {title: 'three of 80 workspaces send five times their usual load', load: {workspaces: [...[0, 1, 2].map(index => ({name: `heavy${index}`, ratePerS: 150})), ...equalWorkspaces(77, 210)]}},
  {
    title: 'the clients of one that sends twice its share retry at once',
    load: {workspaces: [{name: 'heavy', ratePerS: 150, retriesAtOnce: true}, ...equalWorkspaces(8, 320)]},
    othersMin: OTHERS_SHARE_UNSETTLED_MIN,
  },
  {title: 'twenty with one request a second beside one with five hundred', load: {workspaces: [{name: 'heavy', ratePerS: 500}, ...equalWorkspaces(20, 20)]}},
  {title: 'one sends as many requests as others, but each takes five times as long', load: {workspaces: [{name: 'heavy', ratePerS: 60, serviceMs: 500}, ...equalWorkspaces(5, 200)]}},
  {title: 'a zone is cut off with the clients of the heavy one in it', load: {workspaces: [{name: 'heavy', ratePerS: 450, zone: 'a'}, ...equalWorkspaces(79, 210)], cut: {zone: 'a', fromMs: 3000}}, hasOwnCapacity: true},
  {title: 'two seconds after all processes were restarted', load: {workspaces: FIVE_TIMES, restartAtMs: 8000, countedFromS: 10}, othersMin: OTHERS_SHARE_UNSETTLED_MIN},
  {title: 'two seconds after a second heavy one appeared', load: {workspaces: [...FIVE_TIMES, {name: 'heavy2', ratePerS: 250, fromMs: 8000}], countedFromS: 10}},
  {title: 'reports that are 200 ms late', load: {workspaces: FIVE_TIMES, reportDelayMs: 200}},
  {title: 'half of the processes are of an earlier version', load: {workspaces: FIVE_TIMES, reportsDemand: index => index % 2 === 0}},
];

for (const overloaded of ['below', 'first'] as const) {
  for (const {title, load, hasOwnCapacity, othersMin} of loads) {
    test(`${title}, overloaded service: ${overloaded}`, t => {
      const today = simulateOverload({...load, overloaded, rule: 'today'});
      const fair = simulateOverload({...load, overloaded, rule: 'fair'});
      const figures = `today: ${describe(today)}; fair: ${describe(fair)}`;
      t.log(figures);
      t.false(keepsOthers(today, othersMin), figures);
      t.true(keepsOthers(fair, othersMin), figures);
      // Those in the part that is cut off have another capacity than all others.
      t.true(hasOwnCapacity === true || fair.shareOf(isHeavy) >= SHARE_OF_ALL_MIN * fair.shareOf(() => true), figures);
      t.true(fair.servedPerS >= TOTAL_MIN * today.servedPerS, figures);
    });
  }
}

test('a workspace whose clients retry at once gets no more than its equals, within an eighth', t => {
  const workspaces = [{name: 'heavy', ratePerS: 60, retriesAtOnce: true}, ...equalWorkspaces(7, 420)];
  const today = simulateOverload({workspaces, rule: 'today'});
  const fair = simulateOverload({workspaces, rule: 'fair'});
  const advantage = (result: SimulationResult): number => result.shareOf(isHeavy) / result.shareOf(isOther);
  const figures = `today: ${describe(today)}; fair: ${describe(fair)}`;
  t.log(figures);
  t.true(advantage(today) > ADVANTAGE_MAX, figures);
  t.true(advantage(fair) <= ADVANTAGE_MAX, figures);
});

const WITHOUT_OVERLOAD = [{name: 'heavy', ratePerS: 90}, ...equalWorkspaces(79, 210)];

test('without an overload, nothing is refused', t => {
  const fair = simulateOverload({workspaces: WITHOUT_OVERLOAD, rule: 'fair'});
  t.log(describe(fair));
  t.true(fair.shareOf(() => true) >= 0.999);
});

const unknownCases: Array<{title: string; load: Load}> = [
  {title: 'no process reports the demand', load: {workspaces: FIVE_TIMES, reportsDemand: () => false}},
  {title: 'reports are two seconds late', load: {workspaces: FIVE_TIMES, reportDelayMs: 2000}},
];

for (const {title, load} of unknownCases) {
  test(`${title}: others are served no worse than without workspaces`, t => {
    const today = simulateOverload({...load, rule: 'today'});
    const fair = simulateOverload({...load, rule: 'fair'});
    const figures = `today: ${describe(today)}; fair: ${describe(fair)}`;
    t.log(figures);
    t.true(fair.shareOf(isOther) >= 0.9 * today.shareOf(isOther), figures);
  });
}
