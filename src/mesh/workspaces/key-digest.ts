/** Digests of API keys, which take the place of the keys everywhere but in requests and in the operator's document. */
import {createHash} from 'node:crypto';

/** SHA-256 digest of a key, in base64url. */
export const digestKey = (key: string): string => createHash('sha256').update(key).digest('base64url');

/** Digest of a key in a header value. Node reports the bytes of a header as Latin-1 characters, while a key is text in UTF-8. */
export const digestHeaderValue = (value: string): string => createHash('sha256').update(value, 'latin1').digest('base64url');
