/** Measures how the cost of the inbound decision grows with priorities, client groups and stored records. */
import {Buffer} from 'node:buffer';
import {
  createInboundState, decideInbound, type InboundEvent, type InboundState,
} from '../../decisions/inbound/inbound.js';
import {
  claimTicket, createTicketLedger, recordTicketOutcome, markTicketRunning, type TicketLedger,
} from '../../decisions/inbound/ticket-ledger.js';
import {compilePolicy} from '../../objects/policy.js';
import type {Random} from '../../shared/random.js';
import {issueTicket} from '../../shared/ticket.js';
import {median} from './line-fit.js';
import {createCall, createObjects, serviceName} from './generators.js';
import {
  measureRetainedBytes, measureCall, measureSeries, measureSeriesAsync, processorMicroseconds, REPETITIONS,
} from './benchmark.js';
import type {Series} from './series.js';

const CALLS_PER_RUN = 20_000;
/** Calls with tickets per run. Each leaves a record, so their number stays small compared with the prefilled records. */
const TICKETED_CALLS_PER_RUN = 2000;
const SLOTS = 100;
const EPOCH_MS = 1_700_000_000_000;
const TICKET_LIFETIME_MS = 600_000;
const TICK_MS = 20;
const TICKS_PER_WINDOW = 5;
const WINDOW_COUNT = 100;
const CALLS_PER_MS = 10;
/** Record limit of the measured ledger. It is above the default of 50,000, so that the records of the measured calls fit beside the prefilled ones. */
const MEASURED_LEDGER_RECORDS_MAX = 100_000;
const INCARNATION = 'incarnation-0';

/** Index of the first call that prefills the ledger; measured calls are numbered from 0. */
const PREFILL_INDEX_OFFSET = 1_000_000;

/** Variety of the measured calls, and the ticket records that prefill the ledger; a negative number means calls without tickets. */
type CallMix = {priorities: number; groups: number; ticketRecords: number};

const createTicket = (index: number): string => issueTicket({
  service: serviceName(0), host: 'host-0', address: '10.0.0.1:7101', incarnation: INCARNATION, expiresAt: EPOCH_MS + TICKET_LIFETIME_MS,
}, 'fleet-key');

const createInboundStateWithBackend = (random: Random): InboundState => {
  const state = createInboundState({incarnation: INCARNATION, policy: compilePolicy(createObjects(20, random)), ledgerLimits: {records: MEASURED_LEDGER_RECORDS_MAX}});
  decideInbound(state, {
    kind: 'backend-announced', service: serviceName(0), slots: SLOTS, connections: 500, coldStartMs: 0,
  }, 0, random);
  return state;
};

/** Runs one call through the decision, from its arrival to the response of the backend server. */
const performCall = (state: InboundState, event: Extract<InboundEvent, {kind: 'call-arrived'}>, now: number, random: Random): void => {
  const actions = decideInbound(state, event, now, random);
  if (!actions.some(({kind}) => kind === 'dispatch')) {
    throw new Error(`the measured call was not dispatched but got ${JSON.stringify(actions)}; measure with fewer calls per second`);
  }

  decideInbound(state, {
    kind: 'backend-ended', callId: event.callId, outcome: {kind: 'responded', status: 200, durationMs: 5}, responseBytes: 500,
  }, now, random);
};

const createArrival = (index: number, {priorities, groups, ticketRecords}: CallMix, random: Random): Extract<InboundEvent, {kind: 'call-arrived'}> => {
  const hasTicket = ticketRecords >= 0;
  const call = createCall(index, {
    priority: index % priorities,
    group: `group-${index % groups}`,
    ...(hasTicket ? {idempotent: false, ticket: createTicket(index)} : {}),
  }, random);
  const ticket = hasTicket ? {ticketExpiresAt: EPOCH_MS + TICKET_LIFETIME_MS, ticketIncarnation: INCARNATION} : {};
  return {
    kind: 'call-arrived', callId: `call-${index}`, call, epochMs: EPOCH_MS + 1, ...ticket,
  };
};

