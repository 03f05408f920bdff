/** Measures how the cost of the fleet decision grows with the members of a zone. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {decideFleet, type MessageBody, type FleetState} from '../../decisions/fleet/fleet.js';
import type {Random} from '../../shared/random.js';
import {
  changeOneObject, createConfiguration, createMemberRecords, createObjects, createSummaryEntries,
} from './generators.js';
import {
  measureRetainedBytes, measureCall, measureSeries, measureSeriesAsync, createSeries,
} from './benchmark.js';
import {createPopulatedFleetState} from './outbound.js';
import {CHANGE_LOG_LENGTH} from './policy.js';
import type {Series} from './series.js';
import {
  sumStats, createSimulatedZone, type ZoneStats, type SimulatedZone,
} from './simulated-zone.js';

/** Members of a zone; the target of 21,000 hosts in 22 zones has 955 per zone. */
const MEMBER_SIZES = [10, 50, 200, 955];
const SETTLE_MS = 8000;
/** Measured interval of simulated time, in milliseconds. It contains one anti-entropy sync, which members make every 10 s. */
const MEASURED_MS = 10_000;
/** Changes in a measured interval; the cost of a single one is lost in the noise of the idle cost. */
const CHANGE_COUNT = 5;
const SECOND_MS = 1000;
const CONFIGURED_SERVICES = 10;

type ZoneMeasurement = {members: number; idle: ZoneStats; memberChange: ZoneStats; configurationChange: ZoneStats; summaryChange: ZoneStats; slowestMs: number};

const changeConfiguration = (zone: SimulatedZone, sequence: number, random: Random): void => {
  const objects = createObjects(CONFIGURED_SERVICES, random);
  zone.publishConfiguration(createConfiguration(changeOneObject(objects, sequence), sequence, CHANGE_LOG_LENGTH));
};

/** Makes changes at equal intervals; returns the summed stats and the longest time that a change took to reach the last member. */
const changeRepeatedly = (zone: SimulatedZone, change: (changeIndex: number) => void): {stats: ZoneStats; slowestMs: number} => {
  const intervals = Array.from({length: CHANGE_COUNT}, (_, changeIndex) => {
    const changedAt = zone.now();
    change(changeIndex);
    const stats = zone.advance(MEASURED_MS / CHANGE_COUNT);
    return {stats, slowestMs: Math.max(0, ...stats.adoptedAtMs) - changedAt};
  });
  return {stats: sumStats(intervals.map(({stats}) => stats)), slowestMs: Math.max(...intervals.map(({slowestMs}) => slowestMs))};
};

const measureZone = (members: number, random: Random): ZoneMeasurement => {
  const zone = createSimulatedZone(members, random);
  changeConfiguration(zone, 1, random);
  zone.advance(SETTLE_MS);
  // In a small zone, a short interval takes too little processor time to measure.
  const idle = zone.advance(MEASURED_MS * Math.max(1, Math.ceil(200 / members)));
  const {stats: memberChange} = changeRepeatedly(zone, changeIndex => {
    zone.toggleDraining(members - 1 - changeIndex);
  });
  const {stats: summaryChange} = changeRepeatedly(zone, changeIndex => {
    zone.receiveOtherZoneChange(changeIndex + 1);
  });
  const {stats: configurationChange, slowestMs} = changeRepeatedly(zone, changeIndex => {
    changeConfiguration(zone, changeIndex + 2, random);
  });
  if (zone.configurationSequences().some(sequence => sequence !== CHANGE_COUNT + 1)) {
    throw new Error('a configuration did not reach every member of the measured zone; the measured interval is too short or the fleet decision has a defect');
  }

  return {
    members, idle, memberChange, summaryChange, configurationChange, slowestMs,
  };
};

const idleSeconds = ({members}: ZoneMeasurement): number => MEASURED_MS * Math.max(1, Math.ceil(200 / members)) / SECOND_MS;

