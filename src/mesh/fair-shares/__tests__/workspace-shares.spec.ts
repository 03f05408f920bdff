/** Guards against a division of capacity that refuses more than needed, or refuses workspaces that ask for little instead of those that ask for much. */
import fc from 'fast-check';
import test from 'ava';
import {
  divideCapacity, minimumShare, SHARE_OF_MEAN_MIN, WORKSPACE_SHARE_MIN, type WorkspaceDemands,
} from '../workspace-shares.js';

const TOLERANCE = 1e-6;

const demandsOf = (demands: readonly number[], others = {meanDemand: 0, count: 0}): WorkspaceDemands =>
  ({named: new Map(demands.map((demand, index) => [`w${index}`, demand])), others});

const totalDemand = ({named, others}: WorkspaceDemands): number => [...named.values()].reduce((sum, demand) => sum + demand, others.meanDemand * others.count);

const arbitraryDemands = fc.record({
  named: fc.array(fc.double({min: 0, max: 100_000, noNaN: true}), {maxLength: 40}),
  others: fc.record({meanDemand: fc.double({min: 0, max: 1000, noNaN: true}), count: fc.nat(10_000)}),
}).map(({named, others}) => demandsOf(named, others));
const arbitraryShare = fc.double({min: 0.1, max: 1, noNaN: true});

const cases: Array<{title: string; demands: WorkspaceDemands; admittedShare: number; named: number[]; others: number}> = [
  {
    title: 'with capacity for all, nothing is refused', demands: demandsOf([100, 1], {meanDemand: 1, count: 5}), admittedShare: 1, named: [1, 1], others: 1,
  },
  {
    title: 'one that asks for most bears the whole refusal', demands: demandsOf([100, 20], {meanDemand: 1, count: 30}), admittedShare: 0.6, named: [0.4, 1], others: 1,
  },
  {
    title: 'equal demands get equal shares', demands: demandsOf([50, 50], {meanDemand: 50, count: 2}), admittedShare: 0.7, named: [0.7, 0.7], others: 0.7,
  },
  {
    title: 'one that asks for nearly everything keeps its minimum share', demands: demandsOf([200], {meanDemand: 10, count: 80}), admittedShare: 0.5, named: [0.15], others: 470 / 800,
  },
  {
    title: 'without any demand, nothing is refused', demands: demandsOf([0], {meanDemand: 0, count: 0}), admittedShare: 0.5, named: [1], others: 1,
  },
];

for (const {title, demands, admittedShare, named, others} of cases) {
  test(title, t => {
    const shares = divideCapacity(demands, admittedShare);
    for (const [index, expected] of named.entries()) {
      t.true(Math.abs(shares.named.get(`w${index}`)! - expected) < TOLERANCE, `share of w${index}: ${shares.named.get(`w${index}`)}`);
    }

    t.true(Math.abs(shares.others - others) < TOLERANCE, `share of the others: ${shares.others}`);
  });
}

test('the sum that is admitted equals the total', t => {
  fc.assert(fc.property(arbitraryDemands, arbitraryShare, (demands, admittedShare) => {
    const {named, others} = divideCapacity(demands, admittedShare);
    const admitted = [...demands.named].reduce((sum, [name, demand]) => sum + (demand * named.get(name)!), demands.others.meanDemand * demands.others.count * others);
    const total = totalDemand(demands) * admittedShare;
    return Math.abs(admitted - total) <= TOLERANCE * Math.max(1, total);
  }));
  t.pass();
});

test('nobody gets more than one that asks for less and is refused, apart from the minimum share', t => {
  fc.assert(fc.property(arbitraryDemands, arbitraryShare, (demands, admittedShare) => {
    const {named} = divideCapacity(demands, admittedShare);
    const shareMin = minimumShare(admittedShare);
    const admitted = [...demands.named].map(([name, demand]) => ({demand, amount: demand * named.get(name)!, share: named.get(name)!}));
    return admitted.every(more => admitted.every(less =>
      more.demand <= less.demand
      || (more.share <= less.share + TOLERANCE && (less.share === 1 || more.amount <= Math.max(less.amount, shareMin * more.demand) * (1 + TOLERANCE)))));
  }));
  t.pass();
});

test('a workspace below the level is admitted in full, and every one at least with the minimum share', t => {
  fc.assert(fc.property(arbitraryDemands, arbitraryShare, (demands, admittedShare) => {
    const {level, named, others} = divideCapacity(demands, admittedShare);
    const floor = Math.min(admittedShare, Math.max(WORKSPACE_SHARE_MIN, SHARE_OF_MEAN_MIN * admittedShare));
    return [...demands.named].every(([name, demand]) => named.get(name)! >= floor && named.get(name)! <= 1 && (demand > level || named.get(name) === 1))
      && others >= floor && others <= 1 && (demands.others.meanDemand > level || others === 1);
  }));
  t.pass();
});
