/** Settings of the load generator. */
import {z} from 'zod';

const kindSchema = z.strictObject({
  name: z.string().min(1),
  service: z.string().min(1),
  method: z.enum(['GET', 'POST', 'PUT']),
  path: z.string().startsWith('/').describe('Path without the service segment; a trailing `*` is replaced by the request id.'),
  idempotent: z.boolean(),
  priority: z.number().int().min(0).describe('Priority under which results are reported; 0 is the most urgent.'),
  deadlineMs: z.number().int().min(1).describe('Deadline from the scheduled start; later responses do not count as completed.'),
  ratePerSecond: z.number().min(0).describe('Mean arrival rate of the Poisson process.'),
  bodyBytes: z.number().int().min(0).default(0).describe('Payload length of a request body; requests other than GET always have a body with an id.'),
});

const groupSchema = z.strictObject({
  name: z.string().min(1),
  share: z.number().gt(0).describe('Share of the arrivals, relative to the other groups.'),
  header: z.string().optional().describe('Value of the group header.'),
});

const phaseSchema = z.strictObject({
  fromMs: z.number().min(0),
  toMs: z.number().min(0),
  factor: z.number().min(0).describe('Factor on the arrival rate.'),
  kinds: z.array(z.string()).optional().describe('Request kinds that the phase applies to; all if absent.'),
  groups: z.array(z.string()).optional().describe('Groups that the phase applies to; all if absent.'),
});

const restartSchema = z.strictObject({
  atMs: z.number().min(0),
  spreadMs: z.number().min(0).describe('Period within which the devices restart at random times.'),
  share: z.number().min(0).max(1).default(1).describe('Share of the devices that restart.'),
  burstPerDevice: z.number().min(0).describe('Requests that a device sends immediately after its restart; their kinds are drawn in proportion to the rates.'),
});

const clientSchema = z.strictObject({
  resends: z.number().int().min(0).max(50).default(5).describe('Maximum number of times that a client sends a request again, with the same request id.'),
  timeoutMs: z.number().int().min(1).default(2000).describe('Timeout of one attempt, after which the client sends the request again.'),
  backoffMs: z.number().min(0).default(50).describe('Mean delay before a resend if the response has no Retry-After or the device ignores it.'),
  retryAfterShare: z.number().min(0).max(1).default(0.5).describe('Share of the devices that honour Retry-After.'),
  otherEntryShare: z.number().min(0).max(1).default(0.5).describe('Share of resends that go through a randomly picked entry instead of the own entry of the device.'),
  connectionsPerDevice: z.number().int().min(1).default(6).describe('Maximum number of connections of a device to each entry.'),
  reconnectsPerSecond: z.number().min(0).default(0).describe('Number of devices per second that close their idle connections and reconnect.'),
});

/** Schema of the settings of the load generator. */
export const loadSettingsSchema = z.strictObject({
  entries: z.array(z.string()).min(1).describe('Entry listeners, `ip:port`.'),
  seed: z.number().int().default(1),
  /** Prefix of request ids, which keeps the ids of several load processes distinct. */
  name: z.string().max(20).default('load'),
  durationMs: z.number().int().min(1),
  devices: z.number().int().min(1).max(5000).default(100),
  kinds: z.array(kindSchema).min(1),
  groups: z.array(groupSchema).min(1).default([{name: 'default', share: 1}]),
  phases: z.array(phaseSchema).default([]),
  restarts: z.array(restartSchema).default([]),
  client: clientSchema.prefault({}),
  /** Start of the schedule, in milliseconds since the Unix epoch, so that several processes can start together. */
  startAt: z.number().optional(),
});

/** Settings of the load generator. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;
/** Settings before defaults are applied. */
export type LoadSettingsInput = z.input<typeof loadSettingsSchema>;
/** Request kind that the load generator sends. */
export type LoadKind = LoadSettings['kinds'][number];
/** Client group with its share of the arrivals. */
export type LoadGroup = LoadSettings['groups'][number];
/** Period during which arrival rates are multiplied by a factor. */
export type LoadPhase = LoadSettings['phases'][number];
