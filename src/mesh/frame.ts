/** Frames of a connection between two processes: a type, a JSON head and an optional body. */
import {Buffer} from 'node:buffer';
import type {Message} from './message.js';

/** A decoded frame. */
export type Frame = {message: Message; body: Buffer};

/** Bytes before the JSON head: length of the rest, then length of the head. */
const PREFIX_BYTES = 8;
/** Longest frame that is accepted, in bytes; a body limit of 64 MiB and its head fit. */
const FRAME_MAX_BYTES = 80 * 1024 * 1024;
const NO_BODY = Buffer.alloc(0);

/** Encodes a frame. */
export const encodeFrame = (message: Message, body: Buffer = NO_BODY): Buffer => {
  const head = JSON.stringify(message);
  const headBytes = Buffer.byteLength(head);
  const frame = Buffer.allocUnsafe(PREFIX_BYTES + headBytes + body.length);
  frame.writeUInt32BE(4 + headBytes + body.length, 0);
  frame.writeUInt32BE(headBytes, 4);
  frame.write(head, PREFIX_BYTES);
  body.copy(frame, PREFIX_BYTES + headBytes);
  return frame;
};

const decodeFrame = (bytes: Buffer): Frame => {
  const headBytes = bytes.readUInt32BE(0);
  const head = bytes.toString('utf8', 4, 4 + headBytes);
  return {message: JSON.parse(head) as Message, body: bytes.subarray(4 + headBytes)};
};

/** Splits a stream of bytes into frames. `push` throws on bytes that are no frame; the connection is then closed. */
export const createFrameReader = (onFrame: (frame: Frame) => void): {push: (chunk: Buffer) => void} => {
  let chunks: Buffer[] = [];
  let held = 0;
  const take = (): Buffer | undefined => {
    if (held < PREFIX_BYTES) {
      return undefined;
    }

    if (chunks[0]!.length < PREFIX_BYTES) {
      chunks = [Buffer.concat(chunks)];
    }

    const length = chunks[0]!.readUInt32BE(0);
    if (length > FRAME_MAX_BYTES || length < 4) {
      throw new RangeError(`a frame of ${length} bytes is outside of the protocol; check that the address belongs to a jujubewell process of the same version`);
    }

    if (held < 4 + length) {
      return undefined;
    }

    const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    held -= 4 + length;
    chunks = held === 0 ? [] : [bytes.subarray(4 + length)];
    return bytes.subarray(4, 4 + length);
  };

  return {
    push(chunk) {
      chunks.push(chunk);
      held += chunk.length;
      for (let bytes = take(); bytes !== undefined; bytes = take()) {
        onFrame(decodeFrame(bytes));
      }
    },
  };
};
