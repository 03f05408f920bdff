/** Collects the body of a message in few blocks, so that it costs the same memory however small the pieces are in which it arrives. */
import {Buffer} from 'node:buffer';
import type {Reservation} from './held-bytes.js';
import {allocateBuffer} from './released-memory/long-buffer.js';

/** Outcome of adding a piece: `too-long` for a body that exceeds its own bound, `memory-full` when the process holds too much. */
export type AppendOutcome = 'appended' | 'too-long' | 'memory-full';

/** Body that is being received. After a piece that was not appended, its content is undefined. */
export type BodyBuffer = {
  /** Copies a piece. */
  append: (piece: Buffer) => AppendOutcome;
  /** The body so far, as one buffer. */
  toBuffer: () => Buffer;
};

/** Options of a body, in bytes; the memory of its blocks is added to the reservation, which the owner releases. */
export type BodyBufferOptions = {
  reservation: Reservation;
  lengthMax: number;
  /** Length that the sender states; a long body then takes one block and is not copied again. @default undefined */
  statedLength?: number;
};

/** Length from which a body of a stated length takes one block, in bytes. */
export const LONG_BODY_BYTES = 32 * 1024;

/** Shortest block after the first, in bytes. */
const BLOCK_MIN_BYTES = 1024;
/** Size of a block as a share of the body so far; it bounds how much more memory than its length a body takes. */
const BLOCK_GROWTH = 0.25;
/** Longest block, in bytes, unless one piece is longer. */
const BLOCK_MAX_BYTES = 1024 * 1024;

/** Creates an empty body. */
export const createBodyBuffer = ({reservation, lengthMax, statedLength = 0}: BodyBufferOptions): BodyBuffer => {
  const fullBlocks: Buffer[] = [];
  let block: Buffer = Buffer.alloc(0);
  let usedBytes = 0;
  let length = 0;

  const toBuffer = (): Buffer => fullBlocks.length === 0 ? block.subarray(0, usedBytes) : Buffer.concat([...fullBlocks, block.subarray(0, usedBytes)]);

  /** Size of the next block. The first one has the size of the first piece, which is often the whole body; each later one adds a share of what is held, within the bound of the body. */
  const nextBlockBytes = (needed: number): number => {
    const growth = Math.max(BLOCK_MIN_BYTES, Math.min(Math.ceil(length * BLOCK_GROWTH), BLOCK_MAX_BYTES));
    return length === 0 ? needed : Math.max(needed, Math.min(growth, lengthMax - length));
  };

  /** Moves the body so far into one block of the stated length. */
  const startWholeBlock = (needed: number): boolean => {
    const isUseful = length > LONG_BODY_BYTES && block.length < statedLength && length + needed <= statedLength && statedLength <= lengthMax;
    if (!isUseful || !reservation.add(statedLength)) {
      return false;
    }

    const whole = allocateBuffer(statedLength);
    toBuffer().copy(whole);
    fullBlocks.length = 0;
    block = whole;
    usedBytes = length;
    return true;
  };

  const startBlock = (needed: number): boolean => {
    if (startWholeBlock(needed)) {
      return true;
    }

    const bytes = nextBlockBytes(needed);
    if (!reservation.add(bytes)) {
      return false;
    }

    if (usedBytes > 0) {
      fullBlocks.push(block.subarray(0, usedBytes));
    }

    block = allocateBuffer(bytes);
    usedBytes = 0;
    return true;
  };

  /** Copies a part of a piece into the current block, which has room for it. */
  const copy = (piece: Buffer, from: number, to: number): void => {
    piece.copy(block, usedBytes, from, to);
    usedBytes += to - from;
    length += to - from;
  };

  return {
    append(piece) {
      if (length + piece.length > lengthMax) {
        return 'too-long';
      }

      const fitting = Math.min(piece.length, block.length - usedBytes);
      copy(piece, 0, fitting);
      if (fitting < piece.length) {
        if (!startBlock(piece.length - fitting)) {
          return 'memory-full';
        }

        copy(piece, fitting, piece.length);
      }

      return 'appended';
    },
    toBuffer,
  };
};
