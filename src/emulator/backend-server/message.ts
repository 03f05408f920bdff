/** Bodies of emulated requests and responses: a JSON head, a line feed, and a payload that the head describes. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {z} from 'zod';

/** Header with the number of the client's sending, which backend servers repeat on sub-calls. */
export const ATTEMPT_HEADER = 'emulator-sending';

/** Header with the place of a sub-call in the request's tree of calls. */
export const CALL_PATH_HEADER = 'emulator-call-path';

const headSchema = z.object({
  /** Id of the request that the message belongs to. */
  id: z.string().min(1),
  /** Service that runs or ran the request. */
  service: z.string(),
  /** Length of the payload. */
  bytes: z.number().int().min(0),
  /** Hash over id, service and payload. */
  checksum: z.string(),
});

/** Whether a message is whole. */
export type MessageCheck =
  | {kind: 'whole'; id: string; service: string}
  | {kind: 'truncated'; id: string | undefined};

const LINE_FEED = 10;

const checksumOf = (id: string, service: string, payload: Uint8Array): string =>
  createHash('sha1').update(`${service}/${id}/`).update(payload).digest('base64url');

/** Builds a message for a request id with a payload of the given length. */
export const encodeMessage = (id: string, service: string, bytes: number): Buffer => {
  const payload = Buffer.alloc(bytes, `${id}.`);
  const head = JSON.stringify({
    id, service, bytes, checksum: checksumOf(id, service, payload),
  });
  return Buffer.concat([Buffer.from(`${head}\n`), payload]);
};

const parseHead = (text: string) => {
  try {
    return headSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

/** Checks that a message is whole and returns whose it is. */
export const checkMessage = (message: Buffer): MessageCheck => {
  const end = message.indexOf(LINE_FEED);
  const head = end === -1 ? undefined : parseHead(message.subarray(0, end).toString());
  if (head === undefined) {
    return {kind: 'truncated', id: undefined};
  }

  const payload = message.subarray(end + 1);
  const whole = payload.length === head.bytes && head.checksum === checksumOf(head.id, head.service, payload);
  return whole ? {kind: 'whole', id: head.id, service: head.service} : {kind: 'truncated', id: head.id};
};
