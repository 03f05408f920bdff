/** Frames of a connection between two processes: a MessagePack head and an optional body. Names of fields are sent once a connection. */
import {Buffer} from 'node:buffer';
import {Packr, Unpackr} from 'msgpackr';
import type {Message} from './message.js';

/** A decoded frame. */
export type Frame = {message: Message; body: Buffer};

/** Encodes the frames of one connection, in the order in which they are sent. */
export type FrameWriter = {encode: (message: Message, body?: Buffer) => Buffer};

/** Bytes before the head: length of the rest, then length of the head. */
const PREFIX_BYTES = 8;
/** Longest frame that is accepted, in bytes; a body limit of 64 MiB and its head fit. */
const FRAME_MAX_BYTES = 80 * 1024 * 1024;
const NO_BODY = Buffer.alloc(0);

/** Creates the writer of a connection. */
export const createFrameWriter = (): FrameWriter => {
  const packr = new Packr({sequential: true});
  return {
    encode(message, body = NO_BODY) {
      const head = packr.pack(message);
      const frame = Buffer.allocUnsafe(PREFIX_BYTES + head.length + body.length);
      frame.writeUInt32BE(4 + head.length + body.length, 0);
      frame.writeUInt32BE(head.length, 4);
      head.copy(frame, PREFIX_BYTES);
      body.copy(frame, PREFIX_BYTES + head.length);
      return frame;
    },
  };
};

/** Splits a stream of bytes into frames. `push` throws on bytes that are no frame; the connection is then closed. */
export const createFrameReader = (onFrame: (frame: Frame) => void): {push: (chunk: Buffer) => void} => {
  const unpackr = new Unpackr({sequential: true});
  let chunks: Buffer[] = [];
  let held = 0;

  const decode = (bytes: Buffer): Frame => {
    const headBytes = bytes.readUInt32BE(0);
    return {message: unpackr.unpack(bytes.subarray(4, 4 + headBytes)) as Message, body: bytes.subarray(4 + headBytes)};
  };

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
        onFrame(decode(bytes));
      }
    },
  };
};