/** Cost of one call with its arrival, dispatch and end, in nanoseconds. */
const measureInboundCall = (mix: CallMix, random: Random): number => {
  const state = createInboundStateWithBackend(random);
  for (let index = 0; index < mix.ticketRecords; index++) {
    performCall(state, createArrival(PREFILL_INDEX_OFFSET + index, mix, random), index / CALLS_PER_MS, random);
  }

  const start = (mix.ticketRecords / CALLS_PER_MS) + 1;
  const calls = mix.ticketRecords < 0 ? CALLS_PER_RUN : TICKETED_CALLS_PER_RUN;
  // Created before the measurement, because issuing a ticket costs more than the decision.
  const arrivals = Array.from({length: calls * (REPETITIONS + 1)}, (_, index) => createArrival(index, mix, random));
  return measureCall(calls, index => {
    performCall(state, arrivals[index]!, start + (index / CALLS_PER_MS), random);
  });
};

/** Cost of one tick while calls of all client groups arrive, in nanoseconds. */
const measureTick = (groups: number, random: Random): number => {
  const state = createInboundStateWithBackend(random);
  const mix = {priorities: 4, groups, ticketRecords: -1};
  let now = 0;
  let nextCall = 0;
  const runWindow = (): number => {
    // The state of a client group without calls is removed, so each window has calls of all groups.
    for (let index = 0; index < groups; index++) {
      performCall(state, createArrival(nextCall++, mix, random), now, random);
    }

    const before = processorMicroseconds();
    for (let tick = 0; tick < TICKS_PER_WINDOW; tick++) {
      now += TICK_MS;
      decideInbound(state, {kind: 'tick', epochMs: EPOCH_MS + now}, now, random);
    }

    return (processorMicroseconds() - before) * 1000 / TICKS_PER_WINDOW;
  };

  const windows = Array.from({length: WINDOW_COUNT}, () => runWindow());
  return median(windows.slice(WINDOW_COUNT / 2));
};

const fillLedger = (records: number): TicketLedger => {
  const ledger = createTicketLedger(INCARNATION, {records});
  for (let index = 0; index < records; index++) {
    const ticket = createTicket(index);
    claimTicket(ledger, {ticket, expiresAt: EPOCH_MS + TICKET_LIFETIME_MS + index, incarnation: INCARNATION}, `call-${index}`);
    markTicketRunning(ledger, ticket);
    recordTicketOutcome(ledger, ticket, 'completed', undefined);
  }

  return ledger;
};

const RESPONSE_BYTES = 1024;

const storeResponses = (responses: number) => new Map(Array.from({length: responses}, (_, index) => [`call-${index}`, {
  status: 200, headers: {'content-type': 'application/json'}, body: Buffer.from(Buffer.alloc(RESPONSE_BYTES, 'a')),
}]));

/** Measures all series of the inbound decision. */
export const measureInbound = async (random: Random): Promise<Series[]> => [
  measureSeries({name: 'inbound-call-by-priorities', unit: 'ns', per: 'priority'}, [1, 4, 8, 16], size => measureInboundCall({priorities: size, groups: 1, ticketRecords: -1}, random)),
  measureSeries({name: 'inbound-call-by-groups', unit: 'ns', per: 'client group'}, [1, 10, 100, 1000], size => measureInboundCall({priorities: 4, groups: size, ticketRecords: -1}, random)),
  measureSeries({name: 'inbound-call-by-tickets', unit: 'ns', per: 'ticket record'}, [0, 10_000, 50_000], size => measureInboundCall({priorities: 4, groups: 10, ticketRecords: size}, random)),
  measureSeries({name: 'inbound-tick', unit: 'ns', per: 'client group'}, [1, 10, 100, 1000], size => measureTick(size, random)),
  await measureSeriesAsync({name: 'heap-ticket-records', unit: 'B', per: 'record'}, [1000, 10_000, 50_000], async size => measureRetainedBytes(() => fillLedger(size))),
  await measureSeriesAsync({name: 'heap-stored-responses', unit: 'B', per: 'response of 1,024 B'}, [100, 1000, 10_000], async size => measureRetainedBytes(() => storeResponses(size))),
];
