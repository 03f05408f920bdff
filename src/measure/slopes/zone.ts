/** One zone of fleet decisions that exchange messages in memory, with a made-up platform and silent other zones. */
import {Buffer} from 'node:buffer';
import {createEnvelopeCodec, type EnvelopeCodec} from '../../daemon/fleet/envelope.js';
import {
  createFleetState, decideFleet, type FleetAction, type FleetEvent, type FleetState, type MemberRecord, type Message, type SummaryEntry,
} from '../../decisions/fleet/fleet.js';
import {emptyConfiguration, type Configuration} from '../../objects/configuration.js';
import {rendezvousOrder} from '../../shared/hash.js';
import type {Random} from '../../shared/random.js';
import {createMembers, createSummary} from './generators.js';
import {processorMicroseconds} from './meter.js';

const ZONE = 'zone-0';
const STEP_MS = 10;
const TICK_MS = 100;
const DELAY_MS = 5;
const WATCHERS = 2;
const CONTACTS = 3;
/** Other zones, each with a summary of this many services. Their full size only matters to the members' memory. */
const OTHER_ZONES = 21;
const OTHER_SERVICES = 10;
const WALL_MS = 1_700_000_000_000;

/** What happened in a stretch of time, over all members. */
export type Traffic = {
  messages: number;
  /** Bytes of the envelopes as JSON. */
  bytes: number;
  /** Processor time of the decisions, in microseconds. */
  processorUs: number;
  /** Part of it that the status aggregator took. */
  aggregatorUs: number;
  /** Messages and bytes that the aggregator sent or received. */
  aggregatorMessages: number;
  aggregatorBytes: number;
  /** Times at which members had each configuration sequence in effect, in milliseconds. */
  adoptedAt: number[];
  platformReads: number;
  platformWatches: number;
  platformWrites: number;
};

type Process = {state: FleetState; codec: EnvelopeCodec; tickAt: number; aggregator: boolean};
type Delivery = {at: number; process: Process; event: FleetEvent};

const noTraffic = (): Traffic => ({
  messages: 0, bytes: 0, processorUs: 0, aggregatorUs: 0, aggregatorMessages: 0, aggregatorBytes: 0, adoptedAt: [], platformReads: 0, platformWatches: 0, platformWrites: 0,
});

/** Sum of stretches. */
export const addTraffic = (parts: readonly Traffic[]): Traffic => {
  const total = noTraffic();
  for (const part of parts) {
    total.messages += part.messages;
    total.bytes += part.bytes;
    total.processorUs += part.processorUs;
    total.aggregatorUs += part.aggregatorUs;
    total.aggregatorMessages += part.aggregatorMessages;
    total.aggregatorBytes += part.aggregatorBytes;
    total.adoptedAt.push(...part.adoptedAt);
    total.platformReads += part.platformReads;
    total.platformWatches += part.platformWatches;
    total.platformWrites += part.platformWrites;
  }

  return total;
};

const feedOf = (zone: string) => ({
  stamp: {
    zone, epoch: 1, publisher: zone, version: OTHER_SERVICES,
  },
  entries: new Map([
    ['', {
      epoch: 1, publisher: zone, entry: {
        kind: 'zone', version: 1, relays: [`${zone}-relay:7101`], unheard: [],
      },
    }],
    ...createSummary(OTHER_SERVICES, zone).map(entry => [entry.kind === 'service' ? entry.service : '', {epoch: 1, publisher: zone, entry}] as const),
  ]),
});

const introduce = (state: FleetState, records: readonly MemberRecord[], holders: string[]): void => {
  for (const other of records.filter(({host}) => host !== state.self.host)) {
    state.membership.members.set(other.host, {
      record: other, since: 0, sequence: 0, sequenceAt: 0, reason: '',
    });
  }

  for (let zone = 1; zone <= OTHER_ZONES; zone++) {
    state.zones.feeds.set(`zone-${zone}`, feedOf(`zone-${zone}`));
  }

  state.roles.holders = holders;
};

/** Gives all members the summary that the aggregator publishes; otherwise its spread would last into the measured time. */
const shareOwnSummary = (processes: readonly Process[], random: Random): void => {
  const publisher = processes.find(({aggregator}) => aggregator)!.state;
  decideFleet(publisher, {kind: 'tick'}, 0, random);
  const {stamp, entries} = publisher.zones.feeds.get(ZONE)!;
  for (const {state} of processes) {
    state.zones.feeds.set(ZONE, {stamp, entries: new Map(entries)});
    state.zones.digest = publisher.zones.digest;
    state.zones.noticeDue = false;
  }
};

/** Running zone. */
export type Zone = {
  /** Lets time pass and returns what happened. */
  run: (milliseconds: number) => Traffic;
  /** Shows a configuration to the watchers, as the platform does after a change. */
  showConfiguration: (configuration: Configuration) => void;
  /** Makes one member announce a draining backend server, or one that no longer drains. */
  changeMember: (index: number) => void;
  /** Lets a relay of another zone tell a relay of this one of a change in its summary. */
  changeOtherZone: (revision: number) => void;
  sequences: () => number[];
  /** Simulated time, in milliseconds. */
  now: () => number;
};

