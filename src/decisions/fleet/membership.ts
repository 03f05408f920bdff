/** Membership of a zone by gossip (SWIM): records, probes, suspicion and the dissemination of updates. */
import type {Random} from '../../shared/random.js';
import {
  RECONNECT_INTERVAL_MS, INDIRECT_PROBE_DELAY_MS, INDIRECT_PROBE_COUNT, MEMBERS_MAX, PROCESS_PAUSE_MS, PROBE_INTERVAL_MS,
  RELAYED_PROBES_MAX, UPDATE_TRANSMIT_FACTOR, GOSSIP_FAN_OUT, GOSSIP_INTERVAL_MS, SUSPICION_TIMEOUT_MS, TOMBSTONE_RETENTION_MS, UPDATES_PER_MESSAGE,
} from './constants.js';
import type {
  Announcement, MessageBody, MemberRecord, ReceivedMessage, MessageSender,
} from './message.js';
import {
  isLive, liveMembers, reply, report, sample, send,
} from './sending.js';
import type {
  FleetAction, FleetState, Member, MembershipState,
} from './state.js';

const STATE_RANK = {
  alive: 0, suspect: 1, dead: 2, left: 3,
} as const;

/** Minimum time between two raises of the own generation, in milliseconds; limits the traffic when two processes use one host name. */
const GENERATION_RAISE_INTERVAL_MS = 10_000;

/** Creates the state of a process that knows no other member. */
export const createMembershipState = (): MembershipState => ({
  members: new Map(),
  updateSendCounts: new Map(),
  changedHosts: new Set(),
  removedHosts: new Set(),
  probeOrder: [],
  probe: undefined,
  relayedProbes: new Map(),
  lastProbeId: 0,
  nextProbeAt: 0,
  nextSyncAt: 0,
  nextReconnectAt: 0,
  gossipDue: false,
  nextGossipAt: 0,
  nextGenerationRaiseAt: 0,
  lastTickAt: undefined,
});

/** Orders two incarnations of a host's process by generation, then by id. */
const compareIncarnations = (a: MemberRecord, b: MemberRecord): number =>
  a.generation - b.generation || (a.incarnation === b.incarnation ? 0 : (a.incarnation > b.incarnation ? 1 : -1));

/** Whether record `a` replaces record `b` of the same host. */
export const supersedes = (a: MemberRecord, b: MemberRecord): boolean =>
  (compareIncarnations(a, b) || a.version - b.version || STATE_RANK[a.state] - STATE_RANK[b.state]) > 0;

/** Queues a host's record for the next gossip round and for the following messages. */
const enqueueUpdate = (state: FleetState, host: string): void => {
  state.membership.updateSendCounts.set(host, 0);
  state.membership.gossipDue = true;
};

/** Record of a host of the zone, this process included. */
export const findRecord = (state: FleetState, host: string): MemberRecord | undefined =>
  host === state.self.host ? {...state.self} : state.membership.members.get(host)?.record;

/** Takes the updates that were sent least often, and drops those that reached their limit; `first` records are always included. */
export const takeUpdates = (state: FleetState, first: readonly MemberRecord[] = []): MemberRecord[] => {
  const {updateSendCounts, members} = state.membership;
  const limit = UPDATE_TRANSMIT_FACTOR * Math.ceil(Math.log10(members.size + 2));
  const chosen = [...updateSendCounts].sort((a, b) => a[1] - b[1]).slice(0, UPDATES_PER_MESSAGE);
  for (const [host, count] of chosen) {
    if (count + 1 >= limit) {
      updateSendCounts.delete(host);
    } else {
      updateSendCounts.set(host, count + 1);
    }
  }

  const records = chosen.map(([host]) => findRecord(state, host)).filter(record => record !== undefined);
  return [...first, ...records.filter(record => !first.includes(record))];
};

