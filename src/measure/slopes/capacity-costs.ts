/** Costs of single events, rates and sizes at the target size, from which the estimates are made. */
import type {CapacityFigures} from './series.js';

/** Target size, as stated in docs/design.md, section 1.5. */
export const TARGET = {
  hosts: 21_000, services: 2900, callsPerSecond: 6_400_000, zones: 22, changesPerDay: 33_000, failuresPerDay: 71, restartsPerDay: 1700,
} as const;

/** Members of a zone at the target size, if all zones are equally large. */
export const ZONE_MEMBERS = 955;

/** Seconds of a day. */
export const DAY_SECONDS = 86_400;
/** Changes of a member's record that one restart or failure causes: draining or suspected, gone, back, announced. */
const RECORD_CHANGES_PER_EVENT = 4;
/** Factor by which the members with a configuration grow per push: a member pushes it to 4 others and has it itself. */
const PUSH_GROWTH_FACTOR = 5;
/** Members of a zone that watch the platform. */
export const WATCHERS_PER_ZONE = 2;
/** Hosts in a rack; an assumption, since the target does not state it. */
export const HOSTS_PER_RACK = 40;
/** Record changes in one message. */
export const UPDATES_PER_MESSAGE = 8;
/** Maximum size of the summaries in one message, in bytes of JSON. */
export const SUMMARY_PULL_BYTES = 48_000;
/** Shortest time between two requests for summaries, in seconds. */
export const SUMMARY_PULL_SECONDS = 0.3;
/** Ticks of the inbound decision. */
export const TICKS_PER_SECOND = 50;
/** Client groups whose calls a process serves at the same time. */
export const CLIENT_GROUPS = 100;
/** Limits of the stores of a process, copied from the constants of the decisions and the daemon. */
const STORE_LIMITS = {
  tickets: 50_000, responsesBytes: 33_554_432, fractionRows: 16_384, retryPools: 65_536, replayBodiesBytes: 67_108_864,
} as const;
/** Nanoseconds of a microsecond. */
export const NANOSECONDS_PER_MICROSECOND = 1000;
/** Microseconds of a second. */
export const MICROSECONDS_PER_SECOND = 1_000_000;
/** Processor time for control that a process may use per second, in microseconds: 3.9 % of a core. */
export const CONTROL_PROCESSOR_LIMIT_US = 39_000;
/** Largest value that the platform stores, in bytes. */
export const VALUE_BYTES_MAX = 1_048_576;

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
export const createCosts = (figures: CapacityFigures) => {
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
export const rates = {
  calls: TARGET.callsPerSecond / TARGET.hosts,
  configuration: TARGET.changesPerDay / DAY_SECONDS,
  memberChanges: (TARGET.failuresPerDay + TARGET.restartsPerDay) * RECORD_CHANGES_PER_EVENT / DAY_SECONDS / TARGET.zones,
  summaryChanges: (TARGET.failuresPerDay + TARGET.restartsPerDay) * RECORD_CHANGES_PER_EVENT / DAY_SECONDS,
} as const;

type Costs = ReturnType<typeof createCosts>;

/** Processor time per second and process for control traffic, in microseconds, by cause. */
export const processorByCause = (costs: Costs) => {
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
export const bytesByCause = (costs: Costs) => {
  const wireBytes = ({messages, bytes}: Costs['idle']): number => (2 * bytes) + (messages * costs.exchangeOverheadBytes);
  return {
    idle: wireBytes(costs.idle),
    members: rates.memberChanges * wireBytes(costs.memberChange),
    summaries: rates.summaryChanges * wireBytes(costs.summaryChange),
    configuration: rates.configuration * wireBytes(costs.configurationChange),
  };
};

/** Memory of a process with all stores full, in bytes, by store. */
export const memoryByStore = (figures: CapacityFigures, {at}: Costs) => ({
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

/** Sum of the values of a record. */
export const sum = (values: Readonly<Record<string, number>>): number => {
  let total = 0;
  for (const value of Object.values(values)) {
    total += value;
  }

  return total;
};

/** Pushes in sequence until a configuration gets from a watcher to the last member. */
export const PUSH_HOPS = Math.ceil(Math.log(ZONE_MEMBERS) / Math.log(PUSH_GROWTH_FACTOR));
