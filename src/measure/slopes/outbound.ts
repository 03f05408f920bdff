/** Measures how the cost of the outbound decision grows with endpoints, services and stored entries. */
import {
  createOutboundState, decideOutbound, type OutboundAction, type OutboundState,
} from '../../decisions/outbound/outbound.js';
import {learnFraction} from '../../decisions/outbound/admission-feedback.js';
import {createRetryBudgets} from '../../decisions/outbound/retry-budget.js';
import {endpointsOf, createFleetState} from '../../decisions/fleet/fleet.js';
import {compilePolicy} from '../../objects/policy.js';
import type {Random} from '../../shared/random.js';
import {
  createCall, createEndpoints, createMemberRecords, createObjects, createSummaryEntries, serviceName,
} from './generators.js';
import {
  measureRetainedBytes, measureCall, measureSeries, measureSeriesAsync,
} from './benchmark.js';
import type {Series} from './series.js';

const ENDPOINT_SIZES = [10, 1000, 21_000];
const SERVICE_SIZES = [10, 100, 1000, 2900];
const TARGET_ENDPOINTS = 21_000;
const CALLS_PER_RUN = 20_000;

const createPopulatedOutboundState = (endpoints: number, services: number, random: Random): OutboundState => {
  const state = createOutboundState({host: 'host-0', zone: 'zone-0', policy: compilePolicy(createObjects(Math.min(services, 200), random))});
  decideOutbound(state, {kind: 'endpoints-changed', endpoints: createEndpoints(endpoints, services, random)}, 0, random);
  return state;
};

const isAttempt = (action: OutboundAction): action is Extract<OutboundAction, {kind: 'attempt'}> => action.kind === 'attempt';

/** Cost of one call, from its arrival to the end of its attempt, in nanoseconds. */
const measureOutboundCall = (endpoints: number, services: number, random: Random): number => {
  const state = createPopulatedOutboundState(endpoints, services, random);
  return measureCall(CALLS_PER_RUN, index => {
    const callId = `call-${index}`;
    const now = 1000 + (index / 10);
    const call = createCall(index, {service: serviceName(index % services), requestId: callId}, random);
    const attempt = decideOutbound(state, {kind: 'call-arrived', callId, call}, now, random).find(action => isAttempt(action));
    if (attempt === undefined) {
      throw new Error('the measured call was rejected; measure with more endpoints');
    }

    decideOutbound(state, {
      kind: 'attempt-ended',
      callId,
      attemptId: attempt.attemptId,
      sendNumber: attempt.sendNumber,
      result: {
        kind: 'responded', status: 200, durationMs: 5, fraction: 1, load: 0.5, retryBudget: attempt.retryBudget, gaveUp: false,
      },
      replayable: true,
    }, now, random);
  });
};

const measureEndpointUpdate = (endpoints: number, random: Random): number => {
  const state = createPopulatedOutboundState(endpoints, Math.min(endpoints, 2900), random);
  const changed = createEndpoints(endpoints, Math.min(endpoints, 2900), random);
  return measureCall(5000, index => {
    decideOutbound(state, {kind: 'endpoints-updated', changed: [{...changed[index % endpoints]!, slots: 10 + (index % 50)}], removed: []}, 1000 + index, random);
  });
};

const measureEndpointReplacement = (endpoints: number, random: Random): number => {
  const state = createPopulatedOutboundState(endpoints, Math.min(endpoints, 2900), random);
  const list = createEndpoints(endpoints, Math.min(endpoints, 2900), random);
  return measureCall(Math.max(5, Math.ceil(20_000 / endpoints)), index => {
    decideOutbound(state, {kind: 'endpoints-changed', endpoints: list}, 1000 + index, random);
  });
};

/** Creates a fleet state that knows the members of its own zone and the summaries of other zones, without exchanging messages. */
export const createPopulatedFleetState = (members: number, zones: number) => {
  const state = createFleetState({
    host: 'self', zone: 'zone-0', address: '10.0.0.1:7101', incarnation: 'self-1', startedAt: 1_700_000_000_000, contacts: [],
  });
  for (const record of createMemberRecords(members, 'zone-0')) {
    state.membership.members.set(record.host, {
      record, stateChangedAt: 0, sequence: 0, sequenceAt: 0, lagReason: '',
    });
  }

  for (let index = 1; index < zones; index++) {
    const zone = `zone-${index}`;
    const entries = createSummaryEntries(members, zone).map(entry => [
      entry.kind === 'service' ? entry.service : '', {epoch: 1, publisher: zone, entry},
    ] as const);
    state.zones.summaries.set(zone, {
      stamp: {
        zone, epoch: 1, publisher: zone, version: members,
      }, entries: new Map(entries),
    });
  }

  return state;
};

/** Cost of listing all endpoints of a fleet state, in nanoseconds. */
const measureEndpointList = (endpoints: number): number => {
  const state = createPopulatedFleetState(Math.round(endpoints / 22), 22);
  return measureCall(Math.max(5, Math.ceil(20_000 / endpoints)), () => {
    endpointsOf(state);
  });
};

const createLearntFractions = (rows: number, random: Random): OutboundState => {
  const state = createOutboundState({host: 'host-0', zone: 'zone-0', policy: compilePolicy([])});
  for (let index = 0; index < rows; index++) {
    const call = createCall(index, {service: serviceName(index % 2900), group: `group-${index}`}, random);
    learnFraction(state.feedback, call, {fraction: 0.5, endpoints: 7}, 1000);
  }

  return state;
};

const createFilledRetryBudgets = (requests: number) => {
  const budgets = createRetryBudgets();
  for (let index = 0; index < requests; index++) {
    budgets.requests.set(`request-${index}-0123456789abcdef`, {
      remaining: 1, total: 3, activeCalls: 0, peakActiveCalls: 1, expectedConcurrency: 1, expiresAt: index, gaveUp: false, parentKind: undefined,
    });
  }

  return budgets;
};

/** Measures all series of the outbound decision. */
export const measureOutbound = async (random: Random): Promise<Series[]> => [
  measureSeries({name: 'outbound-call-by-endpoints', unit: 'ns', per: 'endpoint'}, ENDPOINT_SIZES, size => measureOutboundCall(size, 10, random)),
  measureSeries({name: 'outbound-call-by-services', unit: 'ns', per: 'service'}, SERVICE_SIZES, size => measureOutboundCall(TARGET_ENDPOINTS, size, random)),
  measureSeries({name: 'endpoint-update', unit: 'ns', per: 'endpoint'}, ENDPOINT_SIZES, size => measureEndpointUpdate(size, random)),
  measureSeries({name: 'endpoint-replacement', unit: 'ns', per: 'endpoint'}, ENDPOINT_SIZES, size => measureEndpointReplacement(size, random)),
  measureSeries({name: 'endpoint-list', unit: 'ns', per: 'endpoint'}, [220, 2200, 21_000], size => measureEndpointList(size)),
  await measureSeriesAsync({name: 'heap-endpoints', unit: 'B', per: 'endpoint'}, ENDPOINT_SIZES, async size =>
    measureRetainedBytes(() => createPopulatedOutboundState(size, Math.min(size, 2900), random))),
  await measureSeriesAsync({name: 'heap-learnt-fractions', unit: 'B', per: 'row'}, [100, 1000, 10_000, 16_000], async size =>
    measureRetainedBytes(() => createLearntFractions(size, random))),
  await measureSeriesAsync({name: 'heap-retry-pools', unit: 'B', per: 'remembered request'}, [1000, 10_000, 65_000], async size =>
    measureRetainedBytes(() => createFilledRetryBudgets(size))),
];
