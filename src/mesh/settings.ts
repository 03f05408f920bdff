/** Settings of a process on a backend server host: one JSON file. */
import {readFileSync} from 'node:fs';
import * as z from 'zod/mini';
import {fail, ok, type Result} from '../shared/result.js';

const address = z.string().check(z.regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/u, 'use `ip:port`'));
const positive = z.number().check(z.positive());

/** Schema of the settings. Durations are in milliseconds. */
const settingsSchema = z.object({
  /** Name of this process in the fleet. */
  node: z.string().check(z.minLength(1)),
  /** Availability zone of the host. */
  zone: z.string().check(z.minLength(1)),
  /** Service of the backend server on this host. */
  service: z.string().check(z.minLength(1)),
  listen: z.object({
    /** For callers on this host. */
    entry: address,
    /** For other processes of the fleet. */
    peer: address,
    /** For announcements of the backend server. */
    announcements: address,
    /** For questions whether this process is ready. */
    readiness: address,
    /** For metrics. @default no metrics are served */
    metrics: z.optional(address),
  }),
  /** Object store of the platform. */
  store: address,
  /** Interval at which the backend server announces itself. */
  announcementMs: positive,
  bounds: z.object({
    /** Time after which a leaving backend server must get no more calls. */
    drainMs: positive,
    /** Time between the signal to stop and the end of the process. */
    graceMs: positive,
    /** Further sends per request that the fleet may make. */
    retryRatio: z.number().check(z.nonnegative()),
    retryWindowMs: positive,
    /** Further sends in a window that are free, over the whole fleet. */
    retrySlack: z.number().check(z.nonnegative()),
  }),
  /** Bytes of request bodies that the process holds at most. @default 67108864 */
  heldBytesMax: z._default(positive, 64 * 1024 * 1024),
  /** Lowest severity of the log. @default "info" */
  logLevel: z._default(z.enum(['debug', 'info', 'warn', 'error']), 'info'),
});

/** Settings of a process. */
export type HostSettings = z.infer<typeof settingsSchema>;

/** Fault of the settings; the message names the remedy. */
export type SettingsError = {kind: 'unreadable' | 'not-json' | 'invalid'; message: string};

/** Reads settings from JSON text. */
export const parseSettings = (text: string): Result<HostSettings, SettingsError[]> => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return fail([{kind: 'not-json', message: `the settings are not JSON (${(error as Error).message}); check the file with a JSON tool`}]);
  }

  const parsed = settingsSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : fail(parsed.error.issues.map(issue => ({kind: 'invalid' as const, message: `${issue.path.join('.')}: ${issue.message}; correct this field`})));
};

/** Reads the settings file. */
export const loadSettings = (path: string): Result<HostSettings, SettingsError[]> => {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (error) {
    return fail([{kind: 'unreadable', message: `cannot read the settings file ${path} (${(error as Error).message}); pass the path of a readable file`}]);
  }
};
