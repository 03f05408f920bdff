/** Renders and writes the generated sections of docs/CAPACITY.md. */
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {
  renderBreakingPoints, renderLimits, renderPeaks, renderRoles,
} from './capacity.js';
import {formatNumber} from './format.js';
import {capacityFiguresSchema, type CapacityFigures, type Series} from './series.js';

/** File with the figures of the last measurement. */
export const figuresPath = fileURLToPath(new URL('../../../docs/capacity-figures.json', import.meta.url));
/** Page that the figures are written into. */
export const pagePath = fileURLToPath(new URL('../../../docs/CAPACITY.md', import.meta.url));

const formatSeriesRow = ({name, unit, per, points, fit}: Series): string => {
  const measured = points.map(({size, value}) => `${formatNumber(size)}: ${formatNumber(value)}`).join(', ');
  return `| \`${name}\` | ${unit} | ${per} | ${formatNumber(fit.intercept)} | ${formatNumber(fit.slope)} | ${formatNumber(fit.residual)} | ${measured} |`;
};

/** Renders the table of the series with their fitted lines, and how they were measured. */
export const renderSlopes = (figures: CapacityFigures): string => [
  `\`${figures.command}\`, ${figures.date}, Node ${figures.nodeVersion}, ${figures.cores} cores, ${figures.elapsedSeconds} s.`,
  `Resident: ${formatNumber(figures.residentBytesAtStart / 1_000_000)} MB at the start, at most ${formatNumber(figures.residentBytesMax / 1_000_000)} MB.`,
  `Load average before: ${figures.loadBefore.map(load => formatNumber(load)).join(', ')}; after: ${figures.loadAfter.map(load => formatNumber(load)).join(', ')}. ${figures.method}`,
  '',
  '| name | unit | size is the number of | intercept | slope | residual | measured at (size: value) |',
  '| --- | --- | --- | ---: | ---: | ---: | --- |',
  ...figures.series.map(series => formatSeriesRow(series)),
].join('\n');

/** Replaces the content between the markers of a section; throws if the page lacks the markers. */
export const replaceSection = (page: string, section: string, content: string): string => {
  const begin = `<!-- begin ${section} -->`;
  const end = `<!-- end ${section} -->`;
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  if (from === -1 || to < from) {
    throw new Error(`the page lacks the markers of the section ${section}; add \`${begin}\` and \`${end}\``);
  }

  return `${page.slice(0, from)}${begin}\n\n${content}\n\n${page.slice(to)}`;
};

/** Renders a page with its generated sections replaced. */
export const renderPage = (page: string, figures: CapacityFigures): string => {
  const withRoles = replaceSection(page, 'roles', renderRoles(figures));
  const withPeaks = replaceSection(withRoles, 'peaks', renderPeaks(figures));
  const withLimits = replaceSection(withPeaks, 'limits', renderLimits(figures));
  const withBreaks = replaceSection(withLimits, 'breaks', renderBreakingPoints(figures));
  return replaceSection(withBreaks, 'slopes', renderSlopes(figures));
};

/** Reads the figures of the last measurement. */
export const readFigures = (): CapacityFigures => capacityFiguresSchema.parse(JSON.parse(readFileSync(figuresPath, 'utf8')));

/** Rewrites the generated sections of the page. */
export const writePage = (figures: CapacityFigures): void => {
  writeFileSync(pagePath, renderPage(readFileSync(pagePath, 'utf8'), figures));
};
