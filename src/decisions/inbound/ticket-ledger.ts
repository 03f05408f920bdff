/** Keeps one record per ticket, so that a non-idempotent call is dispatched at most once. */
import {
  LEDGER_RECORDS_MAX, RESPONSE_BYTES_MAX, RESPONSES_BYTES_MAX, TICKET_RETURNS_MAX,
} from './constants.js';

/** Bounds of a ledger. */
export type LedgerLimits = {
  /** Ticket records. @default 50000 */
  records: number;
  /** Bytes of one stored response. @default 65536 */
  responseBytes: number;
  /** Bytes of all stored responses. @default 33554432 */
  totalBytes: number;
};

/** What became of a ticket. `returned`: dispatched, but the shell could send nothing to the backend server. */
export type TicketOutcome = 'waiting' | 'running' | 'completed' | 'cancelled' | 'unknown' | 'returned';

type TicketRecord = {
  outcome: TicketOutcome;
  leaderId: string;
  /** Calls whose dispatch returned unsent. Repeated events of theirs must not start or end a later run. */
  formerLeaders: string[];
  /** Size of the stored response, or undefined when none is stored. */
  storedBytes: number | undefined;
};

/** State of a ledger. */
export type TicketLedger = {
  incarnation: string;
  limits: LedgerLimits;
  /** Milliseconds since the Unix epoch, never decreasing. */
  epochMs: number;
  records: Map<string, TicketRecord>;
  /** Tickets by the second of their expiry. */
  expiries: Map<number, string[]>;
  sweptSecond: number;
  storedBytes: number;
  /** Leader of each call in progress without a ticket, by attempt. */
  attempts: Map<string, string>;
};

/** A ticket as read from its content. */
export type TicketReference = {
  ticket: string;
  /** Milliseconds since the Unix epoch; absent when the ticket could not be read. */
  expiresAt: number | undefined;
  incarnation: string | undefined;
};

/** What a call under a ticket has to do. */
export type TicketAnswer =
  | {kind: 'new'}
  | {kind: 'duplicate'}
  | {kind: 'join'; leaderId: string}
  | {kind: 'replay'; leaderId: string}
  | {
    kind: 'refused';
    reason: 'ticket-expired' | 'ticket-other-incarnation' | 'ticket-cancelled' | 'outcome-unknown' | 'response-not-kept';
    outcome: 'run' | 'not-run' | 'unknown';
  };

/** State of a ticket as told to a client. */
export type TicketState = {state: 'unseen' | 'cancelled' | 'running' | 'completed' | 'unknown'; leaderId?: string};

/** Creates an empty ledger of a process incarnation. */
export const createTicketLedger = (incarnation: string, limits: Partial<LedgerLimits> = {}): TicketLedger => ({
  incarnation,
  limits: {
    records: LEDGER_RECORDS_MAX, responseBytes: RESPONSE_BYTES_MAX, totalBytes: RESPONSES_BYTES_MAX, ...limits,
  },
  epochMs: 0,
  records: new Map(),
  expiries: new Map(),
  sweptSecond: 0,
  storedBytes: 0,
  attempts: new Map(),
});

/** Moves the ledger's clock; an earlier time has no effect. */
export const advanceLedger = (ledger: TicketLedger, epochMs: number): void => {
  if (epochMs > ledger.epochMs) {
    ledger.epochMs = epochMs;
  }
};

const isForeign = (ledger: TicketLedger, {incarnation, expiresAt}: TicketReference): boolean =>
  incarnation !== ledger.incarnation || expiresAt === undefined || !Number.isFinite(expiresAt);

// Records are dropped by the same comparison, so a ticket whose record is gone is never taken for a new one.
const isExpired = (ledger: TicketLedger, {expiresAt}: TicketReference): boolean => expiresAt! <= ledger.epochMs;

const isInProgress = ({outcome}: TicketRecord): boolean => outcome === 'waiting' || outcome === 'running';

const answerFrom = (record: TicketRecord, callId: string): TicketAnswer => {
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

    case 'cancelled': {
      return {kind: 'refused', reason: 'ticket-cancelled', outcome: 'not-run'};
    }

    case 'unknown': {
      return {kind: 'refused', reason: 'outcome-unknown', outcome: 'unknown'};
    }

    case 'returned': {
      return record.formerLeaders.includes(callId) ? {kind: 'duplicate'} : {kind: 'new'};
    }
  }
};

/** Tells what a call under a ticket has to do; changes nothing. */
export const askTicket = (ledger: TicketLedger, reference: TicketReference, callId: string): TicketAnswer => {
  if (isForeign(ledger, reference)) {
    return {kind: 'refused', reason: 'ticket-other-incarnation', outcome: 'unknown'};
  }

  if (isExpired(ledger, reference)) {
    // The ticket may have run before its record was dropped, so "not run" would not be certain.
    return {kind: 'refused', reason: 'ticket-expired', outcome: 'unknown'};
  }

  const record = ledger.records.get(reference.ticket);
  return record === undefined ? {kind: 'new'} : answerFrom(record, callId);
};

