/** Estimates the limits, the peaks and the breaking points at the target size from the measured series, and renders the tables of the capacity page. */
import {
  bytesByCause, CLIENT_GROUPS, CONTROL_PROCESSOR_LIMIT_US, createCosts, DAY_SECONDS, HOSTS_PER_RACK, memoryByStore, MICROSECONDS_PER_SECOND, NANOSECONDS_PER_MICROSECOND, processorByCause, PUSH_HOPS, rates, sum, SUMMARY_PULL_BYTES, SUMMARY_PULL_SECONDS, TARGET, UPDATES_PER_MESSAGE, VALUE_BYTES_MAX, ZONE_MEMBERS,
} from './capacity-costs.js';
import {formatNumber} from './format.js';
import {estimateRoles} from './role-estimates.js';
import type {CapacityFigures} from './series.js';

/** Limit of the target with the estimate to compare with it. */
export type LimitEstimate = {limit: string; allowed: number; unit: string; estimate: number; basis: string};

/** Estimates the quantity of each limit of the target. */
export const estimateLimits = (figures: CapacityFigures): LimitEstimate[] => {
  const costs = createCosts(figures);
  const watcherBytes = rates.configuration * costs.storedBytes;
  const processor = sum(processorByCause(costs));
  const bytes = sum(bytesByCause(costs));
  const blockUs = (rates.configuration * (costs.adoptionUs + costs.compilationUs)) + ((rates.memberChanges + rates.summaryChanges) * costs.publishUs);
  const spreadMs = costs.at('configuration-change-spread', ZONE_MEMBERS);
  const hopMs = (costs.adoptionUs + costs.compilationUs) / 1000;
  return [
    {
      limit: 'processor time for control, per process',
      allowed: 3.9,
      unit: '% of a core',
      estimate: processor / MICROSECONDS_PER_SECOND * 100,
      basis: 'sum of the `control-*` rows',
    },
    {
      limit: 'memory per process',
      allowed: 256,
      unit: 'MB',
      estimate: sum(memoryByStore(figures, costs)) / 1e6,
      basis: 'sum of the `memory-*` rows, garbage not counted',
    },
    {
      limit: 'bytes for control, per process',
      allowed: 15_000,
      unit: 'B/s',
      estimate: bytes,
      basis: 'sum of the `bytes-*` rows, sent and received',
    },
    {
      limit: 'bytes for control, watcher',
      allowed: 15_000,
      unit: 'B/s',
      estimate: bytes + watcherBytes,
      basis: 'the same + `watcher-bytes`',
    },
    {
      limit: 'a change in effect everywhere',
      allowed: 3000,
      unit: 'ms',
      estimate: spreadMs + (costs.decodingUs / 1000) + (PUSH_HOPS * hopMs),
      basis: `\`configuration-change-spread\` at 955 + decoding at the watcher + ${PUSH_HOPS} hops × \`block\``,
    },
    {
      limit: 'time in which calls wait for control (1.2 ms for 99 in 100)',
      allowed: 1,
      unit: '% of the time',
      estimate: blockUs / MICROSECONDS_PER_SECOND * 100,
      basis: 'changes × `block` + record and summary changes × `publish`',
    },
    {
      limit: 'platform reads',
      allowed: 2000,
      unit: 'calls/s',
      estimate: TARGET.zones * (costs.at('idle-platform-reads', ZONE_MEMBERS) + costs.at('idle-platform-watches', ZONE_MEMBERS)),
      basis: '`platform-reads`',
    },
    {
      limit: 'platform writes',
      allowed: 300,
      unit: 'writes/s',
      estimate: rates.configuration + (TARGET.zones * costs.at('idle-platform-writes', ZONE_MEMBERS)),
      basis: '`platform-writes`; "several hundred" is taken as 300',
    },
    {
      limit: 'size of one value',
      allowed: 1_048_576,
      unit: 'B',
      estimate: costs.storedBytes,
      basis: '`configuration-stored` at 2,900',
    },
  ];
};

/** Estimated quantity during a peak, such as the loss of a rack. */
export type PeakEstimate = {peak: string; quantity: string; value: number; unit: string; basis: string};

