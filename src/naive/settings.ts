/** Settings of the naive proxy. */
import {z} from 'zod';

const addressSchema = z.string().regex(/^[\d.]+:\d+$/u, 'use `ip:port`');

/** Schema of the settings of the naive proxy. */
export const naiveSettingsSchema = z.strictObject({
  entry: addressSchema.describe('Listener for clients; port 0 selects a free port.'),
  local: addressSchema.describe('Listener for the backend server on the same host; port 0 selects a free port.'),
  services: z.array(z.strictObject({
    name: z.string().min(1),
    backendServers: z.array(addressSchema).min(1),
  })).describe('Services with their static lists of backend servers.'),
  concurrency: z.number().int().min(1).default(256).describe('Maximum number of requests in flight.'),
  queueLength: z.number().int().min(0).default(1024).describe('Maximum number of queued requests; further requests get status 503.'),
  connectionsPerBackendServer: z.number().int().min(1).default(25),
  retries: z.number().int().min(0).default(3),
  attemptTimeoutMs: z.number().int().min(1).default(5000),
});

/** Settings of the naive proxy. */
export type NaiveSettings = z.infer<typeof naiveSettingsSchema>;
/** Settings before defaults are applied. */
export type NaiveSettingsInput = z.input<typeof naiveSettingsSchema>;
