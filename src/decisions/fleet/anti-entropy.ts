/** Anti-entropy: two members compare all their records; also attempts to reach addresses that are no live members. */
import {hash32} from '../../shared/hash.js';
import type {Random} from '../../shared/random.js';
import {
  SYNC_BUCKET_COUNT, SYNC_BYTES_MAX, SYNC_INTERVAL_MS, RECONNECT_INTERVAL_MS,
} from './constants.js';
import {applyRecords, recordsToRefute, takeReconnectTurn} from './membership.js';
import type {MessageBody, MemberRecord, ReceivedMessage} from './message.js';
import {
  isLive, liveMembers, reply, sample, send, takeWithinBytes,
} from './sending.js';
import type {FleetAction, FleetState} from './state.js';

/** Modulus of the sums of record hashes; keeps them below 2^32. */
const HASH_RANGE = 4_294_967_296;

const bucketOf = (host: string): number => hash32(host) % SYNC_BUCKET_COUNT;

const allRecords = (state: FleetState): MemberRecord[] =>
  [{...state.self}, ...[...state.membership.members.values()].map(member => member.record)];

/** Sums the record hashes per bucket. Dead records are left out, because members drop them at different times. */
const hashBuckets = (state: FleetState): number[] => {
  const buckets = Array.from({length: SYNC_BUCKET_COUNT}, () => 0);
  for (const record of allRecords(state).filter(candidate => isLive(candidate))) {
    const index = bucketOf(record.host);
    buckets[index] = (buckets[index]! + hash32(`${record.host}/${record.incarnation}/${record.generation}/${record.version}`)) % HASH_RANGE;
  }

  return buckets;
};

const groupByBucket = (records: readonly MemberRecord[]): MemberRecord[][] => {
  const groups: MemberRecord[][] = Array.from({length: SYNC_BUCKET_COUNT}, () => []);
  for (const record of records) {
    groups[bucketOf(record.host)]!.push(record);
  }

  return groups;
};

const syncBody = (state: FleetState): MessageBody => ({kind: 'sync', record: {...state.self}, buckets: hashBuckets(state)});

/** Addresses of dead members and of contacts in this zone that are no live members. */
const reconnectAddresses = (state: FleetState): string[] => {
  const live = new Set([state.self.address, ...liveMembers(state).map(record => record.address)]);
  const dead = [...state.membership.members.values()].map(member => member.record).filter(record => record.state === 'dead');
  const ownContacts = state.contacts.filter(address => (state.zones.contactZones.get(address) ?? state.self.zone) === state.self.zone);
  return [...new Set([...dead.map(record => record.address), ...ownContacts])].filter(address => !live.has(address));
};

/** Starts a sync with a random member when due, and one with an address that is no live member, so that separated groups merge again. */
export const tickAntiEntropy = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const actions: FleetAction[] = [];
  if (now >= state.membership.nextSyncAt) {
    state.membership.nextSyncAt = now + SYNC_INTERVAL_MS;
    actions.push(...sample(liveMembers(state), 1, random).map(record => send(state, record.address, syncBody(state))));
  }

  if (takeReconnectTurn(state, now)) {
    actions.push(...sample(reconnectAddresses(state), 1, random).map(address => send(state, address, syncBody(state))));
  }

  return actions;
};

/** Replies with the records of the buckets whose hashes differ, as many as fit. */
export const handleSync = (state: FleetState, {from, body}: ReceivedMessage<'sync'>, now: number, random: Random): FleetAction[] => {
  if (from.zone !== state.self.zone) {
    // Records are only exchanged within a zone; the notice makes the other process request the zone summaries.
    return [reply(state, from, {kind: 'zones-notice'})];
  }

  const actions = applyRecords(state, [body.record], now);
  const ownHashes = hashBuckets(state);
  const differing = ownHashes.map((_, index) => index).filter(index => ownHashes[index] !== body.buckets[index]);
  const offset = Math.floor(random() * differing.length);
  const orderedBuckets = [...differing.slice(offset), ...differing.slice(0, offset)];
  const byBucket = groupByBucket(allRecords(state));
  const records = [...recordsToRefute(state, from), ...orderedBuckets.flatMap(index => byBucket[index]!)];
  const fitting = takeWithinBytes(records, SYNC_BYTES_MAX);
  return [...actions, reply(state, from, {
    kind: 'sync-reply', records: fitting, buckets: orderedBuckets, more: fitting.length < records.length,
  })];
};

/** Applies the records of the other member, and sends it those that it lacks or has in an older version. */
export const handleSyncReply = (state: FleetState, {from, body}: ReceivedMessage<'sync-reply'>, now: number): FleetAction[] => {
  const actions = applyRecords(state, body.records, now);
  if (body.more) {
    state.membership.nextSyncAt = Math.min(state.membership.nextSyncAt, now + RECONNECT_INTERVAL_MS);
  }

  const buckets = new Set(body.buckets);
  const seen = new Map(body.records.map(record => [record.host, record]));
  const missing = [...recordsToRefute(state, from), ...allRecords(state)].filter(record => {
    const theirs = seen.get(record.host);
    const isSame = theirs?.version === record.version && theirs.incarnation === record.incarnation && theirs.state === record.state;
    return buckets.has(bucketOf(record.host)) && !isSame && (theirs !== undefined || !body.more);
  });
  return missing.length === 0 ? actions : [...actions, send(state, from.address, {kind: 'records', records: takeWithinBytes(missing, SYNC_BYTES_MAX)})];
};
