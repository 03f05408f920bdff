/** Guards against shares that follow from old reports, or from the part of a service that happens to report. */
import test from 'ava';
import type {ReportedDemand} from '../demand-tracker.js';
import {
  addServiceDemands, estimateServiceDemand, REPORT_AGE_MAX_MS, type DemandSample,
} from '../service-demand.js';

const report = (heaviest: Record<string, number>, others = 0, count = 0): ReportedDemand => ({
  heaviest: Object.entries(heaviest).map(([workspace, demand]) => ({workspace, total: demand, fresh: demand})), others: {total: others, fresh: others, count},
});

const cases: Array<{title: string; samples: DemandSample[]; counts?: Array<[string, number]>; named: Record<string, number> | undefined; othersMean?: number; othersCount?: number}> = [
  {
    title: 'the reports of all backend servers add up', samples: [{zone: 'a', demand: report({x: 100}, 20, 2), ageMs: 0}, {zone: 'b', demand: report({x: 50}, 40, 2), ageMs: 100}], named: {x: 150}, othersMean: 30, othersCount: 2,
  },
  {
    title: 'a process of an earlier version is represented by the others of its zone', samples: [{zone: 'a', demand: report({x: 100}), ageMs: 0}, {zone: 'a', demand: undefined, ageMs: 0}], counts: [['a', 2]], named: {x: 200},
  },
  {
    title: 'an old report does not count', samples: [{zone: 'a', demand: report({x: 100}), ageMs: 0}, {zone: 'b', demand: report({x: 900}), ageMs: REPORT_AGE_MAX_MS + 1}], named: {x: 100},
  },
  {
    title: 'a name that one report lists has the mean of the others in a report that does not list it', samples: [{zone: 'a', demand: report({x: 100}, 0, 0), ageMs: 0}, {zone: 'b', demand: report({y: 80}, 30, 3), ageMs: 0}], named: {x: 110, y: 80}, othersMean: 10, othersCount: 2,
  },
  {title: 'without a report, the demand is unknown', samples: [{zone: 'a', demand: undefined, ageMs: 0}], named: undefined},
  {title: 'with old reports only, the demand is unknown', samples: [{zone: 'a', demand: report({x: 1}), ageMs: REPORT_AGE_MAX_MS + 1}], named: undefined},
];

for (const {title, samples, counts = [], named, othersMean = 0, othersCount = 0} of cases) {
  test(title, t => {
    const demand = estimateServiceDemand(samples, new Map(counts));
    t.deepEqual(demand === undefined ? undefined : Object.fromEntries([...demand.named].map(([name, {total}]) => [name, total])), named);
    t.is(demand?.others.mean.total ?? 0, othersMean);
    t.is(demand?.others.count ?? 0, othersCount);
  });
}

test('the number of workspaces that are known by name is bounded, and nothing is lost', t => {
  const samples = Array.from({length: 50}, (_, index) => ({
    zone: 'a', ageMs: 0, demand: report(Object.fromEntries(Array.from({length: 8}, (_, place) => [`w${index}-${place}`, 10 + index])), 100, 20),
  }));
  const {named, others} = estimateServiceDemand(samples, new Map())!;
  t.is(named.size, 32);
  const total = [...named.values()].reduce((sum, demand) => sum + demand.total, others.mean.total * Math.max(1, others.count));
  const expected = samples.reduce((sum, {demand}) => sum + demand.others.total + demand.heaviest.reduce((part, {total}) => part + total, 0), 0);
  t.true(Math.abs(total - expected) < 1e-6 * expected, `${total} of ${expected}`);
});

test('the demand for several services adds up', t => {
  const one = estimateServiceDemand([{zone: 'a', demand: report({x: 100, y: 10}, 20, 2), ageMs: 5}], new Map())!;
  const other = estimateServiceDemand([{zone: 'a', demand: report({x: 50}, 40, 4), ageMs: 50}], new Map())!;
  const {named, others, ageMs} = addServiceDemands([one, other])!;
  t.deepEqual([named.get('x')!.total, named.get('y')!.total, others.mean.total, others.count, ageMs], [150, 10, 15, 4, 50]);
  t.is(addServiceDemands([]), undefined);
});
