/** Estimates the load at the target size from the measured series. */
import {formatNumber} from './format.js';
import type {CapacityFigures} from './series.js';

/** Target size, as stated in docs/design.md, section 1.5. */
export const TARGET = {
  hosts: 21_000, services: 2900, callsPerSecond: 6_400_000, zones: 22, changesPerDay: 33_000, failuresPerDay: 71, restartsPerDay: 1700,
} as const;

/** Members of a zone at the target size, if all zones are equally large. */
export const ZONE_MEMBERS = 955;

const DAY_SECONDS = 86_400;
/** Changes of a member's record that one restart or failure causes: draining or suspected, gone, back, announced. */
const RECORD_CHANGES_PER_EVENT = 4;
/** Factor by which the members with a configuration grow per push: a member pushes it to 4 others and has it itself. */
const PUSH_GROWTH_FACTOR = 5;
const WATCHERS_PER_ZONE = 2;
/** Hosts in a rack; an assumption, since the target does not state it. */
const HOSTS_PER_RACK = 40;
/** Record changes in one message. */
const UPDATES_PER_MESSAGE = 8;
/** Maximum size of the summaries in one message in bytes of JSON, and the shortest time between two requests for summaries. */
const SUMMARY_PULL_BYTES = 48_000;
const SUMMARY_PULL_SECONDS = 0.3;
/** Ticks of the inbound decision. */
const TICKS_PER_SECOND = 50;
/** Client groups whose calls a process serves at the same time. */
const CLIENT_GROUPS = 100;
/** Limits of the stores of a process, copied from the constants of the decisions and the daemon. */
const STORE_LIMITS = {
  tickets: 50_000, responsesBytes: 33_554_432, fractionRows: 16_384, retryPools: 65_536, replayBodiesBytes: 67_108_864,
} as const;
const NANOSECONDS_PER_MICROSECOND = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;
/** Processor time for control that a process may use per second, in microseconds: 3.9 % of a core. */
const CONTROL_PROCESSOR_LIMIT_US = 39_000;
/** Largest value that the platform stores, in bytes. */
const VALUE_BYTES_MAX = 1_048_576;

/** Estimated quantity of a role, such as entry or watcher, at the target size. */
export type RoleEstimate = {
  name: string;
  role: string;
  quantity: string;
  /** Series and sizes that the value is computed from. */
  basis: string;
  value: number;
  unit: string;
  /** Source file that causes the quantity, relative to the root of the project. */
  code: string;
};

/** Limit of the target with the estimate to compare with it. */
export type LimitEstimate = {limit: string; allowed: number; unit: string; estimate: number; basis: string};

/** Value of a series at a size: the measured value, or else that of the fitted line. */
export const valueAt = ({series}: Pick<CapacityFigures, 'series'>, name: string, size: number): number => {
  const matchingSeries = series.find(candidate => candidate.name === name);
  if (matchingSeries === undefined) {
    throw new Error(`the figures lack the series ${name}; run \`npm run measure:slopes\``);
  }

  const measured = matchingSeries.points.find(point => point.size === size);
  return measured?.value ?? matchingSeries.fit.intercept + (matchingSeries.fit.slope * size);
};

/** Costs of single events at the target size; processor times in microseconds. */
const createCosts = (figures: CapacityFigures) => {
  const at = (name: string, size: number): number => valueAt(figures, name, size);
  const {services, hosts} = TARGET;
  const exchangeUs = at('exchange-processor', 254) / NANOSECONDS_PER_MICROSECOND;
  const createEventCost = (label: string) => ({
    decisionUs: at(`${label}-processor`, ZONE_MEMBERS), messages: at(`${label}-messages`, ZONE_MEMBERS), bytes: at(`${label}-bytes`, ZONE_MEMBERS),
  });
  return {
    at,
    exchangeUs,
    exchangeOverheadBytes: at('exchange-wire', 0),
    idle: createEventCost('idle'),
    memberChange: createEventCost('member-change'),
    summaryChange: createEventCost('summary-change'),
    configurationChange: createEventCost('configuration-change'),
    publishUs: (at('endpoint-list', hosts) + at('endpoint-replacement', hosts)) / NANOSECONDS_PER_MICROSECOND,
    adoptionUs: at('configuration-adoption', services) / NANOSECONDS_PER_MICROSECOND,
    compilationUs: at('policy-compilation', services) / NANOSECONDS_PER_MICROSECOND,
    decodingUs: at('configuration-decoding', services) / NANOSECONDS_PER_MICROSECOND,
    validationUs: at('configuration-validation', services) / NANOSECONDS_PER_MICROSECOND,
    storedBytes: at('configuration-stored', services),
  };
};

