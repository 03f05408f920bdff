/** Schema and parser of scenario files, which describe load changes and faults of a deployment under load. */
import {readFileSync} from 'node:fs';
import {z} from 'zod';
import {deployments} from './deployments.js';

const timeMsSchema = z.number().min(0).max(60_000).describe('Milliseconds from the start of the load.');

const hostFields = {service: z.string().min(1), index: z.number().int().min(0).describe('Which host of the service, from 0.')};

const eventSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('restart'), atMs: timeMsSchema, spreadMs: z.number().min(0), share: z.number().min(0).max(1).default(1), burstPerDevice: z.number().min(0).max(100),
  }).describe('Client devices restart, reconnect, resend what was in flight and send a burst.'),
  z.strictObject({
    kind: z.literal('rate'), fromMs: timeMsSchema, toMs: timeMsSchema, factor: z.number().min(0).max(100), kinds: z.array(z.string()).optional(), groups: z.array(z.string()).optional(),
  }).describe('Arrival rates change; all kinds and groups when none is listed.'),
  z.strictObject({
    kind: z.literal('slowness'), service: z.string().min(1), fromMs: timeMsSchema, toMs: timeMsSchema, factor: z.number().min(1).max(100),
  }).describe('All backend servers of a service work slower.'),
  z.strictObject({kind: z.literal('lost-host'), ...hostFields, atMs: timeMsSchema}).describe('The process and the backend server of a host are killed for good.'),
  z.strictObject({kind: z.literal('stopped-host'), ...hostFields, atMs: timeMsSchema}).describe('The backend server leaves, then the process stops gracefully.'),
  z.strictObject({kind: z.literal('silent-connections'), service: z.string().min(1), atMs: timeMsSchema}).describe('All connections open into the hosts of a service go silent; new ones work.'),
]);

/** Schema of a scenario file. */
export const scenarioSchema = z.strictObject({
  name: z.string().regex(/^[a-z\d-]+$/u, 'use lower-case letters, digits and hyphens'),
  title: z.string().min(1),
  deployment: z.string().refine(name => deployments.has(name), {error: 'use `rogge-nord` or `plaques-bleues`'}),
  durationMs: z.number().int().min(1000).max(20_000).describe('Length of the load; a run takes a few seconds more for starting and for the last deadlines.'),
  trigger: z.strictObject({fromMs: timeMsSchema, toMs: timeMsSchema}).describe('When the overload or fault begins and ends; figures refer to it.'),
  loadFactor: z.number().gt(0).max(4).default(1).describe('Factor on all normal rates.'),
  client: z.strictObject({
    resends: z.number().int().min(0).max(20).optional(),
    timeoutMs: z.number().int().min(1).optional(),
    backoffMs: z.number().min(0).optional(),
    retryAfterShare: z.number().min(0).max(1).optional(),
    reconnectsPerSecond: z.number().min(0).max(500).optional(),
  }).default({}).describe('Client behaviour; see src/load/settings.ts.'),
  flood: z.strictObject({
    kinds: z.array(z.string()).optional(),
    groups: z.array(z.string()).optional(),
  }).optional().describe('Work that floods; everything else is the other work. Without it, work of the lowest priority counts as the flood.'),
  events: z.array(eventSchema).min(1),
}).refine(scenario => scenario.trigger.fromMs >= 1000 && scenario.trigger.fromMs < scenario.trigger.toMs && scenario.trigger.toMs < scenario.durationMs, {
  path: ['trigger'], error: 'begin after 1000 ms of normal load and end before durationMs',
});

/** Validated content of a scenario file. */
export type Scenario = z.infer<typeof scenarioSchema>;
/** One load change or fault of a scenario. */
export type ScenarioEvent = Scenario['events'][number];

/** Validates a scenario; throws an error that names the source and the invalid keys. */
export const parseScenario = (value: unknown, source: string): Scenario => {
  const parsed = scenarioSchema.safeParse(value);
  if (parsed.success) {
    return parsed.data;
  }

  throw new Error(`${source} is not a valid scenario:\n${z.prettifyError(parsed.error)}`);
};

/** Reads a scenario file. */
export const readScenario = (path: string): Scenario => parseScenario(JSON.parse(readFileSync(path, 'utf8')), path);
