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

const watchLineSchema = z.discriminatedUnion('type', [
  z.object({type: z.literal('changed'), object: platformObjectSchema}),
  z.object({
    type: z.literal('deleted'), version: z.number().int(), kind: z.string(), name: z.string(),
  }),
  z.object({type: z.literal('bookmark'), version: z.number().int()}),
]);

type WatchLine = z.infer<typeof watchLineSchema>;

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
  silenceTimeoutMs: number;
  timers: Timers;
  random: Random;
  openStream: OpenStream;
  onEvent: (event: WatchEvent) => void;
};

// A line holds at most one value of 1 MB, whose escapes can grow it several times.
const LINE_LENGTH_MAX = 8_388_608;

// All watches of a fleet break together when the platform restarts, so they are opened again at random times.
const RESUME_JITTER_MS = 500;

const parseLine = (text: string): WatchLine | undefined => {
  try {
    return watchLineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

const versionOf = (line: WatchLine): number => line.type === 'changed' ? line.object.version : line.version;

const readLines = async (chunks: AsyncIterable<Uint8Array>, onData: () => void, onLine: (text: string) => boolean): Promise<string> => {
  const decoder = new TextDecoder();
  let remainder = '';
  for await (const chunk of chunks) {
    onData();
    const lines = (remainder + decoder.decode(chunk, {stream: true})).split('\n');
    remainder = lines.pop() ?? '';
    if (remainder.length > LINE_LENGTH_MAX || !lines.every(line => onLine(line))) {
      return 'the platform sent a line that is not part of a watch; check the platform address';
    }
  }

  return 'the platform ended the watch';
};

/** Starts a watch. A stream that has delivered a line and then breaks or falls silent is resumed once at a time; anything else is reported as broken. */
export const startWatch = (options: WatchOptions): {close: () => void} => {
  const {kind, silenceTimeoutMs, timers, random, openStream, onEvent} = options;
  let version = options.afterVersion;
  let isClosed = false;
  let closeCurrentStream: () => void = () => undefined;
  let cancelResume: () => void = () => undefined;

  const emit = (event: WatchEvent): void => {
    if (!isClosed) {
      onEvent(event);
    }
  };

  const handleLine = (line: WatchLine): void => {
    if (line.type !== 'bookmark' && versionOf(line) > version) {
      emit(line.type === 'changed'
        ? {kind: 'changed', object: line.object}
        : {
          kind: 'deleted', objectKind: line.kind, name: line.name, version: line.version,
        });
    }

    version = Math.max(version, versionOf(line));
  };

  /** Follows one stream to its end and tells how it ended and whether it delivered a line. */
  const readStream = async (): Promise<{delivered: boolean; message: string}> => {
    const abortController = new AbortController();
    let delivered = false;
    let isSilent = false;
    let destroy: () => void = () => undefined;
    const closeStream = (): void => {
      abortController.abort();
      destroy();
    };

    const startSilenceTimer = () => timers.after(silenceTimeoutMs, () => {
      isSilent = true;
      closeStream();
    });
    let cancelSilenceTimer = startSilenceTimer();
    closeCurrentStream = closeStream;

    // A line of 1 MB can take longer than the silence limit on a slow network, so each piece counts.
    const onData = (): void => {
      cancelSilenceTimer();
      cancelSilenceTimer = startSilenceTimer();
    };

    const onLine = (text: string): boolean => {
      const line = parseLine(text);
      if (line === undefined) {
        return false;
      }

      delivered = true;
      handleLine(line);
      return true;
    };

    const readToEnd = async (): Promise<string> => {
      const opened = await openStream(kind, version, abortController.signal);
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

    const message = await readToEnd();
    cancelSilenceTimer();
    return {delivered, message: isSilent ? `the watch was silent for ${silenceTimeoutMs} ms` : message};
  };

  const readAndResume = async (): Promise<void> => {
    const result = await readStream();
    if (isClosed) {
      return;
    }

    if (result.delivered) {
      cancelResume = timers.after(random() * RESUME_JITTER_MS, () => {
        void readAndResume();
      });
      return;
    }

    emit({kind: 'broken', message: `${result.message}; read the state and watch again`});
  };

  void readAndResume();
  return {
    close() {
      isClosed = true;
      cancelResume();
      closeCurrentStream();
    },
  };
};