/** Handles a record about this process: refutes one that is not alive or has a later version, and raises the own generation above that of another incarnation. */
const applyOwnRecord = (state: FleetState, record: MemberRecord, now: number): FleetAction[] => {
  const {self, membership} = state;
  if (self.state === 'left') {
    return [];
  }

  if (record.incarnation === self.incarnation) {
    if (record.state === 'alive' ? record.version <= self.version : record.version < self.version) {
      return [];
    }

    self.version = record.version + 1;
    enqueueUpdate(state, self.host);
    return [report({kind: 'refuted', version: self.version})];
  }

  // The record comes from a previous process with a fast clock, or from a second process with this host name.
  if (compareIncarnations(record, self) < 0 || now < membership.nextGenerationRaiseAt) {
    return [];
  }

  membership.nextGenerationRaiseAt = now + GENERATION_RAISE_INTERVAL_MS;
  self.generation = record.generation + 1;
  enqueueUpdate(state, self.host);
  return [report({kind: 'duplicate-host', host: record.host, incarnation: record.incarnation})];
};

const reportStateChange = (before: Member | undefined, record: MemberRecord): FleetAction[] => {
  if (before !== undefined && before.record.state !== record.state && record.state !== 'left') {
    const kind = record.state === 'alive' ? 'member-back' : (record.state === 'suspect' ? 'member-suspected' : 'member-dead');
    return [report({kind, host: record.host})];
  }

  return [];
};

/** Applies a record if it is newer than the known one. */
export const applyRecord = (state: FleetState, record: MemberRecord, now: number): FleetAction[] => {
  const {members, changedHosts, removedHosts} = state.membership;
  if (record.zone !== state.self.zone) {
    return [];
  }

  if (record.host === state.self.host) {
    return applyOwnRecord(state, record, now);
  }

  const known = members.get(record.host);
  // If unknown dead records were accepted, members would pass tombstones on to each other for ever.
  if (known === undefined ? !isLive(record) : !supersedes(record, known.record)) {
    return [];
  }

  if (known === undefined && members.size >= MEMBERS_MAX) {
    return [report({kind: 'limit-reached', limit: 'members'})];
  }

  const sameState = known?.record.state === record.state && compareIncarnations(known.record, record) === 0;
  const sameIncarnation = known?.record.incarnation === record.incarnation;
  members.set(record.host, {
    record,
    stateChangedAt: sameState ? known.stateChangedAt : now,
    sequence: sameIncarnation ? known.sequence : 0,
    sequenceAt: sameIncarnation ? known.sequenceAt : now,
    lagReason: sameIncarnation ? known.lagReason : '',
  });
  changedHosts.add(record.host);
  removedHosts.delete(record.host);
  enqueueUpdate(state, record.host);
  return reportStateChange(known, record);
};

/** Applies several records. */
export const applyRecords = (state: FleetState, records: readonly MemberRecord[], now: number): FleetAction[] =>
  records.flatMap(record => applyRecord(state, record, now));

/** Record of the sender that it has to refute, if this process has it as suspected or dead; a list of at most one. */
export const recordsToRefute = (state: FleetState, from: MessageSender): MemberRecord[] => {
  const record = state.membership.members.get(from.host)?.record;
  return record === undefined || record.state === 'alive' || record.state === 'left' ? [] : [record];
};

const declareState = (state: FleetState, member: Member, to: 'suspect' | 'dead', now: number): FleetAction[] =>
  applyRecord(state, {...member.record, state: to}, now);

const nextProbeTarget = (state: FleetState, random: Random): MemberRecord | undefined => {
  const {membership} = state;
  if (membership.probeOrder.length === 0) {
    const hosts = liveMembers(state).map(record => record.host);
    membership.probeOrder = sample(hosts, hosts.length, random);
  }

  while (membership.probeOrder.length > 0) {
    const record = membership.members.get(membership.probeOrder.pop()!)?.record;
    if (record !== undefined && isLive(record)) {
      return record;
    }
  }

  return undefined;
};

