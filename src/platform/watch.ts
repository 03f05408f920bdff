/** Watch of the platform: parses the stream, detects silence and resumes after the last version. */
import {z} from 'zod';
import type {Random} from '../shared/random.js';
import type {Result} from '../shared/result.js';
import type {PlatformFault, WatchEvent} from './client.js';
import type {Timers} from './timers.js';

/** Schema of an object on the wire. */
export const platformObjectSchema = z.object({
  kind: z.string(),
  name: z.string(),
  version: z.number().int(),
  value: z.unknown(),
});

const lineSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('changed'), object: platformObjectSchema}),
  z.object({
    type: z.literal('deleted'), version: z.number().int(), kind: z.string(), name: z.string(),
  }),
  z.object({type: z.literal('bookmark'), version: z.number().int()}),
]);

type Line = z.infer<typeof lineSchema>;

/** Open stream of a watch. */
export type WatchStream = {
  chunks: AsyncIterable<Uint8Array>;
  /** Closes the connection. */
  destroy: () => void;
};

/** Opens the stream of a kind after a version on a connection of its own. */
export type OpenStream = (kind: string, afterVersion: number, signal: AbortSignal) => Promise<Result<WatchStream, PlatformFault>>;

/** Options of a watch. */
export type WatchOptions = {
  kind: string;
  afterVersion: number;
  /** Time without data after which the connection counts as silent, in milliseconds. */
  silenceMs: number;
  timers: Timers;
  random: Random;
  open: OpenStream;
  onEvent: (event: WatchEvent) => void;
};

// A line holds at most one value of 1 MB, whose escapes can grow it several times.
const LINE_MAX_CHARACTERS = 8_388_608;

// All watches of a fleet break together when the platform restarts, so they are opened again at random times.
const RESUME_SPREAD_MS = 500;

const parseLine = (text: string): Line | undefined => {
  try {
    return lineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

const versionOf = (line: Line): number => line.type === 'changed' ? line.object.version : line.version;

const readLines = async (chunks: AsyncIterable<Uint8Array>, onData: () => void, onLine: (text: string) => boolean): Promise<string> => {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of chunks) {
    onData();
    const parts = (rest + decoder.decode(chunk, {stream: true})).split('\n');
    rest = parts.pop() ?? '';
    if (rest.length > LINE_MAX_CHARACTERS || !parts.every(part => onLine(part))) {
      return 'the platform sent a line that is not part of a watch; check the platform address';
    }
  }

  return 'the platform ended the watch';
};

/** Starts a watch. A stream that has delivered a line and then breaks or falls silent is resumed once at a time; anything else is reported as broken. */
export const startWatch = (options: WatchOptions): {close: () => void} => {
  const {kind, silenceMs, timers, random, open, onEvent} = options;
  let version = options.afterVersion;
  let closed = false;
  let stopCurrent: () => void = () => undefined;
  let cancelResume: () => void = () => undefined;

  const report = (event: WatchEvent): void => {
    if (!closed) {
      onEvent(event);
    }
  };

  const accept = (line: Line): void => {
    if (line.type !== 'bookmark' && versionOf(line) > version) {
      report(line.type === 'changed'
        ? {kind: 'changed', object: line.object}
        : {
          kind: 'deleted', objectKind: line.kind, name: line.name, version: line.version,
        });
    }

    version = Math.max(version, versionOf(line));
  };

  /** Follows one stream to its end and tells how it ended and whether it delivered a line. */
  const follow = async (): Promise<{delivered: boolean; message: string}> => {
    const abort = new AbortController();
    let delivered = false;
    let silent = false;
    let destroy: () => void = () => undefined;
    const stop = (): void => {
      abort.abort();
      destroy();
    };

    const startSilenceTimer = () => timers.after(silenceMs, () => {
      silent = true;
      stop();
    });
    let cancelTimer = startSilenceTimer();
    stopCurrent = stop;

    // A line of 1 MB can take longer than the silence limit on a slow network, so each piece counts.
    const onData = (): void => {
      cancelTimer();
      cancelTimer = startSilenceTimer();
    };

    const onLine = (text: string): boolean => {
      const line = parseLine(text);
      if (line === undefined) {
        return false;
      }

      delivered = true;
      accept(line);
      return true;
    };

    const read = async (): Promise<string> => {
      const opened = await open(kind, version, abort.signal);
      if (opened.kind === 'error') {
        return opened.error.message;
      }

      destroy = opened.value.destroy;
      try {
        return await readLines(opened.value.chunks, onData, onLine);
      } catch {
        return 'the connection of the watch was lost';
      } finally {
        destroy();
      }
    };

    const message = await read();
    cancelTimer();
    return {delivered, message: silent ? `the watch was silent for ${silenceMs} ms` : message};
  };

  const run = async (): Promise<void> => {
    const ended = await follow();
    if (closed) {
      return;
    }

    if (ended.delivered) {
      cancelResume = timers.after(random() * RESUME_SPREAD_MS, () => {
        void run();
      });
      return;
    }

    report({kind: 'broken', message: `${ended.message}; read the state and watch again`});
  };

  void run();
  return {
    close() {
      closed = true;
      cancelResume();
      stopCurrent();
    },
  };
};
