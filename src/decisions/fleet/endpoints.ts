/** Backend servers that calls can be sent to, as the fleet knows them. */
import type {Endpoint} from '../outbound/outbound.js';
import type {MemberRecord, SummaryEntry} from './message.js';
import {isLive} from './sending.js';
import type {FleetState} from './state.js';

/** Endpoint of a member's backend server; undefined when it has none or is not live. */
export const endpointOf = (record: MemberRecord): Endpoint | undefined =>
  record.backend === undefined || !isLive(record)
    ? undefined
    : {
      host: record.host,
      zone: record.zone,
      incarnation: record.incarnation,
      service: record.backend.service,
      address: record.address,
      slots: record.backend.slots,
      connections: record.backend.connections,
      draining: record.backend.draining,
      coldStartMs: record.backend.coldStartMs,
    };

// Each field is named because spreading a contact into a longer object costs 4 µs, 0.1 s for the 21,000 endpoints of the target.
const endpointsOfEntry = (zone: string, entry: SummaryEntry): Endpoint[] =>
  entry.kind === 'service'
    ? entry.contacts.map(contact => ({
      host: contact.host,
      zone,
      incarnation: contact.incarnation,
      service: entry.service,
      address: contact.address,
      slots: contact.slots,
      connections: contact.connections,
      draining: false,
      coldStartMs: contact.coldStartMs,
    }))
    : [];

/** Endpoints of another zone; a stale zone keeps its contacts, because only a call shows whether they can be reached. */
export const endpointsOfZone = (state: FleetState, zone: string): Endpoint[] =>
  zone === state.self.zone ? [] : [...state.zones.feeds.get(zone)?.entries.values() ?? []].flatMap(({entry}) => endpointsOfEntry(zone, entry));

/** All endpoints, the one of this process included. */
export const endpointsOf = (state: FleetState): Endpoint[] => [
  ...[state.self, ...[...state.membership.members.values()].map(member => member.record)]
    .map(record => endpointOf(record))
    .filter(endpoint => endpoint !== undefined),
  ...[...state.zones.feeds.keys()].flatMap(zone => endpointsOfZone(state, zone)),
];
