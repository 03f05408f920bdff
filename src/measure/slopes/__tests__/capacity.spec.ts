/** Guards against a capacity page that does not match its figures file, and against errors in its estimates. */
import {readFileSync} from 'node:fs';
import test from 'ava';
import fc from 'fast-check';
import {createRandom} from '../../../shared/random.js';
import {hashObjects} from '../../../objects/configuration.js';
import {validateObjects} from '../../../objects/validation.js';
import {estimateBreakingPoints, estimateLimits, estimatePeaks} from '../capacity.js';
import {TARGET, valueAt, ZONE_MEMBERS} from '../capacity-costs.js';
import {estimateRoles} from '../role-estimates.js';
import {fitLine, median, type Point} from '../line-fit.js';
import {formatNumber} from '../format.js';
import {
  changeOneObject, createConfiguration, createEndpoints, createMemberRecords, createObjects, createSummaryEntries, REQUEST_KINDS_PER_SERVICE,
} from '../generators.js';
import {
  pagePath, readFigures, renderPage, renderSlopes, replaceSection,
} from '../page.js';
import type {CapacityFigures, Series} from '../series.js';
import {createSimulatedZone} from '../simulated-zone.js';

const isClose = (a: number, b: number): boolean => Math.abs(a - b) <= 1e-6 * Math.max(1, Math.abs(a), Math.abs(b));

const fitCases: Array<[title: string, points: Point[], slope: number, intercept: number, residual: number]> = [
  ['two points', [{size: 0, value: 3}, {size: 2, value: 7}], 2, 3, 0],
  ['a constant', [{size: 1, value: 5}, {size: 2, value: 5}, {size: 9, value: 5}], 0, 5, 0],
  ['points off the line', [{size: 0, value: 0}, {size: 1, value: 2}, {size: 2, value: 1}], 0.5, 0.5, Math.sqrt(0.5)],
];

for (const [title, points, slope, intercept, residual] of fitCases) {
  // A wrong slope would make every estimate on the page wrong.
  test(`fit › ${title}`, t => {
    const fit = fitLine(points);
    t.true(isClose(fit.slope, slope));
    t.true(isClose(fit.intercept, intercept));
    t.true(isClose(fit.residual, residual));
  });
}

test('fit › no line has a smaller squared error than the fitted one', t => {
  const value = fc.integer({min: -1000, max: 1000});
  fc.assert(fc.property(fc.array(value, {minLength: 3, maxLength: 8}), value, value, (values, dSlope, dIntercept) => {
    const points = values.map((item, size) => ({size, value: item}));
    const {slope, intercept} = fitLine(points);
    const error = (a: number, b: number): number => {
      let total = 0;
      for (const point of points) {
        total += (point.value - a - (b * point.size)) ** 2;
      }

      return total;
    };

    t.true(error(intercept, slope) <= error(intercept + (dIntercept / 100), slope + (dSlope / 100)) + 1e-3);
  }), {seed: 1, numRuns: 200});
});

test('fit › points of a single size are rejected', t => {
  t.throws(() => fitLine([{size: 1, value: 1}, {size: 1, value: 2}]), {instanceOf: RangeError});
  t.throws(() => fitLine([]), {instanceOf: RangeError});
});

test('median › is the middle value, or the mean of the two middle values', t => {
  t.is(median([9, 1, 5]), 5);
  t.is(median([4, 1, 3, 100]), 3.5);
});

// An invalid deployment would measure code paths that no process executes.
test('generators › objects are valid and have the given number', t => {
  const objects = createObjects(40, createRandom(1));
  t.is(validateObjects(objects).kind, 'ok');
  t.is(objects.filter(({kind}) => kind === 'Service').length, 40);
  t.is(objects.filter(({kind}) => kind === 'RequestKind').length, 40 * REQUEST_KINDS_PER_SERVICE);
});

test('generators › the same seed gives the same objects, another seed gives others', t => {
  t.deepEqual(createObjects(20, createRandom(3)), createObjects(20, createRandom(3)));
  t.notDeepEqual(createObjects(20, createRandom(3)), createObjects(20, createRandom(4)));
});

test('generators › changing one object changes the configuration, whose change log has the given length', t => {
  const objects = createObjects(10, createRandom(1));
  const changed = changeOneObject(objects, 2);
  t.is(changed.filter((object, index) => object !== objects[index]).length, 1);
  t.not(hashObjects(objects), hashObjects(changed));
  t.is(Object.keys(createConfiguration(objects, 1, 7).changes ?? {}).length, 7);
});

// Duplicate hosts or addresses would share an index entry, so the measured size would be smaller than the given one.
test('generators › endpoints, members and summaries have the given number of different hosts', t => {
  const endpoints = createEndpoints(2000, 30, createRandom(1));
  t.is(new Set(endpoints.map(({host}) => host)).size, 2000);
  t.is(new Set(endpoints.map(({address}) => address)).size, 2000);
  t.is(new Set(endpoints.map(({service}) => service)).size, 30);
  t.is(new Set(createMemberRecords(955, 'a').map(({address}) => address)).size, 955);
  t.is(createSummaryEntries(12, 'a').length, 12);
});

// Changes that do not reach the members would be measured as too cheap.
test('zone › a configuration reaches every member and a change of one member is propagated', t => {
  const random = createRandom(5);
  const zone = createSimulatedZone(12, random);
  zone.advance(3000);
  zone.publishConfiguration(createConfiguration(createObjects(3, random), 4));
  const {adoptedAtMs: adoptedAt} = zone.advance(5000);
  t.is(adoptedAt.length, 12);
  t.deepEqual(zone.configurationSequences(), Array.from({length: 12}, () => 4));
  const idle = zone.advance(5000).messages;
  zone.toggleDraining(3);
  t.true(zone.advance(5000).messages > idle);
});

