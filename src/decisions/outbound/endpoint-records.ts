/** Records of the endpoints that calls can be sent to, by service and zone. */
import type {Endpoint} from './events.js';
import {createHealth, type Health} from './outlier-ejection.js';
import {createRatioBucket, type RatioBucket} from './retry-policy.js';
import type {SpillShares, ZoneFractions} from './spill-over.js';

/** Calls in flight beyond the slots, as a part of them: enough to keep slots busy over a round trip. */
const QUEUE_ALLOWANCE = 0.25;
/** Latency assumed before any response, in milliseconds. */
const LATENCY_DEFAULT_MS = 10;

/** What this process knows about an endpoint of one incarnation. */
export type EndpointRecord = {
  endpoint: Endpoint;
  /** Start of the slow start; negative infinity when the backend server counts as warm. */
  startedAt: number;
  inFlight: number;
  /** Mean latency in milliseconds; 0 before the first response. */
  latencyMs: number;
  latencyAt: number;
  load: number;
  loadAt: number;
  health: Health;
  /** Whether its process said that it is draining. */
  leaving: boolean;
  /** Whether it is still listed; attempts may outlast their endpoint. */
  present: boolean;
  generation: number;
  /** Position among the available endpoints of its zone; -1 when it is not available. */
  position: number;
};

/** Endpoints of a service in one zone. */
export type Zone = {available: EndpointRecord[]; endpoints: number; fractions: ZoneFractions};

/** Endpoints of a service, and what was observed of them together. */
export type ServiceRecord = {
  byHost: Map<string, EndpointRecord>;
  zones: Map<string, Zone>;
  /** Endpoints out of use, the first ejected first. */
  ejected: Set<EndpointRecord>;
  /** Ejected endpoints whose time is over and that wait for a probe. */
  probes: Set<EndpointRecord>;
  spill: SpillShares;
  bucket: RatioBucket;
  latencyMs: number;
};

/** State of the routing. */
export type Routing = {
  zone: string;
  services: Map<string, ServiceRecord>;
  ejected: Set<EndpointRecord>;
  generation: number;
};

/** Creates the state without endpoints. */
export const createRouting = (zone: string): Routing => ({
  zone, services: new Map(), ejected: new Set(), generation: 0,
});

/** Most calls that this process may have in flight to an endpoint. */
export const inFlightLimit = ({slots, connections}: Endpoint): number =>
  Math.min(connections, slots + Math.max(1, Math.ceil(slots * QUEUE_ALLOWANCE)));

/** Tells whether the endpoint has as many calls in flight as it may have. */
export const isFull = (record: EndpointRecord): boolean => record.inFlight >= inFlightLimit(record.endpoint);

/** Whether the endpoint is leaving; it gets no new calls. */
export const isGoing = (record: EndpointRecord): boolean => record.endpoint.draining || record.leaving;

const isAvailable = (record: EndpointRecord): boolean =>
  record.present && !isGoing(record) && record.health.state === 'serving' && !isFull(record);

const remove = (available: EndpointRecord[], record: EndpointRecord): void => {
  const last = available.pop()!;
  if (last !== record) {
    available[record.position] = last;
    last.position = record.position;
  }

  record.position = -1;
};

/** Brings the list of available endpoints in line with the state of one. */
export const refresh = (service: ServiceRecord, record: EndpointRecord): void => {
  const {available} = service.zones.get(record.endpoint.zone)!;
  const wanted = isAvailable(record);
  if (wanted && record.position === -1) {
    record.position = available.length;
    available.push(record);
  } else if (!wanted && record.position !== -1) {
    remove(available, record);
  }
};

const createService = (now: number): ServiceRecord => ({
  byHost: new Map(), zones: new Map(), ejected: new Set(), probes: new Set(), spill: new Map(), bucket: createRatioBucket(now), latencyMs: LATENCY_DEFAULT_MS,
});

const createRecord = (endpoint: Endpoint, startedAt: number, generation: number): EndpointRecord => ({
  endpoint, startedAt, inFlight: 0, latencyMs: 0, latencyAt: startedAt, load: 0, loadAt: startedAt, health: createHealth(), leaving: false, present: true, generation, position: -1,
});

