/** Request body that is buffered up to a limit, so that a retry can send it again. */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';

/** Memory budget for buffered request bodies, shared by all calls of a process. */
export type ReplayBudget = {
  /** Reserves bytes; false when fewer are available. */
  reserve: (bytes: number) => boolean;
  /** Returns reserved bytes. */
  release: (bytes: number) => void;
};

/** Creates a budget of `capacity` bytes. */
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
  /** Opens a stream of the body from its start; undefined when the request has none. */
  open: () => Readable | undefined;
  /** Whether the body can be opened again. */
  replayable: () => boolean;
  /** Whether the source has been read to its end, or there is no body. */
  consumed: () => boolean;
  /** Discards the buffered bytes and returns them to the budget. */
  release: () => void;
};

/** Options of a replayable request body. */
export type ReplayBodyOptions = {
  source: Readable;
  hasBody: boolean;
  /** Maximum number of buffered bytes. */
  limit: number;
  budget: ReplayBudget;
  /** Called before the first byte is read; sends `100 Continue` to a client that waits for it. */
  onFirstOpen?: () => void;
};

/** Value for a request without a body. */
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
    // A closed source emits no events any more, so its reader would wait forever.
    if (source.destroyed) {
      failIncomplete();
      return;
    }

    source.on('data', (chunk: Buffer) => {
      bufferChunk(chunk);
      // Backpressure of the reader pauses the client; without a reader, the chunk is only buffered.
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

/** Reads a stream to its end; undefined when it exceeds the limit. */
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
