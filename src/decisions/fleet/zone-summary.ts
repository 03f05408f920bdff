/**
Summaries of zones: per service a count, the slots and a few contacts. The first member of a zone publishes its summary
as entries with growing versions; everyone else asks for the entries after the version it has.
*/
import {hash32, rendezvousOrder} from '../../shared/hash.js';
import type {Random} from '../../shared/random.js';
import {
  CONTACTS_PER_SERVICE, EXCHANGE_INTERVAL_MS, NOTICE_INTERVAL_MS, REPAIR_BYTES_MAX, SERVICES_PER_ZONE_MAX, SPREAD_COUNT,
  SUMMARY_PULL_INTERVAL_MS, ZONES_MAX, ZONE_STALE_MS, ZONE_STALE_PER_ZONE_MS,
} from './constants.js';
import type {
  Body, MemberRecord, Received, Sender, Stamp, SummaryEntry, SummaryPart, ZoneContact,
} from './message.js';
import {isAggregator, isRelay} from './roles.js';
import {
  isLive, liveMembers, reply, report, sample, send, takeWithin,
} from './sending.js';
import type {
  FleetAction, FleetState, ZoneFeed, ZonesState,
} from './state.js';

type Draft = SummaryEntry extends infer Entry ? (Entry extends SummaryEntry ? Omit<Entry, 'version'> : never) : never;

/** Key of the entry about the zone itself; no service has an empty name. */
const ZONE_KEY = '';

/** Creates the state of a process that knows no other zone. */
export const createZonesState = (): ZonesState => ({
  feeds: new Map(),
  heardAt: new Map(),
  contactZones: new Map(),
  digest: 0,
  changed: new Set(),
  publishDue: true,
  nextPublishAt: 0,
  nextExchangeAt: 0,
  nextPullAt: 0,
  noticeDue: false,
  nextNoticeAt: 0,
  turn: 0,
});

const keyOf = (entry: Draft): string => (entry.kind === 'service' ? entry.service : ZONE_KEY);

const comparePublications = (a: Stamp, b: Stamp): number =>
  a.epoch - b.epoch || (a.publisher === b.publisher ? 0 : (a.publisher > b.publisher ? 1 : -1));

const stampsOf = (state: FleetState): Stamp[] => [...state.zones.feeds.values()].map(feed => feed.stamp);

const touch = (state: FleetState, zone: string): void => {
  const {zones} = state;
  const stamps = stampsOf(state).map(stamp => `${stamp.zone}/${stamp.epoch}/${stamp.publisher}/${stamp.version}`);
  zones.digest = hash32(stamps.sort().join(' '));
  zones.changed.add(zone);
  zones.noticeDue = true;
};

/** Whether a zone has not been heard from for so long that its summary may be out of date. */
export const isUnheard = (state: FleetState, zone: string, now: number): boolean =>
  now - (state.zones.heardAt.get(zone) ?? 0) > ZONE_STALE_MS + (state.zones.feeds.size * ZONE_STALE_PER_ZONE_MS);

const publishedUnheard = (state: FleetState): string[] => {
  const entry = state.zones.feeds.get(state.self.zone)?.entries.get(ZONE_KEY)?.entry;
  return entry?.kind === 'zone' ? entry.unheard : [];
};

/** Whether the zone's relays have not heard from another zone for long. Its contacts stay in use. */
export const isStale = (state: FleetState, zone: string): boolean => publishedUnheard(state).includes(zone);

const contactOf = (record: MemberRecord): ZoneContact => ({
  host: record.host,
  address: record.address,
  incarnation: record.incarnation,
  slots: record.backend!.slots,
  connections: record.backend!.connections,
  coldStartMs: record.backend!.coldStartMs,
});

