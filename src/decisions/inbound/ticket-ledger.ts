/**
Records the state of each ticket, so that a non-idempotent call is dispatched at most once.

The first call with a ticket becomes its leader and runs; later calls with the same ticket join the leader or replay its response.
*/
import {hash32} from '../../shared/hash.js';
import {
  CANCELLED_TICKETS_MAX, LEDGER_RECORDS_MAX, RESPONSE_BYTES_MAX, RESPONSES_BYTES_MAX,
} from './constants.js';

/** Limits of a ledger. */
export type LedgerLimits = {
  /** Maximum number of records for tickets that are waiting, running or have run. @default 50000 */
  records: number;
  /** Maximum number of cancelled tickets. @default 120000 */
  cancelled: number;
  /** Maximum size of one stored response in bytes. @default 65536 */
  responseBytes: number;
  /** Maximum size of all stored responses in bytes. @default 33554432 */
  totalBytes: number;
};

/** Progress of the call of a ticket that has a record. */
export type TicketOutcome = 'waiting' | 'running' | 'completed' | 'unknown';

type TicketRecord = {
  outcome: TicketOutcome;
  /** Id of the call that runs, or has run, under the ticket. */
  leaderId: string;
  /** Size of the stored response, or undefined when none is stored. */
  storedBytes: number | undefined;
};

/** State of a ledger. */
export type TicketLedger = {
  incarnation: string;
  limits: LedgerLimits;
  /** Latest time seen, in milliseconds since the Unix epoch; never decreases. */
  epochMs: number;
  records: Map<string, TicketRecord>;
  /** Tickets with a record, by the second of their expiry. */
  expiries: Map<number, string[]>;
  /** Fingerprints of cancelled tickets by the second of their expiry. */
  cancelled: Map<number, Set<number>>;
  cancelledCount: number;
  /** Second in which expired tickets were last removed. */
  lastSweepSecond: number;
  /** Size of all stored responses in bytes. */
  storedBytes: number;
  /** Id of the call in progress for each attempt without a ticket. */
  attemptLeaders: Map<string, string>;
};

/** A ticket and the fields read from its content. */
export type TicketReference = {
  ticket: string;
  /** Expiry in milliseconds since the Unix epoch; undefined if the ticket could not be read. */
  expiresAt: number | undefined;
  incarnation: string | undefined;
};

/** How to handle a call with a ticket: run it, join its leader, replay its response or reject it. */
export type TicketResolution =
  | {kind: 'new'}
  | {kind: 'join'; leaderId: string}
  | {kind: 'replay'; leaderId: string}
  | {
    kind: 'refused';
    reason: 'ticket-expired' | 'ticket-other-incarnation' | 'ticket-cancelled' | 'outcome-unknown' | 'response-not-kept';
    outcome: 'run' | 'not-run' | 'unknown';
  };

/** State of a ticket as reported to clients. */
export type TicketState = {state: 'unseen' | 'cancelled' | 'running' | 'completed' | 'unknown'; leaderId?: string};

/** Creates an empty ledger for a process incarnation. */
export const createTicketLedger = (incarnation: string, limits: Partial<LedgerLimits> = {}): TicketLedger => ({
  incarnation,
  limits: {
    records: LEDGER_RECORDS_MAX, cancelled: CANCELLED_TICKETS_MAX, responseBytes: RESPONSE_BYTES_MAX, totalBytes: RESPONSES_BYTES_MAX, ...limits,
  },
  epochMs: 0,
  records: new Map(),
  expiries: new Map(),
  cancelled: new Map(),
  cancelledCount: 0,
  lastSweepSecond: 0,
  storedBytes: 0,
  attemptLeaders: new Map(),
});

/** Advances the ledger's clock; an earlier time has no effect. */
export const advanceLedgerClock = (ledger: TicketLedger, epochMs: number): void => {
  if (epochMs > ledger.epochMs) {
    ledger.epochMs = epochMs;
  }
};

/** Returns whether another incarnation issued a ticket; also true if the ticket could not be read. */
const isOtherIncarnation = (ledger: TicketLedger, {incarnation, expiresAt}: TicketReference): boolean =>
  incarnation !== ledger.incarnation || expiresAt === undefined || !Number.isFinite(expiresAt);

