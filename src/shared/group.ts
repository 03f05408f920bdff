/** Client groups, as the group header names them: `<name>.<message authentication code>`. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';

const MAC_LENGTH = 22;

const sign = (name: string, key: string): string =>
  createHmac('sha256', key).update(`group:${name}`).digest('base64url').slice(0, MAC_LENGTH);

/** Encodes a client group for the group header. */
export const encodeGroup = (name: string, key: string): string => `${name}.${sign(name, key)}`;

/** Reads a group header; undefined when its message authentication code does not fit. */
export const readGroup = (header: string, key: string): string | undefined => {
  const end = header.lastIndexOf('.');
  const name = header.slice(0, Math.max(end, 0));
  const given = Buffer.from(header.slice(end + 1));
  const expected = Buffer.from(sign(name, key));
  return given.length === expected.length && timingSafeEqual(given, expected) ? name : undefined;
};
