/** Reads the body of a caller's request within the memory that the process allows for bodies. */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createBodyBuffer} from '../body-buffer.js';
import type {Reservation} from '../held-bytes.js';
import type {TurnQueue} from '../turn-queue.js';

/** A whole body, or why there is none; `aborted` when the caller has gone. */
export type RequestBody = Buffer | 'too-large' | 'memory-full' | 'aborted';

/** Options of reading a body. */
export type RequestBodyOptions = {
  request: IncomingMessage;
  /** Memory that the body holds, which the caller of this function releases. */
  reservation: Reservation;
  /** Longest body, in bytes. */
  lengthMax: number;
  /** Bodies in many pieces wait here, over all requests. */
  readQueue: TurnQueue;
};

/** Pieces that are read as they arrive; further ones wait for a turn of the event loop, because reading many chunks of few bytes takes several milliseconds. */
const PIECES_AT_ONCE = 1000;
/** Memory of the pieces that Node queues while the request waits, in bytes: 16 KiB and the content of one read, in chunks of one byte. */
const QUEUED_PIECES_BYTES = 4 * 1024 * 1024;

/** Whether a request has a body. Node's `complete` is still false for one without a body when the request arrives. */
export const hasBody = (request: IncomingMessage): boolean =>
  request.headers['transfer-encoding'] !== undefined || (request.headers['content-length'] ?? '0') !== '0';

/** Reads a body to its end, or until it exceeds a bound. */
export const readBody = async ({request, reservation, lengthMax, readQueue}: RequestBodyOptions): Promise<RequestBody> =>
  new Promise(resolve => {
    const body = createBodyBuffer({reservation, lengthMax});
    let piecesInTurn = 0;
    let mayQueue = false;
    /** Lets other work run before the rest of a body in many pieces; Node queues what it has read meanwhile. */
    const waitForTurn = (): void => {
      request.pause();
      readQueue.add(() => {
        piecesInTurn = 0;
        request.resume();
      });
    };

    request.on('data', (piece: Buffer) => {
      piecesInTurn++;
      const outcome = body.append(piece);
      if (outcome !== 'appended') {
        resolve(outcome === 'too-long' ? 'too-large' : 'memory-full');
      } else if (piecesInTurn >= PIECES_AT_ONCE) {
        mayQueue ||= reservation.add(QUEUED_PIECES_BYTES);
        if (!mayQueue) {
          resolve('memory-full');
        }

        waitForTurn();
      }
    });
    request.on('end', () => {
      resolve(body.toBuffer());
    });
    request.on('close', () => {
      resolve('aborted');
    });
    request.on('error', () => {
      resolve('aborted');
    });
  });