// Records are removed no earlier than this comparison holds, so a ticket whose record was removed is never taken for a new one.
const isExpired = (ledger: TicketLedger, {expiresAt}: TicketReference): boolean => expiresAt! <= ledger.epochMs;

const isInProgress = ({outcome}: TicketRecord): boolean => outcome === 'waiting' || outcome === 'running';

const expirySecond = ({expiresAt}: TicketReference): number => Math.ceil(expiresAt! / 1000);

/**
Returns a 53-bit hash of a ticket, which takes a quarter of the memory of the ticket itself.

A collision rejects a ticket that has not run. It is rejected until it expires, so the reported `not-run` stays true.
*/
const fingerprintOf = (ticket: string): number => (hash32(ticket) * (2 ** 21)) + (hash32(`.${ticket}`) >>> 11); // eslint-disable-line no-bitwise

const isCancelled = (ledger: TicketLedger, reference: TicketReference): boolean =>
  ledger.cancelled.get(expirySecond(reference))?.has(fingerprintOf(reference.ticket)) ?? false;

const resolveRecord = (record: TicketRecord): TicketResolution => {
  switch (record.outcome) {
    case 'waiting':
    case 'running': {
      return {kind: 'join', leaderId: record.leaderId};
    }

    case 'completed': {
      return record.storedBytes === undefined
        ? {kind: 'refused', reason: 'response-not-kept', outcome: 'run'}
        : {kind: 'replay', leaderId: record.leaderId};
    }

    case 'unknown': {
      return {kind: 'refused', reason: 'outcome-unknown', outcome: 'unknown'};
    }
  }
};

/** Determines how to handle a call with a ticket, without changing the ledger. */
export const resolveTicket = (ledger: TicketLedger, reference: TicketReference): TicketResolution => {
  if (isOtherIncarnation(ledger, reference)) {
    return {kind: 'refused', reason: 'ticket-other-incarnation', outcome: 'unknown'};
  }

  if (isExpired(ledger, reference)) {
    // The ticket may have run before its record was removed, so `not-run` could be false.
    return {kind: 'refused', reason: 'ticket-expired', outcome: 'unknown'};
  }

  const record = ledger.records.get(reference.ticket);
  if (record !== undefined) {
    return resolveRecord(record);
  }

  return isCancelled(ledger, reference) ? {kind: 'refused', reason: 'ticket-cancelled', outcome: 'not-run'} : {kind: 'new'};
};

/** Makes a call the leader of a ticket for which `resolveTicket` returned `new`; returns false if the ledger is full. */
export const claimTicket = (ledger: TicketLedger, reference: TicketReference, callId: string): boolean => {
  if (ledger.records.size >= ledger.limits.records) {
    return false;
  }

  ledger.records.set(reference.ticket, {outcome: 'waiting', leaderId: callId, storedBytes: undefined});
  const second = expirySecond(reference);
  const sameSecond = ledger.expiries.get(second);
  if (sameSecond === undefined) {
    ledger.expiries.set(second, [reference.ticket]);
  } else {
    sameSecond.push(reference.ticket);
  }

  return true;
};

/** Records that the leader of a ticket has been dispatched. */
export const markTicketRunning = (ledger: TicketLedger, ticket: string): void => {
  ledger.records.get(ticket)!.outcome = 'running';
};

/** Removes the record of a ticket whose leader ended without running; unless cancelled, the ticket can be used again. */
export const releaseTicket = (ledger: TicketLedger, reference: TicketReference): void => {
  if (!ledger.records.delete(reference.ticket)) {
    return;
  }

  const sameSecond = ledger.expiries.get(expirySecond(reference)) ?? [];
  const index = sameSecond.lastIndexOf(reference.ticket);
  if (index !== -1) {
    sameSecond.splice(index, 1);
  }
};

/**
Records that a ticket will never run; returns false, without a change, if the ledger is full.

Must succeed before `not-run` is reported to a caller: the caller may then retry with a new ticket while a delayed copy of the first call is
still in transit. The ticket must be of this incarnation and must not have run.
*/
export const recordCancellation = (ledger: TicketLedger, reference: TicketReference): boolean => {
  if (ledger.cancelledCount >= ledger.limits.cancelled) {
    return false;
  }

  releaseTicket(ledger, reference);
  const second = expirySecond(reference);
  const sameSecond = ledger.cancelled.get(second) ?? new Set<number>();
  ledger.cancelled.set(second, sameSecond);
  ledger.cancelledCount -= sameSecond.size;
  sameSecond.add(fingerprintOf(reference.ticket));
  ledger.cancelledCount += sameSecond.size;
  return true;
};

