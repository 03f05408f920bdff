/** Fixtures and a driver with a manual clock for tests of the inbound decisions. */
import process from 'node:process';
import type {Treatment} from '../../../objects/policy.js';
import type {CallContext} from '../../../shared/call-context.js';
import {createRandom} from '../../../shared/random.js';
import {
  createInboundState, decideInbound, type InboundAction, type InboundEvent, type InboundOptions, type InboundState,
} from '../inbound.js';

/** Seed of all randomized tests; set SEED to reproduce another run. */
export const SEED = Number(process.env.SEED ?? 20_261_204);

/** Incarnation of the process under test. */
export const INCARNATION = 'i1';

/** Expiry of tickets that do not expire during a test. */
export const FAR_EXPIRY_MS = 1e12;

/** Creates an idempotent call, or a non-idempotent one if a ticket is given. */
export const createCall = (overrides: Partial<CallContext> = {}): CallContext => ({
  requestId: 'r1',
  attemptId: 'a1',
  service: 'chiuse',
  requestKind: 'book',
  rootKind: 'chiuse/book',
  priority: 0,
  group: 'crew',
  admissionHash: 0.5,
  fraction: 1,
  retryBudget: 0,
  remainingMs: 1000,
  hops: 0,
  idempotent: overrides.ticket === undefined,
  ...overrides,
});

/** Creates the treatment of a request kind. */
export const createTreatment = (overrides: Partial<Treatment>): Treatment => ({
  service: 'chiuse',
  requestKind: 'book',
  methods: ['POST'],
  path: '/*',
  idempotent: true,
  priority: 0,
  priorityName: 'urgent',
  deadlineMs: 1000,
  retryBudget: 0,
  retryRatio: 0,
  queueMs: 200,
  concurrency: undefined,
  weights: new Map(),
  ...overrides,
});

/** Sends events to one inbound state, with a clock that the test advances. */
export type Driver = {
  state: InboundState;
  now: number;
  send: (event: InboundEvent) => InboundAction[];
  arrive: (callId: string, overrides?: Partial<CallContext>) => InboundAction[];
  end: (callId: string, status?: number, responseBytes?: number) => InboundAction[];
  /** Advances the clock and sends a tick. */
  wait: (milliseconds: number) => InboundAction[];
};

/** Creates a driver with an announced backend server of service `chiuse`. */
export const createDriver = (slots: number, treatments: Treatment[] = [], options: Partial<InboundOptions> = {}): Driver => {
  const policy = {
    priorityCount: 3,
    minimumShares: [], treatments: new Map([['chiuse', treatments]]), drainMs: new Map([['chiuse', 5000]]),
  };
  const state = createInboundState({incarnation: INCARNATION, policy, ...options});
  const random = createRandom(SEED);
  const driver: Driver = {
    state,
    now: 1000,
    send: event => decideInbound(state, event, driver.now, random),
    arrive(callId, overrides = {}) {
      const call = createCall({requestId: callId, attemptId: callId, ...overrides});
      return driver.send({
        kind: 'call-arrived', callId, call, epochMs: driver.now, ticketExpiresAt: FAR_EXPIRY_MS, ticketIncarnation: INCARNATION,
      });
    },
    end: (callId, status = 200, responseBytes = 10) =>
      driver.send({
        kind: 'backend-ended', callId, outcome: {kind: 'responded', status, durationMs: 10}, responseBytes,
      }),
    wait(milliseconds) {
      driver.now += milliseconds;
      return driver.send({kind: 'tick', epochMs: driver.now});
    },
  };
  driver.send({
    kind: 'backend-announced', service: 'chiuse', slots, connections: 100, coldStartMs: 0,
  });
  return driver;
};

/** Converts actions to short strings for comparison. */
export const summarize = (actions: InboundAction[]): string[] =>
  actions.map(action => {
    const fields: Partial<Record<string, string | number>> = action;
    const shown = [fields.callId, fields.leaderId, fields.reason, fields.outcome, fields.state];
    return [action.kind.replace('-response', '').replace('ticket-', ''), ...(action.kind === 'report' ? [] : shown)]
      .filter(field => field !== undefined)
      .join(' ');
  });