const endUnansweredProbe = (state: FleetState, now: number): FleetAction[] => {
  const {probe, members} = state.membership;
  state.membership.probe = undefined;
  const member = probe === undefined ? undefined : members.get(probe.host);
  return member?.record.state === 'alive' && member.record.address === probe!.address ? declareState(state, member, 'suspect', now) : [];
};

const startProbe = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const {membership} = state;
  membership.nextProbeAt = now + PROBE_INTERVAL_MS;
  const ended = endUnansweredProbe(state, now);
  const target = nextProbeTarget(state, random);
  if (target === undefined) {
    return ended;
  }

  const probeId = ++membership.lastProbeId;
  membership.probe = {
    probeId, host: target.host, address: target.address, sentAt: now, indirect: false,
  };
  const toRefute = target.state === 'suspect' ? [target] : [];
  return [...ended, send(state, target.address, {kind: 'probe', probeId, updates: takeUpdates(state, toRefute)})];
};

const probeIndirectly = (state: FleetState, random: Random): FleetAction[] => {
  const probe = state.membership.probe!;
  probe.indirect = true;
  const helpers = liveMembers(state).filter(record => record.host !== probe.host && record.state === 'alive');
  return sample(helpers, INDIRECT_PROBE_COUNT, random).map(helper =>
    send(state, helper.address, {
      kind: 'probe-request', probeId: probe.probeId, target: probe.host, address: probe.address,
    }));
};

const expireRecords = (state: FleetState, now: number): FleetAction[] => {
  const {members, removedHosts, changedHosts, updateSendCounts, relayedProbes} = state.membership;
  for (const [probeId, {sentAt}] of relayedProbes) {
    if (now - sentAt > PROBE_INTERVAL_MS) {
      relayedProbes.delete(probeId);
    }
  }

  const actions: FleetAction[] = [];
  for (const [host, member] of members) {
    if (member.record.state === 'suspect' && now - member.stateChangedAt >= SUSPICION_TIMEOUT_MS) {
      actions.push(...declareState(state, member, 'dead', now));
    } else if (!isLive(member.record) && now - member.stateChangedAt >= TOMBSTONE_RETENTION_MS) {
      members.delete(host);
      updateSendCounts.delete(host);
      changedHosts.delete(host);
      removedHosts.add(host);
    }
  }

  return actions;
};

/** Restarts all timeouts after a pause of this process, because members that seem silent may have answered meanwhile. */
const detectPause = (state: FleetState, now: number): FleetAction[] => {
  const {membership} = state;
  const pausedMs = now - (membership.lastTickAt ?? now);
  membership.lastTickAt = now;
  if (pausedMs < PROCESS_PAUSE_MS) {
    return [];
  }

  membership.probe = undefined;
  membership.relayedProbes.clear();
  membership.nextSyncAt = now;
  for (const member of membership.members.values()) {
    if (member.record.state === 'suspect') {
      member.stateChangedAt = now;
    }
  }

  return [report({kind: 'woke-up', pausedMs})];
};

/** Sends new updates to a few members without waiting for a probe, so that a draining or refuted host is known within seconds. */
const gossipUpdates = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const {membership} = state;
  if (!membership.gossipDue || now < membership.nextGossipAt) {
    return [];
  }

  membership.gossipDue = false;
  membership.nextGossipAt = now + GOSSIP_INTERVAL_MS;
  const body: MessageBody = {kind: 'gossip', updates: takeUpdates(state)};
  return sample(liveMembers(state), GOSSIP_FAN_OUT, random).map(record => send(state, record.address, body));
};

/** Performs the probes, expirations and gossip that are due. */
export const tickMembership = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const {membership} = state;
  const actions = detectPause(state, now);
  if (now >= membership.nextProbeAt) {
    actions.push(...startProbe(state, now, random));
  }

  const {probe} = membership;
  if (probe !== undefined && !probe.indirect && now - probe.sentAt >= INDIRECT_PROBE_DELAY_MS) {
    actions.push(...probeIndirectly(state, random));
  }

  actions.push(...expireRecords(state, now), ...gossipUpdates(state, now, random));
  return actions;
};

