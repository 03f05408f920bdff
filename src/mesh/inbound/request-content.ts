/** Identifies the content of a request, so that the same request is recognized when it comes again under another id and at another host. */
import {type Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {CallHeader} from '../message.js';

/** What identifies the content of a request, beside its body. */
export type ContentHeader = Pick<CallHeader, 'method' | 'path' | 'rawHeaders'>;

/** Identifies the content of requests. */
export type RequestContent = {
  /** Hash of everything but the body; cheap, also for large requests. */
  headOf: (header: ContentHeader) => string;
  /** Hash of the whole content; it begins with that of everything but the body. */
  idOf: (header: ContentHeader, body: Buffer) => string;
};

/** Characters of each hash, of 6 bits each. */
const HASH_LENGTH = 14;

const hash = (data: string | Buffer): string => createHash('sha256').update(data).digest('base64url').slice(0, HASH_LENGTH);

const hostOf = (rawHeaders: readonly string[]): string | undefined =>
  rawHeaders.find((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === 'host');

/** Returns the hash of everything but the body that the id of a content begins with. */
export const headOfId = (id: string): string => id.slice(0, HASH_LENGTH);

/** Creates the identification; `readCaller` reads the calling service from the forwarded headers. */
export const createRequestContent = (readCaller: (rawHeaders: readonly string[]) => string | undefined): RequestContent => {
  const headOf = ({method, path, rawHeaders}: ContentHeader): string => hash(JSON.stringify([readCaller(rawHeaders), method, hostOf(rawHeaders), path]));
  return {
    headOf,
    idOf: (header, body) => body.length === 0 ? headOf(header) : `${headOf(header)}${hash(body)}`,
  };
};
