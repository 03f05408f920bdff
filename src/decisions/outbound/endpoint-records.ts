/** Records of the endpoints that calls can be sent to, indexed by service and zone. */
import type {Endpoint} from './events.js';
import {createHealth, type EndpointHealth} from './outlier-ejection.js';
import {createRetryBucket, type RetryBucket} from './retry-policy.js';
import type {SpillShares, RejectedFractions} from './spill-over.js';

/** Calls in flight beyond the slots, as a share of the slots: enough to keep them busy during a round trip. */
const EXTRA_IN_FLIGHT_SHARE = 0.25;
/** Latency assumed before any response, in milliseconds. */
const LATENCY_DEFAULT_MS = 10;

/** Endpoint of one incarnation, with what this process observed of it. */
export type EndpointRecord = {
  endpoint: Endpoint;
  /** Start of the slow start; negative infinity for a backend server that counts as warm. */
  slowStartAt: number;
  inFlight: number;
  /** Mean latency in milliseconds; 0 before the first response. */
  latencyMs: number;
  latencyAt: number;
  /** Last recorded load: queued and running calls over the concurrency limit of the backend server. */
  load: number;
  loadAt: number;
  health: EndpointHealth;
  /** Whether its process rejected a call because it is draining. */
  reportedDraining: boolean;
  /** Whether the endpoint is still in the list; attempts may outlast their endpoint. */
  listed: boolean;
  /** Generation of the endpoint list that last contained the endpoint. */
  listGeneration: number;
  /** Index in the available endpoints of its zone; -1 when not available. */
  availableIndex: number;
};

/** Endpoints of a service in one zone; `available` can take calls now. */
export type ZoneEndpoints = {available: EndpointRecord[]; endpointCount: number; rejectedFractions: RejectedFractions};

/** Endpoints of a service, with state that they share. */
export type ServiceRecord = {
  byHost: Map<string, EndpointRecord>;
  zones: Map<string, ZoneEndpoints>;
  /** Ejected endpoints, the first ejected first. */
  ejected: Set<EndpointRecord>;
  /** Ejected endpoints whose ejection time is over and that wait for a probe. */
  dueProbes: Set<EndpointRecord>;
  spillShares: SpillShares;
  retryBucket: RetryBucket;
  /** Mean latency over all endpoints, in milliseconds. */
  latencyMs: number;
};

/** Endpoints known to this process, by service. */
export type RoutingState = {
  zone: string;
  services: Map<string, ServiceRecord>;
  ejected: Set<EndpointRecord>;
  listGeneration: number;
};

/** Creates the routing state of a process in a zone, without endpoints. */
export const createRoutingState = (zone: string): RoutingState => ({
  zone, services: new Map(), ejected: new Set(), listGeneration: 0,
});

/** Maximum number of calls that this process may have in flight to an endpoint. */
export const inFlightLimit = ({slots, connections}: Endpoint): number =>
  Math.min(connections, slots + Math.max(1, Math.ceil(slots * EXTRA_IN_FLIGHT_SHARE)));

/** Whether the endpoint has reached its limit of calls in flight. */
export const isFull = (record: EndpointRecord): boolean => record.inFlight >= inFlightLimit(record.endpoint);

/** Whether the endpoint is draining; it then gets no new calls. */
export const isDraining = (record: EndpointRecord): boolean => record.endpoint.draining || record.reportedDraining;

const isAvailable = (record: EndpointRecord): boolean =>
  record.listed && !isDraining(record) && record.health.state === 'serving' && !isFull(record);

const removeAvailable = (available: EndpointRecord[], record: EndpointRecord): void => {
  const last = available.pop()!;
  if (last !== record) {
    available[record.availableIndex] = last;
    last.availableIndex = record.availableIndex;
  }

  record.availableIndex = -1;
};

/** Adds an endpoint to the available ones of its zone or removes it, according to its current state. */
export const updateAvailability = (service: ServiceRecord, record: EndpointRecord): void => {
  const {available} = service.zones.get(record.endpoint.zone)!;
  const isNowAvailable = isAvailable(record);
  if (isNowAvailable && record.availableIndex === -1) {
    record.availableIndex = available.length;
    available.push(record);
  } else if (!isNowAvailable && record.availableIndex !== -1) {
    removeAvailable(available, record);
  }
};

const createService = (now: number): ServiceRecord => ({
  byHost: new Map(), zones: new Map(), ejected: new Set(), dueProbes: new Set(), spillShares: new Map(), retryBucket: createRetryBucket(now), latencyMs: LATENCY_DEFAULT_MS,
});

