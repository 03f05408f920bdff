/** Structured logging with a rate limit, so that an overload does not flood the log. */
import process from 'node:process';
import {createConsola, type LogObject} from 'consola';
import type {Clock} from '../shared/clock.js';

/** Fields of a log line besides time, level, host and message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logger of a process. */
export type Log = {
  error: (message: string, fields?: LogFields) => void;
  warn: (message: string, fields?: LogFields) => void;
  info: (message: string, fields?: LogFields) => void;
  debug: (message: string, fields?: LogFields) => void;
};

/** Options of a logger. */
export type LogOptions = {
  host: string;
  level: 'error' | 'warn' | 'info' | 'debug';
  format: 'json' | 'pretty';
  clock: Clock;
  /** Receives lines in JSON format; standard output when absent. */
  write?: (line: string) => void;
};

const LEVELS = {
  error: 0, warn: 1, info: 3, debug: 4,
} as const;

/** Maximum lines per second with the same message. Further lines are dropped; a later line reports their number as `droppedLines`. */
const LINES_PER_SECOND = 5;
const WINDOW_MS = 1000;

/** Maximum number of messages that the rate limiter tracks; beyond it, all of them are reset. */
const TRACKED_MESSAGES_MAX = 1000;

type RateWindow = {startedAt: number; lines: number; dropped: number};

const formatLine = (host: string, object: LogObject): string => {
  const [message, fields] = object.args as [string, LogFields | undefined];
  return JSON.stringify({
    time: object.date.toISOString(), level: object.type, host, message, ...fields,
  });
};

const createLimiter = (clock: Clock) => {
  const windows = new Map<string, RateWindow>();
  return (message: string): {allowed: boolean; dropped: number} => {
    const now = clock.now();
    const window = windows.get(message);
    if (window !== undefined && now - window.startedAt < WINDOW_MS) {
      window.lines++;
      const allowed = window.lines <= LINES_PER_SECOND;
      window.dropped += allowed ? 0 : 1;
      return {allowed, dropped: 0};
    }

    if (windows.size >= TRACKED_MESSAGES_MAX) {
      windows.clear();
    }

    windows.set(message, {startedAt: now, lines: 1, dropped: 0});
    return {allowed: true, dropped: window?.dropped ?? 0};
  };
};

/** Creates a logger. */
export const createLog = (options: LogOptions): Log => {
  const write = options.write ?? ((line: string) => process.stdout.write(`${line}\n`));
  const consola = createConsola({
    level: LEVELS[options.level],
    throttle: 0,
    ...(options.format === 'json' && {
      reporters: [{
        log(object: LogObject) {
          write(formatLine(options.host, object));
        },
      }],
    }),
  });
  const limiter = createLimiter(options.clock);
  const logAt = (level: keyof typeof LEVELS) => (message: string, fields: LogFields = {}) => {
    const {allowed, dropped} = limiter(message);
    if (allowed) {
      consola[level](message, dropped > 0 ? {...fields, droppedLines: dropped} : fields);
    }
  };

  return {
    error: logAt('error'), warn: logAt('warn'), info: logAt('info'), debug: logAt('debug'),
  };
};
