/**
Zone summaries: for each service the number of backend servers, their slots and a few contacts. The aggregator of a zone
publishes its summary as entries with increasing versions; other processes pull the entries after the version they have.
*/
import {hash32, rendezvousOrder} from '../../shared/hash.js';
import type {Random} from '../../shared/random.js';
import {
  CONTACTS_PER_SERVICE, ZONE_EXCHANGE_INTERVAL_MS, SUMMARY_NOTICE_INTERVAL_MS, SYNC_BYTES_MAX, SERVICES_PER_ZONE_MAX, GOSSIP_FAN_OUT,
  SUMMARY_PULL_INTERVAL_MS, ZONES_MAX, ZONE_STALE_MS, ZONE_STALE_PER_ZONE_MS,
} from './constants.js';
import type {
  MessageBody, MemberRecord, ReceivedMessage, MessageSender, SummaryStamp, SummaryEntry, SummaryPart, ZoneContact,
} from './message.js';
import {isAggregator, isRelay} from './roles.js';
import {
  isLive, liveMembers, reply, report, sample, send, takeWithinBytes,
} from './sending.js';
import type {
  FleetAction, FleetState, ZoneSummary, ZonesState,
} from './state.js';

/** Entry of the own summary before it gets a version. */
type EntryDraft = SummaryEntry extends infer Entry ? (Entry extends SummaryEntry ? Omit<Entry, 'version'> : never) : never;

/** Key of the entry about the zone itself; no service has an empty name. */
const ZONE_KEY = '';

/** Creates the state of a process that knows no zone summary. */
export const createZonesState = (): ZonesState => ({
  summaries: new Map(),
  heardAt: new Map(),
  contactZones: new Map(),
  digest: 0,
  changedZones: new Set(),
  publishDue: true,
  nextPublishAt: 0,
  nextExchangeAt: 0,
  nextPullAt: 0,
  noticeDue: false,
  nextNoticeAt: 0,
  exchangeIndex: 0,
});

const keyOf = (entry: EntryDraft): string => (entry.kind === 'service' ? entry.service : ZONE_KEY);

const comparePublishers = (a: SummaryStamp, b: SummaryStamp): number =>
  a.epoch - b.epoch || (a.publisher === b.publisher ? 0 : (a.publisher > b.publisher ? 1 : -1));

const stampsOf = (state: FleetState): SummaryStamp[] => [...state.zones.summaries.values()].map(summary => summary.stamp);

const markChanged = (state: FleetState, zone: string): void => {
  const {zones} = state;
  const stamps = stampsOf(state).map(stamp => `${stamp.zone}/${stamp.epoch}/${stamp.publisher}/${stamp.version}`);
  zones.digest = hash32(stamps.sort().join(' '));
  zones.changedZones.add(zone);
  zones.noticeDue = true;
};

/** Whether no message from a zone arrived for so long that its summary may be out of date. */
export const isZoneUnheard = (state: FleetState, zone: string, now: number): boolean =>
  now - (state.zones.heardAt.get(zone) ?? 0) > ZONE_STALE_MS + (state.zones.summaries.size * ZONE_STALE_PER_ZONE_MS);

const publishedUnheard = (state: FleetState): string[] => {
  const entry = state.zones.summaries.get(state.self.zone)?.entries.get(ZONE_KEY)?.entry;
  return entry?.kind === 'zone' ? entry.unheard : [];
};

/** Whether the local zone's summary lists another zone as unheard. The contacts of a stale zone stay in use. */
export const isZoneStale = (state: FleetState, zone: string): boolean => publishedUnheard(state).includes(zone);

const createContact = (record: MemberRecord): ZoneContact => ({
  host: record.host,
  address: record.address,
  incarnation: record.incarnation,
  slots: record.backend!.slots,
  connections: record.backend!.connections,
  coldStartMs: record.backend!.coldStartMs,
});

const summarizeService = (service: string, records: readonly MemberRecord[]): EntryDraft => {
  const serving = records.filter(record => !record.backend!.draining);
  const byHost = new Map(serving.map(record => [record.host, record]));
  const hosts = rendezvousOrder(`contact/${service}`, [...byHost.keys()]).slice(0, CONTACTS_PER_SERVICE);
  return {
    kind: 'service',
    service,
    count: serving.length,
    slots: serving.reduce((total, record) => total + record.backend!.slots, 0),
    contacts: hosts.map(host => createContact(byHost.get(host)!)),
  };
};

const groupByService = (records: readonly MemberRecord[]): Map<string, MemberRecord[]> => {
  const groups = new Map<string, MemberRecord[]>();
  for (const record of records.filter(candidate => candidate.backend !== undefined)) {
    const group = groups.get(record.backend!.service) ?? [];
    group.push(record);
    groups.set(record.backend!.service, group);
  }

  return groups;
};

