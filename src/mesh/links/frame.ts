/** Framing of a connection between two processes: a MessagePack header and an optional body. Field names are sent once per connection. */
import {Buffer} from 'node:buffer';
import type {Writable} from 'node:stream';
import {Packr, Unpackr} from 'msgpackr';
import {LONG_BODY_BYTES} from '../body-buffer.js';
import type {Message} from '../message.js';
import {allocateBuffer} from '../released-memory/long-buffer.js';

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
export const FRAME_MAX_BYTES = 80 * 1024 * 1024;
/** Length of a frame from which its header and its body are received apart, in bytes. */
const LONG_FRAME_BYTES = LONG_BODY_BYTES;
/** Longest accepted header of a frame with a body, in bytes; many times the longest head of a request or response. */
const BODY_HEADER_MAX_BYTES = 1024 * 1024;
const NO_BODY = Buffer.alloc(0);

const isValidFrame = (frameBytes: number, headerBytes: number): boolean => {
  const bodyBytes = frameBytes - 4 - headerBytes;
  return frameBytes >= 4 && frameBytes <= FRAME_MAX_BYTES && bodyBytes >= 0 && (bodyBytes === 0 || headerBytes <= BODY_HEADER_MAX_BYTES);
};

/** Creates the encoder of a connection. */
export const createFrameWriter = (): FrameWriter => {
  const packr = new Packr({sequential: true});
  const writePrefix = (target: Buffer, headerBytes: number, bodyBytes: number): void => {
    target.writeUInt32BE(4 + headerBytes + bodyBytes, 0);
    target.writeUInt32BE(headerBytes, 4);
  };

  return {
    encodeHead(message, bodyBytes) {
      const header = packr.pack(message);
      const prefix = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES);
      writePrefix(prefix, header.length, bodyBytes);
      return Buffer.concat([prefix, header]);
    },
    encode(message, body = NO_BODY) {
      const header = packr.pack(message);
      const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + header.length + body.length);
      writePrefix(frame, header.length, body.length);
      header.copy(frame, LENGTH_PREFIX_BYTES);
      body.copy(frame, LENGTH_PREFIX_BYTES + header.length);
      return frame;
    },
  };
};

/** Sends a frame. A long body is sent without a copy of it. */
export const writeFrame = (socket: Pick<Writable, 'cork' | 'uncork' | 'write'>, writer: FrameWriter, message: Message, body: Buffer = NO_BODY): void => {
  if (body.length <= LONG_BODY_BYTES) {
    socket.write(writer.encode(message, body));
    return;
  }

  socket.cork();
  socket.write(writer.encodeHead(message, body.length));
  socket.write(body);
  socket.uncork();
};

/** Decoder of one connection. */
export type FrameReader = {
  /** Decodes received bytes; throws on data that is not a valid frame, and the caller must then close the connection. */
  push: (chunk: Buffer) => void;
  /** Releases the memory of a body that is being received and no longer wanted. */
  dropUnwanted: () => void;
};

/** Decides whether the long body of a message is kept, before memory is taken for it. Returns a function that says, as the body arrives, whether it is still wanted; a message whose body is not kept is dropped. */
export type BodyFilter = (message: Message, bodyBytes: number) => (() => boolean) | undefined;

/** Header or body of a long frame; `content` is undefined when it is dropped. */
type FramePart = {content: Buffer | undefined; length: number; receivedBytes: number; isWanted: () => boolean; onComplete: (content: Buffer | undefined) => void};

const acceptAll: BodyFilter = () => () => true;

