/** Settings of `jujubewelld`, read once from a JSON file. */
import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {fail, ok, type Result} from '../shared/result.js';

const address = z.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/u, 'use an IPv4 address and a port, such as 127.0.0.1:7001');

const name = z.string().regex(/^[a-z\d](?:[a-z\d-]{0,61}[a-z\d])?$/u, 'use 1 to 63 lower-case letters, digits and hyphens');

const limitsSchema = z.strictObject({
  /**
   * Request body that is buffered per call, so that a retry can send it again, in bytes.
   * @default 262144
   */
  replayBytesPerCall: z.number().int().min(0).max(64 * 1024 * 1024).default(256 * 1024),
  /**
   * Total of request bodies that the process buffers for retries, in bytes.
   * @default 67108864
   */
  replayBytes: z.number().int().min(0).max(1024 * 1024 * 1024).default(64 * 1024 * 1024),
  /**
   * Time for which a ticket is valid, in milliseconds.
   * @default 120000
   */
  ticketLifetimeMs: z.number().int().min(1000).max(86_400_000).default(120_000),
  /**
   * Maximum number of connections that the entry listener accepts.
   * @default 10000
   */
  clientConnections: z.number().int().min(1).max(1_000_000).default(10_000),
  /**
   * Maximum number of connections to one other process, for calls.
   * @default 128
   */
  peerConnections: z.number().int().min(1).max(10_000).default(128),
});

/** Schema of the settings. */
export const settingsSchema = z.strictObject({
  /** Name of the host, unique in the fleet. */
  host: name,
  /** Availability zone of the host. */
  zone: name,
  /** Address of the entry listener, for clients. */
  entry: address,
  /** Address of the peer listener, for other processes. */
  peer: address,
  /** Address of the local listener, for the backend server on this host; bind it to loopback. */
  local: address,
  /** Address of the admin listener, for operators: status, events, metrics and health. */
  admin: address,
  /** URL of the platform's object API. */
  platform: z.url({protocol: /^https?$/u}),
  /** Peer addresses of some other processes, through which this one joins the fleet. */
  contacts: z.array(address).max(100).default([]),
  /** Secret that all processes of the fleet share. */
  fleetKey: z.string().min(16, 'use at least 16 random characters'),
  /**
   * Maximum time that a graceful stop waits for calls in flight, in milliseconds.
   * @default 30000
   */
  stopTimeoutMs: z.number().int().min(0).max(600_000).default(30_000),
  limits: limitsSchema.prefault({}),
  log: z.strictObject({
    /**
     * Minimum severity of logged messages.
     * @default "info"
     */
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
    /**
     * Format of log lines.
     * @default "json"
     */
    format: z.enum(['json', 'pretty']).default('json'),
  }).prefault({}),
});

/** Settings of `jujubewelld`. */
export type Settings = z.infer<typeof settingsSchema>;

/** Problem in a settings file: the field, the value found there and how to correct it. */
export type SettingsError = {path: string; found: string; remedy: string};

/** Describes a value for an error message. Contents of objects and lists are omitted: they may hold the fleet key, also under a misspelt name. */
const describeValue = (value: unknown): string => {
  if (Array.isArray(value)) {
    return `a list with ${value.length} entries`;
  }

  if (typeof value === 'object' && value !== null) {
    return `an object with the fields ${Object.keys(value).join(', ')}`;
  }

  const text = JSON.stringify(value) ?? 'nothing';
  return text.length > 80 ? `${text.slice(0, 77)}...` : text;
};

const readPath = (input: unknown, path: readonly PropertyKey[]): unknown => {
  const [key, ...rest] = path;
  return key === undefined ? input : readPath((input as Record<PropertyKey, unknown> | undefined)?.[key], rest);
};

const isSecret = (path: readonly PropertyKey[]): boolean => path.includes('fleetKey');

const toSettingsError = (issue: z.core.$ZodIssue, input: unknown): SettingsError => ({
  path: issue.path.join('.') || '(file)',
  found: isSecret(issue.path) ? 'a secret value' : describeValue(readPath(input, issue.path)),
  remedy: issue.message,
});

/** Validates settings; the error lists every problem. */
export const parseSettings = (input: unknown): Result<Settings, SettingsError[]> => {
  const parsed = settingsSchema.safeParse(input);
  return parsed.success ? ok(parsed.data) : fail(parsed.error.issues.map(issue => toSettingsError(issue, input)));
};

/** Describes why a file cannot be read. A JSON syntax error quotes the nearby text, which may hold the fleet key, so only its position is included. */
const describeReadError = (error: unknown): string => {
  const message = error instanceof Error ? error.message : String(error);
  return error instanceof SyntaxError ? `text that is not valid JSON${/ at position \d+/u.exec(message)?.[0] ?? ''}` : message;
};

/** Reads and validates a settings file. */
export const loadSettings = (path: string): Result<Settings, SettingsError[]> => {
  try {
    return parseSettings(JSON.parse(readFileSync(path, 'utf8')));
  } catch (error) {
    return fail([{path: '(file)', found: describeReadError(error), remedy: 'name a readable JSON file as the first argument'}]);
  }
};