const createRecord = (endpoint: Endpoint, slowStartAt: number, listGeneration: number): EndpointRecord => ({
  endpoint, slowStartAt, inFlight: 0, latencyMs: 0, latencyAt: slowStartAt, load: 0, loadAt: slowStartAt, health: createHealth(),
  reportedDraining: false, listed: true, listGeneration, availableIndex: -1,
});

const addToZone = (service: ServiceRecord, record: EndpointRecord): void => {
  const {zone} = record.endpoint;
  const known = service.zones.get(zone) ?? {available: [], endpointCount: 0, rejectedFractions: new Map()};
  known.endpointCount++;
  service.zones.set(zone, known);
  updateAvailability(service, record);
};

const removeFromZone = (service: ServiceRecord, record: EndpointRecord): void => {
  const zone = service.zones.get(record.endpoint.zone)!;
  if (record.availableIndex !== -1) {
    removeAvailable(zone.available, record);
  }

  zone.endpointCount--;
  if (zone.endpointCount === 0) {
    service.zones.delete(record.endpoint.zone);
  }
};

const removeRecord = (routing: RoutingState, service: ServiceRecord, record: EndpointRecord): void => {
  record.listed = false;
  removeFromZone(service, record);
  service.byHost.delete(record.endpoint.host);
  service.ejected.delete(record);
  service.dueProbes.delete(record);
  routing.ejected.delete(record);
};

/** Adds or changes one endpoint; a new incarnation starts with a new record. */
const upsertEndpoint = (routing: RoutingState, endpoint: Endpoint, now: number): void => {
  const service = routing.services.get(endpoint.service) ?? createService(now);
  routing.services.set(endpoint.service, service);
  const known = service.byHost.get(endpoint.host);
  if (known?.endpoint.incarnation === endpoint.incarnation) {
    known.listGeneration = routing.listGeneration;
    if (known.endpoint.zone === endpoint.zone) {
      known.endpoint = endpoint;
      updateAvailability(service, known);
    } else {
      removeFromZone(service, known);
      known.endpoint = endpoint;
      addToZone(service, known);
    }

    return;
  }

  if (known !== undefined) {
    removeRecord(routing, service, known);
  }

  const ageMs = endpoint.ageMs ?? (routing.listGeneration <= 1 ? Number.POSITIVE_INFINITY : 0);
  const record = createRecord(endpoint, now - ageMs, routing.listGeneration);
  service.byHost.set(endpoint.host, record);
  addToZone(service, record);
};

const removeEndpoint = (routing: RoutingState, name: string, host: string): void => {
  const service = routing.services.get(name);
  const record = service?.byHost.get(host);
  if (service === undefined || record === undefined) {
    return;
  }

  removeRecord(routing, service, record);
  if (service.byHost.size === 0) {
    routing.services.delete(name);
  }
};

/** Endpoints to add or change, and to remove. */
export type EndpointUpdate = {changed: readonly Endpoint[]; removed: ReadonlyArray<{service: string; host: string}>};

/** Adds, changes and removes the given endpoints. */
export const updateEndpoints = (routing: RoutingState, {changed, removed}: EndpointUpdate, now: number): void => {
  // Generation 1 is the first list, whose endpoints count as warm; an endpoint added by an update is new.
  routing.listGeneration = Math.max(2, routing.listGeneration);
  for (const {service, host} of removed) {
    removeEndpoint(routing, service, host);
  }

  for (const endpoint of changed) {
    upsertEndpoint(routing, endpoint, now);
  }
};

/** Replaces the endpoint list; endpoints that stay keep their records. */
export const replaceEndpoints = (routing: RoutingState, endpoints: readonly Endpoint[], now: number): void => {
  routing.listGeneration++;
  for (const endpoint of endpoints) {
    upsertEndpoint(routing, endpoint, now);
  }

  for (const [name, service] of routing.services) {
    for (const [host, record] of service.byHost) {
      if (record.listGeneration !== routing.listGeneration) {
        removeEndpoint(routing, name, host);
      }
    }
  }
};

/** Process that a ticket is bound to. */
export type TicketBinding = {
  host: string;
  incarnation: string | undefined;
  /** Endpoint according to the content of the ticket. */
  endpoint: Endpoint | undefined;
};

/** Finds the endpoint that a ticket is bound to. A host that is not listed is reached through the content of the ticket, for this call only. */
export const findBoundEndpoint = (routing: RoutingState, service: string, binding: TicketBinding, now: number): EndpointRecord | undefined => {
  const record = routing.services.get(service)?.byHost.get(binding.host);
  if (record === undefined) {
    return binding.endpoint === undefined ? undefined : {...createRecord(binding.endpoint, now, 0), listed: false};
  }

  return record.endpoint.incarnation === binding.incarnation ? record : undefined;
};
