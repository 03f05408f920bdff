/** Settings of an emulated backend server. */
import {z} from 'zod';

const addressSchema = z.string().regex(/^[\d.]+:\d+$/u, 'use `ip:port`');

const serviceTimeSchema = z.strictObject({
  meanMs: z.number().min(0).describe('Mean service time, excluding sub-calls.'),
  sigma: z.number().min(0).max(2).default(0.25).describe('Sigma of the log-normal distribution; 0 gives a constant service time.'),
});

const subCallSchema = z.strictObject({
  service: z.string().min(1).describe('Service that is called.'),
  method: z.enum(['GET', 'POST', 'PUT']).default('GET'),
  path: z.string().startsWith('/'),
  times: z.number().int().min(1).max(100).default(1).describe('Number of concurrent calls.'),
});

const requestKindSchema = z.strictObject({
  name: z.string().min(1),
  methods: z.array(z.string()).min(1),
  path: z.string().startsWith('/').describe('Path without the service segment; a trailing `*` matches any suffix.'),
  idempotent: z.boolean(),
  serviceTime: serviceTimeSchema,
  responseBytes: z.number().int().min(0).default(200).describe('Length of the response payload.'),
  steps: z.array(z.array(subCallSchema).min(1)).default([]).describe('Sub-calls; the steps run in sequence, the calls of one step concurrently.'),
});

const overflowSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('queue'), length: z.number().int().min(0)}),
  z.strictObject({kind: z.literal('shed'), retryAfterSeconds: z.number().int().min(0).default(1)}),
]);

/** Schema of the settings of an emulated backend server. */
export const backendServerSettingsSchema = z.strictObject({
  name: z.string().min(1),
  service: z.string().min(1),
  address: addressSchema.describe('Listener for requests; port 0 selects a free port.'),
  admin: addressSchema.describe('Listener of the admin API; port 0 selects a free port.'),
  local: addressSchema.optional().describe('Local listener of the daemon on the same host; without it, the backend server neither announces itself nor makes sub-calls.'),
  slots: z.number().int().min(1),
  connections: z.number().int().min(1),
  connectionCostMs: z.number().min(0).default(1).describe('Time that the single accept thread spends on each new connection.'),
  overflow: overflowSchema.default({kind: 'queue', length: 1000}).describe('Handling of requests that find all slots in use.'),
  coldStart: z.strictObject({
    milliseconds: z.number().int().min(0),
    factor: z.number().min(1).describe('Factor on service times directly after the start; it decreases linearly to 1.'),
  }).default({milliseconds: 0, factor: 1}),
  slowness: z.number().min(0.01).default(1).describe('Factor on service times.'),
  loadReportDelayMs: z.number().min(0).default(3000).describe('Age of the load that the load endpoint reports.'),
  requestKinds: z.array(requestKindSchema).min(1),
  drainMs: z.number().int().min(0).default(5000).describe('Maximum time that requests in flight have to finish when the backend server leaves.'),
  seed: z.number().int().default(1),
});

/** Settings of an emulated backend server. */
export type BackendServerSettings = z.infer<typeof backendServerSettingsSchema>;
/** Settings before defaults are applied. */
export type BackendServerSettingsInput = z.input<typeof backendServerSettingsSchema>;
/** Request kind that an emulated backend server serves. */
export type EmulatedRequestKind = BackendServerSettings['requestKinds'][number];
/** Sub-call of an emulated request kind. */
export type EmulatedSubCall = z.infer<typeof subCallSchema>;

/** Schema of a command to the control endpoint of the admin API. */
export const controlCommandSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('slowness'), factor: z.number().min(0.01)}),
  z.strictObject({kind: z.literal('freeze-connections')}),
  z.strictObject({kind: z.literal('leave')}),
  z.strictObject({kind: z.literal('crash')}),
]);

/** Command that changes the behaviour of a running emulated backend server or ends it. */
export type ControlCommand = z.infer<typeof controlCommandSchema>;
