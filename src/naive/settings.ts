/** Settings of the baseline proxy. */
import {z} from 'zod';

const addressSchema = z.string().regex(/^[\d.]+:\d+$/u, 'use `ip:port`');

/** Schema of the settings of the baseline proxy. */
export const naiveSettingsSchema = z.strictObject({
  entry: addressSchema.describe('Listener for clients; port 0 takes a free one.'),
  local: addressSchema.describe('Listener for the backend server of the host; port 0 takes a free one.'),
  services: z.array(z.strictObject({
    name: z.string().min(1),
    backendServers: z.array(addressSchema).min(1),
  })).describe('Static list of backend servers.'),
  concurrency: z.number().int().min(1).default(256).describe('Requests in flight.'),
  queueLength: z.number().int().min(0).default(1024).describe('Requests that wait beyond those in flight; more are answered 503.'),
  connectionsPerBackendServer: z.number().int().min(1).default(25),
  retries: z.number().int().min(0).default(3),
  attemptTimeoutMs: z.number().int().min(1).default(5000),
});

/** Settings of the baseline proxy. */
export type NaiveSettings = z.infer<typeof naiveSettingsSchema>;
/** Settings as written, before defaults apply. */
export type NaiveSettingsInput = z.input<typeof naiveSettingsSchema>;
