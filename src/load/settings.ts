/** Settings of the load tool. */
import {z} from 'zod';

const kindSchema = z.strictObject({
  name: z.string().min(1),
  service: z.string().min(1),
  method: z.enum(['GET', 'POST', 'PUT']),
  path: z.string().startsWith('/').describe('Path without the service segment; a trailing `*` is replaced by the request id.'),
  idempotent: z.boolean(),
  priority: z.number().int().min(0).describe('Priority that results are reported under; 0 is the most urgent.'),
  deadlineMs: z.number().int().min(1).describe('Time from the scheduled start within which a whole response counts.'),
  ratePerSecond: z.number().min(0).describe('Mean rate of arrivals, which are Poisson.'),
  bodyBytes: z.number().int().min(0).default(0).describe('Payload of a request body; requests other than GET always have a body with an id.'),
});

const groupSchema = z.strictObject({
  name: z.string().min(1),
  share: z.number().gt(0).describe('Share of the arrivals, relative to the other groups.'),
  header: z.string().optional().describe('Value of the group header.'),
});

const phaseSchema = z.strictObject({
  fromMs: z.number().min(0),
  toMs: z.number().min(0),
  factor: z.number().min(0).describe('Factor on the rate.'),
  kinds: z.array(z.string()).optional().describe('Kinds that it applies to; all when absent.'),
  groups: z.array(z.string()).optional().describe('Groups that it applies to; all when absent.'),
});

const restartSchema = z.strictObject({
  atMs: z.number().min(0),
  spreadMs: z.number().min(0).describe('Devices restart at random moments within this time.'),
  share: z.number().min(0).max(1).default(1).describe('Share of the devices.'),
  burstPerDevice: z.number().min(0).describe('Requests that a device sends at once after it has reconnected, over the kinds in proportion to their rates.'),
});

const clientSchema = z.strictObject({
  resends: z.number().int().min(0).max(50).default(5).describe('Times that a client sends a request again, with the same request id.'),
  timeoutMs: z.number().int().min(1).default(2000).describe('Time after which a client gives up a sending and sends again.'),
  backoffMs: z.number().min(0).default(50).describe('Mean wait before a client that ignores Retry-After sends again.'),
  retryAfterShare: z.number().min(0).max(1).default(0.5).describe('Share of the devices that respect Retry-After.'),
  otherEntryShare: z.number().min(0).max(1).default(0.5).describe('Share of resends that go through another entry.'),
  connectionsPerDevice: z.number().int().min(1).default(6).describe('Connections of a device to one entry.'),
  reconnectsPerSecond: z.number().min(0).default(0).describe('Devices that drop idle connections and reconnect, per second.'),
});

/** Schema of the settings of the load tool. */
export const loadSettingsSchema = z.strictObject({
  entries: z.array(z.string()).min(1).describe('Entry listeners, `ip:port`.'),
  seed: z.number().int().default(1),
  /** Distinguishes the request ids of several load processes. */
  name: z.string().max(20).default('load'),
  durationMs: z.number().int().min(1),
  devices: z.number().int().min(1).max(5000).default(100),
  kinds: z.array(kindSchema).min(1),
  groups: z.array(groupSchema).min(1).default([{name: 'default', share: 1}]),
  phases: z.array(phaseSchema).default([]),
  restarts: z.array(restartSchema).default([]),
  client: clientSchema.prefault({}),
  /** Wall clock time at which the schedule starts, in milliseconds since the Unix epoch; several processes start together. */
  startAt: z.number().optional(),
});

/** Settings of the load tool. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;
/** Settings as written, before defaults apply. */
export type LoadSettingsInput = z.input<typeof loadSettingsSchema>;
/** Kind of request that the load tool sends. */
export type LoadKind = LoadSettings['kinds'][number];
/** Group of clients. */
export type LoadGroup = LoadSettings['groups'][number];
/** Change of rates for a time. */
export type LoadPhase = LoadSettings['phases'][number];
