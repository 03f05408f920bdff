/** Slopes of the fleet decision by the members of a zone. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {decideFleet, type Body, type FleetState} from '../../decisions/fleet/fleet.js';
import type {Random} from '../../shared/random.js';
import {
  changeOneObject, createConfiguration, createMembers, createObjects, createSummary,
} from './generators.js';
import {
  measureBytes, measureCall, measureSizes, measureSizesLater, seriesOf,
} from './meter.js';
import {createKnownFleet} from './outbound.js';
import {CHANGE_LOG_LENGTH} from './policy.js';
import type {Series} from './series.js';
import {
  addTraffic, createZone, type Traffic, type Zone,
} from './zone.js';

/** Members of a zone; 21,000 in 22 zones are 955. */
const MEMBER_SIZES = [10, 50, 200, 955];
const SETTLE_MS = 8000;
/** Time of a measured stretch, in milliseconds. It holds one comparison of all records, which members make every 10 s. */
const STRETCH_MS = 10_000;
/** Changes in a stretch; a single one is lost in the noise of the idle time. */
const CHANGES = 5;
const SECOND_MS = 1000;
const SMALL_SERVICES = 10;

type Stretches = {members: number; idle: Traffic; memberChange: Traffic; configurationChange: Traffic; summaryChange: Traffic; slowestMs: number};

const changeConfiguration = (zone: Zone, sequence: number, random: Random): void => {
  const objects = createObjects(SMALL_SERVICES, random);
  zone.showConfiguration(createConfiguration(changeOneObject(objects, sequence), sequence, CHANGE_LOG_LENGTH));
};

/** Makes changes at equal intervals, and returns the traffic with the longest time that one took to reach the last member. */
const changeRepeatedly = (zone: Zone, change: (turn: number) => void): {traffic: Traffic; slowestMs: number} => {
  const parts = Array.from({length: CHANGES}, (_, turn) => {
    const changedAt = zone.now();
    change(turn);
    const traffic = zone.run(STRETCH_MS / CHANGES);
    return {traffic, slowestMs: Math.max(0, ...traffic.adoptedAt) - changedAt};
  });
  return {traffic: addTraffic(parts.map(({traffic}) => traffic)), slowestMs: Math.max(...parts.map(({slowestMs}) => slowestMs))};
};

const measureZone = (members: number, random: Random): Stretches => {
  const zone = createZone(members, random);
  changeConfiguration(zone, 1, random);
  zone.run(SETTLE_MS);
  // A small zone takes too little processor time for a short stretch to show it.
  const idle = zone.run(STRETCH_MS * Math.max(1, Math.ceil(200 / members)));
  const {traffic: memberChange} = changeRepeatedly(zone, turn => {
    zone.changeMember(members - 1 - turn);
  });
  const {traffic: summaryChange} = changeRepeatedly(zone, turn => {
    zone.changeOtherZone(turn + 1);
  });
  const {traffic: configurationChange, slowestMs} = changeRepeatedly(zone, turn => {
    changeConfiguration(zone, turn + 2, random);
  });
  if (zone.sequences().some(sequence => sequence !== CHANGES + 1)) {
    throw new Error('a configuration did not reach every member of the measured zone; the stretch is too short or the fleet decision is at fault');
  }

  return {
    members, idle, memberChange, summaryChange, configurationChange, slowestMs,
  };
};

const idleSeconds = ({members}: Stretches): number => STRETCH_MS * Math.max(1, Math.ceil(200 / members)) / SECOND_MS;

/** What one change added to an idle stretch, per member. */
const added = (stretches: Stretches, change: Traffic, read: (traffic: Traffic) => number): number => {
  const idle = read(stretches.idle) / idleSeconds(stretches) * (STRETCH_MS / SECOND_MS);
  return (read(change) - idle) / stretches.members / CHANGES;
};

const zoneSeries = (all: Stretches[]): Series[] => {
  const by = (name: string, unit: string, read: (stretches: Stretches) => number): Series =>
    seriesOf(name, unit, 'member of the zone', all.map(stretches => ({size: stretches.members, value: read(stretches)})));
  const idle = (name: string, unit: string, read: (traffic: Traffic) => number): Series =>
    by(name, unit, stretches => read(stretches.idle) / idleSeconds(stretches) / stretches.members);
  const idleOfZone = (name: string, unit: string, read: (traffic: Traffic) => number): Series =>
    by(name, unit, stretches => read(stretches.idle) / idleSeconds(stretches));
  const changes = (label: string, change: (stretches: Stretches) => Traffic): Series[] => [
    by(`${label}-processor`, 'µs/process', stretches => added(stretches, change(stretches), ({processorUs}) => processorUs)),
    by(`${label}-messages`, 'messages/process', stretches => added(stretches, change(stretches), ({messages}) => messages)),
    by(`${label}-bytes`, 'B/process', stretches => added(stretches, change(stretches), ({bytes}) => bytes)),
  ];
  return [
    idle('idle-processor', 'µs/s/process', ({processorUs}) => processorUs),
    idle('idle-messages', 'messages/s/process', ({messages}) => messages),
    idle('idle-bytes', 'B/s/process', ({bytes}) => bytes),
    idleOfZone('idle-aggregator-processor', 'µs/s', ({aggregatorUs}) => aggregatorUs),
    idleOfZone('idle-aggregator-messages', 'messages/s, sent and received', ({aggregatorMessages}) => aggregatorMessages),
    idleOfZone('idle-aggregator-bytes', 'B/s, sent and received', ({aggregatorBytes}) => aggregatorBytes),
    idleOfZone('idle-platform-reads', 'calls/s/zone', ({platformReads}) => platformReads),
    idleOfZone('idle-platform-watches', 'calls/s/zone', ({platformWatches}) => platformWatches),
    idleOfZone('idle-platform-writes', 'calls/s/zone', ({platformWrites}) => platformWrites),
    ...changes('member-change', ({memberChange}) => memberChange),
    ...changes('summary-change', ({summaryChange}) => summaryChange),
    ...changes('configuration-change', ({configurationChange}) => configurationChange),
    by('configuration-change-spread', 'simulated ms until the last member has it, decisions taking no time', ({slowestMs}) => slowestMs),
    by('configuration-change-aggregator-messages', 'messages in 10 s with 5 changes', ({configurationChange}) => configurationChange.aggregatorMessages),
    by('configuration-change-aggregator-bytes', 'B in 10 s with 5 changes', ({configurationChange}) => configurationChange.aggregatorBytes),
  ];
};