const draftEntries = (state: FleetState, now: number): EntryDraft[] => {
  const addresses = new Map([state.self, ...liveMembers(state)].map(record => [record.host, record.address]));
  const unheard = [...state.zones.summaries.keys()].filter(zone => zone !== state.self.zone && isZoneUnheard(state, zone, now));
  const relays = state.roles.watchers.map(host => addresses.get(host)).filter(address => address !== undefined);
  const serving = [state.self, ...liveMembers(state)].filter(record => isLive(record));
  const services = [...groupByService(serving)].map(([service, records]) => summarizeService(service, records));
  return [{kind: 'zone', relays, unheard}, ...services.slice(0, SERVICES_PER_ZONE_MAX)];
};

/** Summary that this process publishes; starts a new epoch when another process published before. */
const openOwnSummary = (state: FleetState): ZoneSummary => {
  const {summaries} = state.zones;
  const publisher = `${state.self.host}/${state.self.incarnation}`;
  const known = summaries.get(state.self.zone);
  if (known?.stamp.publisher === publisher) {
    return known;
  }

  const summary: ZoneSummary = {
    stamp: {
      zone: state.self.zone, epoch: (known?.stamp.epoch ?? 0) + 1, publisher, version: 0,
    },
    entries: new Map(),
  };
  summaries.set(state.self.zone, summary);
  return summary;
};

const sameContent = (entry: SummaryEntry | undefined, draft: EntryDraft): boolean =>
  entry !== undefined && JSON.stringify(entry) === JSON.stringify({...draft, version: entry.version});

const putEntry = (summary: ZoneSummary, draft: EntryDraft): void => {
  summary.stamp = {...summary.stamp, version: summary.stamp.version + 1};
  const {epoch, publisher, version} = summary.stamp;
  summary.entries.set(keyOf(draft), {epoch, publisher, entry: {...draft, version}});
};

const reportStaleChanges = (before: readonly string[], after: readonly string[]): FleetAction[] => [
  ...after.filter(zone => !before.includes(zone)).map(zone => report({kind: 'zone-stale', zone})),
  ...before.filter(zone => !after.includes(zone)).map(zone => report({kind: 'zone-heard', zone})),
];

const publishSummary = (state: FleetState, now: number): FleetAction[] => {
  const before = publishedUnheard(state);
  const summary = openOwnSummary(state);
  const drafts = draftEntries(state, now);
  const present = new Set(drafts.map(draft => keyOf(draft)));
  const gone = [...summary.entries.values()]
    .map(({entry}) => entry)
    .filter((entry): entry is Extract<SummaryEntry, {kind: 'service'}> => entry.kind === 'service' && !present.has(entry.service))
    .map((entry): EntryDraft => summarizeService(entry.service, []));
  const changed = [...drafts, ...gone].filter(draft => !sameContent(summary.entries.get(keyOf(draft))?.entry, draft));
  for (const draft of changed) {
    putEntry(summary, draft);
  }

  if (changed.length === 0) {
    return [];
  }

  markChanged(state, state.self.zone);
  return reportStaleChanges(before, publishedUnheard(state));
};

const relaysOf = (summary: ZoneSummary): string[] => {
  const entry = summary.entries.get(ZONE_KEY)?.entry;
  return entry?.kind === 'zone' ? entry.relays : [];
};

const addressesOfZone = (state: FleetState, zone: string): string[] => {
  const summary = state.zones.summaries.get(zone);
  const relays = summary === undefined ? [] : relaysOf(summary);
  const configured = [...state.zones.contactZones].filter(([, known]) => known === zone).map(([address]) => address);
  return [...relays, ...configured];
};

const otherZones = (state: FleetState): string[] =>
  [...new Set([...state.zones.summaries.keys(), ...state.zones.contactZones.values()])].filter(zone => zone !== state.self.zone);

/** Address of one relay or contact per other zone. */
export const relayAddresses = (state: FleetState): string[] =>
  otherZones(state).flatMap(zone => addressesOfZone(state, zone).slice(0, 1));

const pullBody = (state: FleetState): MessageBody => ({kind: 'zones-pull', stamps: stampsOf(state)});

/** Pulls summaries from one other zone, round robin, so that the traffic does not grow with the number of zones. */
const exchangeWithNextZone = (state: FleetState, now: number, random: Random): FleetAction[] => {
  state.zones.nextExchangeAt = now + ZONE_EXCHANGE_INTERVAL_MS;
  const zones = otherZones(state);
  const zone = zones[state.zones.exchangeIndex++ % Math.max(zones.length, 1)];
  const addresses = zone === undefined ? [] : addressesOfZone(state, zone);
  return sample(addresses, 1, random).map(address => send(state, address, pullBody(state)));
};

