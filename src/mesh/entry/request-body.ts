/** Reads the body of a caller's request within the memory that the process allows for bodies. */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {createBodyBuffer} from '../body-buffer.js';
import type {Reservation} from '../held-bytes.js';
import type {BodyMonitor} from '../client-limits/body-monitor.js';

/** A whole body, or why there is none; `aborted` when the caller has gone, `stalled` when it makes no progress, `late` when it is not complete by the deadline. */
export type RequestBody = Buffer | 'too-large' | 'memory-full' | 'aborted' | 'stalled' | 'late';

/** Options of reading a body. */
export type RequestBodyOptions = {
  request: IncomingMessage;
  /** Memory that the body holds, which the caller of this function releases. */
  reservation: Reservation;
  /** Longest body, in bytes. */
  lengthMax: number;
  /** Ends bodies that make no progress or are late. */
  monitor: BodyMonitor;
  /** Deadline of the request, in milliseconds of the clock. */
  deadlineAt: number;
  /** Called with a function that ends the body as `memory-full`. */
  onBegun: (refuse: () => void) => void;
};

/** Whether a request has a body. Node's `complete` is still false for one without a body when the request arrives. */
export const hasBody = (request: IncomingMessage): boolean =>
  request.headers['transfer-encoding'] !== undefined || (request.headers['content-length'] ?? '0') !== '0';

/** Reads a body to its end, or until it exceeds a bound or `monitor` ends it. */
export const readBody = async ({request, reservation, lengthMax, monitor, deadlineAt, onBegun}: RequestBodyOptions): Promise<RequestBody> =>
  new Promise(resolve => {
    const body = createBodyBuffer({reservation, lengthMax});
    const onData = (piece: Buffer): void => {
      monitored.recordProgress();
      const outcome = body.append(piece);
      if (outcome !== 'appended') {
        finish(outcome === 'too-long' ? 'too-large' : 'memory-full');
      }
    };

    /** What arrives after the body has been given up is discarded. */
    const finish = (outcome: RequestBody): void => {
      monitored.end();
      request.off('data', onData);
      request.resume();
      resolve(outcome);
    };

    const monitored = monitor.begin({
      deadlineAt,
      onEnded(reason) {
        finish(reason);
      },
    });
    onBegun(() => {
      finish('memory-full');
    });
    request.on('data', onData);
    request.on('end', () => {
      finish(body.toBuffer());
    });
    request.on('close', () => {
      finish('aborted');
    });
    request.on('error', () => {
      finish('aborted');
    });
  });
