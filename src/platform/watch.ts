/** Watch of platform objects: parses the event stream, detects silent connections and resumes after the last version. */
import {z} from 'zod';
import type {Random} from '../shared/random.js';
import type {Result} from '../shared/result.js';
import type {PlatformError, WatchEvent} from './client.js';
import type {Timers} from './timers.js';

/** Schema of an object in the platform's responses. */
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

/** Open event stream of a watch. */
export type WatchStream = {
  chunks: AsyncIterable<Uint8Array>;
  /** Closes the connection. */
  destroy: () => void;
};

/** Opens an event stream for the objects of a kind, starting after a version, on a separate connection. */
export type OpenStream = (kind: string, afterVersion: number, signal: AbortSignal) => Promise<Result<WatchStream, PlatformError>>;

/** Options of a watch. */
export type WatchOptions = {
  kind: string;
  afterVersion: number;
  /** Time without data after which the watch is considered silent, in milliseconds. */
  silenceTimeoutMs: number;
  timers: Timers;
  random: Random;
  openStream: OpenStream;
  onEvent: (event: WatchEvent) => void;
};

// Maximum length of a line, in characters. A line contains at most one value of 1 MB, which JSON escapes can enlarge several times.
const LINE_LENGTH_MAX = 8_388_608;

// A restart of the platform breaks all watches of the fleet at once, so they are reopened after a random delay.
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

/**
Starts a watch. A stream that ends or goes silent is resumed if it delivered at least one line;
otherwise the watch is reported as broken and ends.
*/
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

  /** Reads one stream until it ends; returns the reason and whether it delivered a line. */
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

    // On a slow network, a line of 1 MB can take longer than the silence timeout, so each chunk restarts the timer.
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
