/** Request body that can be sent again as long as it fits a bound. */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';

/** Budget of bytes that all calls of a process share. */
export type ReplayBudget = {
  /** Takes bytes; false when the budget is used up. */
  take: (bytes: number) => boolean;
  give: (bytes: number) => void;
};

/** Creates a budget. */
export const createReplayBudget = (bytes: number): ReplayBudget => {
  let left = bytes;
  return {
    take(taken) {
      if (taken > left) {
        return false;
      }

      left -= taken;
      return true;
    },
    give(given) {
      left += given;
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
  const kept: Buffer[] = [];
  let keptBytes = 0;
  let overflowed = false;
  let opened = 0;
  let ended = false;
  let failure: Error | undefined;
  let reader: Readable | undefined;

  const release = () => {
    budget.give(keptBytes);
    kept.length = 0;
    keptBytes = 0;
    overflowed = true;
  };

  const keep = (chunk: Buffer) => {
    if (overflowed) {
      return;
    }

    if (keptBytes + chunk.length > options.limit || !budget.take(chunk.length)) {
      release();
      return;
    }

    kept.push(chunk);
    keptBytes += chunk.length;
  };

  const failEarly = () => {
    failure ??= new Error('the client closed the connection before the request body was complete');
    reader?.destroy(failure);
  };

  const listen = () => {
    // A source that was closed before emits nothing more, and its reader would wait for ever.
    if (source.destroyed) {
      failEarly();
      return;
    }

    source.on('data', (chunk: Buffer) => {
      keep(chunk);
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
      failure = error;
      reader?.destroy(error);
    });
    source.on('close', () => {
      if (!ended) {
        failEarly();
      }
    });
  };

  return {
    open() {
      opened++;
      const previous = reader;
      const current = new Readable({
        read() {
          if (reader === current && !ended) {
            source.resume();
          }
        },
      });
      for (const chunk of kept) {
        current.push(chunk);
      }

      reader = current;
      previous?.destroy();
      if (failure !== undefined) {
        current.destroy(failure);
      } else if (ended) {
        current.push(null);
      }

      if (opened === 1) {
        options.onFirstOpen?.();
        listen();
      }

      return current;
    },
    replayable: () => opened === 0 || (!overflowed && failure === undefined),
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