const createSeries = (name: string, points: Point[]): Series => ({
  name, unit: 'ns', per: 'item', points, fit: fitLine(points),
});

test('capacity › a value is the measured one at its size, or else from the fitted line', t => {
  const figures = {series: [createSeries('cost', [{size: 0, value: 1}, {size: 10, value: 11}, {size: 20, value: 51}])]};
  t.is(valueAt(figures, 'cost', 20), 51);
  t.true(isClose(valueAt(figures, 'cost', 30), -4 + (2.5 * 30)));
  t.throws(() => valueAt(figures, 'absent', 1), {message: /absent/u});
});

/** Figures in which every series has the same constant value. */
const constantFigures = (value: number): CapacityFigures => {
  const figures = readFigures();
  const points = [{size: 1, value}, {size: 2, value}];
  return {...figures, residentBytesAtStart: 0, series: figures.series.map(({name}) => createSeries(name, points))};
};

// Guards against estimates that ignore a measured cost: zero costs must give zero, and doubled costs must double the estimate.
test('capacity › estimates are proportional to the measured costs', t => {
  const excludedNames = new Set(['calls', 'memory-bounded', 'platform-writes']);
  const [none, once, twice] = [0, 1000, 2000].map(value => estimateRoles(constantFigures(value)));
  for (const [index, {name, value}] of once!.entries()) {
    if (!excludedNames.has(name) && !name.startsWith('control-') && name !== 'relay-bytes' && !name.startsWith('bytes-') && name !== 'aggregator-bytes') {
      t.is(none![index]!.value, 0, `estimate ${name}`);
      t.true(isClose(twice![index]!.value, value * 2), `estimate ${name}`);
    }

    t.true(twice![index]!.value >= value, `estimate ${name}`);
  }
});

test('capacity › the numbers of calls and members follow from the target', t => {
  t.is(ZONE_MEMBERS, Math.ceil(TARGET.hosts / TARGET.zones));
  t.is(estimateRoles(readFigures()).find(({name}) => name === 'calls')?.value, TARGET.callsPerSecond / TARGET.hosts);
});

// A change that seems to save messages or time was measured before the zone had settled after its start.
test('capacity › no estimate is negative', t => {
  const quantities = [
    ...estimateRoles(readFigures()).map(({name, value}) => ({name, value})),
    ...estimateLimits(readFigures()).map(({limit, estimate}) => ({name: limit, value: estimate})),
    ...estimateBreakingPoints(readFigures()).map(({size, value}) => ({name: size, value})),
    ...estimatePeaks(readFigures()).map(({quantity, value}) => ({name: quantity, value})),
  ];
  const changes = readFigures().series
    .filter(({name}) => /-change-(?:messages|bytes|processor)$/u.test(name))
    .map(({name}) => ({name, value: valueAt(readFigures(), name, ZONE_MEMBERS)}));
  t.is(changes.length, 9);
  t.deepEqual([...quantities, ...changes].filter(({value}) => value < 0), []);
});

test('capacity › a missed limit is shown as missed', t => {
  const page = renderPage(readFileSync(pagePath, 'utf8'), readFigures());
  for (const {limit, allowed, estimate} of estimateLimits(readFigures())) {
    const row = page.split('\n').find(line => line.startsWith(`| ${limit} |`));
    t.is(row?.includes('**missed'), estimate > allowed, `limit ${limit}`);
  }
});

test('page › numbers have four significant digits', t => {
  t.deepEqual([12_345.6, 0.012_345, 0, 999_960].map(value => formatNumber(value)), ['12,350', '0.01235', '0', '1,000,000']);
});

test('page › only the content between the markers of a section is replaced', t => {
  const page = 'a\n<!-- begin x -->\nold\n<!-- end x -->\nb';
  t.is(replaceSection(page, 'x', 'new'), 'a\n<!-- begin x -->\n\nnew\n\n<!-- end x -->\nb');
  t.throws(() => replaceSection(page, 'y', 'new'), {message: /markers/u});
});

test('page › docs/CAPACITY.md matches docs/capacity-figures.json; if not, run `npm run docs:capacity`', t => {
  const page = readFileSync(pagePath, 'utf8');
  t.is(page, renderPage(page, readFigures()));
  t.true(page.includes(renderSlopes(readFigures())));
});

// Guards against a figures file whose lines were edited by hand.
test('page › every line in the figures file is the fit of its points', t => {
  for (const {name, points, fit} of readFigures().series) {
    const again = fitLine(points);
    t.true(isClose(again.slope, fit.slope) && isClose(again.intercept, fit.intercept) && isClose(again.residual, fit.residual), `series ${name}`);
  }
});

// Readers look up the series that an estimate names in the table of series.
test('page › every series that an estimate names has a row', t => {
  const names = readFigures().series.map(({name}) => name);
  const rows = [...estimateRoles(readFigures()), ...estimateLimits(readFigures()), ...estimatePeaks(readFigures()), ...estimateBreakingPoints(readFigures())];
  const named = rows
    .flatMap(({basis}) => [...basis.matchAll(/`([a-z-]+)(\*?)`/gu)])
    .map(([, name, wildcard]) => ({name: name!, wildcard: wildcard !== ''}));
  const roles = new Set(estimateRoles(readFigures()).map(({name}) => name));
  const prefixes = new Set(['control-', 'memory-', 'bytes-']);
  for (const {name, wildcard} of named) {
    t.true(wildcard ? prefixes.has(name) || names.some(candidate => candidate.startsWith(name)) : names.includes(name) || roles.has(name), `name ${name}`);
  }
});