/** Estimates the quantities during peaks. */
export const estimatePeaks = (figures: CapacityFigures): PeakEstimate[] => {
  const costs = createCosts(figures);
  const {at} = costs;
  const callUs = (at('outbound-call-by-services', TARGET.services) + at('inbound-call-by-groups', CLIENT_GROUPS)) / NANOSECONDS_PER_MICROSECOND;
  const missedChanges = TARGET.changesPerDay / 24;
  const objectBytes = at('configuration-json', TARGET.services) / at('configuration-objects', TARGET.services);
  const summaryBytes = at('summary-json', ZONE_MEMBERS);
  const blockMs = (costs.adoptionUs + costs.compilationUs) / 1000;
  const publishMs = costs.publishUs / 1000;
  return [
    {
      peak: 'all clients return',
      quantity: 'calls that one core decides, nothing else counted',
      value: MICROSECONDS_PER_SECOND / callUs,
      unit: 'calls/s/process',
      basis: '1 s / (`outbound-call-by-services` at 2,900 + `inbound-call-by-groups` at 100)',
    },
    {
      peak: 'a rack is lost',
      quantity: 'loop blocked at each process of the zone, if each host is told of alone',
      value: HOSTS_PER_RACK * publishMs / 1000,
      unit: 's',
      basis: `${HOSTS_PER_RACK} hosts (assumed) × \`publish\``,
    },
    {
      peak: 'a rack is lost',
      quantity: 'the same, if the changes come 8 to a message',
      value: HOSTS_PER_RACK / UPDATES_PER_MESSAGE * publishMs / 1000,
      unit: 's',
      basis: `${HOSTS_PER_RACK} / 8 × \`publish\``,
    },
    {
      peak: 'a zone is lost',
      quantity: 'loop blocked at each process of the others, when 21 zones mark it unheard',
      value: (TARGET.zones - 1) * publishMs / 1000,
      unit: 's',
      basis: '21 × `publish`',
    },
    {
      peak: 'a partition of an hour heals',
      quantity: 'one message with the missed configuration changes; each process sends 4 and receives some',
      value: missedChanges * objectBytes / 1000,
      unit: 'KB',
      basis: '33,000 / 24 objects × `configuration-json` / `configuration-objects` at 2,900',
    },
    {
      peak: 'a partition of an hour heals',
      quantity: 'whole configuration for the processes whose base is no longer kept',
      value: at('configuration-json', TARGET.services) / 1000,
      unit: 'KB',
      basis: '`configuration-json` at 2,900',
    },
    {
      peak: 'all processes start, platform cold',
      quantity: 'platform calls of the fleet in the first 10 s',
      value: at('start-platform-calls', 200) * 200 * TARGET.zones,
      unit: 'calls',
      basis: '22 × 200 × `start-platform-calls` at 200; 955 is not measured',
    },
    {
      peak: 'all processes start, platform cold',
      quantity: 'summaries of the other zones that each process fetches',
      value: (TARGET.zones - 1) * summaryBytes / 1000,
      unit: 'KB',
      basis: '21 × `summary-json` at 955',
    },
    {
      peak: 'all processes start, platform cold',
      quantity: 'time for that at 48 KB every 300 ms',
      value: (TARGET.zones - 1) * summaryBytes / SUMMARY_PULL_BYTES * SUMMARY_PULL_SECONDS,
      unit: 's',
      basis: '21 × `summary-json` at 955 / 48 KB × 300 ms',
    },
    {
      peak: 'all processes start, platform cold',
      quantity: 'bytes per second of a process meanwhile',
      value: SUMMARY_PULL_BYTES / SUMMARY_PULL_SECONDS,
      unit: 'B/s',
      basis: 'the bounds of the summary exchange',
    },
    {
      peak: 'a change during any of these',
      quantity: 'loop blocked at each process',
      value: blockMs,
      unit: 'ms',
      basis: '`block`',
    },
  ];
};

/** Renders the table of the peaks. */
export const renderPeaks = (figures: CapacityFigures): string => [
  '| peak | quantity | worked out | unit | from |',
  '| --- | --- | ---: | --- | --- |',
  ...estimatePeaks(figures).map(({peak, quantity, value, unit, basis}) => `| ${peak} | ${quantity} | ${formatNumber(value)} | ${unit} | ${basis} |`),
].join('\n');

/** Size at which a limit is reached while all other sizes stay at the target. */
export type BreakingPoint = {limit: string; size: string; value: number; unit: string; basis: string};

