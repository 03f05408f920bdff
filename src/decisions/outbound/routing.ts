/** Chooses the backend server of an attempt. Indexes are kept per service and zone, so that no choice looks at all endpoints. */
import type {Random} from '../../shared/random.js';
import type {Endpoint, Moment} from './events.js';
import {
  createHealth, noteFailure, noteNothing, noteSuccess, type Health,
} from './outlier-ejection.js';
import {createRatioBucket, type RatioBucket} from './retry-policy.js';
import {
  adjustSpill, isSpillStepDue, noteZoneFraction, spillShare, zoneFraction, type SpillShares, type ZoneFractions,
} from './spill-over.js';

/** Shortest ramp of a cold backend server, in milliseconds. */
export const SLOW_START_MS = 10_000;
/** Part of its calls that a backend server gets when its ramp begins. */
const SLOW_START_FLOOR = 0.1;
/** Calls in flight beyond the slots, as a part of them: enough to keep slots busy over a round trip. */
const QUEUE_ALLOWANCE = 0.25;
const LATENCY_WEIGHT = 0.2;
/** Latency assumed before any response, in milliseconds. */
const LATENCY_DEFAULT_MS = 10;
/** Time in which a difference in latency loses half of its effect, in milliseconds; a slow endpoint is tried again. */
const LATENCY_HALF_LIFE_MS = 5000;
/** Relative difference of scores that may be ignored; without it an idle service would send every call to one endpoint. */
const INDIFFERENCE = 0.1;
/** Time in which a reported load loses half of its effect, in milliseconds. */
const LOAD_HALF_LIFE_MS = 1000;
/** Load assumed of a backend server that rejected a call; without it, quick rejections would attract calls. */
const REJECTING_LOAD = 4;
const LOAD_MAX = 10;
/** Random draws for the two choices. */
const DRAWS_MAX = 8;
/** Ejected endpoints looked at for a call. */
const SAMPLE_MAX = 16;
/** Wait of a due probe for a call below the highest priority, in milliseconds; then any call probes. */
const PROBE_PATIENCE_MS = 1000;

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

type Zone = {available: EndpointRecord[]; endpoints: number; fractions: ZoneFractions};