const enterZone = (service: ServiceRecord, record: EndpointRecord): void => {
  const {zone} = record.endpoint;
  const known = service.zones.get(zone) ?? {available: [], endpoints: 0, fractions: new Map()};
  known.endpoints++;
  service.zones.set(zone, known);
  refresh(service, record);
};

const leaveZone = (service: ServiceRecord, record: EndpointRecord): void => {
  const zone = service.zones.get(record.endpoint.zone)!;
  if (record.position !== -1) {
    remove(zone.available, record);
  }

  zone.endpoints--;
  if (zone.endpoints === 0) {
    service.zones.delete(record.endpoint.zone);
  }
};

const withdraw = (routing: Routing, service: ServiceRecord, record: EndpointRecord): void => {
  record.present = false;
  leaveZone(service, record);
  service.byHost.delete(record.endpoint.host);
  service.ejected.delete(record);
  service.probes.delete(record);
  routing.ejected.delete(record);
};

/** Adds or changes one endpoint; another incarnation starts with a clean record. */
const upsert = (routing: Routing, endpoint: Endpoint, now: number): void => {
  const service = routing.services.get(endpoint.service) ?? createService(now);
  routing.services.set(endpoint.service, service);
  const known = service.byHost.get(endpoint.host);
  if (known?.endpoint.incarnation === endpoint.incarnation) {
    known.generation = routing.generation;
    if (known.endpoint.zone === endpoint.zone) {
      known.endpoint = endpoint;
      refresh(service, known);
    } else {
      leaveZone(service, known);
      known.endpoint = endpoint;
      enterZone(service, known);
    }

    return;
  }

  if (known !== undefined) {
    withdraw(routing, service, known);
  }

  const age = endpoint.ageMs ?? (routing.generation <= 1 ? Number.POSITIVE_INFINITY : 0);
  const record = createRecord(endpoint, now - age, routing.generation);
  service.byHost.set(endpoint.host, record);
  enterZone(service, record);
};

const removeEndpoint = (routing: Routing, name: string, host: string): void => {
  const service = routing.services.get(name);
  const record = service?.byHost.get(host);
  if (service === undefined || record === undefined) {
    return;
  }

  withdraw(routing, service, record);
  if (service.byHost.size === 0) {
    routing.services.delete(name);
  }
};

/** Endpoints to add or change, and to remove. */
export type EndpointUpdate = {changed: readonly Endpoint[]; removed: ReadonlyArray<{service: string; host: string}>};

/** Changes some endpoints. */
export const updateEndpoints = (routing: Routing, {changed, removed}: EndpointUpdate, now: number): void => {
  routing.generation = Math.max(2, routing.generation);
  for (const {service, host} of removed) {
    removeEndpoint(routing, service, host);
  }

  for (const endpoint of changed) {
    upsert(routing, endpoint, now);
  }
};

/** Replaces the list of endpoints; records of endpoints that stay are kept. */
export const replaceEndpoints = (routing: Routing, endpoints: readonly Endpoint[], now: number): void => {
  routing.generation++;
  for (const endpoint of endpoints) {
    upsert(routing, endpoint, now);
  }

  for (const [name, service] of routing.services) {
    for (const [host, record] of service.byHost) {
      if (record.generation !== routing.generation) {
        removeEndpoint(routing, name, host);
      }
    }
  }
};

/** What a ticket is bound to. */
export type Binding = {
  host: string;
  incarnation: string | undefined;
  /** Endpoint by the ticket's own content. */
  endpoint: Endpoint | undefined;
};

/** Finds the endpoint that a ticket is bound to. A host that is not known here is reached by the ticket's content, and gets no other calls. */
export const findBound = (routing: Routing, service: string, binding: Binding, now: number): EndpointRecord | undefined => {
  const record = routing.services.get(service)?.byHost.get(binding.host);
  if (record === undefined) {
    return binding.endpoint === undefined ? undefined : {...createRecord(binding.endpoint, now, 0), present: false};
  }

  return record.endpoint.incarnation === binding.incarnation ? record : undefined;
};
