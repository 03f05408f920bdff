/** Message bodies of emulated requests and responses: a JSON head, a line feed, and a payload whose length and checksum are in the head. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {z} from 'zod';

/** Header with the number of the client's attempt, from 1; backend servers copy it to their sub-calls. */
export const ATTEMPT_HEADER = 'emulator-sending';

/** Header with the position of a sub-call in the call tree of the request. */
export const CALL_PATH_HEADER = 'emulator-call-path';

const headSchema = z.object({
  /** Id of the request or sub-call that the message belongs to. */
  id: z.string().min(1),
  /** Service that the request is sent to or the response comes from. */
  service: z.string(),
  /** Length of the payload in bytes. */
  bytes: z.number().int().min(0),
  /** Hash of the id, the service and the payload. */
  checksum: z.string(),
});

/** Result of a message check: `whole`, or `truncated` when its length or checksum is wrong. */
export type MessageCheck =
  | {kind: 'whole'; id: string; service: string}
  | {kind: 'truncated'; id: string | undefined};

const LINE_FEED = 10;

const checksumOf = (id: string, service: string, payload: Uint8Array): string =>
  createHash('sha1').update(`${service}/${id}/`).update(payload).digest('base64url');

/** Encodes a message with a generated payload of the given length. */
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

/** Checks the length and the checksum of a message and returns its id and service. */
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
