/** Property test: under any order of events, a ticket runs at most once, reported outcomes are true, and every caller is answered. */
import test from 'ava';
import fc from 'fast-check';
import type {BackendOutcome, InboundAction, InboundEvent} from '../inbound.js';
import {
  createCall, createDriver, INCARNATION, SEED,
} from './harness.js';

type Step = {event: InboundEvent; waitMs: number};

const EXPIRIES = [1500, 4000, 1e9, 1e9, 1e9];
const SLOTS_MAX = 2;
/** Returns the ticket of a call: c0 to c9 share five tickets, two calls each; c10 and c11 have none. */
const ticketOf = (callId: string): number | undefined => Number(callId.slice(1)) < 10 ? Number(callId.slice(1)) % EXPIRIES.length : undefined;
const referenceOf = (index: number) => ({ticketExpiresAt: EXPIRIES[index]!, ticketIncarnation: INCARNATION});

const callId = fc.integer({min: 0, max: 11}).map(index => `c${index}`);
const epochMs = fc.integer({min: 0, max: 5000});
const outcome = fc.constantFrom<BackendOutcome>(
  {kind: 'not-sent'},
  {kind: 'lost'},
  {kind: 'timed-out'},
  {kind: 'responded', status: 200, durationMs: 5},
  {kind: 'responded', status: 503, durationMs: 5},
);
const arrival = fc.tuple(callId, epochMs, fc.constantFrom(0, 50, 1000), fc.integer({min: 0, max: 2}))
  .map(([id, epoch, remainingMs, priority]): InboundEvent => {
    const index = ticketOf(id);
    const call = createCall({
      requestId: id, remainingMs, priority, ...(index === undefined ? {} : {ticket: `t${index}`}),
    });
    return {
      kind: 'call-arrived', callId: id, call, epochMs: epoch, ...(index === undefined ? {} : referenceOf(index)),
    };
  });
const callEnd = fc.tuple(callId, outcome, fc.constantFrom(undefined, 10, 90, 200))
  .map(([id, result, bytes]): InboundEvent => ({
    kind: 'backend-ended', callId: id, outcome: result, ...(bytes === undefined ? {} : {responseBytes: bytes}),
  }));
const ticketRequest = fc.tuple(fc.constantFrom('ticket-cancel-asked' as const, 'ticket-query-asked' as const), fc.nat(EXPIRIES.length - 1), epochMs)
  .map(([kind, index, epoch]): InboundEvent => ({
    kind, askId: String(index), ticket: `t${index}`, epochMs: epoch, ...referenceOf(index),
  }));
const otherEvent = fc.oneof(
  callId.map((id): InboundEvent => ({kind: 'caller-gone', callId: id})),
  callId.map((id): InboundEvent => ({kind: 'sub-call-started', callId: id, service: 's'})),
  callId.map((id): InboundEvent => ({
    kind: 'sub-call-ended', callId: id, service: 's', fraction: 1,
  })),
  epochMs.map((epoch): InboundEvent => ({kind: 'tick', epochMs: epoch})),
  fc.nat(SLOTS_MAX).map((slots): InboundEvent => ({
    kind: 'backend-announced', service: 'chiuse', slots, connections: 1, coldStartMs: 0,
  })),
  fc.constantFrom<InboundEvent>({kind: 'backend-left'}, {kind: 'drain-started'}),
);
const step: fc.Arbitrary<Step> = fc.record({
  event: fc.oneof({weight: 8, arbitrary: arrival}, {weight: 6, arbitrary: callEnd}, {weight: 2, arbitrary: ticketRequest}, {weight: 6, arbitrary: otherEvent}),
  waitMs: fc.constantFrom(0, 0, 0, 20, 100, 60_000),
});