/** Notifies some members that summaries changed; the aggregator also notifies relays of other zones. */
const sendNotices = (state: FleetState, now: number, random: Random): FleetAction[] => {
  state.zones.noticeDue = false;
  state.zones.nextNoticeAt = now + SUMMARY_NOTICE_INTERVAL_MS;
  const members = sample(liveMembers(state).map(record => record.address), GOSSIP_FAN_OUT, random);
  const relays = isAggregator(state) ? relayAddresses(state) : [];
  return [...members, ...relays].map(address => send(state, address, {kind: 'zones-notice'}));
};

/** Publishes the own summary, exchanges with other zones and sends notices when due. */
export const tickZones = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const {zones} = state;
  const actions: FleetAction[] = [];
  if (isAggregator(state) && now >= zones.nextPublishAt) {
    zones.nextPublishAt = now + ZONE_EXCHANGE_INTERVAL_MS;
    actions.push(...publishSummary(state, now));
  }

  if (isRelay(state) && now >= zones.nextExchangeAt) {
    actions.push(...exchangeWithNextZone(state, now, random));
  }

  if (zones.noticeDue && now >= zones.nextNoticeAt) {
    actions.push(...sendNotices(state, now, random));
  }

  return actions;
};

/** Records that a zone was heard from, and pulls summaries when the sender's digest differs. */
export const handleSummaryDigest = (state: FleetState, from: MessageSender, now: number): FleetAction[] => {
  const {zones, self} = state;
  if (from.zone !== self.zone) {
    zones.heardAt.set(from.zone, now);
  }

  if (state.contacts.includes(from.address)) {
    zones.contactZones.set(from.address, from.zone);
  }

  if (from.digest === zones.digest || now < zones.nextPullAt) {
    return [];
  }

  zones.nextPullAt = now + SUMMARY_PULL_INTERVAL_MS;
  return [send(state, from.address, pullBody(state))];
};

const createPartAfter = (summary: ZoneSummary, theirs: SummaryStamp | undefined, bytes: number): SummaryPart[] => {
  const order = theirs === undefined ? 1 : comparePublishers(summary.stamp, theirs);
  const from = order === 0 ? theirs!.version : 0;
  if (order < 0 || (order === 0 && from >= summary.stamp.version)) {
    return [];
  }

  const later = [...summary.entries.values()].map(({entry}) => entry).filter(entry => entry.version > from);
  const entries = takeWithinBytes(later.sort((a, b) => a.version - b.version), bytes);
  const last = entries.length === later.length;
  const version = last ? summary.stamp.version : entries.at(-1)!.version;
  return [{
    stamp: {...summary.stamp, version}, from, entries, last,
  }];
};

/** Replies with the parts of summaries that the sender lacks, as many as fit. */
export const handleZonesPull = (state: FleetState, {from, body}: ReceivedMessage<'zones-pull'>): FleetAction[] => {
  const known = new Map(body.stamps.map(stamp => [stamp.zone, stamp]));
  const parts = [...state.zones.summaries.values()].flatMap(summary => createPartAfter(summary, known.get(summary.stamp.zone), SYNC_BYTES_MAX / 4));
  return parts.length === 0 ? [] : [reply(state, from, {kind: 'zones', parts: takeWithinBytes(parts, SYNC_BYTES_MAX)})];
};

const applySummaryPart = (state: FleetState, part: SummaryPart): FleetAction[] => {
  const {summaries} = state.zones;
  const {stamp} = part;
  const known = summaries.get(stamp.zone);
  const order = known === undefined ? 1 : comparePublishers(stamp, known.stamp);
  const isContinuation = order === 0 ? part.from <= known!.stamp.version && stamp.version > known!.stamp.version : order > 0 && part.from === 0;
  if (!isContinuation) {
    return [];
  }

  if (known === undefined && summaries.size >= ZONES_MAX) {
    return [report({kind: 'limit-reached', limit: 'zones'})];
  }

  // Entries of the previous publisher stay in use until the new summary is complete.
  const entries = known?.entries ?? new Map<string, {epoch: number; publisher: string; entry: SummaryEntry}>();
  for (const entry of part.entries) {
    entries.set(keyOf(entry), {epoch: stamp.epoch, publisher: stamp.publisher, entry});
  }

  for (const [key, stored] of entries) {
    if (part.last && (stored.epoch !== stamp.epoch || stored.publisher !== stamp.publisher)) {
      entries.delete(key);
    }
  }

  summaries.set(stamp.zone, {stamp, entries});
  markChanged(state, stamp.zone);
  return [];
};

/** Applies parts of summaries. The parts that did not fit are pulled later, because the digests still differ. */
export const handleZones = (state: FleetState, {body}: ReceivedMessage<'zones'>): FleetAction[] =>
  body.parts.flatMap(part => applySummaryPart(state, part));
