/** Status of a zone: members report to the aggregator, which writes one object to the platform. */
import type {Random} from '../../shared/random.js';
import {
  CONFIGURATION_PROPAGATION_MS, LAG_REPORTS_PER_MS, REPORTS_PER_MS, STATUS_BYTES_PER_MS, STATUS_INTERVAL_MS, WRITE_TIMEOUT_MS,
} from './constants.js';
import type {MemberRecord, MessageSender} from './message.js';
import {isAggregator} from './roles.js';
import {send} from './sending.js';
import type {
  FleetAction, FleetState, Member, StatusState, ZoneStatus,
} from './state.js';
import {isZoneStale} from './zone-summary.js';

/** Creates the state of a process that has not reported yet. */
export const createStatusState = (): StatusState => ({
  lastWrittenContent: '', nextWriteAt: undefined, writeTimeoutAt: undefined, nextReportAt: 0, nextLagReportAt: 0, lastReport: '',
});

/** Records the sequence that the sender has in effect. */
export const recordSequence = (state: FleetState, from: MessageSender, now: number): void => {
  const member = state.membership.members.get(from.host);
  if (member?.record.incarnation === from.incarnation) {
    member.sequence = from.sequence;
    member.sequenceAt = now;
  }
};

/** Records why a member lags. */
export const handleReport = (state: FleetState, from: MessageSender, reason: string): void => {
  const member = state.membership.members.get(from.host);
  if (member !== undefined) {
    member.lagReason = reason;
  }
};

/** Why this process lags behind the highest known sequence; empty when it does not. */
export const ownLagReason = (state: FleetState, now: number): string => {
  const {current, highestKnown, rejectionReason} = state.configuration;
  if (highestKnown.sequence <= current.sequence || now - highestKnown.since < CONFIGURATION_PROPAGATION_MS) {
    return '';
  }

  return rejectionReason === '' ? `no process that has sequence ${highestKnown.sequence} answered` : rejectionReason;
};

/**
Reports the sequence in effect to the aggregator. The gossiped record does not contain it, because each configuration
change would then change the records of all members: 955 records, 0.4 times a second, are 73 KB/s for every process.
*/
const reportToAggregator = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const aggregator = state.membership.members.get(state.roles.watchers[0] ?? '')?.record;
  const reason = ownLagReason(state, now);
  const nextReportAt = reason === '' ? state.status.nextReportAt : state.status.nextLagReportAt;
  const content = `${aggregator?.incarnation} ${state.configuration.current.sequence} ${reason}`;
  if (aggregator === undefined || now < nextReportAt || content === state.status.lastReport) {
    return [];
  }

  const {size} = state.membership.members;
  const spread = 0.5 + random();
  state.status.nextReportAt = now + (spread * Math.max(STATUS_INTERVAL_MS, size / REPORTS_PER_MS));
  state.status.nextLagReportAt = now + (spread * Math.max(STATUS_INTERVAL_MS, size / LAG_REPORTS_PER_MS));
  state.status.lastReport = content;
  return [send(state, aggregator.address, {kind: 'report', reason})];
};

const lagReasonOf = (state: FleetState, member: Member): string => {
  const {current, receivedAt} = state.configuration;
  if (member.record.state !== 'alive') {
    return member.record.state === 'suspect' ? 'does not answer' : 'is dead';
  }

  const isLate = member.sequence < current.sequence && member.sequenceAt >= receivedAt + CONFIGURATION_PROPAGATION_MS;
  return member.lagReason === '' && isLate ? 'has not fetched the newest configuration' : member.lagReason;
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
  const lag = ownLagReason(state, now);
  const own = {host: state.self.host, sequence: current.sequence, reason: lag};
  const others = members
    .filter(member => member.record.state !== 'left')
    .map(member => ({host: member.record.host, sequence: member.sequence, reason: lagReasonOf(state, member)}));
  return {
    zone: state.self.zone,
    aggregator: state.roles.watchers[0] ?? state.self.host,
    watchers: state.roles.watchers,
    sequence: current.sequence,
    hash: current.hash,
    source,
    ageMs: Math.round(now - receivedAt),
    members: [
      describeMember(state.self, current.sequence, 0),
      ...members.map(member => describeMember(member.record, member.sequence, now - member.sequenceAt)),
    ],
    lagging: [own, ...others].filter(({reason}) => reason !== ''),
    zones: [...state.zones.summaries.keys()].filter(zone => zone !== state.self.zone).map(zone => ({zone, stale: isZoneStale(state, zone)})),
  };
};

const writeStatus = (state: FleetState, now: number): FleetAction[] => {
  const {status: own} = state;
  if (own.writeTimeoutAt !== undefined && now < own.writeTimeoutAt) {
    return [];
  }

  own.writeTimeoutAt = undefined;
  // A new aggregator waits, because it may not know all members yet.
  own.nextWriteAt ??= now + STATUS_INTERVAL_MS;
  if (now < own.nextWriteAt) {
    return [];
  }

  const status = composeStatus(state, now);
  const content = JSON.stringify({...status, ageMs: 0, members: status.members.map(member => ({...member, ageMs: 0}))});
  own.nextWriteAt = now + Math.max(STATUS_INTERVAL_MS, content.length / STATUS_BYTES_PER_MS);
  if (content === own.lastWrittenContent) {
    return [];
  }

  own.lastWrittenContent = content;
  own.writeTimeoutAt = now + WRITE_TIMEOUT_MS;
  return [{kind: 'write-status', status}];
};

/** Writes the status as aggregator, or reports to the aggregator. */
export const tickStatus = (state: FleetState, now: number, random: Random): FleetAction[] =>
  isAggregator(state) ? writeStatus(state, now) : reportToAggregator(state, now, random);

/** Ends a status write; a failed one is repeated after the usual interval. */
export const endStatusWrite = (state: FleetState, written: boolean): void => {
  state.status.writeTimeoutAt = undefined;
  state.status.lastWrittenContent = written ? state.status.lastWrittenContent : '';
};
