/** Parses the calls to the emulated object API. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {VALUE_MAX_BYTES, type Condition} from './store.js';

/** Operation of a call, by its path. */
export type Route =
  | {kind: 'object'; objectKind: string; name: string}
  | {kind: 'list'; objectKind: string}
  | {kind: 'watch'; objectKind: string; after: number}
  | {kind: 'admin'; operation: string}
  | {kind: 'unknown'};

const ADMIN_PATH_SEGMENT = '.emulator';

// JSON escapes and white space can make a body larger than the value it encodes; the excess of a larger body is discarded and the request is rejected.
const BODY_MAX_BYTES = 4 * VALUE_MAX_BYTES;

/** Parses the path and the query of a call. */
export const parseRoute = (request: IncomingMessage): Route => {
  const url = new URL(request.url ?? '/', 'http://platform');
  const [prefix = '', objectKind = '', name = '', ...rest] = url.pathname.slice(1).split('/').map(part => decodeURIComponent(part));
  const after = Number(url.searchParams.get('after') ?? 0);
  switch (prefix) {
    case ADMIN_PATH_SEGMENT: {
      return {kind: 'admin', operation: objectKind};
    }

    case 'objects': {
      return objectKind === '' || rest.length > 0
        ? {kind: 'unknown'}
        : (name === '' ? {kind: 'list', objectKind} : {kind: 'object', objectKind, name});
    }

    case 'watch': {
      return objectKind === '' || !Number.isSafeInteger(after) ? {kind: 'unknown'} : {kind: 'watch', objectKind, after};
    }

    default: {
      return {kind: 'unknown'};
    }
  }
};

/** Parses the condition of a write; undefined when there is none. */
export const parseCondition = (request: IncomingMessage): Condition | undefined => {
  if (request.headers['if-none-match'] === '*') {
    return {kind: 'absent'};
  }

  const version = Number(request.headers['if-match'] ?? Number.NaN);
  return Number.isSafeInteger(version) ? {kind: 'version', version} : undefined;
};

/** Reads a body; undefined when it is too large. */
export const readBody = async (request: IncomingMessage): Promise<string | undefined> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes <= BODY_MAX_BYTES) {
      chunks.push(chunk);
    }
  }

  return bytes > BODY_MAX_BYTES ? undefined : Buffer.concat(chunks).toString();
};

/** Parses JSON; undefined when the text is not JSON. */
export const parseJson = (text: string): {value: unknown} | undefined => {
  try {
    return {value: JSON.parse(text) as unknown};
  } catch {
    return undefined;
  }
};
