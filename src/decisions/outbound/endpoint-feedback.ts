/** Updates the endpoint records from the starts and results of calls. */
import {
  isDraining, updateAvailability, type EndpointRecord, type RoutingState, type ServiceRecord,
} from './endpoint-records.js';
import type {DecisionContext} from './events.js';
import {recordFailure, recordInconclusive, recordSuccess} from './outlier-ejection.js';
import {
  updateSpillShare, isSpillStepDue, recordAdmittedFraction, admittedFractionOf,
} from './spill-over.js';

const LATENCY_EWMA_WEIGHT = 0.2;
/** Lowest load recorded for a backend server that rejected a call; without it, fast rejections would attract calls. */
const REJECTION_LOAD = 4;
/** Highest load recorded, whatever a response reports. */
const LOAD_MAX = 10;

/** Counts a call that is sent to the endpoint as in flight. */
export const recordCallStart = (routing: RoutingState, record: EndpointRecord): void => {
  record.inFlight++;
  if (record.listed) {
    updateAvailability(routing.services.get(record.endpoint.service)!, record);
  }
};

/** What the result of a call shows about its endpoint. */
export type EndpointObservation =
  | {kind: 'success'; latencyMs: number; load: number}
  /** The backend server rejected the call because of overload. */
  | {kind: 'overloaded'; load: number}
  | {kind: 'failure'; cause: 'connect' | 'other'}
  | {kind: 'draining'}
  | {kind: 'inconclusive'};

const recordLoad = (record: EndpointRecord, load: number, now: number): void => {
  record.load = Number.isFinite(load) ? Math.min(LOAD_MAX, Math.max(0, load)) : 0;
  record.loadAt = now;
};

const recordLatency = (service: ServiceRecord, record: EndpointRecord, latencyMs: number, now: number): void => {
  const observed = Math.max(0.1, latencyMs);
  record.latencyAt = now;
  record.latencyMs = record.latencyMs === 0 ? observed : record.latencyMs + ((observed - record.latencyMs) * LATENCY_EWMA_WEIGHT);
  service.latencyMs += (observed - service.latencyMs) * LATENCY_EWMA_WEIGHT;
};

/** Endpoint of a call that ended, and what its result showed. */
export type CallEnd = {record: EndpointRecord; probe: boolean; observation: EndpointObservation};

const applyObservation = (service: ServiceRecord, {record, probe, observation}: CallEnd, context: DecisionContext): void => {
  switch (observation.kind) {
    case 'success': {
      recordLatency(service, record, observation.latencyMs, context.now);
      recordLoad(record, observation.load, context.now);
      recordSuccess(record.health, context.now);
      break;
    }

    case 'overloaded': {
      recordLoad(record, Math.max(REJECTION_LOAD, observation.load), context.now);
      recordSuccess(record.health, context.now);
      break;
    }

    case 'failure': {
      const quota = {endpoints: service.byHost.size, ejected: service.ejected.size};
      recordFailure(record.health, {cause: observation.cause, probe, quota}, context);
      break;
    }

    case 'draining': {
      record.reportedDraining = true;
      recordInconclusive(record.health, probe);
      break;
    }

    case 'inconclusive': {
      recordInconclusive(record.health, probe);
      break;
    }
  }
};

const updateEjectedSets = (routing: RoutingState, service: ServiceRecord, record: EndpointRecord): void => {
  if (record.health.state === 'serving') {
    service.ejected.delete(record);
    service.dueProbes.delete(record);
    routing.ejected.delete(record);
  } else if (record.health.state === 'ejected') {
    service.ejected.add(record);
    routing.ejected.add(record);
  }
};

/** Takes a call out of flight and updates its endpoint from the observation. */
export const recordCallEnd = (routing: RoutingState, end: CallEnd, context: DecisionContext): void => {
  const {record} = end;
  record.inFlight--;
  if (!record.listed) {
    return;
  }

  const service = routing.services.get(record.endpoint.service)!;
  applyObservation(service, end, context);
  updateEjectedSets(routing, service, record);
  updateAvailability(service, record);
};

/** Records the admitted fraction of a response and adjusts the share of calls that leave the local zone. */
export const recordZoneFraction = (routing: RoutingState, record: EndpointRecord, response: {priority: number; fraction: number}, now: number): void => {
  const service = routing.services.get(record.endpoint.service);
  const {priority, fraction} = response;
  if (!record.listed || service === undefined || service.zones.size < 2 || !Number.isFinite(fraction)) {
    return;
  }

  recordAdmittedFraction(service.zones.get(record.endpoint.zone)!.rejectedFractions, priority, fraction, now);
  if (!isSpillStepDue(service.spillShares, priority, now)) {
    return;
  }

  const remotes = [...service.zones].filter(([zone, {available}]) => zone !== routing.zone && available.length > 0);
  const remote = Math.max(0, ...remotes.map(([, {rejectedFractions}]) => admittedFractionOf(rejectedFractions, priority, now)));
  const local = service.zones.get(routing.zone);
  if (local !== undefined) {
    updateSpillShare(service.spillShares, priority, {local: admittedFractionOf(local.rejectedFractions, priority, now), remote}, now);
  }
};

/** Number of endpoints over which the learnt fraction is averaged: those of the local zone, or all when it has none. */
export const countAveragedEndpoints = (routing: RoutingState, name: string): number => {
  const service = routing.services.get(name);
  return service?.zones.get(routing.zone)?.endpointCount ?? service?.byHost.size ?? 1;
};

/** Marks ejected endpoints whose ejection time is over as due for a probe. */
export const queueDueProbes = (routing: RoutingState, now: number): void => {
  for (const record of routing.ejected) {
    if (record.health.state === 'ejected' && record.health.ejectedUntil <= now && !isDraining(record)) {
      routing.services.get(record.endpoint.service)!.dueProbes.add(record);
    }
  }
};
