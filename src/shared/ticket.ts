/** Tickets: signed ids of non-idempotent requests. A ticket names the one process incarnation that may run the request. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {createIdSource} from './ids.js';
import {fail, ok, type Result} from './result.js';

/** Content of a ticket. */
export type Ticket = {
  service: string;
  /** Host whose process may run the request. */
  host: string;
  /** Incarnation of that process. */
  incarnation: string;
  /** Address of that process, so that processes that do not know the host can reach it as well. */
  address: string;
  /** Random part that makes the ticket unique. */
  nonce: string;
  /** Expiry in milliseconds since the Unix epoch, by the issuer's clock. */
  expiresAt: number;
};

/** Reason why a ticket was rejected. */
export type TicketError = {kind: 'malformed-ticket' | 'forged-ticket'; message: string};

const nextNonce = createIdSource(12);
/** Length of a truncated message authentication code, in base64url characters. */
const MAC_LENGTH = 22;
/** Number of parts of a ticket before its message authentication code. */
const FIELD_COUNT = 6;

const computeMac = (text: string, key: string): string =>
  createHmac('sha256', key).update(`ticket:${text}`).digest('base64url').slice(0, MAC_LENGTH);

const encodePart = (part: string): string => encodeURIComponent(part).replaceAll('.', '%2E');

/** Creates a signed ticket for a process incarnation. */
export const issueTicket = (binding: Omit<Ticket, 'nonce'>, key: string): string => {
  const parts = [binding.service, binding.host, binding.incarnation, binding.address, nextNonce(), String(binding.expiresAt)];
  const text = parts.map(part => encodePart(part)).join('.');
  return `${text}.${computeMac(text, key)}`;
};

const isSameMac = (left: string, right: string): boolean =>
  left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));

/** Verifies the message authentication code of a ticket and decodes its content. Does not check the expiry. */
export const readTicket = (text: string, key: string): Result<Ticket, TicketError> => {
  const end = text.lastIndexOf('.');
  const body = text.slice(0, Math.max(end, 0));
  const parts = body.split('.');
  if (parts.length !== FIELD_COUNT) {
    return fail({kind: 'malformed-ticket', message: 'the ticket is malformed; repeat it exactly as it was issued'});
  }

  if (!isSameMac(text.slice(end + 1), computeMac(body, key))) {
    return fail({kind: 'forged-ticket', message: 'the ticket was not issued by this deployment; ask for a new one'});
  }

  const [service, host, incarnation, address, nonce, expiresAt] = parts.map(part => decodeURIComponent(part)) as [string, string, string, string, string, string];
  return ok({
    service, host, incarnation, address, nonce, expiresAt: Number(expiresAt),
  });
};