/** What one change adds to the idle value, per member. */
const costPerChange = (measurement: ZoneMeasurement, change: ZoneStats, readStat: (stats: ZoneStats) => number): number => {
  const idle = readStat(measurement.idle) / idleSeconds(measurement) * (MEASURED_MS / SECOND_MS);
  return (readStat(change) - idle) / measurement.members / CHANGE_COUNT;
};

const createZoneSeries = (measurements: ZoneMeasurement[]): Series[] => {
  const toSeries = (name: string, unit: string, readValue: (measurement: ZoneMeasurement) => number): Series =>
    createSeries(name, unit, 'member of the zone', measurements.map(measurement => ({size: measurement.members, value: readValue(measurement)})));
  const idlePerMember = (name: string, unit: string, readStat: (stats: ZoneStats) => number): Series =>
    toSeries(name, unit, measurement => readStat(measurement.idle) / idleSeconds(measurement) / measurement.members);
  const idlePerZone = (name: string, unit: string, readStat: (stats: ZoneStats) => number): Series =>
    toSeries(name, unit, measurement => readStat(measurement.idle) / idleSeconds(measurement));
  const changeSeries = (label: string, change: (measurement: ZoneMeasurement) => ZoneStats): Series[] => [
    toSeries(`${label}-processor`, 'µs/process', measurement => costPerChange(measurement, change(measurement), ({processorUs}) => processorUs)),
    toSeries(`${label}-messages`, 'messages/process', measurement => costPerChange(measurement, change(measurement), ({messages}) => messages)),
    toSeries(`${label}-bytes`, 'B/process', measurement => costPerChange(measurement, change(measurement), ({bytes}) => bytes)),
  ];
  return [
    idlePerMember('idle-processor', 'µs/s/process', ({processorUs}) => processorUs),
    idlePerMember('idle-messages', 'messages/s/process', ({messages}) => messages),
    idlePerMember('idle-bytes', 'B/s/process', ({bytes}) => bytes),
    idlePerZone('idle-aggregator-processor', 'µs/s', ({aggregatorUs}) => aggregatorUs),
    idlePerZone('idle-aggregator-messages', 'messages/s, sent and received', ({aggregatorMessages}) => aggregatorMessages),
    idlePerZone('idle-aggregator-bytes', 'B/s, sent and received', ({aggregatorBytes}) => aggregatorBytes),
    idlePerZone('idle-platform-reads', 'calls/s/zone', ({platformReads}) => platformReads),
    idlePerZone('idle-platform-watches', 'calls/s/zone', ({platformWatches}) => platformWatches),
    idlePerZone('idle-platform-writes', 'calls/s/zone', ({platformWrites}) => platformWrites),
    ...changeSeries('member-change', ({memberChange}) => memberChange),
    ...changeSeries('summary-change', ({summaryChange}) => summaryChange),
    ...changeSeries('configuration-change', ({configurationChange}) => configurationChange),
    toSeries('configuration-change-spread', 'simulated ms until the last member has it, decisions taking no time', ({slowestMs}) => slowestMs),
    toSeries('configuration-change-aggregator-messages', 'messages in 10 s with 5 changes', ({configurationChange}) => configurationChange.aggregatorMessages),
    toSeries('configuration-change-aggregator-bytes', 'B in 10 s with 5 changes', ({configurationChange}) => configurationChange.aggregatorBytes),
  ];
};

const createRelayEvent = (body: MessageBody, revision: number) => ({
  kind: 'message-received' as const,
  message: {
    from: {
      host: 'relay', zone: 'zone-1', address: '10.9.9.9:7101', incarnation: 'relay-1', generation: 1, version: 1, sequence: 0, hash: 'hash', digest: revision,
    },
    body,
  },
});

/** Members of a zone whose processes all start at once; 955 take too long, because each process learns of every other. */
const START_SIZES = [10, 50, 200];
const START_MS = 10_000;

