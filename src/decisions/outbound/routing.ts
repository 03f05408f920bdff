/** Chooses the endpoint of an attempt from the observed latency, load and health of the endpoints. */
import type {Random} from '../../shared/random.js';
import {
  isFull, isDraining, type EndpointRecord, type RoutingState, type ServiceRecord, type ZoneEndpoints,
} from './endpoint-records.js';
import type {Endpoint, DecisionContext} from './events.js';
import {spillShare, admittedFractionOf} from './spill-over.js';

/** Shortest slow start of a backend server, in milliseconds. */
export const SLOW_START_MS = 10_000;
/** Weight of a backend server when its slow start begins. */
const SLOW_START_WEIGHT_MIN = 0.1;
/** Half-life of a latency difference, in milliseconds; the decay lets a slow endpoint be tried again. */
const LATENCY_HALF_LIFE_MS = 5000;
/** Relative random noise added to an estimate; without it every call to an idle service would go to one endpoint. */
const ESTIMATE_NOISE = 0.1;
/** Half-life of a reported load, in milliseconds. */
const LOAD_HALF_LIFE_MS = 1000;
/** Maximum number of random draws to find two candidates. */
const CANDIDATE_DRAWS_MAX = 8;
/** Maximum number of ejected endpoints inspected for a call. */
const EJECTED_SAMPLE_MAX = 16;
/** Time for which a due probe is left to calls below the highest priority, in milliseconds. */
const PROBE_DELAY_MS = 1000;

/** Weight of an endpoint by the progress of its slow start; 1 when warm. */
export const slowStartWeight = (record: EndpointRecord, now: number): number => {
  const progress = (now - record.slowStartAt) / Math.max(SLOW_START_MS, record.endpoint.coldStartMs);
  return Math.min(1, Math.max(SLOW_START_WEIGHT_MIN, progress));
};

const decayedLatencyMs = (service: ServiceRecord, record: EndpointRecord, now: number): number => {
  const difference = record.latencyMs === 0 ? 0 : record.latencyMs - service.latencyMs;
  return service.latencyMs + (difference * (2 ** (-(now - record.latencyAt) / LATENCY_HALF_LIFE_MS)));
};

const estimateLatencyMs = (service: ServiceRecord, record: EndpointRecord, {now, random}: DecisionContext): number => {
  const load = record.load * (2 ** (-(now - record.loadAt) / LOAD_HALF_LIFE_MS));
  const expected = (record.inFlight + 1) * decayedLatencyMs(service, record, now) * (1 + load) / slowStartWeight(record, now);
  return expected * (1 + (random() * ESTIMATE_NOISE));
};

/** Request for the endpoint of an attempt; `avoidedHosts` were tried before. */
export type EndpointRequest = {service: string; priority: number; avoidedHosts: readonly string[]};

/** Draws a random endpoint other than `first`. One in slow start is accepted with the probability of its weight, so that it gets few calls. */
const drawCandidate = (available: EndpointRecord[], request: EndpointRequest, first: EndpointRecord | undefined, {now, random}: DecisionContext): EndpointRecord | undefined => {
  const start = first === undefined ? 0 : first.availableIndex + 1;
  const others = first === undefined ? available.length : available.length - 1;
  const record = available[(start + Math.floor(random() * others)) % available.length]!;
  const weight = slowStartWeight(record, now);
  const accepted = !request.avoidedHosts.includes(record.endpoint.host) && (weight === 1 || random() < weight);
  return accepted ? record : undefined;
};

const pickNotAvoided = (available: EndpointRecord[], request: EndpointRequest, {random}: DecisionContext): EndpointRecord | undefined => {
  const offset = Math.floor(random() * available.length);
  const inspected = Math.min(available.length, request.avoidedHosts.length + 1);
  return Array.from({length: inspected}, (_, index) => available[(offset + index) % available.length]!)
    .find(record => !request.avoidedHosts.includes(record.endpoint.host));
};

/** Power of two choices: draws two random endpoints and returns the one with the lower estimated latency. */
const pickLessLoadedOfTwo = (service: ServiceRecord, available: EndpointRecord[], request: EndpointRequest, context: DecisionContext): EndpointRecord | undefined => {
  let first: EndpointRecord | undefined;
  for (let draws = 0; draws < CANDIDATE_DRAWS_MAX && available.length > 1; draws++) {
    const drawn = drawCandidate(available, request, first, context);
    if (drawn !== undefined && first !== undefined) {
      return estimateLatencyMs(service, drawn, context) < estimateLatencyMs(service, first, context) ? drawn : first;
    }

    first ??= drawn;
  }

  return first ?? pickNotAvoided(available, request, context);
};

