/** Simulates one zone whose fleet decisions exchange messages in memory, with an emulated platform and other zones that send nothing by themselves. */
import {Buffer} from 'node:buffer';
import {createEnvelopeCodec, type EnvelopeCodec} from '../../daemon/fleet/envelope.js';
import {
  createFleetState, decideFleet, type FleetAction, type FleetEvent, type FleetState, type MemberRecord, type Message, type SummaryEntry,
} from '../../decisions/fleet/fleet.js';
import {emptyConfiguration, type Configuration} from '../../objects/configuration.js';
import {rendezvousOrder} from '../../shared/hash.js';
import type {Random} from '../../shared/random.js';
import {createMemberRecords, createSummaryEntries} from './generators.js';
import {processorMicroseconds} from './benchmark.js';

const ZONE = 'zone-0';
const STEP_MS = 10;
const TICK_INTERVAL_MS = 100;
const MESSAGE_DELAY_MAX_MS = 5;
const WATCHER_COUNT = 2;
const CONTACT_COUNT = 3;
/** Other zones and the services in the summary of each. The full number of services would only matter to memory, which is measured separately. */
const OTHER_ZONE_COUNT = 21;
const SERVICES_PER_OTHER_ZONE = 10;
const WALL_CLOCK_START_MS = 1_700_000_000_000;

/** Traffic, cost and platform calls of all members in an interval of simulated time. */
export type ZoneStats = {
  messages: number;
  /** Bytes of the envelopes as JSON. */
  bytes: number;
  /** Processor time of the fleet decisions, in microseconds. */
  processorUs: number;
  /** Part of `processorUs` that the status aggregator used. */
  aggregatorUs: number;
  /** Messages and bytes that the status aggregator sent or received. */
  aggregatorMessages: number;
  aggregatorBytes: number;
  /** Simulated times at which members put a configuration into effect, in milliseconds. */
  adoptedAtMs: number[];
  platformReads: number;
  platformWatches: number;
  platformWrites: number;
};

type SimulatedProcess = {state: FleetState; codec: EnvelopeCodec; tickAt: number; aggregator: boolean};
type ScheduledEvent = {at: number; process: SimulatedProcess; event: FleetEvent};

const createEmptyStats = (): ZoneStats => ({
  messages: 0, bytes: 0, processorUs: 0, aggregatorUs: 0, aggregatorMessages: 0, aggregatorBytes: 0, adoptedAtMs: [], platformReads: 0, platformWatches: 0, platformWrites: 0,
});

/** Sums the stats of several intervals. */
export const sumStats = (intervals: readonly ZoneStats[]): ZoneStats => {
  const total = createEmptyStats();
  for (const interval of intervals) {
    total.messages += interval.messages;
    total.bytes += interval.bytes;
    total.processorUs += interval.processorUs;
    total.aggregatorUs += interval.aggregatorUs;
    total.aggregatorMessages += interval.aggregatorMessages;
    total.aggregatorBytes += interval.aggregatorBytes;
    total.adoptedAtMs.push(...interval.adoptedAtMs);
    total.platformReads += interval.platformReads;
    total.platformWatches += interval.platformWatches;
    total.platformWrites += interval.platformWrites;
  }

  return total;
};

const createZoneSummary = (zone: string) => ({
  stamp: {
    zone, epoch: 1, publisher: zone, version: SERVICES_PER_OTHER_ZONE,
  },
  entries: new Map([
    ['', {
      epoch: 1, publisher: zone, entry: {
        kind: 'zone', version: 1, relays: [`${zone}-relay:7101`], unheard: [],
      },
    }],
    ...createSummaryEntries(SERVICES_PER_OTHER_ZONE, zone).map(entry => [entry.kind === 'service' ? entry.service : '', {epoch: 1, publisher: zone, entry}] as const),
  ]),
});

