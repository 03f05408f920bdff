/** Runs one client request: attempts, resends and ticket exchanges until it completes or the client gives up. */
import {setTimeout as delay} from 'node:timers/promises';
import type {Random} from '../shared/random.js';
import type {Device} from './device.js';
import type {RequestRecord} from './results.js';
import type {Arrival} from './schedule.js';
import {sendAttempt, type AttemptResult} from './attempt.js';
import type {LoadSettings} from './settings.js';

/** Context of the load run that a request belongs to. */
export type RunContext = {
  settings: LoadSettings;
  device: Device;
  random: Random;
  /** Start of the schedule, on the clock of `performance.now()`. */
  startedAt: number;
};

/** Maximum number of tickets accepted per request. A second 428 response already means that the system rejected its own ticket; the limit prevents an endless exchange. */
const TICKET_EXCHANGES_MAX = 3;

const recordResult = (record: RequestRecord, result: AttemptResult, elapsedMs: number) => {
  switch (result.kind) {
    case 'truncated': {
      record.truncated++;
      break;
    }

    case 'swapped': {
      record.swapped++;
      break;
    }

    case 'broken': {
      record.cut++;
      break;
    }

    case 'rejected': {
      record.lastOutcome = result.outcome;
      if (result.outcome === 'not-run') {
        record.notRunAtMs.push(elapsedMs);
      }

      break;
    }

    case 'completed':
    case 'ticket':
    case 'timed-out':
    case 'restarted': {
      break;
    }
  }

  record.lastReason = result.kind === 'rejected' ? result.reason : result.kind;
};

const resendDelay = (context: RunContext, result: AttemptResult): number => {
  if (result.kind === 'rejected' && result.retryAfterMs !== undefined && context.device.respectsRetryAfter) {
    return result.retryAfterMs;
  }

  return context.settings.client.backoffMs * 2 * context.random();
};

const pickEntry = ({settings, device, random}: RunContext, attemptNumber: number): string => {
  const {entries, client} = settings;
  const homeIndex = device.index % entries.length;
  const useRandomEntry = attemptNumber > 1 && random() < client.otherEntryShare;
  return entries[useRandomEntry ? Math.floor(random() * entries.length) : homeIndex]!;
};

const createRecord = (arrival: Arrival): RequestRecord => ({
  id: arrival.id,
  kind: arrival.kind.name,
  priority: arrival.kind.priority,
  group: arrival.group.name,
  idempotent: arrival.kind.idempotent,
  scheduledMs: arrival.atMs,
  startLateMs: 0,
  finishedMs: 0,
  completed: false,
  sendings: 0,
  resends: 0,
  notRunAtMs: [],
  lastOutcome: 'none',
  lastReason: 'none',
  truncated: 0,
  swapped: 0,
  cut: 0,
});

/** Sends a request until it completes, its deadline passes or its resends are used up. */
export const runRequest = async (arrival: Arrival, context: RunContext): Promise<RequestRecord> => {
  const record = createRecord(arrival);
  const elapsed = () => performance.now() - context.startedAt;
  const remaining = () => arrival.atMs + arrival.kind.deadlineMs - elapsed();
  let ticket: string | undefined;
  let ticketExchanges = 0;
  record.startLateMs = elapsed() - arrival.atMs;
  const sendOnce = async (): Promise<AttemptResult> => {
    record.sendings++;
    return sendAttempt({
      arrival,
      device: context.device,
      entry: pickEntry(context, record.sendings),
      ticket,
      attemptNumber: record.sendings,
      remainingMs: remaining(),
      timeoutMs: Math.min(context.settings.client.timeoutMs, remaining()),
    });
  };

  while (remaining() > 0) {
    const result = await sendOnce(); // eslint-disable-line no-await-in-loop
    recordResult(record, result, elapsed());
    if (result.kind === 'completed') {
      record.completed = remaining() >= 0;
      break;
    }

    if (result.kind === 'ticket' && ticketExchanges < TICKET_EXCHANGES_MAX) {
      ticket = result.ticket;
      ticketExchanges++;
      continue;
    }

    if (result.kind === 'rejected') {
      ticket = result.ticket ?? ticket;
    }

    const waitMs = resendDelay(context, result);
    if (record.resends >= context.settings.client.resends || waitMs >= remaining()) {
      break;
    }

    record.resends++;
    await delay(waitMs); // eslint-disable-line no-await-in-loop
  }

  record.finishedMs = elapsed();
  return record;
};
