/** Decides on membership, configuration, roles, zone summaries and status of one process of the fleet. */
import type {Random} from '../../shared/random.js';
import {
  createConfigurationState, handleConfigurationChange, handleFullConfiguration, handleConfigurationPull, handlePlatformView, handleConfigurationPosition, tickConfiguration,
} from './configuration.js';
import {
  announceBackend, sendRecordsToRefute, applyRecords, createMembershipState, handleAck, handleProbeFailure, handleIndirectAck,
  handleProbe, handleProbeRequest, announceLeave, findRecord, tickMembership,
} from './membership.js';
import type {Message} from './message.js';
import {handleSync, handleSyncReply, tickAntiEntropy} from './anti-entropy.js';
import {chooseWatchers, createRolesState, tickRoles} from './roles.js';
import {report, isLive} from './sending.js';
import type {
  FleetAction, FleetEvent, FleetOptions, FleetState,
} from './state.js';
import {
  createStatusState, endStatusWrite, handleReport, recordSequence, tickStatus,
} from './status.js';
import {handlePlatformFailure, tickWatch} from './platform-watch.js';
import {
  createZonesState, handleZones, handleZonesPull, handleSummaryDigest, tickZones,
} from './zone-summary.js';

export type * from './state.js';
export type * from './message.js';
export {messageSchema, announcementSchema} from './message.js';
export {composeStatus, ownLagReason as ownLag} from './status.js';
export {endpointOf, endpointsOf, endpointsOfZone} from './endpoints.js';
export {isZoneStale} from './zone-summary.js';

/** Creates the state of a process that only knows its settings. */
export const createFleetState = (options: FleetOptions): FleetState => ({
  self: {
    host: options.host,
    zone: options.zone,
    address: options.address,
    incarnation: options.incarnation,
    generation: options.startedAt,
    version: 1,
    state: 'alive',
    backend: undefined,
  },
  contacts: options.contacts.filter(address => address !== options.address),
  membership: createMembershipState(),
  configuration: createConfigurationState(),
  roles: createRolesState(),
  zones: createZonesState(),
  status: createStatusState(),
});

const handleBody = (state: FleetState, message: Message, now: number, random: Random): FleetAction[] => {
  const {from, body} = message;
  switch (body.kind) {
    case 'probe': {
      return handleProbe(state, {from, body}, now);
    }

    case 'ack': {
      return handleAck(state, {from, body}, now);
    }

    case 'probe-request': {
      return handleProbeRequest(state, {from, body}, now);
    }

    case 'indirect-ack': {
      return handleIndirectAck(state, {from, body});
    }

    case 'gossip': {
      return [...applyRecords(state, body.updates, now), ...sendRecordsToRefute(state, from)];
    }

    case 'sync': {
      return handleSync(state, {from, body}, now, random);
    }

    case 'sync-reply': {
      return handleSyncReply(state, {from, body}, now);
    }

    case 'records': {
      return applyRecords(state, body.records, now);
    }

    case 'configuration-pull': {
      return handleConfigurationPull(state, {from, body});
    }

    case 'configuration-change': {
      return handleConfigurationChange(state, {from, body}, now, random);
    }

    case 'configuration-full': {
      return handleFullConfiguration(state, {from, body}, now, random);
    }

    case 'zones-notice': {
      return [];
    }

    case 'zones-pull': {
      return handleZonesPull(state, {from, body});
    }

    case 'zones': {
      return handleZones(state, {from, body});
    }

    case 'report': {
      handleReport(state, from, body.reason);
      return [];
    }
  }
};

const handleMessage = (state: FleetState, message: Message, now: number, random: Random): FleetAction[] => {
  const {from} = message;
  if (from.host === state.self.host && from.incarnation === state.self.incarnation) {
    return [];
  }

  recordSequence(state, from, now);
  return [
    ...handleBody(state, message, now, random),
    ...handleConfigurationPosition(state, from, now),
    ...handleSummaryDigest(state, from, now),
  ];
};

const handleTick = (state: FleetState, now: number, random: Random): FleetAction[] => {
  tickRoles(state, now);
  return [
    ...tickMembership(state, now, random),
    ...tickAntiEntropy(state, now, random),
    ...tickWatch(state, now, random),
    ...tickConfiguration(state, now, random),
    ...tickZones(state, now, random),
    ...tickStatus(state, now, random),
  ];
};

const handleEvent = (state: FleetState, event: FleetEvent, now: number, random: Random): FleetAction[] => {
  switch (event.kind) {
    case 'message-received': {
      return handleMessage(state, event.message, now, random);
    }

    case 'message-failed': {
      return event.body.kind === 'probe' ? handleProbeFailure(state, event.body.probeId, random) : [];
    }

    case 'local-changed': {
      return announceBackend(state, event.backend);
    }

    case 'configuration-read': {
      return handlePlatformView(state, event.view, now, random);
    }

    case 'configuration-failed': {
      return handlePlatformFailure(state, event.message, now, random);
    }

    case 'status-written': {
      endStatusWrite(state, true);
      return [];
    }

    case 'status-failed': {
      endStatusWrite(state, false);
      return [report({kind: 'status-failed', message: event.message})];
    }

    case 'tick': {
      return handleTick(state, now, random);
    }

    case 'leave': {
      return announceLeave(state, random);
    }
  }
};

/** Combines the changes of one decision into a single action, so that the endpoints are updated once. */
const collectMemberChanges = (state: FleetState): FleetAction[] => {
  const {changedHosts, removedHosts} = state.membership;
  const {changedZones: zones} = state.zones;
  if (changedHosts.size + removedHosts.size + zones.size === 0) {
    return [];
  }

  if (state.membership.members.size > 0) {
    chooseWatchers(state);
  }

  const records = [...changedHosts].map(host => findRecord(state, host)).filter(record => record !== undefined);
  const action: FleetAction = {
    kind: 'members-changed',
    changed: records.filter(record => isLive(record)),
    removed: [...removedHosts, ...records.filter(record => !isLive(record)).map(record => record.host)],
    zones: [...zones].filter(zone => zone !== state.self.zone),
  };
  changedHosts.clear();
  removedHosts.clear();
  zones.clear();
  return [action];
};

/** Handles one event and returns the actions to perform; `now` is in milliseconds of a monotonic clock. */
export const decideFleet = (state: FleetState, event: FleetEvent, now: number, random: Random): FleetAction[] => {
  if (state.self.state === 'left' && event.kind !== 'message-received') {
    return [];
  }

  return [...handleEvent(state, event, now, random), ...collectMemberChanges(state)];
};