const measureColdStart = (random: Random): Series[] => {
  const starts = START_SIZES.map(members => ({members, stats: createSimulatedZone(members, random, true).advance(START_MS)}));
  const toSeries = (name: string, unit: string, readStat: (stats: ZoneStats) => number): Series =>
    createSeries(name, unit, 'member of the zone', starts.map(({members, stats}) => ({size: members, value: readStat(stats) / members})));
  return [
    toSeries('start-platform-calls', 'calls/process in 10 s', ({platformReads, platformWatches, platformWrites}) => platformReads + platformWatches + platformWrites),
    toSeries('start-platform-writes', 'writes/process in 10 s', ({platformWrites}) => platformWrites),
    toSeries('start-messages', 'messages/process in 10 s', ({messages}) => messages),
    toSeries('start-bytes', 'B/process in 10 s', ({bytes}) => bytes),
    toSeries('start-processor', 'µs/process in 10 s', ({processorUs}) => processorUs),
  ];
};

/** Cost of applying a part of another zone's summary with the given number of entries, in nanoseconds. */
const measureSummaryPart = (entries: number, random: Random): number => {
  const state = createPopulatedFleetState(10, 22);
  const summary = createSummaryEntries(entries, 'zone-1');
  return measureCall(20, index => {
    const stamp = {
      zone: 'zone-1', epoch: index + 2, publisher: 'zone-1', version: entries,
    };
    decideFleet(state, createRelayEvent({
      kind: 'zones', parts: [{
        stamp, from: 0, entries: summary, last: true,
      }],
    }, index), index, random);
  });
};

/** Cost of answering a process that lacks one entry of one zone, with the given number of entries per zone, in nanoseconds. */
const measureSummaryAnswer = (entries: number, random: Random): number => {
  const state = createPopulatedFleetState(entries, 22);
  const stamps = [...state.zones.summaries.values()].map(({stamp}) => (stamp.zone === 'zone-1' ? {...stamp, version: entries - 1} : stamp));
  return measureCall(50, index => {
    decideFleet(state, createRelayEvent({kind: 'zones-pull', stamps}, index), index, random);
  });
};

/** Cost of applying the records of a whole zone when a process joins it, in nanoseconds. */
const measureZoneJoin = (members: number, random: Random): number => {
  const records = createMemberRecords(members, 'zone-0');
  const states = Array.from({length: 6}, () => createPopulatedFleetState(0, 1));
  return measureCall(1, index => {
    decideFleet(states[index]!, createRelayEvent({kind: 'records', records}, index), index, random);
  });
};

const createZoneState = (members: number): FleetState => createPopulatedFleetState(members, 1);

/** Measures all series of the fleet decision. */
export const measureFleet = async (random: Random): Promise<Series[]> => {
  const measurements: ZoneMeasurement[] = [];
  for (const members of MEMBER_SIZES) {
    const started = performance.now();
    measurements.push(measureZone(members, random));
    process.stderr.write(`zone of ${members} members: ${Math.round(performance.now() - started)} ms\n`);
  }

  return [
    ...createZoneSeries(measurements),
    ...measureColdStart(random),
    measureSeries({name: 'summary-json', unit: 'B', per: 'service of a zone'}, [10, 100, 955], size => JSON.stringify(createSummaryEntries(size, 'zone-1')).length),
    measureSeries({name: 'summary-part', unit: 'ns', per: 'entry'}, [10, 100, 955], size => measureSummaryPart(size, random)),
    measureSeries({name: 'summary-answer', unit: 'ns', per: 'entry per zone'}, [10, 100, 955], size => measureSummaryAnswer(size, random)),
    measureSeries({name: 'join-records', unit: 'ns', per: 'member of the zone'}, MEMBER_SIZES, size => measureZoneJoin(size, random)),
    await measureSeriesAsync({name: 'heap-members', unit: 'B', per: 'member record'}, MEMBER_SIZES, async size => measureRetainedBytes(() => createZoneState(size))),
    await measureSeriesAsync({name: 'heap-summary-entries', unit: 'B', per: 'service of a zone'}, [10, 100, 955, 4000], async size =>
      measureRetainedBytes(() => createSummaryEntries(size, 'zone-1').map(entry => ({epoch: 1, publisher: 'zone-1', entry: structuredClone(entry)})))),
  ];
};