/** Creates the decoder of a connection; `acceptBody` is asked for bodies of more than `LONG_BODY_BYTES`. */
export const createFrameReader = (onFrame: (frame: Frame) => void, acceptBody: BodyFilter = acceptAll): FrameReader => {
  const unpackr = new Unpackr({sequential: true});
  let chunks: Buffer[] = [];
  let bufferedBytes = 0;
  /** Part of a long frame that is being received. It is collected in a buffer of its length, so that the chunks are released as they arrive. */
  let part: FramePart | undefined;

  const decode = (bytes: Buffer): Frame => {
    const headerBytes = bytes.readUInt32BE(0);
    return {message: unpackr.unpack(bytes.subarray(4, 4 + headerBytes)) as Message, body: bytes.subarray(4 + headerBytes)};
  };

  const dropUnwanted = (): void => {
    if (part?.isWanted() === false) {
      part.content = undefined;
    }
  };

  /** Takes what belongs to the part, and returns the rest. */
  const continuePart = (current: FramePart, chunk: Buffer): Buffer => {
    dropUnwanted();
    const taken = Math.min(chunk.length, current.length - current.receivedBytes);
    current.content?.set(chunk.subarray(0, taken), current.receivedBytes);
    current.receivedBytes += taken;
    if (current.receivedBytes === current.length) {
      part = undefined;
      current.onComplete(current.content);
    }

    return chunk.subarray(taken);
  };

  const beginBody = (message: Message, length: number): void => {
    const isWanted = length > LONG_BODY_BYTES ? acceptBody(message, length) : () => true;
    part = {
      content: isWanted === undefined ? undefined : allocateBuffer(length),
      length,
      receivedBytes: 0,
      isWanted: isWanted ?? (() => false),
      onComplete(body) {
        if (body !== undefined) {
          onFrame({message, body});
        }
      },
    };
  };

  const beginLongFrame = (headerBytes: number, bodyBytes: number): void => {
    part = {
      content: Buffer.allocUnsafe(headerBytes),
      length: headerBytes,
      receivedBytes: 0,
      isWanted: () => true,
      onComplete(header) {
        beginBody(unpackr.unpack(header!) as Message, bodyBytes);
      },
    };
  };

  const takeBuffered = (): Buffer => {
    const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    chunks = [];
    bufferedBytes = 0;
    return bytes;
  };

  const buffer = (bytes: Buffer): void => {
    if (bytes.length > 0) {
      chunks.push(bytes);
      bufferedBytes += bytes.length;
    }
  };

  /** Takes a short frame from the buffered bytes, without its length, or begins a long one; undefined when there is no whole short frame. */
  const takeFrame = (): Buffer | undefined => {
    if (bufferedBytes < LENGTH_PREFIX_BYTES) {
      return undefined;
    }

    if (chunks[0]!.length < LENGTH_PREFIX_BYTES) {
      chunks = [Buffer.concat(chunks)];
    }

    const length = chunks[0]!.readUInt32BE(0);
    const headerBytes = chunks[0]!.readUInt32BE(4);
    if (!isValidFrame(length, headerBytes)) {
      throw new RangeError(`a frame of ${length} bytes with a header of ${headerBytes} bytes is outside of the protocol; check that the address belongs to a jujubewell process of the same version`);
    }

    if (length > LONG_FRAME_BYTES) {
      const received = takeBuffered().subarray(LENGTH_PREFIX_BYTES);
      beginLongFrame(headerBytes, length - 4 - headerBytes);
      buffer(continueParts(received));
      return part === undefined ? takeFrame() : undefined;
    }

    if (bufferedBytes < 4 + length) {
      return undefined;
    }

    const bytes = takeBuffered();
    buffer(bytes.subarray(4 + length));
    return bytes.subarray(4, 4 + length);
  };

  /** Continues the parts of a long frame as far as the bytes reach, and returns the rest. A part of no length is complete at once. */
  const continueParts = (bytes: Buffer): Buffer => {
    const current = part;
    const isIdle = current === undefined || (bytes.length === 0 && current.receivedBytes < current.length);
    return isIdle ? bytes : continueParts(continuePart(current, bytes));
  };

  return {
    push(chunk) {
      buffer(continueParts(chunk));
      for (let bytes = takeFrame(); bytes !== undefined; bytes = takeFrame()) {
        onFrame(decode(bytes));
      }
    },
    dropUnwanted,
  };
};
