/** Guards against a division of capacity that refuses more than needed, or refuses workspaces that ask for little instead of those that ask for much. */
import fc from 'fast-check';
import test from 'ava';
import {
  divideCapacity, minimumAmount, SHARE_OF_MEAN_MIN, WORKSPACE_SHARE_MIN, type Demand, type WorkspaceDemands,
} from '../workspace-shares.js';

const TOLERANCE = 1e-6;
const RUNS = 1000;

const withoutRetries = (demand: number): Demand => ({total: demand, fresh: demand});

const NO_OTHERS = {mean: withoutRetries(0), count: 0};

const demandsOf = (demands: readonly Demand[], others = NO_OTHERS): WorkspaceDemands =>
  ({named: new Map(demands.map((demand, index) => [`w${index}`, demand])), others});

const freshTotal = ({named, others}: WorkspaceDemands): number => [...named.values()].reduce((sum, {fresh}) => sum + fresh, others.mean.fresh * others.count);

/** Demand in thousandths of a millisecond per second, finer than reports state it; numbers near the smallest that a double holds have no exact quotients. */
const arbitraryAmount = (max: number) => fc.nat(max * 1000).map(amount => amount / 1000);
const arbitraryDemand = (max: number) => fc.record({total: arbitraryAmount(max), freshPart: fc.nat(1000)})
  .map(({total, freshPart}): Demand => ({total, fresh: total * freshPart / 1000}));
const arbitraryDemands = fc.record({
  named: fc.array(arbitraryDemand(100_000), {maxLength: 40}),
  others: fc.record({mean: arbitraryDemand(1000), count: fc.nat(10_000)}),
}).map(({named, others}) => demandsOf(named, others));
const arbitraryShare = fc.double({min: 0.1, max: 1, noNaN: true});

const cases: Array<{title: string; demands: WorkspaceDemands; admittedShare: number; named: number[]; others: number}> = [
  {
    title: 'with capacity for all, nothing is refused', demands: demandsOf([{total: 100, fresh: 10}, withoutRetries(1)], {mean: withoutRetries(1), count: 5}), admittedShare: 1, named: [1, 1], others: 1,
  },
  {
    title: 'one that asks for most bears the whole refusal', demands: demandsOf([withoutRetries(100), withoutRetries(20)], {mean: withoutRetries(1), count: 30}), admittedShare: 0.6, named: [0.4, 1], others: 1,
  },
  {
    title: 'equal demands get equal shares', demands: demandsOf([withoutRetries(50), withoutRetries(50)], {mean: withoutRetries(50), count: 2}), admittedShare: 0.7, named: [0.7, 0.7], others: 0.7,
  },
  {
    title: 'retries do not raise the amount that a workspace gets', demands: demandsOf([{total: 200, fresh: 50}, withoutRetries(50)]), admittedShare: 0.7, named: [35 / 200, 0.7], others: 1,
  },
  {
    title: 'one that asks for nearly everything keeps its minimum share', demands: demandsOf([withoutRetries(200)], {mean: withoutRetries(10), count: 80}), admittedShare: 0.5, named: [0.15], others: 470 / 800,
  },
  {
    title: 'the minimum share is one of the requests without retries', demands: demandsOf([{total: 800, fresh: 200}], {mean: withoutRetries(10), count: 80}), admittedShare: 0.5, named: [30 / 800], others: 470 / 800,
  },
  {
    title: 'without any demand, nothing is refused', demands: demandsOf([withoutRetries(0)]), admittedShare: 0.5, named: [1], others: 1,
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
  fc.assert(fc.property(arbitraryDemands, arbitraryShare.filter(share => share < 1), (demands, admittedShare) => {
    const {named, others} = divideCapacity(demands, admittedShare);
    const admitted = [...demands.named].reduce((sum, [name, {total}]) => sum + (total * named.get(name)!), demands.others.mean.total * demands.others.count * others);
    const capacity = freshTotal(demands) * admittedShare;
    return Math.abs(admitted - capacity) <= TOLERANCE * Math.max(1, capacity);
  }), {numRuns: RUNS});
  t.pass();
});

test('nobody gets more than one that asks for less and is refused, apart from the minimum', t => {
  fc.assert(fc.property(arbitraryDemands, arbitraryShare, (demands, admittedShare) => {
    const {named} = divideCapacity(demands, admittedShare);
    const admitted = [...demands.named].map(([name, demand]) => ({
      demand, share: named.get(name)!, amount: demand.total * named.get(name)!, minimum: minimumAmount(demand, admittedShare),
    }));
    return admitted.every(more => admitted.every(less =>
      more.demand.total <= less.demand.total || less.share === 1 || more.amount <= Math.max(less.amount, more.minimum) * (1 + TOLERANCE)));
  }), {numRuns: RUNS});
  t.pass();
});

test('without retries, the admitted share falls with the demand', t => {
  fc.assert(fc.property(fc.array(arbitraryAmount(100_000), {minLength: 2, maxLength: 40}), arbitraryShare, (amounts, admittedShare) => {
    const demands = demandsOf(amounts.map(amount => withoutRetries(amount)));
    const shares = [...divideCapacity(demands, admittedShare).named.values()];
    return amounts.every((more, index) => amounts.every((less, other) => more <= less || shares[index]! <= shares[other]! + TOLERANCE));
  }), {numRuns: RUNS});
  t.pass();
});

test('a workspace below the level is admitted in full, and every one with at least the minimum', t => {
  fc.assert(fc.property(arbitraryDemands, arbitraryShare, (demands, admittedShare) => {
    const {level, named, others} = divideCapacity(demands, admittedShare);
    const shareMin = Math.min(admittedShare, Math.max(WORKSPACE_SHARE_MIN, SHARE_OF_MEAN_MIN * admittedShare));
    const isKept = ({total, fresh}: Demand, share: number): boolean =>
      share >= 0 && share <= 1 && share * total >= shareMin * fresh * (1 - TOLERANCE) && (total > level || share === 1);
    return [...demands.named].every(([name, demand]) => isKept(demand, named.get(name)!)) && isKept(demands.others.mean, others);
  }), {numRuns: RUNS});
  t.pass();
});