const summarizeService = (service: string, records: readonly MemberRecord[]): Draft => {
  const serving = records.filter(record => !record.backend!.draining);
  const byHost = new Map(serving.map(record => [record.host, record]));
  const hosts = rendezvousOrder(`contact/${service}`, [...byHost.keys()]).slice(0, CONTACTS_PER_SERVICE);
  return {
    kind: 'service',
    service,
    count: serving.length,
    slots: serving.reduce((total, record) => total + record.backend!.slots, 0),
    contacts: hosts.map(host => contactOf(byHost.get(host)!)),
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

const draftEntries = (state: FleetState, now: number): Draft[] => {
  const addresses = new Map([state.self, ...liveMembers(state)].map(record => [record.host, record.address]));
  const unheard = [...state.zones.feeds.keys()].filter(zone => zone !== state.self.zone && isUnheard(state, zone, now));
  const relays = state.roles.holders.map(host => addresses.get(host)).filter(address => address !== undefined);
  const serving = [state.self, ...liveMembers(state)].filter(record => isLive(record));
  const services = [...groupByService(serving)].map(([service, records]) => summarizeService(service, records));
  return [{kind: 'zone', relays, unheard}, ...services.slice(0, SERVICES_PER_ZONE_MAX)];
};

/** Feed that this process publishes. It starts a new epoch when another process published before. */
const ownFeed = (state: FleetState): ZoneFeed => {
  const {feeds} = state.zones;
  const publisher = `${state.self.host}/${state.self.incarnation}`;
  const known = feeds.get(state.self.zone);
  if (known?.stamp.publisher === publisher) {
    return known;
  }

  const feed: ZoneFeed = {
    stamp: {
      zone: state.self.zone, epoch: (known?.stamp.epoch ?? 0) + 1, publisher, version: 0,
    },
    entries: new Map(),
  };
  feeds.set(state.self.zone, feed);
  return feed;
};

const sameContent = (entry: SummaryEntry | undefined, draft: Draft): boolean =>
  entry !== undefined && JSON.stringify(entry) === JSON.stringify({...draft, version: entry.version});

const putEntry = (feed: ZoneFeed, draft: Draft): void => {
  feed.stamp = {...feed.stamp, version: feed.stamp.version + 1};
  const {epoch, publisher, version} = feed.stamp;
  feed.entries.set(keyOf(draft), {epoch, publisher, entry: {...draft, version}});
};

const reportStale = (before: readonly string[], after: readonly string[]): FleetAction[] => [
  ...after.filter(zone => !before.includes(zone)).map(zone => report({kind: 'zone-stale', zone})),
  ...before.filter(zone => !after.includes(zone)).map(zone => report({kind: 'zone-heard', zone})),
];

const publish = (state: FleetState, now: number): FleetAction[] => {
  const before = publishedUnheard(state);
  const feed = ownFeed(state);
  const drafts = draftEntries(state, now);
  const present = new Set(drafts.map(draft => keyOf(draft)));
  const gone = [...feed.entries.values()]
    .map(({entry}) => entry)
    .filter((entry): entry is Extract<SummaryEntry, {kind: 'service'}> => entry.kind === 'service' && !present.has(entry.service))
    .map((entry): Draft => summarizeService(entry.service, []));
  const changed = [...drafts, ...gone].filter(draft => !sameContent(feed.entries.get(keyOf(draft))?.entry, draft));
  for (const draft of changed) {
    putEntry(feed, draft);
  }

  if (changed.length === 0) {
    return [];
  }

  touch(state, state.self.zone);
  return reportStale(before, publishedUnheard(state));
};

const entryOfZone = (feed: ZoneFeed): string[] => {
  const entry = feed.entries.get(ZONE_KEY)?.entry;
  return entry?.kind === 'zone' ? entry.relays : [];
};

const addressesOf = (state: FleetState, zone: string): string[] => {
  const feed = state.zones.feeds.get(zone);
  const relays = feed === undefined ? [] : entryOfZone(feed);
  const configured = [...state.zones.contactZones].filter(([, known]) => known === zone).map(([address]) => address);
  return [...relays, ...configured];
};

const otherZones = (state: FleetState): string[] =>
  [...new Set([...state.zones.feeds.keys(), ...state.zones.contactZones.values()])].filter(zone => zone !== state.self.zone);

/** Relays of other zones. */
export const relayAddresses = (state: FleetState): string[] =>
  otherZones(state).flatMap(zone => addressesOf(state, zone).slice(0, 1));

const pullBody = (state: FleetState): Body => ({kind: 'zones-pull', stamps: stampsOf(state)});

/** Speaks with one other zone: in turn, so that the traffic does not grow with the number of zones. */
const exchange = (state: FleetState, now: number, random: Random): FleetAction[] => {
  state.zones.nextExchangeAt = now + EXCHANGE_INTERVAL_MS;
  const zones = otherZones(state);
  const zone = zones[state.zones.turn++ % Math.max(zones.length, 1)];
  const addresses = zone === undefined ? [] : addressesOf(state, zone);
  return sample(addresses, 1, random).map(address => send(state, address, pullBody(state)));
};

/** Tells some members, and relays of other zones if the own summary changed, that the summaries changed. */
const notify = (state: FleetState, now: number, random: Random): FleetAction[] => {
  state.zones.noticeDue = false;
  state.zones.nextNoticeAt = now + NOTICE_INTERVAL_MS;
  const members = sample(liveMembers(state).map(record => record.address), SPREAD_COUNT, random);
  const relays = isAggregator(state) ? relayAddresses(state) : [];
  return [...members, ...relays].map(address => send(state, address, {kind: 'zones-notice'}));
};

/** Publishes, exchanges and tells of changes when due. */
export const tickZones = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const {zones} = state;
  const actions: FleetAction[] = [];
  if (isAggregator(state) && now >= zones.nextPublishAt) {
    zones.nextPublishAt = now + EXCHANGE_INTERVAL_MS;
    actions.push(...publish(state, now));
  }

  if (isRelay(state) && now >= zones.nextExchangeAt) {
    actions.push(...exchange(state, now, random));
  }

  if (zones.noticeDue && now >= zones.nextNoticeAt) {
    actions.push(...notify(state, now, random));
  }

  return actions;
};

/** Notes from which zone a message came, and asks for summaries when the sender has other ones. */
export const noticeDigest = (state: FleetState, from: Sender, now: number): FleetAction[] => {
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

const partAfter = (feed: ZoneFeed, theirs: Stamp | undefined, bytes: number): SummaryPart[] => {
  const order = theirs === undefined ? 1 : comparePublications(feed.stamp, theirs);
  const from = order === 0 ? theirs!.version : 0;
  if (order < 0 || (order === 0 && from >= feed.stamp.version)) {
    return [];
  }

  const later = [...feed.entries.values()].map(({entry}) => entry).filter(entry => entry.version > from);
  const entries = takeWithin(later.sort((a, b) => a.version - b.version), bytes);
  const last = entries.length === later.length;
  const version = last ? feed.stamp.version : entries.at(-1)!.version;
  return [{
    stamp: {...feed.stamp, version}, from, entries, last,
  }];
};

/** Answers with what the other side lacks, as much as fits. */
export const handleZonesPull = (state: FleetState, {from, body}: Received<'zones-pull'>): FleetAction[] => {
  const known = new Map(body.stamps.map(stamp => [stamp.zone, stamp]));
  const parts = [...state.zones.feeds.values()].flatMap(feed => partAfter(feed, known.get(feed.stamp.zone), REPAIR_BYTES_MAX / 4));
  return parts.length === 0 ? [] : [reply(state, from, {kind: 'zones', parts: takeWithin(parts, REPAIR_BYTES_MAX)})];
};

const applyPart = (state: FleetState, part: SummaryPart): FleetAction[] => {
  const {feeds} = state.zones;
  const {stamp} = part;
  const known = feeds.get(stamp.zone);
  const order = known === undefined ? 1 : comparePublications(stamp, known.stamp);
  const follows = order === 0 ? part.from <= known!.stamp.version && stamp.version > known!.stamp.version : order > 0 && part.from === 0;
  if (!follows) {
    return [];
  }

  if (known === undefined && feeds.size >= ZONES_MAX) {
    return [report({kind: 'limit-reached', limit: 'zones'})];
  }

  // Entries of an earlier publisher stay in use until the new summary is complete.
  const entries = known?.entries ?? new Map<string, {epoch: number; publisher: string; entry: SummaryEntry}>();
  for (const entry of part.entries) {
    entries.set(keyOf(entry), {epoch: stamp.epoch, publisher: stamp.publisher, entry});
  }

  for (const [key, held] of entries) {
    if (part.last && (held.epoch !== stamp.epoch || held.publisher !== stamp.publisher)) {
      entries.delete(key);
    }
  }

  feeds.set(stamp.zone, {stamp, entries});
  touch(state, stamp.zone);
  return [];
};

/** Takes parts of summaries; the digest of a later message makes this process ask for what did not fit. */
export const handleZones = (state: FleetState, {body}: Received<'zones'>): FleetAction[] =>
  body.parts.flatMap(part => applyPart(state, part));
