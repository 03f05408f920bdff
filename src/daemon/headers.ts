/** Selection of the headers that a proxy forwards, and helpers to read headers. */
import {HEADER_PREFIX} from '../shared/constants.js';

/** Headers of a request or response; names are in lower case. */
export type Headers = Record<string, string | string[] | undefined>;

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that are set again for the next hop. */
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

/** Removes hop-by-hop headers and those that `isDropped` selects. */
const filterHeaders = (headers: Headers, isDropped: (name: string) => boolean): Headers => {
  const listed = namesInConnectionHeader(headers);
  return Object.fromEntries(Object.entries(headers).filter(([name, value]) =>
    value !== undefined && !CONNECTION_HEADERS.has(name) && !listed.has(name) && !isDropped(name)));
};

/** Returns the request headers to forward; `jujubewell-` headers are removed, because each process sets its own. */
export const forwardedRequestHeaders = (headers: Headers): Headers => filterHeaders(headers, name => name.startsWith(HEADER_PREFIX));

/** Returns the response headers to forward, including `jujubewell-` headers. */
export const forwardedResponseHeaders = (headers: Headers): Headers => filterHeaders(headers, () => false);

/** Reads the first value of a header. */
export const singleHeader = (headers: Headers, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

/** Reads a number from a header; undefined when it is absent or not finite. */
export const numberHeader = (headers: Headers, name: string): number | undefined => {
  const text = singleHeader(headers, name);
  const value = text === undefined || text === '' ? Number.NaN : Number(text);
  return Number.isFinite(value) ? value : undefined;
};