/** Estimates the sizes at which limits are reached. */
export const estimateBreakingPoints = (figures: CapacityFigures): BreakingPoint[] => {
  const costs = createCosts(figures);
  const slopeOf = (name: string): number => figures.series.find(series => series.name === name)!.fit.slope;
  const processor = processorByCause(costs);
  const perChangeUs = processor.configuration / rates.configuration;
  const availableUs = CONTROL_PROCESSOR_LIMIT_US - processor.idle - processor.members - processor.summaries;
  const perServiceUs = (slopeOf('configuration-adoption') + slopeOf('policy-compilation')) / NANOSECONDS_PER_MICROSECOND;
  const blockUs = costs.adoptionUs + costs.compilationUs;
  const publishShare = (rates.memberChanges + rates.summaryChanges) * costs.publishUs / MICROSECONDS_PER_SECOND;
  const memory = memoryByStore(figures, costs);
  const remainingStoresBytes = sum(memory) - memory.endpoints;
  return [
    {
      limit: 'time in which calls wait for control',
      size: 'configuration changes with 2,900 services',
      value: Math.max(0, 0.01 - publishShare) * MICROSECONDS_PER_SECOND / blockUs * DAY_SECONDS,
      unit: 'per day',
      basis: '(1 % − record and summary changes × `publish`) / `block`',
    },
    {
      limit: 'processor time for control, per process',
      size: 'configuration changes with 2,900 services',
      value: availableUs / perChangeUs * DAY_SECONDS,
      unit: 'per day',
      basis: '(3.9 % of a core − the other `control-*` rows) / `control-configuration` of one change',
    },
    {
      limit: 'processor time for control, per process',
      size: 'services with 33,000 changes a day',
      value: availableUs / rates.configuration / perServiceUs,
      unit: 'services',
      basis: 'the same by the slopes of `configuration-adoption` and `policy-compilation`; messages not counted',
    },
    {
      limit: 'bytes for control, watcher',
      size: 'configuration changes with 2,900 services',
      value: Math.max(0, 15_000 - sum(bytesByCause(costs))) / costs.storedBytes * DAY_SECONDS,
      unit: 'per day',
      basis: '(15 KB/s − the `bytes-*` rows) / `configuration-stored` at 2,900',
    },
    {
      limit: 'size of one value',
      size: 'services, if the objects do not compress at all',
      value: VALUE_BYTES_MAX / slopeOf('configuration-json'),
      unit: 'services',
      basis: '1 MB / slope of `configuration-json`',
    },
    {
      limit: 'memory per process',
      size: 'endpoints with all stores full',
      value: Math.max(0, 256_000_000 - remainingStoresBytes) / slopeOf('heap-endpoints'),
      unit: 'endpoints',
      basis: '(256 MB − the other `memory-*` rows) / slope of `heap-endpoints`; 0 when the others alone exceed it',
    },
  ];
};

/** Renders the table of the sizes at which limits are reached. */
export const renderBreakingPoints = (figures: CapacityFigures): string => [
  '| limit | reached at | worked out | unit | from |',
  '| --- | --- | ---: | --- | --- |',
  ...estimateBreakingPoints(figures).map(({limit, size, value, unit, basis}) => `| ${limit} | ${size} | ${formatNumber(value)} | ${unit} | ${basis} |`),
].join('\n');

/** Renders the table of the quantities of each role. */
export const renderRoles = (figures: CapacityFigures): string => [
  '| name | role | quantity | worked out | unit | from | code |',
  '| --- | --- | --- | ---: | --- | --- | --- |',
  ...estimateRoles(figures).map(({name, role, quantity, value, unit, basis, code}) =>
    `| \`${name}\` | ${role} | ${quantity} | ${formatNumber(value)} | ${unit} | ${basis} | [${code.slice(4)}](../${code}) |`),
].join('\n');

/** Renders the table of the limits with their margins. */
export const renderLimits = (figures: CapacityFigures): string => [
  '| limit | allowed | worked out | unit | margin | from |',
  '| --- | ---: | ---: | --- | --- | --- |',
  ...estimateLimits(figures).map(({limit, allowed, estimate, unit, basis}) => {
    const factor = estimate <= allowed ? `met, ${formatNumber(allowed / estimate)} times` : `**missed, ${formatNumber(estimate / allowed)} times**`;
    return `| ${limit} | ${formatNumber(allowed)} | ${formatNumber(estimate)} | ${unit} | ${factor} | ${basis} |`;
  }),
].join('\n');