const fromZone = (body: Body, revision: number) => ({
  kind: 'message-received' as const,
  message: {
    from: {
      host: 'relay', zone: 'zone-1', address: '10.9.9.9:7101', incarnation: 'relay-1', generation: 1, version: 1, sequence: 0, hash: 'hash', digest: revision,
    },
    body,
  },
});

/** Sizes at which a whole zone starts at once; the larger one takes too long, since each process learns of each other one. */
const START_SIZES = [10, 50, 200];
const START_MS = 10_000;

const startSeries = (random: Random): Series[] => {
  const starts = START_SIZES.map(members => ({members, traffic: createZone(members, random, true).run(START_MS)}));
  const by = (name: string, unit: string, read: (traffic: Traffic) => number): Series =>
    seriesOf(name, unit, 'member of the zone', starts.map(({members, traffic}) => ({size: members, value: read(traffic) / members})));
  return [
    by('start-platform-calls', 'calls/process in 10 s', ({platformReads, platformWatches, platformWrites}) => platformReads + platformWatches + platformWrites),
    by('start-platform-writes', 'writes/process in 10 s', ({platformWrites}) => platformWrites),
    by('start-messages', 'messages/process in 10 s', ({messages}) => messages),
    by('start-bytes', 'B/process in 10 s', ({bytes}) => bytes),
    by('start-processor', 'µs/process in 10 s', ({processorUs}) => processorUs),
  ];
};

/** Cost of taking a part of another zone's summary, in nanoseconds, by its entries. */
const measureSummaryPart = (entries: number, random: Random): number => {
  const state = createKnownFleet(10, 22);
  const summary = createSummary(entries, 'zone-1');
  return measureCall(20, index => {
    const stamp = {
      zone: 'zone-1', epoch: index + 2, publisher: 'zone-1', version: entries,
    };
    decideFleet(state, fromZone({
      kind: 'zones', parts: [{
        stamp, from: 0, entries: summary, last: true,
      }],
    }, index), index, random);
  });
};

/** Cost of answering a process that lacks one entry of one zone, in nanoseconds, by the entries per zone. */
const measureSummaryAnswer = (entries: number, random: Random): number => {
  const state = createKnownFleet(entries, 22);
  const stamps = [...state.zones.feeds.values()].map(({stamp}) => (stamp.zone === 'zone-1' ? {...stamp, version: entries - 1} : stamp));
  return measureCall(50, index => {
    decideFleet(state, fromZone({kind: 'zones-pull', stamps}, index), index, random);
  });
};

/** Cost of taking the records of a whole zone at the start, in nanoseconds. */
const measureJoin = (members: number, random: Random): number => {
  const records = createMembers(members, 'zone-0');
  const states = Array.from({length: 6}, () => createKnownFleet(0, 1));
  return measureCall(1, index => {
    decideFleet(states[index]!, fromZone({kind: 'records', records}, index), index, random);
  });
};

const createMemberMap = (members: number): FleetState => createKnownFleet(members, 1);

/** Measures the fleet decision. */
export const measureFleet = async (random: Random): Promise<Series[]> => {
  const stretches: Stretches[] = [];
  for (const members of MEMBER_SIZES) {
    const started = performance.now();
    stretches.push(measureZone(members, random));
    process.stderr.write(`zone of ${members} members: ${Math.round(performance.now() - started)} ms\n`);
  }

  return [
    ...zoneSeries(stretches),
    ...startSeries(random),
    measureSizes({name: 'summary-json', unit: 'B', per: 'service of a zone'}, [10, 100, 955], size => JSON.stringify(createSummary(size, 'zone-1')).length),
    measureSizes({name: 'summary-part', unit: 'ns', per: 'entry'}, [10, 100, 955], size => measureSummaryPart(size, random)),
    measureSizes({name: 'summary-answer', unit: 'ns', per: 'entry per zone'}, [10, 100, 955], size => measureSummaryAnswer(size, random)),
    measureSizes({name: 'join-records', unit: 'ns', per: 'member of the zone'}, MEMBER_SIZES, size => measureJoin(size, random)),
    await measureSizesLater({name: 'heap-members', unit: 'B', per: 'member record'}, MEMBER_SIZES, async size => measureBytes(() => createMemberMap(size))),
    await measureSizesLater({name: 'heap-summary-entries', unit: 'B', per: 'service of a zone'}, [10, 100, 955, 4000], async size =>
      measureBytes(() => createSummary(size, 'zone-1').map(entry => ({epoch: 1, publisher: 'zone-1', entry: structuredClone(entry)})))),
  ];
};
