/** Sends one attempt of a request and classifies the response. */
import {Buffer} from 'node:buffer';
import {
  DEADLINE_HEADER, GROUP_HEADER, OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER, TICKET_HEADER,
} from '../shared/constants.js';
import {checkMessage, encodeMessage, ATTEMPT_HEADER} from '../emulator/backend-server/message.js';
import type {Device} from './device.js';
import type {Arrival} from './schedule.js';

/** Result of an attempt; its kind appears in records as the reason, except for rejections. */
export type AttemptResult =
  | {kind: 'completed'}
  /** Nothing has run; the client must send the request again with this ticket. */
  | {kind: 'ticket'; ticket: string}
  /** A response other than 200; a ticket in it replaces the client's ticket, which is no longer valid. */
  | {kind: 'rejected'; status: number; reason: string; outcome: string; retryAfterMs: number | undefined; ticket: string | undefined}
  /** A 200 response that is incomplete or altered. */
  | {kind: 'truncated'}
  /** A whole 200 response that belongs to another request. */
  | {kind: 'swapped'}
  /** The connection broke before a 200 response began. */
  | {kind: 'broken'}
  | {kind: 'timed-out'}
  /** The device restarted during the attempt. */
  | {kind: 'restarted'};

/** One attempt to send a request. */
export type Attempt = {
  arrival: Arrival;
  device: Device;
  entry: string;
  ticket: string | undefined;
  /** Number of the attempt, from 1. */
  attemptNumber: number;
  remainingMs: number;
  timeoutMs: number;
};

const createHeaders = ({arrival, ticket, attemptNumber, remainingMs}: Attempt): Record<string, string> => ({
  [REQUEST_ID_HEADER]: arrival.id,
  [DEADLINE_HEADER]: String(Math.max(1, Math.floor(remainingMs))),
  [ATTEMPT_HEADER]: String(attemptNumber),
  ...(ticket === undefined ? {} : {[TICKET_HEADER]: ticket}),
  ...(arrival.group.header === undefined ? {} : {[GROUP_HEADER]: arrival.group.header}),
});

const firstHeaderValue = (headers: Record<string, string | string[] | undefined>, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const checkBody = (body: Buffer, arrival: Arrival): AttemptResult => {
  const check = checkMessage(body);
  if (check.kind === 'truncated') {
    return {kind: 'truncated'};
  }

  return check.id === arrival.id && check.service === arrival.kind.service ? {kind: 'completed'} : {kind: 'swapped'};
};

const parseRejection = (status: number, headers: Record<string, string | string[] | undefined>): AttemptResult => {
  const ticket = firstHeaderValue(headers, TICKET_HEADER);
  if (status === 428 && ticket !== undefined) {
    return {kind: 'ticket', ticket};
  }

  const retryAfter = firstHeaderValue(headers, 'retry-after');
  return {
    kind: 'rejected',
    status,
    reason: firstHeaderValue(headers, REASON_HEADER) ?? `status-${status}`,
    outcome: firstHeaderValue(headers, OUTCOME_HEADER) ?? 'unstated',
    retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * 1000,
    ticket,
  };
};

/** Sends the attempt and resolves to its result; it never rejects. */
export const sendAttempt = async (attempt: Attempt): Promise<AttemptResult> => {
  const {arrival, device, entry} = attempt;
  const {kind} = arrival;
  const abort = new AbortController();
  let abortedBy: 'restarted' | 'timed-out' | undefined;
  const abortBy = (cause: 'restarted' | 'timed-out') => {
    abortedBy ??= cause;
    abort.abort();
  };

  const removeRestartListener = device.onRestart(() => {
    abortBy('restarted');
  });
  const timer = setTimeout(abortBy, Math.max(1, Math.ceil(attempt.timeoutMs)), 'timed-out');
  let okHeadersReceived = false;
  try {
    const response = await device.agent().request({
      origin: `http://${entry}`,
      method: kind.method,
      path: `/${kind.service}${kind.path.replace('*', arrival.id)}`,
      headers: createHeaders(attempt),
      body: kind.method === 'GET' ? undefined : encodeMessage(arrival.id, kind.service, kind.bodyBytes),
      signal: abort.signal,
    });
    okHeadersReceived = response.statusCode === 200;
    const body = Buffer.from(await response.body.arrayBuffer());
    return response.statusCode === 200 ? checkBody(body, arrival) : parseRejection(response.statusCode, response.headers);
  } catch {
    return {kind: abortedBy ?? (okHeadersReceived ? 'truncated' : 'broken')};
  } finally {
    clearTimeout(timer);
    removeRestartListener();
  }
};