type ServiceRecord = {
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

const isGoing = (record: EndpointRecord): boolean => record.endpoint.draining || record.leaving;

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

const refresh = (service: ServiceRecord, record: EndpointRecord): void => {
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

/** Part of the full load that an endpoint gets, by the progress of its slow start. */
export const rampWeight = (record: EndpointRecord, now: number): number => {
  const ramp = (now - record.startedAt) / Math.max(SLOW_START_MS, record.endpoint.coldStartMs);
  return Math.min(1, Math.max(SLOW_START_FLOOR, ramp));
};

const currentLatencyMs = (service: ServiceRecord, record: EndpointRecord, now: number): number => {
  const difference = record.latencyMs === 0 ? 0 : record.latencyMs - service.latencyMs;
  return service.latencyMs + (difference * (2 ** (-(now - record.latencyAt) / LATENCY_HALF_LIFE_MS)));
};

const score = (service: ServiceRecord, record: EndpointRecord, {now, random}: Moment): number => {
  const load = record.load * (2 ** (-(now - record.loadAt) / LOAD_HALF_LIFE_MS));
  const expected = (record.inFlight + 1) * currentLatencyMs(service, record, now) * (1 + load) / rampWeight(record, now);
  return expected * (1 + (random() * INDIFFERENCE));
};

/** What an attempt asks of its endpoint; `avoided` hosts were tried before. */
export type Wish = {service: string; priority: number; avoided: readonly string[]};

/** Draws an endpoint other than `first`; a cold one is drawn in vain in part, so that it gets few calls. */
const draw = (available: EndpointRecord[], wish: Wish, first: EndpointRecord | undefined, {now, random}: Moment): EndpointRecord | undefined => {
  const start = first === undefined ? 0 : first.position + 1;
  const others = first === undefined ? available.length : available.length - 1;
  const record = available[(start + Math.floor(random() * others)) % available.length]!;
  const weight = rampWeight(record, now);
  const accepted = !wish.avoided.includes(record.endpoint.host) && (weight === 1 || random() < weight);
  return accepted ? record : undefined;
};

const anyOf = (available: EndpointRecord[], wish: Wish, {random}: Moment): EndpointRecord | undefined => {
  const offset = Math.floor(random() * available.length);
  const looks = Math.min(available.length, wish.avoided.length + 1);
  return Array.from({length: looks}, (_, look) => available[(offset + look) % available.length]!)
    .find(record => !wish.avoided.includes(record.endpoint.host));
};

const chooseOfTwo = (service: ServiceRecord, available: EndpointRecord[], wish: Wish, moment: Moment): EndpointRecord | undefined => {
  let first: EndpointRecord | undefined;
  for (let draws = 0; draws < DRAWS_MAX && available.length > 1; draws++) {
    const drawn = draw(available, wish, first, moment);
    if (drawn !== undefined && first !== undefined) {
      return score(service, drawn, moment) < score(service, first, moment) ? drawn : first;
    }

    first ??= drawn;
  }

  return first ?? anyOf(available, wish, moment);
};

const weightedZone = (zones: Array<{zone: Zone; weight: number}>, random: Random): Zone | undefined => {
  const total = zones.reduce((sum, {weight}) => sum + weight, 0);
  let rest = random() * total;
  return zones.find(({weight}) => {
    rest -= weight;
    return rest < 0;
  })?.zone;
};

const remoteZone = (routing: Routing, service: ServiceRecord, wish: Wish, moment: Moment): Zone | undefined => {
  const remotes = [...service.zones]
    .filter(([name]) => name !== routing.zone)
    .map(([, zone]) => ({zone, weight: zone.available.length * zoneFraction(zone.fractions, wish.priority, moment.now)}));
  return weightedZone(remotes, moment.random);
};

const chooseServing = (routing: Routing, service: ServiceRecord, wish: Wish, moment: Moment): EndpointRecord | undefined => {
  const local = service.zones.get(routing.zone);
  const spills = local !== undefined && service.zones.size > 1 && moment.random() < spillShare(service.spill, wish.priority, moment.now);
  const fromLocal = () => (local === undefined ? undefined : chooseOfTwo(service, local.available, wish, moment));
  const fromRemote = () => {
    const zone = remoteZone(routing, service, wish, moment);
    return zone === undefined ? undefined : chooseOfTwo(service, zone.available, wish, moment);
  };

  return spills ? fromRemote() ?? fromLocal() : fromLocal() ?? fromRemote();
};

const firstUsable = (records: Iterable<EndpointRecord>): EndpointRecord[] => {
  const usable: EndpointRecord[] = [];
  for (const record of records) {
    if (!isGoing(record) && !isFull(record)) {
      usable.push(record);
    }

    if (usable.length === SAMPLE_MAX) {
      break;
    }
  }

  return usable;
};

const chooseProbe = (service: ServiceRecord, wish: Wish, now: number): EndpointRecord | undefined => {
  const patienceMs = wish.priority === 0 ? PROBE_PATIENCE_MS : 0;
  const record = firstUsable(service.probes).find(({endpoint, health}) =>
    now >= health.ejectedUntil + patienceMs && !wish.avoided.includes(endpoint.host));
  if (record !== undefined) {
    service.probes.delete(record);
    record.health.state = 'probing';
  }

  return record;
};

const leastBad = (service: ServiceRecord): EndpointRecord | undefined =>
  firstUsable(service.ejected).sort((a, b) => a.health.ejectedUntil - b.health.ejectedUntil || a.inFlight - b.inFlight)[0];

const chooseUnprobed = (routing: Routing, service: ServiceRecord, wish: Wish, moment: Moment): EndpointRecord | undefined =>
  chooseServing(routing, service, wish, moment)
  ?? (wish.avoided.length === 0 ? undefined : chooseServing(routing, service, {...wish, avoided: []}, moment))
  ?? leastBad(service);

const unavailability = (service: ServiceRecord): 'absent' | 'full' => {
  for (const record of service.byHost.values()) {
    if (!isGoing(record)) {
      return 'full';
    }
  }

  return 'absent';
};

/** Endpoint of an attempt; `probe` tells that the attempt decides whether an ejected endpoint is reinstated. */
export type Choice = {kind: 'chosen'; record: EndpointRecord; probe: boolean} | {kind: 'absent' | 'full'};

/** Chooses an endpoint, or tells that there is none or that all are at their limit. */
export const chooseEndpoint = (routing: Routing, wish: Wish, moment: Moment): Choice => {
  const service = routing.services.get(wish.service);
  if (service === undefined) {
    return {kind: 'absent'};
  }

  const probed = chooseProbe(service, wish, moment.now);
  const record = probed ?? chooseUnprobed(routing, service, wish, moment);
  return record === undefined ? {kind: unavailability(service)} : {kind: 'chosen', record, probe: probed !== undefined};
};

/** Chooses an endpoint for a ticket, without a call to it yet. */
export const chooseForTicket = (routing: Routing, wish: Wish, moment: Moment): Endpoint | undefined => {
  const service = routing.services.get(wish.service);
  return service === undefined ? undefined : chooseUnprobed(routing, service, wish, moment)?.endpoint;
};

/** Tells whether an available endpoint outside of `avoided` exists. */
export const hasOther = (routing: Routing, name: string, avoided: readonly string[]): boolean => {
  const zones = [...(routing.services.get(name)?.zones.values() ?? [])];
  const available = zones.flatMap(zone => zone.available.slice(0, avoided.length + 1));
  return available.some(record => !avoided.includes(record.endpoint.host));
};

/** Counts a call that is sent to the endpoint. */
export const startCall = (routing: Routing, record: EndpointRecord): void => {
  record.inFlight++;
  if (record.present) {
    refresh(routing.services.get(record.endpoint.service)!, record);
  }
};

/** What the end of a call tells about its endpoint. */
export type Observation =
  | {kind: 'success'; latencyMs: number; load: number}
  /** The backend server refused the call for overload. */
  | {kind: 'refusal'; load: number}
  | {kind: 'failure'; cause: 'connect' | 'other'}
  | {kind: 'leaving'}
  | {kind: 'nothing'};

const noteLoad = (record: EndpointRecord, load: number, now: number): void => {
  record.load = Number.isFinite(load) ? Math.min(LOAD_MAX, Math.max(0, load)) : 0;
  record.loadAt = now;
};

const noteLatency = (service: ServiceRecord, record: EndpointRecord, latencyMs: number, now: number): void => {
  const observed = Math.max(0.1, latencyMs);
  record.latencyAt = now;
  record.latencyMs = record.latencyMs === 0 ? observed : record.latencyMs + ((observed - record.latencyMs) * LATENCY_WEIGHT);
  service.latencyMs += (observed - service.latencyMs) * LATENCY_WEIGHT;
};

/** End of a call to an endpoint. */
export type CallEnd = {record: EndpointRecord; probe: boolean; observation: Observation};

const observe = (service: ServiceRecord, {record, probe, observation}: CallEnd, moment: Moment): void => {
  switch (observation.kind) {
    case 'success': {
      noteLatency(service, record, observation.latencyMs, moment.now);
      noteLoad(record, observation.load, moment.now);
      noteSuccess(record.health, moment.now);
      break;
    }

    case 'refusal': {
      noteLoad(record, Math.max(REJECTING_LOAD, observation.load), moment.now);
      noteSuccess(record.health, moment.now);
      break;
    }

    case 'failure': {
      const quota = {endpoints: service.byHost.size, ejected: service.ejected.size};
      noteFailure(record.health, {cause: observation.cause, probe, quota}, moment);
      break;
    }

    case 'leaving': {
      record.leaving = true;
      noteNothing(record.health, probe);
      break;
    }

    case 'nothing': {
      noteNothing(record.health, probe);
      break;
    }
  }
};

const trackEjection = (routing: Routing, service: ServiceRecord, record: EndpointRecord): void => {
  if (record.health.state === 'serving') {
    service.ejected.delete(record);
    service.probes.delete(record);
    routing.ejected.delete(record);
  } else if (record.health.state === 'ejected') {
    service.ejected.add(record);
    routing.ejected.add(record);
  }
};

/** Counts the end of a call and learns from it. */
export const endCall = (routing: Routing, end: CallEnd, moment: Moment): void => {
  const {record} = end;
  record.inFlight--;
  if (!record.present) {
    return;
  }

  const service = routing.services.get(record.endpoint.service)!;
  observe(service, end, moment);
  trackEjection(routing, service, record);
  refresh(service, record);
};

/** Notes the admitted fraction of a response, which moves the share of calls that leave the zone. */
export const noteFraction = (routing: Routing, record: EndpointRecord, response: {priority: number; fraction: number}, now: number): void => {
  const service = routing.services.get(record.endpoint.service);
  const {priority, fraction} = response;
  if (!record.present || service === undefined || service.zones.size < 2 || !Number.isFinite(fraction)) {
    return;
  }

  noteZoneFraction(service.zones.get(record.endpoint.zone)!.fractions, priority, fraction, now);
  if (!isSpillStepDue(service.spill, priority, now)) {
    return;
  }

  const remotes = [...service.zones].filter(([zone, {available}]) => zone !== routing.zone && available.length > 0);
  const remote = Math.max(0, ...remotes.map(([, {fractions}]) => zoneFraction(fractions, priority, now)));
  const local = service.zones.get(routing.zone);
  if (local !== undefined) {
    adjustSpill(service.spill, priority, {local: zoneFraction(local.fractions, priority, now), remote}, now);
  }
};

/** Number of endpoints that a call's fraction is averaged over: those of the own zone, or all when it has none. */
export const endpointsInUse = (routing: Routing, name: string): number => {
  const service = routing.services.get(name);
  return service?.zones.get(routing.zone)?.endpoints ?? service?.byHost.size ?? 1;
};

/** Lets ejected endpoints whose time is over wait for a probe. */
export const offerProbes = (routing: Routing, now: number): void => {
  for (const record of routing.ejected) {
    if (record.health.state === 'ejected' && record.health.ejectedUntil <= now && !isGoing(record)) {
      routing.services.get(record.endpoint.service)!.probes.add(record);
    }
  }
};