const seedFleetState = (state: FleetState, records: readonly MemberRecord[], watchers: string[]): void => {
  for (const other of records.filter(({host}) => host !== state.self.host)) {
    state.membership.members.set(other.host, {
      record: other, stateChangedAt: 0, sequence: 0, sequenceAt: 0, lagReason: '',
    });
  }

  for (let zone = 1; zone <= OTHER_ZONE_COUNT; zone++) {
    state.zones.summaries.set(`zone-${zone}`, createZoneSummary(`zone-${zone}`));
  }

  state.roles.watchers = watchers;
};

/** Gives all members the summary that the aggregator publishes; otherwise its propagation would last into the measured time. */
const distributeZoneSummary = (processes: readonly SimulatedProcess[], random: Random): void => {
  const publisher = processes.find(({aggregator}) => aggregator)!.state;
  decideFleet(publisher, {kind: 'tick'}, 0, random);
  const {stamp, entries} = publisher.zones.summaries.get(ZONE)!;
  for (const {state} of processes) {
    state.zones.summaries.set(ZONE, {stamp, entries: new Map(entries)});
    state.zones.digest = publisher.zones.digest;
    state.zones.noticeDue = false;
  }
};

/** Simulated zone whose time advances on request. */
export type SimulatedZone = {
  /** Advances the simulated time and returns the stats of that interval. */
  advance: (milliseconds: number) => ZoneStats;
  /** Stores a configuration on the emulated platform, which notifies the watchers. */
  publishConfiguration: (configuration: Configuration) => void;
  /** Makes one member announce that its backend server drains, or no longer drains. */
  toggleDraining: (index: number) => void;
  /** Delivers a message about a summary change of another zone from a relay of that zone to a relay of this one. */
  receiveOtherZoneChange: (revision: number) => void;
  /** Sequence of the current configuration of each member. */
  configurationSequences: () => number[];
  /** Simulated time, in milliseconds. */
  now: () => number;
};

