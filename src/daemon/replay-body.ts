/** Request body that can be sent again as long as it fits a bound. */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';

/** Budget of bytes that all calls of a process share. */
export type ReplayBudget = {
  /** Takes bytes; false when the budget is used up. */
  reserve: (bytes: number) => boolean;
  release: (bytes: number) => void;
};

/** Creates a budget. */
export const createReplayBudget = (capacity: number): ReplayBudget => {
  let availableBytes = capacity;
  return {
    reserve(bytes) {
      if (bytes > availableBytes) {
        return false;
      }

      availableBytes -= bytes;
      return true;
    },
    release(bytes) {
      availableBytes += bytes;
    },
  };
};

/** Request body of a call. */
export type ReplayBody = {
  /** Stream of the whole body from its start; undefined when the request has none. */
  open: () => Readable | undefined;
  /** Whether the body can be opened once more. */
  replayable: () => boolean;
  /** Whether the body has been sent whole to somebody or was never needed. */
  consumed: () => boolean;
  /** Returns the kept bytes to the budget. */
  release: () => void;
};

/** Options of a body. */
export type ReplayBodyOptions = {
  source: Readable;
  hasBody: boolean;
  /** Bytes that are kept at most. */
  limit: number;
  budget: ReplayBudget;
  /** Called before the first byte is read, so that a client that waits for `100 Continue` gets it. */
  onFirstOpen?: () => void;
};

/** Body of a request without one. */
export const emptyBody: ReplayBody = {
  open: () => undefined,
  replayable: () => true,
  consumed: () => true,
  release() {}, // eslint-disable-line @typescript-eslint/no-empty-function
};

/** Creates the body of a request that is still being received. */
export const createReplayBody = (options: ReplayBodyOptions): ReplayBody => {
  if (!options.hasBody) {
    return emptyBody;
  }

  const {source, budget} = options;
  const bufferedChunks: Buffer[] = [];
  let bufferedBytes = 0;
  let bufferDiscarded = false;
  let openCount = 0;
  let ended = false;
  let sourceError: Error | undefined;
  let reader: Readable | undefined;

  const release = () => {
    budget.release(bufferedBytes);
    bufferedChunks.length = 0;
    bufferedBytes = 0;
    bufferDiscarded = true;
  };

  const bufferChunk = (chunk: Buffer) => {
    if (bufferDiscarded) {
      return;
    }

    if (bufferedBytes + chunk.length > options.limit || !budget.reserve(chunk.length)) {
      release();
      return;
    }

    bufferedChunks.push(chunk);
    bufferedBytes += chunk.length;
  };

  const failIncomplete = () => {
    sourceError ??= new Error('the client closed the connection before the request body was complete');
    reader?.destroy(sourceError);
  };

  const readSource = () => {
    // A source that was closed before emits nothing more, and its reader would wait for ever.
    if (source.destroyed) {
      failIncomplete();
      return;
    }

    source.on('data', (chunk: Buffer) => {
      bufferChunk(chunk);
      // Without a reader the chunk stays in `kept`; with one, its backpressure pauses the client.
      if (reader?.push(chunk) === false) {
        source.pause();
      }
    });
    source.on('end', () => {
      ended = true;
      reader?.push(null);
    });
    source.on('error', error => {
      sourceError = error;
      reader?.destroy(error);
    });
    source.on('close', () => {
      if (!ended) {
        failIncomplete();
      }
    });
  };

  return {
    open() {
      openCount++;
      const previous = reader;
      const current = new Readable({
        read() {
          if (reader === current && !ended) {
            source.resume();
          }
        },
      });
      for (const chunk of bufferedChunks) {
        current.push(chunk);
      }

      reader = current;
      previous?.destroy();
      if (sourceError !== undefined) {
        current.destroy(sourceError);
      } else if (ended) {
        current.push(null);
      }

      if (openCount === 1) {
        options.onFirstOpen?.();
        readSource();
      }

      return current;
    },
    replayable: () => openCount === 0 || (!bufferDiscarded && sourceError === undefined),
    consumed: () => ended,
    release,
  };
};

/** Reads a stream to its end if it stays within a bound; undefined beyond it. */
export const readAll = async (stream: Readable, limit: number): Promise<Buffer | undefined> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of stream as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > limit) {
      return undefined;
    }

    chunks.push(chunk);
  }

  return Buffer.concat(chunks);
};
