/** Chooses the endpoint of an attempt by what this process observed. */
import type {Random} from '../../shared/random.js';
import {
  isFull, isGoing, type EndpointRecord, type Routing, type ServiceRecord, type Zone,
} from './endpoint-records.js';
import type {Endpoint, Moment} from './events.js';
import {spillShare, zoneFraction} from './spill-over.js';

/** Shortest ramp of a cold backend server, in milliseconds. */
export const SLOW_START_MS = 10_000;
/** Part of its calls that a backend server gets when its ramp begins. */
const SLOW_START_FLOOR = 0.1;
/** Time in which a difference in latency loses half of its effect, in milliseconds; a slow endpoint is tried again. */
const LATENCY_HALF_LIFE_MS = 5000;
/** Relative difference of scores that may be ignored; without it an idle service would send every call to one endpoint. */
const INDIFFERENCE = 0.1;
/** Time in which a reported load loses half of its effect, in milliseconds. */
const LOAD_HALF_LIFE_MS = 1000;
/** Random draws for the two choices. */
const DRAWS_MAX = 8;
/** Ejected endpoints looked at for a call. */
const SAMPLE_MAX = 16;
/** Wait of a due probe for a call below the highest priority, in milliseconds; then any call probes. */
const PROBE_PATIENCE_MS = 1000;

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