/** Creates a zone whose members know each other. In a `coldStart` they only know the addresses of the first members. */
export const createSimulatedZone = (memberCount: number, random: Random, coldStart = false): SimulatedZone => {
  const records = createMemberRecords(memberCount, ZONE);
  const watchers = rendezvousOrder(`watch/${ZONE}`, records.map(({host}) => host)).slice(0, WATCHER_COUNT);
  const platform: {version: number; configuration: Configuration | undefined} = {version: 0, configuration: undefined};
  const scheduledEvents = new Map<number, ScheduledEvent[]>();
  let now = 0;
  let stats = createEmptyStats();

  const processes = records.map((record): SimulatedProcess => {
    const state = createFleetState({...record, startedAt: record.generation, contacts: coldStart ? records.slice(0, CONTACT_COUNT).map(({address}) => address) : []});
    Object.assign(state.self, record);
    if (!coldStart) {
      seedFleetState(state, records, watchers);
    }

    const codec = createEnvelopeCodec({...record, fleetKey: 'fleet-key', wallClock: () => WALL_CLOCK_START_MS + now});
    return {
      state, codec, tickAt: random() * TICK_INTERVAL_MS, aggregator: record.host === watchers[0],
    };
  });
  if (!coldStart) {
    distributeZoneSummary(processes, random);
  }

  const byAddress = new Map(processes.map(process => [process.state.self.address, process]));

  const schedule = (process: SimulatedProcess, event: FleetEvent): void => {
    const at = now + STEP_MS + (Math.floor(random() * MESSAGE_DELAY_MAX_MS / STEP_MS) * STEP_MS);
    const step = Math.ceil(at / STEP_MS);
    const events = scheduledEvents.get(step) ?? [];
    events.push({at, process, event});
    scheduledEvents.set(step, events);
  };

  const countAggregatorMessage = (process: SimulatedProcess, bytes: number): void => {
    if (process.aggregator) {
      stats.aggregatorMessages++;
      stats.aggregatorBytes += bytes;
    }
  };

  const sendMessage = (from: SimulatedProcess, address: string, message: Message): void => {
    const bytes = Buffer.byteLength(JSON.stringify(from.codec.seal(address, message)));
    const target = byAddress.get(address);
    stats.messages++;
    stats.bytes += bytes;
    countAggregatorMessage(from, bytes);
    if (target !== undefined) {
      countAggregatorMessage(target, bytes);
      schedule(target, {kind: 'message-received', message});
    }
  };

  const sendConfigurationView = (process: SimulatedProcess, by: 'read' | 'watch'): void => {
    schedule(process, {kind: 'configuration-read', view: {by, configuration: platform.configuration, version: platform.version === 0 ? undefined : platform.version}});
  };

  const applyAction = (process: SimulatedProcess, action: FleetAction): void => {
    switch (action.kind) {
      case 'send': {
        sendMessage(process, action.address, action.message);
        break;
      }

      case 'watch-platform': {
        stats.platformWatches++;
        if (action.read) {
          stats.platformReads++;
          sendConfigurationView(process, 'read');
        }

        break;
      }

      case 'write-status': {
        stats.platformWrites++;
        schedule(process, {kind: 'status-written'});
        break;
      }

      case 'write-configuration': {
        stats.platformWrites++;
        break;
      }

      case 'configuration-in-force': {
        stats.adoptedAtMs.push(now);
        break;
      }

      case 'members-changed':
      case 'stop-watching':
      case 'report': {
        break;
      }
    }
  };

  /** Decides on all events before any action is applied, so that processor time is read only once per batch; returns the time. */
  const decideAll = (events: readonly ScheduledEvent[]): number => {
    const before = processorMicroseconds();
    const decisions = events.map(({process, event}) => ({process, actions: decideFleet(process.state, event, now, random)}));
    const elapsedUs = processorMicroseconds() - before;
    for (const {process, actions} of decisions) {
      for (const action of actions) {
        applyAction(process, action);
      }
    }

    return elapsedUs;
  };

  const advanceStep = (): void => {
    const key = Math.round(now / STEP_MS);
    const dueEvents = scheduledEvents.get(key) ?? [];
    scheduledEvents.delete(key);
    for (const process of processes.filter(({tickAt}) => tickAt <= now)) {
      process.tickAt += TICK_INTERVAL_MS;
      dueEvents.push({at: now, process, event: {kind: 'tick'}});
    }

    const aggregatorUs = decideAll(dueEvents.filter(({process}) => process.aggregator));
    stats.aggregatorUs += aggregatorUs;
    stats.processorUs += aggregatorUs + decideAll(dueEvents.filter(({process}) => !process.aggregator));
    now += STEP_MS;
  };

  const createRelayMessage = (revision: number): Message => {
    const [entry] = createSummaryEntries(1, 'zone-1');
    const version = SERVICES_PER_OTHER_ZONE + revision;
    return {
      from: {
        host: 'relay', zone: 'zone-1', address: 'zone-1-relay:7101', incarnation: 'relay-1', generation: 1, version: 1, sequence: 0, hash: emptyConfiguration.hash, digest: 1,
      },
      body: {
        kind: 'zones',
        parts: [{
          stamp: {
            zone: 'zone-1', epoch: 1, publisher: 'zone-1', version,
          },
          from: version - 1,
          entries: [{...entry!, version}],
          last: true,
        }],
      },
    };
  };

  return {
    advance(milliseconds) {
      stats = createEmptyStats();
      for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MS) {
        advanceStep();
      }

      return stats;
    },
    publishConfiguration(configuration) {
      platform.version++;
      platform.configuration = configuration;
      for (const process of processes.filter(({state}) => watchers.includes(state.self.host))) {
        sendConfigurationView(process, 'watch');
      }
    },
    toggleDraining(index) {
      const process = processes[index]!;
      const backend = process.state.self.backend!;
      schedule(process, {kind: 'local-changed', backend: {...backend, draining: !backend.draining}});
    },
    receiveOtherZoneChange(revision) {
      schedule(processes.find(({aggregator}) => aggregator)!, {kind: 'message-received', message: createRelayMessage(revision)});
    },
    now: () => now,
    configurationSequences: () => processes.map(({state}) => state.configuration.current.sequence),
  };
};