/** Creates a zone whose members know each other, or know only the addresses of the first ones when they are `strangers`. */
export const createZone = (members: number, random: Random, strangers = false): Zone => {
  const records = createMembers(members, ZONE);
  const holders = rendezvousOrder(`watch/${ZONE}`, records.map(({host}) => host)).slice(0, WATCHERS);
  const platform: {version: number; head: Configuration | undefined} = {version: 0, head: undefined};
  const timeline = new Map<number, Delivery[]>();
  let now = 0;
  let traffic = noTraffic();

  const processes = records.map((record): Process => {
    const state = createFleetState({...record, startedAt: record.generation, contacts: strangers ? records.slice(0, CONTACTS).map(({address}) => address) : []});
    Object.assign(state.self, record);
    if (!strangers) {
      introduce(state, records, holders);
    }

    const codec = createEnvelopeCodec({...record, key: 'fleet-key', wallClock: () => WALL_MS + now});
    return {
      state, codec, tickAt: random() * TICK_MS, aggregator: record.host === holders[0],
    };
  });
  if (!strangers) {
    shareOwnSummary(processes, random);
  }

  const byAddress = new Map(processes.map(process => [process.state.self.address, process]));

  const later = (process: Process, event: FleetEvent): void => {
    const at = now + STEP_MS + (Math.floor(random() * DELAY_MS / STEP_MS) * STEP_MS);
    const step = Math.ceil(at / STEP_MS);
    const deliveries = timeline.get(step) ?? [];
    deliveries.push({at, process, event});
    timeline.set(step, deliveries);
  };

  const countBytes = (process: Process, bytes: number): void => {
    if (process.aggregator) {
      traffic.aggregatorMessages++;
      traffic.aggregatorBytes += bytes;
    }
  };

  const deliver = (from: Process, address: string, message: Message): void => {
    const bytes = Buffer.byteLength(JSON.stringify(from.codec.seal(address, message)));
    const target = byAddress.get(address);
    traffic.messages++;
    traffic.bytes += bytes;
    countBytes(from, bytes);
    if (target !== undefined) {
      countBytes(target, bytes);
      later(target, {kind: 'message-received', message});
    }
  };

  const show = (process: Process, by: 'read' | 'watch'): void => {
    later(process, {kind: 'configuration-read', view: {by, configuration: platform.head, version: platform.version === 0 ? undefined : platform.version}});
  };

  const perform = (process: Process, action: FleetAction): void => {
    switch (action.kind) {
      case 'send': {
        deliver(process, action.address, action.message);
        break;
      }

      case 'watch-platform': {
        traffic.platformWatches++;
        if (action.read) {
          traffic.platformReads++;
          show(process, 'read');
        }

        break;
      }

      case 'write-status': {
        traffic.platformWrites++;
        later(process, {kind: 'status-written'});
        break;
      }

      case 'write-configuration': {
        traffic.platformWrites++;
        break;
      }

      case 'configuration-in-force': {
        traffic.adoptedAt.push(now);
        break;
      }

      case 'members-changed':
      case 'stop-watching':
      case 'report': {
        break;
      }
    }
  };

  /** Decides on events in one go, so that the clock of the processor is read once. */
  const decideAll = (deliveries: readonly Delivery[]): number => {
    const before = processorMicroseconds();
    const decided = deliveries.map(({process, event}) => ({process, actions: decideFleet(process.state, event, now, random)}));
    const spent = processorMicroseconds() - before;
    for (const {process, actions} of decided) {
      for (const action of actions) {
        perform(process, action);
      }
    }

    return spent;
  };

  const step = (): void => {
    const key = Math.round(now / STEP_MS);
    const due = timeline.get(key) ?? [];
    timeline.delete(key);
    for (const process of processes.filter(({tickAt}) => tickAt <= now)) {
      process.tickAt += TICK_MS;
      due.push({at: now, process, event: {kind: 'tick'}});
    }

    const ofAggregator = decideAll(due.filter(({process}) => process.aggregator));
    traffic.aggregatorUs += ofAggregator;
    traffic.processorUs += ofAggregator + decideAll(due.filter(({process}) => !process.aggregator));
    now += STEP_MS;
  };

  const relayMessage = (revision: number): Message => {
    const [entry] = createSummary(1, 'zone-1');
    const version = OTHER_SERVICES + revision;
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
    run(milliseconds) {
      traffic = noTraffic();
      for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MS) {
        step();
      }

      return traffic;
    },
    showConfiguration(configuration) {
      platform.version++;
      platform.head = configuration;
      for (const process of processes.filter(({state}) => holders.includes(state.self.host))) {
        show(process, 'watch');
      }
    },
    changeMember(index) {
      const process = processes[index]!;
      const backend = process.state.self.backend!;
      later(process, {kind: 'local-changed', backend: {...backend, draining: !backend.draining}});
    },
    changeOtherZone(revision) {
      later(processes.find(({aggregator}) => aggregator)!, {kind: 'message-received', message: relayMessage(revision)});
    },
    now: () => now,
    sequences: () => processes.map(({state}) => state.configuration.current.sequence),
  };
};
