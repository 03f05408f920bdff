/** Framing of a connection between two processes: a MessagePack header and an optional body. Field names are sent once per connection. */
import {Buffer} from 'node:buffer';
import {Packr, Unpackr} from 'msgpackr';
import type {Message} from '../message.js';

/** A decoded frame. */
export type Frame = {message: Message; body: Buffer};

/** Encoder of one connection. Frames must be sent in the order in which they are encoded, because field names are sent with their first use only. */
export type FrameWriter = {
  encode: (message: Message, body?: Buffer) => Buffer;
  /** Encodes a frame up to its body, which has to be sent next. */
  encodeHead: (message: Message, bodyBytes: number) => Buffer;
};

/** Two 32-bit lengths before the header: of the rest of the frame, and of the header. */
const LENGTH_PREFIX_BYTES = 8;
/** Longest accepted frame, in bytes; a body of the default limit of 64 MiB and its header fit. */
const FRAME_MAX_BYTES = 80 * 1024 * 1024;
const NO_BODY = Buffer.alloc(0);

/** Creates the encoder of a connection. */
export const createFrameWriter = (): FrameWriter => {
  const packr = new Packr({sequential: true});
  return {
    encodeHead(message, bodyBytes) {
      const header = packr.pack(message);
      const prefix = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES);
      prefix.writeUInt32BE(4 + header.length + bodyBytes, 0);
      prefix.writeUInt32BE(header.length, 4);
      return Buffer.concat([prefix, header]);
    },
    encode(message, body = NO_BODY) {
      const header = packr.pack(message);
      const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + header.length + body.length);
      frame.writeUInt32BE(4 + header.length + body.length, 0);
      frame.writeUInt32BE(header.length, 4);
      header.copy(frame, LENGTH_PREFIX_BYTES);
      body.copy(frame, LENGTH_PREFIX_BYTES + header.length);
      return frame;
    },
  };
};

/** Creates the decoder of a connection. `push` throws on data that is not a valid frame; the caller must then close the connection. */
export const createFrameReader = (onFrame: (frame: Frame) => void): {push: (chunk: Buffer) => void} => {
  const unpackr = new Unpackr({sequential: true});
  let chunks: Buffer[] = [];
  let bufferedBytes = 0;

  const decode = (bytes: Buffer): Frame => {
    const headerBytes = bytes.readUInt32BE(0);
    return {message: unpackr.unpack(bytes.subarray(4, 4 + headerBytes)) as Message, body: bytes.subarray(4 + headerBytes)};
  };

  const takeFrame = (): Buffer | undefined => {
    if (bufferedBytes < LENGTH_PREFIX_BYTES) {
      return undefined;
    }

    if (chunks[0]!.length < LENGTH_PREFIX_BYTES) {
      chunks = [Buffer.concat(chunks)];
    }

    const length = chunks[0]!.readUInt32BE(0);
    if (length > FRAME_MAX_BYTES || length < 4) {
      throw new RangeError(`a frame of ${length} bytes is outside of the protocol; check that the address belongs to a jujubewell process of the same version`);
    }

    if (bufferedBytes < 4 + length) {
      return undefined;
    }

    const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    bufferedBytes -= 4 + length;
    chunks = bufferedBytes === 0 ? [] : [bytes.subarray(4 + length)];
    return bytes.subarray(4, 4 + length);
  };

  return {
    push(chunk) {
      chunks.push(chunk);
      bufferedBytes += chunk.length;
      for (let bytes = takeFrame(); bytes !== undefined; bytes = takeFrame()) {
        onFrame(decode(bytes));
      }
    },
  };
};