/** Rates per second: calls of one process, record changes of one zone, configuration and summary changes of all zones. */
const rates = {
  calls: TARGET.callsPerSecond / TARGET.hosts,
  configuration: TARGET.changesPerDay / DAY_SECONDS,
  memberChanges: (TARGET.failuresPerDay + TARGET.restartsPerDay) * RECORD_CHANGES_PER_EVENT / DAY_SECONDS / TARGET.zones,
  summaryChanges: (TARGET.failuresPerDay + TARGET.restartsPerDay) * RECORD_CHANGES_PER_EVENT / DAY_SECONDS,
} as const;

type Costs = ReturnType<typeof createCosts>;

/** Processor time per second and process for control traffic, in microseconds, by cause. */
const processorByCause = (costs: Costs) => {
  const {exchangeUs} = costs;
  const changeUs = ({decisionUs, messages}: Costs['idle']): number => decisionUs + (messages * exchangeUs);
  return {
    // A probe and its reply are one exchange, and each side does about half of its work.
    idle: costs.idle.decisionUs + (costs.idle.messages / 2 * exchangeUs),
    members: rates.memberChanges * (changeUs(costs.memberChange) + costs.publishUs),
    summaries: rates.summaryChanges * (changeUs(costs.summaryChange) + costs.publishUs),
    configuration: rates.configuration * (changeUs(costs.configurationChange) + costs.adoptionUs + costs.compilationUs),
  };
};

/** Bytes of control traffic per second and process, sent and received, including the overhead of HTTP, by cause. */
const bytesByCause = (costs: Costs) => {
  const wireBytes = ({messages, bytes}: Costs['idle']): number => (2 * bytes) + (messages * costs.exchangeOverheadBytes);
  return {
    idle: wireBytes(costs.idle),
    members: rates.memberChanges * wireBytes(costs.memberChange),
    summaries: rates.summaryChanges * wireBytes(costs.summaryChange),
    configuration: rates.configuration * wireBytes(costs.configurationChange),
  };
};

/** Memory of a process with all stores full, in bytes, by store. */
const memoryByStore = (figures: CapacityFigures, {at}: Costs) => ({
  program: figures.residentBytesAtStart,
  endpoints: at('heap-endpoints', TARGET.hosts),
  members: at('heap-members', ZONE_MEMBERS),
  summaries: at('heap-summary-entries', ZONE_MEMBERS) * (TARGET.zones - 1),
  replayRecords: at('heap-replay-records', ZONE_MEMBERS + (WATCHERS_PER_ZONE * TARGET.zones)),
  configuration: at('heap-configuration', TARGET.services),
  policy: at('heap-policy', TARGET.services),
  fractions: at('heap-learnt-fractions', STORE_LIMITS.fractionRows),
  retryPools: at('heap-retry-pools', STORE_LIMITS.retryPools),
  tickets: at('heap-ticket-records', STORE_LIMITS.tickets),
  responses: STORE_LIMITS.responsesBytes * at('heap-stored-responses', 1000) / 1000 / 1024,
  replayBodies: STORE_LIMITS.replayBodiesBytes,
});

const sum = (values: Readonly<Record<string, number>>): number => {
  let total = 0;
  for (const value of Object.values(values)) {
    total += value;
  }

  return total;
};

/** Pushes in sequence until a configuration gets from a watcher to the last member. */
const PUSH_HOPS = Math.ceil(Math.log(ZONE_MEMBERS) / Math.log(PUSH_GROWTH_FACTOR));