const addRecord = (ledger: TicketLedger, {ticket, expiresAt}: TicketReference, record: TicketRecord): boolean => {
  if (ledger.records.size >= ledger.limits.records) {
    return false;
  }

  ledger.records.set(ticket, record);
  const second = Math.ceil(expiresAt! / 1000);
  const sameSecond = ledger.expiries.get(second);
  if (sameSecond === undefined) {
    ledger.expiries.set(second, [ticket]);
  } else {
    sameSecond.push(ticket);
  }

  return true;
};

/** Makes a call the leader of a ticket that `askTicket` called new; false when the ledger is full. */
export const claimTicket = (ledger: TicketLedger, reference: TicketReference, callId: string): boolean => {
  const known = ledger.records.get(reference.ticket);
  if (known === undefined) {
    return addRecord(ledger, reference, {
      outcome: 'waiting', leaderId: callId, formerLeaders: [], storedBytes: undefined,
    });
  }

  known.outcome = 'waiting';
  known.leaderId = callId;
  return true;
};

/** Notes that the leader of a ticket is dispatched. */
export const startTicket = (ledger: TicketLedger, ticket: string): void => {
  ledger.records.get(ticket)!.outcome = 'running';
};

/** Frees a ticket whose leader leaves the queue without a dispatch. */
export const releaseTicket = (ledger: TicketLedger, reference: TicketReference): void => {
  const record = ledger.records.get(reference.ticket)!;
  if (record.formerLeaders.length > 0) {
    record.outcome = 'returned';
    return;
  }

  ledger.records.delete(reference.ticket);
  const second = Math.ceil(reference.expiresAt! / 1000);
  const sameSecond = ledger.expiries.get(second) ?? [];
  const index = sameSecond.lastIndexOf(reference.ticket);
  if (index !== -1) {
    sameSecond.splice(index, 1);
  }
};

/** Notes that nothing of the leader's call was sent, so that the ticket has not run. */
export const returnTicket = (ledger: TicketLedger, ticket: string): void => {
  const record = ledger.records.get(ticket)!;
  record.formerLeaders.push(record.leaderId);
  record.outcome = record.formerLeaders.length > TICKET_RETURNS_MAX ? 'cancelled' : 'returned';
};

/** Notes how a running ticket ended; `storedBytes` is the size of its response if the shell has it. Tells whether the response is kept. */
export const endTicket = (ledger: TicketLedger, ticket: string, outcome: 'completed' | 'unknown', storedBytes?: number): boolean => {
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

/** Tells the state of a ticket to a client. */
export const queryTicket = (ledger: TicketLedger, reference: TicketReference): TicketState => {
  if (isForeign(ledger, reference)) {
    return {state: 'unknown'};
  }

  const record = ledger.records.get(reference.ticket);
  switch (record?.outcome) {
    case undefined: {
      return {state: isExpired(ledger, reference) ? 'unknown' : 'unseen'};
    }

    case 'waiting':
    case 'running': {
      return {state: 'running', leaderId: record.leaderId};
    }

    case 'completed': {
      return record.storedBytes === undefined ? {state: 'completed'} : {state: 'completed', leaderId: record.leaderId};
    }

    case 'returned': {
      return {state: 'unseen'};
    }

    case 'cancelled':
    case 'unknown': {
      return {state: record.outcome};
    }
  }
};

/** Cancels a ticket that is not running. The state `unseen` means that the ledger is full and the ticket is not cancelled; `waitingId` names a waiting call that must no longer run. */
export const cancelTicket = (ledger: TicketLedger, reference: TicketReference): TicketState & {waitingId?: string} => {
  const record = ledger.records.get(reference.ticket);
  if (isForeign(ledger, reference)) {
    return {state: 'unknown'};
  }

  if (record !== undefined) {
    if (record.outcome === 'waiting') {
      record.outcome = 'cancelled';
      return {state: 'cancelled', waitingId: record.leaderId};
    }

    if (record.outcome === 'returned') {
      record.outcome = 'cancelled';
    }

    return queryTicket(ledger, reference);
  }

  if (isExpired(ledger, reference)) {
    return {state: 'unknown'};
  }

  const isAdded = addRecord(ledger, reference, {
    outcome: 'cancelled', leaderId: '', formerLeaders: [], storedBytes: undefined,
  });
  return {state: isAdded ? 'cancelled' : 'unseen'};
};

const dropTicket = (ledger: TicketLedger, ticket: string): string[] => {
  const record = ledger.records.get(ticket);
  ledger.records.delete(ticket);
  if (record?.storedBytes === undefined) {
    return [];
  }

  ledger.storedBytes -= record.storedBytes;
  return [record.leaderId];
};

/** Drops the expired records of calls that have ended; returns the leaders whose stored responses are no longer needed. */
export const expireTickets = (ledger: TicketLedger): string[] => {
  const second = Math.floor(ledger.epochMs / 1000);
  if (second === ledger.sweptSecond) {
    return [];
  }

  ledger.sweptSecond = second;
  const due = [...ledger.expiries.keys()].filter(expiry => expiry <= second);
  return due.flatMap(expiry => {
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
    return tickets.filter(ticket => !kept.has(ticket)).flatMap(ticket => dropTicket(ledger, ticket));
  });
};