const pickWeightedZone = (zones: Array<{zone: ZoneEndpoints; weight: number}>, random: Random): ZoneEndpoints | undefined => {
  const total = zones.reduce((sum, {weight}) => sum + weight, 0);
  let rest = random() * total;
  return zones.find(({weight}) => {
    rest -= weight;
    return rest < 0;
  })?.zone;
};

const pickRemoteZone = (routing: RoutingState, service: ServiceRecord, request: EndpointRequest, context: DecisionContext): ZoneEndpoints | undefined => {
  const remotes = [...service.zones]
    .filter(([name]) => name !== routing.zone)
    .map(([, zone]) => ({zone, weight: zone.available.length * admittedFractionOf(zone.rejectedFractions, request.priority, context.now)}));
  return pickWeightedZone(remotes, context.random);
};

const chooseAvailable = (routing: RoutingState, service: ServiceRecord, request: EndpointRequest, context: DecisionContext): EndpointRecord | undefined => {
  const local = service.zones.get(routing.zone);
  const spills = local !== undefined && service.zones.size > 1 && context.random() < spillShare(service.spillShares, request.priority, context.now);
  const fromLocal = () => (local === undefined ? undefined : pickLessLoadedOfTwo(service, local.available, request, context));
  const fromRemote = () => {
    const zone = pickRemoteZone(routing, service, request, context);
    return zone === undefined ? undefined : pickLessLoadedOfTwo(service, zone.available, request, context);
  };

  return spills ? fromRemote() ?? fromLocal() : fromLocal() ?? fromRemote();
};

const sampleUsable = (records: Iterable<EndpointRecord>): EndpointRecord[] => {
  const usable: EndpointRecord[] = [];
  for (const record of records) {
    if (!isDraining(record) && !isFull(record)) {
      usable.push(record);
    }

    if (usable.length === EJECTED_SAMPLE_MAX) {
      break;
    }
  }

  return usable;
};

const takeDueProbe = (service: ServiceRecord, request: EndpointRequest, now: number): EndpointRecord | undefined => {
  const delayMs = request.priority === 0 ? PROBE_DELAY_MS : 0;
  const record = sampleUsable(service.dueProbes).find(({endpoint, health}) =>
    now >= health.ejectedUntil + delayMs && !request.avoidedHosts.includes(endpoint.host));
  if (record !== undefined) {
    service.dueProbes.delete(record);
    record.health.state = 'probing';
  }

  return record;
};

const chooseEjected = (service: ServiceRecord): EndpointRecord | undefined =>
  sampleUsable(service.ejected).sort((a, b) => a.health.ejectedUntil - b.health.ejectedUntil || a.inFlight - b.inFlight)[0];

const chooseWithoutProbe = (routing: RoutingState, service: ServiceRecord, request: EndpointRequest, context: DecisionContext): EndpointRecord | undefined =>
  chooseAvailable(routing, service, request, context)
  ?? (request.avoidedHosts.length === 0 ? undefined : chooseAvailable(routing, service, {...request, avoidedHosts: []}, context))
  ?? chooseEjected(service);

const unavailabilityOf = (service: ServiceRecord): 'absent' | 'full' => {
  for (const record of service.byHost.values()) {
    if (!isDraining(record)) {
      return 'full';
    }
  }

  return 'absent';
};

/** Chosen endpoint, or why there is none; `probe` is set when the attempt decides if an ejected endpoint is reinstated. */
export type EndpointChoice = {kind: 'chosen'; record: EndpointRecord; probe: boolean} | {kind: 'absent' | 'full'};

/** Chooses an endpoint; reports `absent` when there is none and `full` when all are at their limit. */
export const chooseEndpoint = (routing: RoutingState, request: EndpointRequest, context: DecisionContext): EndpointChoice => {
  const service = routing.services.get(request.service);
  if (service === undefined) {
    return {kind: 'absent'};
  }

  const probed = takeDueProbe(service, request, context.now);
  const record = probed ?? chooseWithoutProbe(routing, service, request, context);
  return record === undefined ? {kind: unavailabilityOf(service)} : {kind: 'chosen', record, probe: probed !== undefined};
};

/** Chooses an endpoint for a ticket without counting a call to it. */
export const chooseForTicket = (routing: RoutingState, request: EndpointRequest, context: DecisionContext): Endpoint | undefined => {
  const service = routing.services.get(request.service);
  return service === undefined ? undefined : chooseWithoutProbe(routing, service, request, context)?.endpoint;
};

/** Whether an available endpoint outside of the avoided hosts exists. */
export const hasAlternative = (routing: RoutingState, name: string, avoided: readonly string[]): boolean => {
  const zones = [...(routing.services.get(name)?.zones.values() ?? [])];
  const available = zones.flatMap(zone => zone.available.slice(0, avoided.length + 1));
  return available.some(record => !avoided.includes(record.endpoint.host));
};
