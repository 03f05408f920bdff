/** Settings of an emulated backend server. */
import {z} from 'zod';

const addressSchema = z.string().regex(/^[\d.]+:\d+$/u, 'use `ip:port`');

const serviceTimeSchema = z.strictObject({
  meanMs: z.number().min(0).describe('Mean time that the work itself takes, sub-calls excluded.'),
  sigma: z.number().min(0).max(2).default(0.25).describe('Spread of the log-normal distribution; 0 is constant.'),
});

const subCallSchema = z.strictObject({
  service: z.string().min(1).describe('Service that is called.'),
  method: z.enum(['GET', 'POST', 'PUT']).default('GET'),
  path: z.string().startsWith('/'),
  times: z.number().int().min(1).max(100).default(1).describe('Calls made at the same time.'),
});

const requestKindSchema = z.strictObject({
  name: z.string().min(1),
  methods: z.array(z.string()).min(1),
  path: z.string().startsWith('/').describe('Path without the service segment; a trailing `*` matches any rest.'),
  idempotent: z.boolean(),
  serviceTime: serviceTimeSchema,
  responseBytes: z.number().int().min(0).default(200).describe('Length of the payload of a response.'),
  steps: z.array(z.array(subCallSchema).min(1)).default([]).describe('Sub-calls: steps run one after the other, the calls of one step at the same time.'),
});

const overflowSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('queue'), length: z.number().int().min(0)}),
  z.strictObject({kind: z.literal('shed'), retryAfterSeconds: z.number().int().min(0).default(1)}),
]);

/** Schema of the settings of an emulated backend server. */
export const backendServerSettingsSchema = z.strictObject({
  name: z.string().min(1),
  service: z.string().min(1),
  address: addressSchema.describe('Listener for work; port 0 takes a free one.'),
  admin: addressSchema.describe('Listener for counters and control; port 0 takes a free one.'),
  local: addressSchema.optional().describe('Local listener of the process on the same host; without one it neither announces itself nor makes sub-calls.'),
  slots: z.number().int().min(1),
  connections: z.number().int().min(1),
  connectionCostMs: z.number().min(0).default(1).describe('Time that the single accepting thread spends on a new connection.'),
  overflow: overflowSchema.default({kind: 'queue', length: 1000}).describe('What happens to work beyond the slots.'),
  coldStart: z.strictObject({
    milliseconds: z.number().int().min(0),
    factor: z.number().min(1).describe('Factor on service times right after the start; it falls linearly to 1.'),
  }).default({milliseconds: 0, factor: 1}),
  slowness: z.number().min(0.01).default(1).describe('Factor on service times.'),
  loadReportDelayMs: z.number().min(0).default(3000).describe('Age of what the load endpoint reports.'),
  requestKinds: z.array(requestKindSchema).min(1),
  drainMs: z.number().int().min(0).default(5000).describe('Longest time that work in flight gets to finish when it leaves.'),
  seed: z.number().int().default(1),
});

/** Settings of an emulated backend server. */
export type BackendServerSettings = z.infer<typeof backendServerSettingsSchema>;
/** Settings as written, before defaults apply. */
export type BackendServerSettingsInput = z.input<typeof backendServerSettingsSchema>;
/** Kind of request that an emulated backend server runs. */
export type EmulatedRequestKind = BackendServerSettings['requestKinds'][number];
/** Sub-call of an emulated request kind. */
export type EmulatedSubCall = z.infer<typeof subCallSchema>;

/** Schema of a change of behaviour, as the control path takes it. */
export const controlCommandSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('slowness'), factor: z.number().min(0.01)}),
  z.strictObject({kind: z.literal('freeze-connections')}),
  z.strictObject({kind: z.literal('leave')}),
  z.strictObject({kind: z.literal('crash')}),
]);

/** Change of behaviour of a running emulated backend server. */
export type Control = z.infer<typeof controlCommandSchema>;
