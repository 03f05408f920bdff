/** Reads how the end of a response is known. A response whose end is misread looks complete, so nothing lenient is allowed here. */
import {FIRST_FINAL_STATUS} from '../../shared/http-status.js';

/** How the end of a response is known; `bodiless`: it ends with its head, `connection`: with the connection. */
export type ResponseFraming =
  | {kind: 'bodiless'}
  | {kind: 'length'; bytes: number}
  | {kind: 'chunked'}
  | {kind: 'connection'}
  | {kind: 'invalid'; message: string};

/** Head of a response, as far as it decides the framing. */
export type FramingHead = {
  /** Whether it responds to a HEAD request. */
  isHead: boolean;
  status: number;
  /** Minor version of HTTP/1. */
  versionMinor: number;
  rawHeaders: readonly string[];
};

const SWITCHING_PROTOCOLS_STATUS = 101;
const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;
/** At most 16 digits, which fit into a number. */
const LENGTH = /^\d{1,16}$/u;

const valuesOf = (rawHeaders: readonly string[], name: string): string[] =>
  rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name);

const quote = (text: string): string => JSON.stringify(text.slice(0, 80));

const invalid = (message: string): ResponseFraming => ({kind: 'invalid', message});

/** Reads the headers that state the framing, whatever the status. */
const readStated = ({versionMinor, rawHeaders}: FramingHead): ResponseFraming => {
  const lengths = valuesOf(rawHeaders, 'content-length');
  const unreadable = lengths.find(value => !LENGTH.test(value));
  if (unreadable !== undefined) {
    return invalid(`its Content-Length is not a number: ${quote(unreadable)}`);
  }

  const codings = valuesOf(rawHeaders, 'transfer-encoding');
  if (codings.length === 0) {
    return lengths.length === 0 ? {kind: 'connection'} : {kind: 'length', bytes: Number(lengths[0])};
  }

  if (codings.length > 1 || codings[0]!.toLowerCase() !== 'chunked') {
    return invalid(`its Transfer-Encoding is not chunked: ${quote(codings.join(', '))}`);
  }

  if (lengths.length > 0) {
    return invalid('it states both a Content-Length and a Transfer-Encoding');
  }

  return versionMinor === 0 ? invalid('HTTP/1.0 has no Transfer-Encoding') : {kind: 'chunked'};
};

/** Reads the framing of a response. */
export const readFraming = (head: FramingHead): ResponseFraming => {
  const {isHead, status} = head;
  if (status === SWITCHING_PROTOCOLS_STATUS) {
    return invalid('status 101 switches protocols, which no request asks for');
  }

  const stated = readStated(head);
  if (stated.kind === 'invalid') {
    return stated;
  }

  if (status < FIRST_FINAL_STATUS || status === NO_CONTENT_STATUS) {
    const statesBody = stated.kind === 'chunked' || (stated.kind === 'length' && (status < FIRST_FINAL_STATUS || stated.bytes > 0));
    return statesBody ? invalid(`status ${status} has no body, but it states one`) : {kind: 'bodiless'};
  }

  return isHead || status === NOT_MODIFIED_STATUS ? {kind: 'bodiless'} : stated;
};