/** Answers a probe with an ack that carries updates back. */
export const handleProbe = (state: FleetState, {from, body}: ReceivedMessage<'probe'>, now: number): FleetAction[] => {
  const actions = applyRecords(state, body.updates, now);
  return [...actions, reply(state, from, {kind: 'ack', probeId: body.probeId, updates: takeUpdates(state, recordsToRefute(state, from))})];
};

/** Handles an ack: ends the own probe, or forwards the ack to the member on whose behalf the probe was sent. */
export const handleAck = (state: FleetState, {from, body}: ReceivedMessage<'ack'>, now: number): FleetAction[] => {
  const {membership} = state;
  const actions = applyRecords(state, body.updates, now);
  if (membership.probe?.probeId === body.probeId && membership.probe.host === from.host) {
    membership.probe = undefined;
  }

  const relayed = membership.relayedProbes.get(body.probeId);
  if (relayed !== undefined) {
    membership.relayedProbes.delete(body.probeId);
    actions.push(send(state, relayed.origin, {
      kind: 'indirect-ack', probeId: relayed.originProbeId, target: from.host, incarnation: from.incarnation,
    }));
  }

  return actions;
};

/** Probes a member on behalf of another one. */
export const handleProbeRequest = (state: FleetState, {from, body}: ReceivedMessage<'probe-request'>, now: number): FleetAction[] => {
  const {membership} = state;
  if (membership.relayedProbes.size >= RELAYED_PROBES_MAX) {
    return [];
  }

  const probeId = ++membership.lastProbeId;
  membership.relayedProbes.set(probeId, {origin: from.address, originProbeId: body.probeId, sentAt: now});
  return [send(state, body.address, {kind: 'probe', probeId, updates: takeUpdates(state)})];
};

/** Ends the own probe when another member received the target's ack. */
export const handleIndirectAck = (state: FleetState, {body}: ReceivedMessage<'indirect-ack'>): FleetAction[] => {
  const {membership} = state;
  if (membership.probe?.probeId === body.probeId && membership.probe.host === body.target) {
    membership.probe = undefined;
  }

  return [];
};

/** Repeats a failed probe through other members at once. */
export const handleProbeFailure = (state: FleetState, probeId: number, random: Random): FleetAction[] => {
  const {probe} = state.membership;
  return probe?.probeId === probeId && !probe.indirect ? probeIndirectly(state, random) : [];
};

/** Sends the record that the sender of a message has to refute, if there is one. */
export const sendRecordsToRefute = (state: FleetState, from: MessageSender): FleetAction[] => {
  const toRefute = from.zone === state.self.zone ? recordsToRefute(state, from) : [];
  return toRefute.length === 0 ? [] : [reply(state, from, {kind: 'records', records: toRefute})];
};

/** Changes what this process announces about its backend server. */
export const announceBackend = (state: FleetState, backend: Announcement | undefined): FleetAction[] => {
  state.self.backend = backend;
  state.self.version++;
  state.membership.changedHosts.add(state.self.host);
  enqueueUpdate(state, state.self.host);
  return [];
};

/** Announces to some members that this process leaves; they gossip it to the others. */
export const announceLeave = (state: FleetState, random: Random): FleetAction[] => {
  state.self.state = 'left';
  state.self.version++;
  const body: MessageBody = {kind: 'gossip', updates: [{...state.self}]};
  return sample(liveMembers(state), GOSSIP_FAN_OUT, random).map(record => send(state, record.address, body));
};

/** Whether the next attempt to reach an address that is no live member is due; if so, schedules the one after it. */
export const takeReconnectTurn = (state: FleetState, now: number): boolean => {
  const due = now >= state.membership.nextReconnectAt;
  if (due) {
    state.membership.nextReconnectAt = now + RECONNECT_INTERVAL_MS;
  }

  return due;
};