/** Reference model: records events and checks each action against what an outside observer knows. */
const createReferenceModel = () => {
  const running = new Set<string>();
  const ranTickets = new Set<number>();
  /** Tickets that were reported as not run. */
  const notRunTickets = new Set<number>();
  const discardedResponses = new Set<string>();
  /** Calls that may still be answered, and those of them that must be. */
  const answerable = new Set<string>();
  const unanswered = new Set<string>();
  const abandoned = new Set<string>();
  const isTicketRunning = (index: number): boolean => [...running].some(id => ticketOf(id) === index);
  const hasNeverRun = (index: number): boolean => !isTicketRunning(index) && !ranTickets.has(index);

  const assertAction = (condition: boolean, failure: string, action: InboundAction): void => {
    if (!condition) {
      throw new Error(`${failure}: ${JSON.stringify(action)}`);
    }
  };

  const recordAnswer = (action: Extract<InboundAction, {kind: 'reject' | 'replay'}>): void => {
    assertAction(answerable.delete(action.callId), 'answered twice', action);
    unanswered.delete(action.callId);
  };

  const checkTicketState = (action: Extract<InboundAction, {kind: 'ticket-state'}>): void => {
    const ticketIndex = Number(action.askId);
    assertAction((action.state !== 'cancelled' && action.state !== 'unseen') || hasNeverRun(ticketIndex), 'false ticket state', action);
    if (action.state === 'cancelled') {
      notRunTickets.add(ticketIndex);
    }
  };

  const checkAction = (action: InboundAction): void => {
    const index = 'callId' in action ? ticketOf(action.callId) : undefined;
    switch (action.kind) {
      case 'dispatch': {
        assertAction(!running.has(action.callId), 'call runs twice at a time', action);
        assertAction(index === undefined || hasNeverRun(index), 'ticket runs twice', action);
        assertAction(index === undefined || !notRunTickets.has(index), 'ticket runs after a "not run"', action);
        running.add(action.callId);
        break;
      }

      case 'reject': {
        const isNotRun = index === undefined ? !running.has(action.callId) : hasNeverRun(index);
        assertAction(action.outcome !== 'not-run' || isNotRun, 'false not-run', action);
        assertAction(action.outcome !== 'run' || index === undefined || ranTickets.has(index), 'false run', action);
        if (action.outcome === 'not-run' && index !== undefined) {
          notRunTickets.add(index);
        }

        recordAnswer(action);
        break;
      }

      case 'replay': {
        assertAction(index === ticketOf(action.leaderId) && !discardedResponses.has(action.leaderId), 'wrong or forgotten response', action);
        recordAnswer(action);
        break;
      }

      case 'ticket-state': {
        checkTicketState(action);

        break;
      }

      case 'forget-response': {
        discardedResponses.add(action.leaderId);
        break;
      }

      case 'join':
      case 'cancel':
      case 'drained':
      case 'report': {
        break;
      }
    }
  };

  const recordCallEnd = (id: string, result: BackendOutcome): void => {
    const index = ticketOf(id);
    if (!running.delete(id)) {
      return;
    }

    if (result.kind !== 'not-sent' && index !== undefined) {
      ranTickets.add(index);
    }

    if (result.kind === 'responded') {
      unanswered.delete(id);
      answerable.delete(id);
    }
  };

  const recordEvent = (event: InboundEvent): void => {
    if (event.kind === 'call-arrived') {
      answerable.add(event.callId);
      // A call whose caller has disconnected needs no answer; a repeated arrival of it may be ignored.
      if (!abandoned.has(event.callId)) {
        unanswered.add(event.callId);
      }
    } else if (event.kind === 'backend-ended') {
      recordCallEnd(event.callId, event.outcome);
    } else if (event.kind === 'caller-gone' && answerable.has(event.callId)) {
      unanswered.delete(event.callId);
      abandoned.add(event.callId);
    }
  };

  return {
    checkAction, recordEvent, running, unanswered,
  };
};

test('a ticket runs at most once, reported outcomes are true and every caller is answered, under any order of events', t => {
  t.log(`seed ${SEED}`);
  const run = (steps: Step[]): boolean => {
    const model = createReferenceModel();
    const driver = createDriver(1, [], {
      ledgerLimits: {
        records: 4, cancelled: 1, responseBytes: 100, totalBytes: 150,
      },
    });
    const {state} = driver;
    const performStep = ({event, waitMs}: Step): void => {
      driver.now += waitMs;
      model.recordEvent(event);
      for (const action of driver.send(event)) {
        model.checkAction(action);
      }

      if (state.runningCount > SLOTS_MAX || state.ledger.storedBytes > 150 || state.ledger.records.size > 4 || state.ledger.cancelledCount > 1) {
        throw new Error('a bound is exceeded');
      }
    };

    for (const next of steps) {
      performStep(next);
    }

    performStep({event: {kind: 'tick', epochMs: 0}, waitMs: 10_000});
    for (const id of model.running) {
      performStep({event: {kind: 'backend-ended', callId: id, outcome: {kind: 'lost'}}, waitMs: 0});
    }

    return model.unanswered.size === 0 && state.calls.size === 0 && state.leaderIds.size === 0
      && state.queue.length === 0 && state.runningCount === 0 && state.ledger.attemptLeaders.size === 0;
  };

  fc.assert(fc.property(fc.array(step, {maxLength: 60, size: 'max'}), run), {seed: SEED, numRuns: 3000});
  t.pass();
});
