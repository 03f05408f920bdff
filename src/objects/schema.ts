/** Schemas of the declared objects; types, validation and the reference page derive from them. */
import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z\d](?:[a-z\d-]{0,61}[a-z\d])?$/u, 'use 1 to 63 lower-case letters, digits and hyphens, not at the ends');

const labelsSchema = z.record(z.string().min(1).max(63), z.string().max(63)).describe('Labels that rules select by.');

/** Schema of a selector: every listed label must have the listed value. */
export const selectorSchema = z.strictObject({
  labels: labelsSchema.default({}).describe('Labels that must all match; empty selects everything.'),
});

const selectionSchema = z.strictObject({
  services: selectorSchema.optional().describe('Services the rule applies to; all when absent.'),
  requestKinds: selectorSchema.optional().describe('Request kinds the rule applies to; all when absent. Not for `drain`.'),
  backendServers: selectorSchema.optional().describe('Backend servers the rule applies to; all when absent. Only for `limit` and `drain`.'),
});

const millisecondsSchema = (maximum: number) => z.number().int().min(1).max(maximum);

const HOUR_MS = 3_600_000;

/** Schema of a service. */
export const serviceSchema = z.strictObject({
  kind: z.literal('Service'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  spec: z.strictObject({
    description: z.string().max(500).optional().describe('What the service does.'),
  }).default({}),
}).describe('A service that backend servers provide. The first path segment of a request names it.');

/** Schema of a request kind. */
export const requestKindSchema = z.strictObject({
  kind: z.literal('RequestKind'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  spec: z.strictObject({
    service: nameSchema.describe('Service that the request kind belongs to.'),
    methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1).describe('HTTP methods that match.'),
    path: z.string().regex(/^\/[^*?#\s]*\*?$/u, 'start with `/`; use `*` only at the end, and no `?`, `#` or white space').max(500)
      .describe('Path that matches after the service segment; a trailing `*` matches any rest.'),
    idempotent: z.boolean().describe('Whether running the request twice is harmless. One that is not runs at most once, under a ticket.'),
  }),
}).describe('A kind of request to a service. The first match in order of name decides.');

/** Schema of a backend server, which announces itself to the process on its host. */
export const backendServerSchema = z.strictObject({
  kind: z.literal('BackendServer'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  spec: z.strictObject({
    service: nameSchema.describe('Service that the backend server provides.'),
    address: z.string().max(255).describe('Address on its own host, `ip:port`.'),
    slots: z.number().int().min(1).max(100_000).describe('Calls that it can run at the same time.'),
    connections: z.number().int().min(1).max(100_000).describe('Connections that it accepts.'),
    coldStartMs: z.number().int().min(0).max(HOUR_MS).default(0).describe('Time from its start until it works at full speed.'),
  }),
}).describe('A running backend server. It announces itself; operators do not declare it.');

const prioritySchema = z.strictObject({
  name: nameSchema,
  select: selectionSchema.describe('Work that belongs to the priority.'),
  minimumShare: z.number().min(0).max(1).optional()
    .describe('Share of the capacity below the highest priority that this priority keeps when more urgent work floods; 0 when absent. Not for the highest priority.'),
});

const groupSchema = z.strictObject({
  name: nameSchema,
  weight: z.number().min(0.01).max(1000).default(1).describe('Weight of the client group against the others of its priority.'),
});

/** Schema of the specification of a rule, by type. */
export const ruleSpecSchema = z.discriminatedUnion('type', [
  z.strictObject({
    type: z.literal('priority'),
    priorities: z.array(prioritySchema).min(1).max(16).describe('Priorities, the most urgent first. Work that no priority selects comes last.'),
  }),
  z.strictObject({
    type: z.literal('deadline'),
    select: selectionSchema,
    milliseconds: millisecondsSchema(HOUR_MS).describe('Longest time that a request may take.'),
  }),
  z.strictObject({
    type: z.literal('retry'),
    select: selectionSchema,
    retryBudget: z.number().int().min(0).max(20).describe('Retries for one request over its whole chain.'),
    ratio: z.number().min(0).max(1).default(0.1).describe('Retries per call to a service, on average.'),
  }),
  z.strictObject({
    type: z.literal('limit'),
    select: selectionSchema,
    concurrency: z.number().int().min(1).max(100_000).optional().describe('Upper bound of calls in flight per backend server; its slots when absent.'),
    queueMs: millisecondsSchema(60_000).optional().describe('Longest wait in the queue of a backend server; a share of the remaining deadline when absent.'),
  }),
  z.strictObject({
    type: z.literal('share'),
    select: selectionSchema,
    groups: z.array(groupSchema).min(1).max(1000).describe('Client groups; one that is not listed has weight 1.'),
  }),
  z.strictObject({
    type: z.literal('drain'),
    select: selectionSchema,
    milliseconds: millisecondsSchema(HOUR_MS).describe('Longest time that calls in flight get to finish when a backend server leaves.'),
  }),
]);

/** Schema of a rule. */
export const ruleSchema = z.strictObject({
  kind: z.literal('Rule'),
  name: nameSchema,
  labels: labelsSchema.default({}),
  spec: ruleSpecSchema,
}).describe('A rule that selects services, request kinds and backend servers by label. Where several match, the first in order of name decides.');

/** Schema of an object that operators declare. */
export const declaredObjectSchema = z.discriminatedUnion('kind', [serviceSchema, requestKindSchema, ruleSchema]);

/** Labels that an object must have to be selected. */
export type Selector = z.infer<typeof selectorSchema>;
/** Selectors of services, request kinds and backend servers, which must all match. */
export type Selection = z.infer<typeof selectionSchema>;
/** Service that backend servers provide. */
export type Service = z.infer<typeof serviceSchema>;
/** Kind of request to a service, matched by method and path. */
export type RequestKind = z.infer<typeof requestKindSchema>;
/** Running backend server of a service. */
export type BackendServer = z.infer<typeof backendServerSchema>;
/** Rule for the services, request kinds and backend servers that it selects. */
export type Rule = z.infer<typeof ruleSchema>;
/** Object that operators declare. */
export type DeclaredObject = z.infer<typeof declaredObjectSchema>;
