/** Fixtures and a driver with a manual clock for tests of the outbound decisions. */
import {createRandom} from '../../../shared/random.js';
import type {CallContext} from '../../../shared/call-context.js';
import type {Policy, Treatment} from '../../../objects/policy.js';
import {
  createOutboundState, decideOutbound, type AttemptResult, type Endpoint, type OutboundAction, type OutboundEvent,
} from '../outbound.js';

export type Attempt = Extract<OutboundAction, {kind: 'attempt'}>;

export const createEndpoint = (host: string, fields: Partial<Endpoint> = {}): Endpoint => ({
  host, zone: 'a', incarnation: '1', service: 's', address: `${host}:1`, slots: 100, connections: 1000, draining: false, coldStartMs: 0, ...fields,
});

/** Creates endpoints on hosts that are named by zone and index, such as a0 and a1. */
export const createEndpoints = (count: number, fields: Partial<Endpoint> = {}): Endpoint[] =>
  Array.from({length: count}, (_, index) => createEndpoint(`${fields.zone ?? 'a'}${index}`, fields));

/** Creates a call, idempotent by default. */
export const createCall = (fields: Partial<CallContext> = {}): CallContext => ({
  requestId: 'r', attemptId: 'x', service: 's', requestKind: 'k', rootKind: 's/k', priority: 1, group: 'g',
  admissionHash: 0.5, fraction: 1, retryBudget: 3, remainingMs: 60_000, hops: 0, idempotent: true, ...fields,
});

export const createPolicy = (retryRatio: number): Policy => {
  const treatment: Treatment = {
    service: 's', requestKind: 'k', methods: [], path: '/', idempotent: true, priority: 1, priorityName: 'p',
    deadlineMs: 1000, retryBudget: 3, retryRatio, queueMs: 100, concurrency: undefined, weights: new Map(),
  };
  return {
    priorityCount: 3, minimumShares: [0, 0, 0], treatments: new Map([['s', [treatment]]]), drainMs: new Map(),
  };
};

export const responded = (fields: Partial<Extract<AttemptResult, {kind: 'responded'}>> = {}): AttemptResult => ({
  kind: 'responded', status: 200, durationMs: 10, fraction: 1, load: 0, retryBudget: 0, gaveUp: false, ...fields,
});

export const rejected = (fields: Partial<Extract<AttemptResult, {kind: 'rejected'}>> = {}): AttemptResult => ({
  kind: 'rejected', reason: 'queue-time', outcome: 'not-run', fraction: 1, load: 0, retryBudget: 100, retryAfterMs: 0, gaveUp: false, ...fields,
});

/** Drives the outbound decisions of host a0 in zone a, with a clock that the test advances. */
export const createDriver = (endpoints: readonly Endpoint[], options: {seed?: number; ratio?: number} = {}) => {
  const random = createRandom(options.seed ?? 1);
  const state = createOutboundState({host: 'a0', zone: 'a', policy: createPolicy(options.ratio ?? 1000)});
  const driver = {
    state,
    random,
    now: 0,
    calls: 0,
    decide: (event: OutboundEvent): OutboundAction[] => decideOutbound(state, event, driver.now, random),
    arrive(fields: Partial<CallContext> = {}, event: Partial<Extract<OutboundEvent, {kind: 'call-arrived'}>> = {}): OutboundAction {
      driver.calls++;
      return driver.decide({
        kind: 'call-arrived', callId: `c${driver.calls}`, call: createCall({requestId: `r${driver.calls}`, ...fields}), ...event,
      })[0]!;
    },
    end: ({callId, attemptId, sendNumber}: Attempt, result: AttemptResult, replayable = true): OutboundAction[] =>
      driver.decide({
        kind: 'attempt-ended', callId, attemptId, sendNumber, result, replayable,
      }),
    openParent: (parentCallId: string, retryBudget: number): OutboundAction[] =>
      driver.decide({
        kind: 'parent-opened', parentCallId, parentKind: 's/k', retryBudget, remainingMs: 60_000,
      }),
    advance(milliseconds: number): OutboundAction[] {
      driver.now += milliseconds;
      return driver.decide({kind: 'tick'});
    },
  };
  driver.decide({kind: 'endpoints-changed', endpoints});
  return driver;
};

export type Driver = ReturnType<typeof createDriver>;
