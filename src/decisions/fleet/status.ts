/** Status of a zone: members report to the aggregator, which writes one object. */
import type {Random} from '../../shared/random.js';
import {
  CONFIGURATION_SPREAD_MS, LAG_REPORTS_PER_MS, REPORTS_PER_MS, STATUS_BYTES_PER_MS, STATUS_INTERVAL_MS, WRITE_TIMEOUT_MS,
} from './constants.js';
import type {MemberRecord, Sender} from './message.js';
import {isAggregator} from './roles.js';
import {send} from './sending.js';
import type {
  FleetAction, FleetState, Member, StatusState, ZoneStatus,
} from './state.js';
import {isStale} from './zone-summary.js';

/** Creates the state of a process that has not reported yet. */
export const createStatusState = (): StatusState => ({
  lastContent: '', nextWriteAt: 0, writingUntil: undefined, nextReportAt: 0, nextLagReportAt: 0, reported: '',
});

/** Notes the sequence that the sender has in effect. */
export const noteSequence = (state: FleetState, from: Sender, now: number): void => {
  const member = state.membership.members.get(from.host);
  if (member?.record.incarnation === from.incarnation) {
    member.sequence = from.sequence;
    member.sequenceAt = now;
  }
};

/** Notes why a member lags. */
export const handleReport = (state: FleetState, from: Sender, reason: string): void => {
  const member = state.membership.members.get(from.host);
  if (member !== undefined) {
    member.reason = reason;
  }
};

/** Why this process does not have the highest sequence it heard of; empty when it has. */
export const ownLag = (state: FleetState, now: number): string => {
  const {current, known, fault} = state.configuration;
  if (known.sequence <= current.sequence || now - known.since < CONFIGURATION_SPREAD_MS) {
    return '';
  }

  return fault === '' ? `no process that has sequence ${known.sequence} answered` : fault;
};

/**
Sends the sequence in effect to the aggregator. It is not in the gossiped record, because one configuration change
would then change the records of all members: 955 records, 0.4 times a second, are 73 KB/s for every process.
*/
const sendReport = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const aggregator = state.membership.members.get(state.roles.holders[0] ?? '')?.record;
  const reason = ownLag(state, now);
  const nextReportAt = reason === '' ? state.status.nextReportAt : state.status.nextLagReportAt;
  const content = `${aggregator?.incarnation} ${state.configuration.current.sequence} ${reason}`;
  if (aggregator === undefined || now < nextReportAt || content === state.status.reported) {
    return [];
  }

  const {size} = state.membership.members;
  const spread = 0.5 + random();
  state.status.nextReportAt = now + (spread * Math.max(STATUS_INTERVAL_MS, size / REPORTS_PER_MS));
  state.status.nextLagReportAt = now + (spread * Math.max(STATUS_INTERVAL_MS, size / LAG_REPORTS_PER_MS));
  state.status.reported = content;
  return [send(state, aggregator.address, {kind: 'report', reason})];
};

const reasonOf = (state: FleetState, member: Member): string => {
  const {current, receivedAt} = state.configuration;
  if (member.record.state !== 'alive') {
    return member.record.state === 'suspect' ? 'does not answer' : 'is dead';
  }

  const isLate = member.sequence < current.sequence && member.sequenceAt >= receivedAt + CONFIGURATION_SPREAD_MS;
  return member.reason === '' && isLate ? 'has not fetched the newest configuration' : member.reason;
};

const describeMember = (record: MemberRecord, sequence: number, ageMs: number): ZoneStatus['members'][number] => ({
  host: record.host,
  incarnation: record.incarnation,
  state: record.state,
  sequence,
  ageMs: Math.round(ageMs),
  ...(record.backend === undefined ? {} : {service: record.backend.service, slots: record.backend.slots, draining: record.backend.draining}),
});

/** Composes the status of the zone as this process sees it. */
export const composeStatus = (state: FleetState, now: number): ZoneStatus => {
  const {current, source, receivedAt} = state.configuration;
  const members = [...state.membership.members.values()];
  const lag = ownLag(state, now);
  const own = {host: state.self.host, sequence: current.sequence, reason: lag};
  const others = members
    .filter(member => member.record.state !== 'left')
    .map(member => ({host: member.record.host, sequence: member.sequence, reason: reasonOf(state, member)}));
  return {
    zone: state.self.zone,
    aggregator: state.roles.holders[0] ?? state.self.host,
    watchers: state.roles.holders,
    sequence: current.sequence,
    hash: current.hash,
    source,
    ageMs: Math.round(now - receivedAt),
    members: [
      describeMember(state.self, current.sequence, 0),
      ...members.map(member => describeMember(member.record, member.sequence, now - member.sequenceAt)),
    ],
    lagging: [own, ...others].filter(({reason}) => reason !== ''),
    zones: [...state.zones.feeds.keys()].filter(zone => zone !== state.self.zone).map(zone => ({zone, stale: isStale(state, zone)})),
  };
};

const writeStatus = (state: FleetState, now: number): FleetAction[] => {
  const {status: own} = state;
  if (own.writingUntil !== undefined && now < own.writingUntil) {
    return [];
  }

  own.writingUntil = undefined;
  if (now < own.nextWriteAt) {
    return [];
  }

  const status = composeStatus(state, now);
  const content = JSON.stringify({...status, ageMs: 0, members: status.members.map(member => ({...member, ageMs: 0}))});
  own.nextWriteAt = now + Math.max(STATUS_INTERVAL_MS, content.length / STATUS_BYTES_PER_MS);
  if (content === own.lastContent) {
    return [];
  }

  own.lastContent = content;
  own.writingUntil = now + WRITE_TIMEOUT_MS;
  return [{kind: 'write-status', status}];
};

/** Writes the status as aggregator, or reports to the aggregator. */
export const tickStatus = (state: FleetState, now: number, random: Random): FleetAction[] =>
  isAggregator(state) ? writeStatus(state, now) : sendReport(state, now, random);

/** Ends the write; a failed one is repeated after the usual interval. */
export const endStatusWrite = (state: FleetState, written: boolean): void => {
  state.status.writingUntil = undefined;
  state.status.lastContent = written ? state.status.lastContent : '';
};