/** Estimates the quantities of each role. */
export const estimateRoles = (figures: CapacityFigures): RoleEstimate[] => {
  const costs = createCosts(figures);
  const {at} = costs;
  const processor = processorByCause(costs);
  const bytes = bytesByCause(costs);
  const memory = memoryByStore(figures, costs);
  const outboundUs = at('outbound-call-by-services', TARGET.services) / NANOSECONDS_PER_MICROSECOND;
  const inboundUs = at('inbound-call-by-groups', CLIENT_GROUPS) / NANOSECONDS_PER_MICROSECOND;
  const ticksUs = TICKS_PER_SECOND * at('inbound-tick', CLIENT_GROUPS) / NANOSECONDS_PER_MICROSECOND;
  return [
    {
      name: 'calls',
      role: 'entry, inbound, outbound',
      quantity: 'calls',
      value: rates.calls,
      unit: 'calls/s',
      basis: '6.4 million / 21,000',
      code: 'src/daemon/node.ts',
    },
    {
      name: 'outbound-processor',
      role: 'entry, outbound',
      quantity: 'processor time of decisions',
      value: rates.calls * outboundUs,
      unit: 'µs/s',
      basis: '`outbound-call-by-services` at 2,900, times calls',
      code: 'src/decisions/outbound/outbound.ts',
    },
    {
      name: 'inbound-processor',
      role: 'inbound',
      quantity: 'processor time of decisions',
      value: (rates.calls * inboundUs) + ticksUs,
      unit: 'µs/s',
      basis: '`inbound-call-by-groups` at 100, times calls, plus 50 `inbound-tick` at 100',
      code: 'src/decisions/inbound/inbound.ts',
    },
    {
      name: 'control-idle',
      role: 'every process',
      quantity: 'processor time, no changes',
      value: processor.idle,
      unit: 'µs/s',
      basis: '`idle-processor`, `idle-messages` at 955, `exchange-processor`',
      code: 'src/decisions/fleet/membership.ts',
    },
    {
      name: 'control-members',
      role: 'every process',
      quantity: 'processor time, record changes in the zone',
      value: processor.members,
      unit: 'µs/s',
      basis: '`member-change-*` at 955, `endpoint-list` and `endpoint-replacement` at 21,000',
      code: 'src/daemon/fleet-part.ts',
    },
    {
      name: 'control-summaries',
      role: 'every process',
      quantity: 'processor time, summary changes of all zones',
      value: processor.summaries,
      unit: 'µs/s',
      basis: '`summary-change-*` at 955, `endpoint-list` and `endpoint-replacement` at 21,000',
      code: 'src/decisions/fleet/zone-summary.ts',
    },
    {
      name: 'control-configuration',
      role: 'every process',
      quantity: 'processor time, configuration changes',
      value: processor.configuration,
      unit: 'µs/s',
      basis: '`configuration-change-*` at 955, `configuration-adoption` and `policy-compilation` at 2,900',
      code: 'src/decisions/fleet/configuration.ts',
    },
    {
      name: 'messages',
      role: 'every process',
      quantity: 'messages sent, no changes',
      value: costs.idle.messages,
      unit: 'messages/s',
      basis: '`idle-messages` at 955',
      code: 'src/decisions/fleet/membership.ts',
    },
    {
      name: 'bytes-idle',
      role: 'every process',
      quantity: 'bytes sent and received, no changes',
      value: bytes.idle,
      unit: 'B/s',
      basis: '`idle-bytes`, `idle-messages` at 955, `exchange-wire` at 0',
      code: 'src/daemon/fleet/envelope.ts',
    },
    {
      name: 'bytes-members',
      role: 'every process',
      quantity: 'bytes, record changes in the zone',
      value: bytes.members,
      unit: 'B/s',
      basis: '`member-change-*` at 955',
      code: 'src/decisions/fleet/membership.ts',
    },
    {
      name: 'bytes-summaries',
      role: 'every process',
      quantity: 'bytes, summary changes of all zones',
      value: bytes.summaries,
      unit: 'B/s',
      basis: '`summary-change-*` at 955',
      code: 'src/decisions/fleet/zone-summary.ts',
    },
    {
      name: 'bytes-configuration',
      role: 'every process',
      quantity: 'bytes, configuration changes',
      value: bytes.configuration,
      unit: 'B/s',
      basis: '`configuration-change-*` at 955',
      code: 'src/decisions/fleet/configuration-change.ts',
    },
    {
      name: 'memory-state',
      role: 'every process',
      quantity: 'memory for what it knows of the fleet',
      value: (memory.endpoints + memory.members + memory.summaries + memory.replayRecords + memory.configuration + memory.policy) / 1e6,
      unit: 'MB',
      basis: '`heap-endpoints` at 21,000, `heap-members`, 21 `heap-summary-entries` at 955, `heap-replay-records` at 999, `heap-configuration`, `heap-policy` at 2,900',
      code: 'src/decisions/fleet/state.ts',
    },
    {
      name: 'memory-bounded',
      role: 'every process',
      quantity: 'memory of full stores',
      value: (memory.fractions + memory.retryPools + memory.tickets + memory.responses + memory.replayBodies) / 1e6,
      unit: 'MB',
      basis: 'bounds of the stores times `heap-learnt-fractions`, `heap-retry-pools`, `heap-ticket-records`, `heap-stored-responses`; request bodies by their bound of 64 MiB',
      code: 'src/decisions/inbound/constants.ts',
    },
    {
      name: 'memory-program',
      role: 'every process',
      quantity: 'memory of the program',
      value: memory.program / 1e6,
      unit: 'MB',
      basis: 'resident set of the measuring program at its start; that of the daemon is not measured',
      code: 'src/daemon/main.ts',
    },
    {
      name: 'watcher-bytes',
      role: 'watcher',
      quantity: 'bytes read from the platform',
      value: rates.configuration * costs.storedBytes,
      unit: 'B/s',
      basis: '`configuration-stored` at 2,900, times changes',
      code: 'src/daemon/fleet/platform-adapter.ts',
    },
    {
      name: 'watcher-processor',
      role: 'watcher',
      quantity: 'processor time beyond that of a member',
      value: rates.configuration * costs.decodingUs,
      unit: 'µs/s',
      basis: '`configuration-decoding` at 2,900, times changes',
      code: 'src/daemon/fleet/platform-adapter.ts',
    },
    {
      name: 'relay-bytes',
      role: 'relay',
      quantity: 'bytes, one exchange with another zone per second',
      value: at('idle-bytes', ZONE_MEMBERS) / at('idle-messages', ZONE_MEMBERS) * 2,
      unit: 'B/s',
      basis: '`idle-bytes` / `idle-messages` at 955; the size of its own kind of message is not measured alone',
      code: 'src/decisions/fleet/zone-summary.ts',
    },
    {
      name: 'aggregator-processor',
      role: 'status aggregator',
      quantity: 'processor time of decisions',
      value: at('idle-aggregator-processor', ZONE_MEMBERS),
      unit: 'µs/s',
      basis: '`idle-aggregator-processor` at 955',
      code: 'src/decisions/fleet/status.ts',
    },
    {
      name: 'aggregator-bytes',
      role: 'status aggregator',
      quantity: 'bytes sent and received',
      value: at('idle-aggregator-bytes', ZONE_MEMBERS) + (at('idle-aggregator-messages', ZONE_MEMBERS) * costs.exchangeOverheadBytes),
      unit: 'B/s',
      basis: '`idle-aggregator-*` at 955, `exchange-wire` at 0',
      code: 'src/decisions/fleet/status.ts',
    },
    {
      name: 'platform-reads',
      role: 'platform',
      quantity: 'reads and watches',
      value: TARGET.zones * (at('idle-platform-reads', ZONE_MEMBERS) + at('idle-platform-watches', ZONE_MEMBERS)),
      unit: 'calls/s',
      basis: '22 × (`idle-platform-reads` + `idle-platform-watches`) at 955',
      code: 'src/decisions/fleet/platform-watch.ts',
    },
    {
      name: 'platform-writes',
      role: 'platform',
      quantity: 'writes',
      value: rates.configuration + (TARGET.zones * at('idle-platform-writes', ZONE_MEMBERS)),
      unit: 'writes/s',
      basis: 'changes + 22 × `idle-platform-writes` at 955',
      code: 'src/decisions/fleet/status.ts',
    },
    {
      name: 'platform-bytes',
      role: 'platform',
      quantity: 'bytes to watchers',
      value: TARGET.zones * WATCHERS_PER_ZONE * rates.configuration * costs.storedBytes / 1e6,
      unit: 'MB/s',
      basis: '44 × `configuration-stored` at 2,900, times changes',
      code: 'src/objects/configuration.ts',
    },
    {
      name: 'command-line',
      role: 'command line',
      quantity: 'processor time of the check of one change',
      value: costs.validationUs / 1000,
      unit: 'ms',
      basis: '`configuration-validation` at 2,900',
      code: 'src/objects/validation.ts',
    },
    {
      name: 'block',
      role: 'every process',
      quantity: 'loop blocked by one configuration change',
      value: (costs.adoptionUs + costs.compilationUs) / 1000,
      unit: 'ms',
      basis: '`configuration-adoption` + `policy-compilation` at 2,900',
      code: 'src/daemon/node.ts',
    },
    {
      name: 'publish',
      role: 'every process',
      quantity: 'loop blocked by one record or summary change',
      value: costs.publishUs / 1000,
      unit: 'ms',
      basis: '`endpoint-list` + `endpoint-replacement` at 21,000',
      code: 'src/daemon/fleet-part.ts',
    },
  ];
};

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
