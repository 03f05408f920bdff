/** Learns from the starts and ends of calls what routing needs to know of their endpoints. */
import {
  isGoing, refresh, type EndpointRecord, type Routing, type ServiceRecord,
} from './endpoint-records.js';
import type {Moment} from './events.js';
import {noteFailure, noteNothing, noteSuccess} from './outlier-ejection.js';
import {
  adjustSpill, isSpillStepDue, noteZoneFraction, zoneFraction,
} from './spill-over.js';

const LATENCY_WEIGHT = 0.2;
/** Load assumed of a backend server that rejected a call; without it, quick rejections would attract calls. */
const REJECTING_LOAD = 4;
const LOAD_MAX = 10;

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
