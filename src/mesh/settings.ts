/** Settings of the process on a backend server host, read from a JSON file. */
import {readFileSync} from 'node:fs';
import * as z from 'zod/mini';
import {isAddress} from '../shared/address.js';
import {fail, ok, type Result} from '../shared/result.js';

const address = z.string().check(z.refine(isAddress, 'use `ip:port`'));
const positive = z.number().check(z.positive());
const count = z.int('use a whole number').check(z.positive('use a number above 0'));

/** Schema of the settings. Durations are in milliseconds. */
const settingsSchema = z.object({
  /** Name of this process in the fleet. */
  node: z.string().check(z.minLength(1)),
  /** Availability zone of the host. */
  zone: z.string().check(z.minLength(1)),
  /** Service of the backend server on this host. */
  service: z.string().check(z.minLength(1)),
  listen: z.object({
    /** Listener for callers on this host. */
    entry: address,
    /** Listener for the other processes of the fleet. */
    peer: address,
    /** Listener for announcements of the backend server. */
    announcements: address,
    /** Listener for readiness checks. */
    readiness: address,
    /** Listener for metrics. @default no metrics are served */
    metrics: z.optional(address),
  }),
  /** Address of the platform's object store. */
  store: address,
  /** Interval of the backend server's announcements. */
  announcementMs: positive,
  bounds: z.object({
    /** Time after its confirmation by the store from which a version of the configuration must be in force. @default 2000 */
    configurationMs: z._default(positive, 2000),
    /** Time after the start of a drain or a deregistration from which the backend server must get no more calls. */
    drainMs: positive,
    /** Grace period between the stop signal and the end of the process. */
    graceMs: positive,
    /** Retries per request that the whole fleet may make. */
    retryRatio: z.number().check(z.nonnegative()),
    /** Window over which requests and retries are counted. */
    retryWindowMs: positive,
    /** Retries per window that the whole fleet may make in addition to the ratio. */
    retrySlack: z.number().check(z.nonnegative()),
  }),
  /** Maximum number of bytes that the process holds for callers; bodies of calls from other processes hold at most half as much besides, each from its grant or first byte until the result of its call. @default 67108864 */
  heldBytesMax: z._default(positive, 64 * 1024 * 1024),
  /** Limits for the connections of callers; see src/mesh/client-limits/limits.ts for the defaults. */
  clientLimits: z.optional(z.strictObject({
    /** Open connections. @default 1024 */
    connections: z.optional(count),
    /** Header lines of one request. @default 4096 */
    headerLines: z.optional(count),
    /** Unanswered requests of one connection above which no more are read from it. @default 64 */
    pipelinedRequests: z.optional(count),
    /** Memory of one connection above which no further request is read from it, in bytes. @default 4194304 */
    connectionBytes: z.optional(count),
    /** Longest time without a byte of a body that is being received. @default the idle timeout of the configuration */
    bodyProgressMs: z.optional(z.number().check(z.positive('use a number of milliseconds above 0'))),
  })),
  /** Lowest severity of the log. @default "info" */
  logLevel: z._default(z.enum(['debug', 'info', 'warn', 'error']), 'info'),
});

/** Settings of a process on a backend server host. */
export type HostSettings = z.infer<typeof settingsSchema>;

/** Error in the settings; the message says how to correct it. */
export type SettingsError = {kind: 'unreadable' | 'not-json' | 'invalid'; message: string};

/** Parses and validates settings from JSON text. */
export const parseSettings = (text: string): Result<HostSettings, SettingsError[]> => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return fail([{kind: 'not-json', message: `the settings are not valid JSON (${(error as Error).message}); check the file with a JSON tool`}]);
  }

  const parsed = settingsSchema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : fail(parsed.error.issues.map(issue => ({kind: 'invalid' as const, message: `${issue.path.join('.')}: ${issue.message}; correct this field`})));
};

/** Loads and validates a settings file. */
export const loadSettings = (path: string): Result<HostSettings, SettingsError[]> => {
  try {
    return parseSettings(readFileSync(path, 'utf8'));
  } catch (error) {
    return fail([{kind: 'unreadable', message: `cannot read the settings file ${path} (${(error as Error).message}); pass the path of a readable file`}]);
  }
};
