/** Header rules of a proxy: what travels on and what belongs to one connection. */
import {HEADER_PREFIX} from '../shared/constants.js';

/** Headers of a message, names in lower case. */
export type Headers = Record<string, string | string[] | undefined>;

/** Headers that belong to one connection (RFC 9110, section 7.6.1) or are set anew for the next one. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
  'http2-settings',
]);

const namesInConnectionHeader = (headers: Headers): Set<string> => {
  const value = headers.connection;
  const text = Array.isArray(value) ? value.join(',') : value ?? '';
  return new Set(text.split(',').map(item => item.trim().toLowerCase()));
};

const filterHeaders = (headers: Headers, isDropped: (name: string) => boolean): Headers => {
  const listed = namesInConnectionHeader(headers);
  return Object.fromEntries(Object.entries(headers).filter(([name, value]) =>
    value !== undefined && !CONNECTION_HEADERS.has(name) && !listed.has(name) && !isDropped(name)));
};

/** Headers of a request that travel on; those of the system are set anew. */
export const forwardedRequestHeaders = (headers: Headers): Headers => filterHeaders(headers, name => name.startsWith(HEADER_PREFIX));

/** Headers of a response that travel on between processes, those of the system included. */
export const forwardedResponseHeaders = (headers: Headers): Headers => filterHeaders(headers, () => false);

/** Reads a header that must occur once. */
export const singleHeader = (headers: Headers, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** Reads a number from a header; undefined when absent or not a finite number. */
export const numberHeader = (headers: Headers, name: string): number | undefined => {
  const text = singleHeader(headers, name);
  const value = text === undefined || text === '' ? Number.NaN : Number(text);
  return Number.isFinite(value) ? value : undefined;
};