/** Records the outcome of a running ticket and returns whether its response is kept; `storedBytes` is the response size, if the process holds a copy. */
export const recordTicketOutcome = (ledger: TicketLedger, ticket: string, outcome: 'completed' | 'unknown', storedBytes?: number): boolean => {
  const record = ledger.records.get(ticket)!;
  record.outcome = outcome;
  const isKept = outcome === 'completed'
    && storedBytes !== undefined
    && storedBytes <= ledger.limits.responseBytes
    && ledger.storedBytes + storedBytes <= ledger.limits.totalBytes;
  if (isKept) {
    record.storedBytes = storedBytes;
    ledger.storedBytes += storedBytes;
  }

  return isKept;
};

/** Returns the state of a ticket to report to a client. */
export const queryTicket = (ledger: TicketLedger, reference: TicketReference): TicketState => {
  if (isOtherIncarnation(ledger, reference)) {
    return {state: 'unknown'};
  }

  const record = ledger.records.get(reference.ticket);
  switch (record?.outcome) {
    case undefined: {
      if (isExpired(ledger, reference)) {
        return {state: 'unknown'};
      }

      return {state: isCancelled(ledger, reference) ? 'cancelled' : 'unseen'};
    }

    case 'waiting':
    case 'running': {
      return {state: 'running', leaderId: record.leaderId};
    }

    case 'completed': {
      return record.storedBytes === undefined ? {state: 'completed'} : {state: 'completed', leaderId: record.leaderId};
    }

    case 'unknown': {
      return {state: 'unknown'};
    }
  }
};

/**
Cancels a ticket unless it is running or has run; `queuedCallId` is a waiting call that must then be removed from the queue.

If the ledger is full, the ticket is not cancelled, and the state is `unseen`, or `running` for a waiting call.
*/
export const cancelTicket = (ledger: TicketLedger, reference: TicketReference): TicketState & {queuedCallId?: string} => {
  const current = queryTicket(ledger, reference);
  const record = ledger.records.get(reference.ticket);
  const isCancellable = current.state === 'unseen' || (current.state === 'running' && record?.outcome === 'waiting');
  if (!isCancellable || !recordCancellation(ledger, reference)) {
    return current;
  }

  return record === undefined ? {state: 'cancelled'} : {state: 'cancelled', queuedCallId: record.leaderId};
};

const removeRecord = (ledger: TicketLedger, ticket: string): string[] => {
  const record = ledger.records.get(ticket);
  ledger.records.delete(ticket);
  if (record?.storedBytes === undefined) {
    return [];
  }

  ledger.storedBytes -= record.storedBytes;
  return [record.leaderId];
};

/** Removes expired records, except those of calls in progress, and returns the leaders whose stored responses are no longer needed. */
export const expireTickets = (ledger: TicketLedger): string[] => {
  const second = Math.floor(ledger.epochMs / 1000);
  if (second === ledger.lastSweepSecond) {
    return [];
  }

  ledger.lastSweepSecond = second;
  for (const [expiry, tickets] of ledger.cancelled) {
    if (expiry <= second) {
      ledger.cancelled.delete(expiry);
      ledger.cancelledCount -= tickets.size;
    }
  }

  const expired = [...ledger.expiries.keys()].filter(expiry => expiry <= second);
  return expired.flatMap(expiry => {
    const tickets = ledger.expiries.get(expiry)!;
    const inProgress = tickets.filter(ticket => {
      const record = ledger.records.get(ticket);
      return record !== undefined && isInProgress(record);
    });
    ledger.expiries.delete(expiry);
    if (inProgress.length > 0) {
      ledger.expiries.set(expiry, inProgress);
    }

    const kept = new Set(inProgress);
    return tickets.filter(ticket => !kept.has(ticket)).flatMap(ticket => removeRecord(ledger, ticket));
  });
};
