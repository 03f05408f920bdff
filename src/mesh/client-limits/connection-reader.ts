/** Passes what a connection receives to the HTTP parser in slices, so that one read makes few objects and pipelined requests wait in the socket. */
import type {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {ReleasedMemory} from '../released-memory/released-memory.js';
import type {TurnQueue} from '../turn-queue.js';

/** Reader of one connection. */
export type ConnectionReader = {
  /** Reads on after the connection was blocked. */
  wake: () => void;
  /** Reads nothing more. */
  stop: () => void;
  /** Memory of the read whose bytes are not all parsed yet, in bytes. */
  unparsedBytes: () => number;
};

/** Options of a reader. */
export type ConnectionReaderOptions = {
  socket: Socket;
  /** Slices of all connections wait here. */
  readQueue: TurnQueue;
  /** Long reads wait here while much released memory waits to be collected. */
  releasedMemory: Pick<ReleasedMemory, 'mayRead'>;
  /** Whether the connection has to wait for a response before more is read from it. */
  isBlocked: () => boolean;
  /** Called with an unexpected error, after which the connection is to be closed. */
  onError: (error: unknown) => void;
};

/** Longest part of a read that is parsed at once, in bytes. One slice holds about 700 chunks of one byte or 200 of the shortest requests. */
const SLICE_BYTES = 4 * 1024;

/** Part of a stream that its type declarations leave out. */
type StreamState = {_readableState: {highWaterMark: number}};

/** Creates the reader of a connection that an HTTP server has just accepted. */
export const createConnectionReader = ({socket, readQueue, releasedMemory, isBlocked, onError}: ConnectionReaderOptions): ConnectionReader => {
  const parse = socket.listeners('data')[0] as (chunk: Buffer) => void;
  const pause = socket.pause.bind(socket);
  const resume = socket.resume.bind(socket);
  /** Whether the HTTP server has paused the connection. */
  let isPaused = false;
  let isSliced = false;
  let isQueued = false;
  let isStopped = false;
  let unparsedBytes = 0;

  /** Whether a long read has to wait for a garbage collection. Short requests go on. */
  const mustWait = (): boolean => socket.readableLength > SLICE_BYTES && !releasedMemory.mayRead(queueSlice);

  const readSlice = (): void => {
    isQueued = false;
    if (isStopped || socket.destroyed || isPaused || isBlocked() || mustWait()) {
      return;
    }

    try {
      const slice = socket.read(socket.readableLength > SLICE_BYTES ? SLICE_BYTES : undefined) as Buffer | null;
      if (slice !== null) {
        parse(slice);
        if (socket.readableLength > 0) {
          queueSlice();
        } else {
          unparsedBytes = 0;
          // Asks for the next read; without a high-water mark, the stream does so only when told.
          socket.read(0);
        }
      }
    } catch (error) {
      onError(error);
    }
  };

  const queueSlice = (): void => {
    if (!isQueued && !isStopped) {
      isQueued = true;
      readQueue.add(readSlice);
    }
  };

  const onReadable = (): void => {
    unparsedBytes = Math.max(unparsedBytes, socket.readableLength);
    queueSlice();
  };

  /** Reads from the buffer of the socket from now on, which then takes no more than it has room for. */
  const readInSlices = (): void => {
    isSliced = true;
    // Two reads at a time would double the memory of the connection.
    (socket as unknown as StreamState)._readableState.highWaterMark = 0;
    socket.off('data', onData);
    socket.on('readable', onReadable);
  };

  const onData = (chunk: Buffer): void => {
    if (chunk.length <= SLICE_BYTES) {
      parse(chunk);
      if (isBlocked()) {
        readInSlices();
      }

      return;
    }

    readInSlices();
    socket.unshift(chunk);
    onReadable();
  };

  // In slices, a socket does not flow, so pausing it has no effect by itself.
  socket.pause = () => {
    isPaused = true;
    return isSliced ? socket : pause();
  };

  socket.resume = () => {
    isPaused = false;
    if (!isSliced) {
      return resume();
    }

    queueSlice();
    return socket;
  };

  socket.off('data', parse);
  socket.on('data', onData);
  return {
    wake() {
      if (isSliced) {
        queueSlice();
      }
    },
    stop() {
      isStopped = true;
    },
    unparsedBytes: () => unparsedBytes,
  };
};
