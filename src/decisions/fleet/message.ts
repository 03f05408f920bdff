/** Schemas of the messages between processes, and the types inferred from them. */
import {z} from 'zod';
import {configurationSchema} from '../../objects/configuration.js';
import {declaredObjectSchema} from '../../objects/schema.js';
import {SYNC_BUCKET_COUNT, UPDATES_PER_MESSAGE, ZONES_MAX} from './constants.js';

const id = z.string().min(1).max(128);
const count = z.number().int().min(0);

/** Schema of the backend server that a process announces. */
export const announcementSchema = z.strictObject({
  service: id,
  slots: count,
  connections: count,
  coldStartMs: z.number().min(0),
  draining: z.boolean(),
  labels: z.record(z.string().max(63), z.string().max(63)).refine(labels => Object.keys(labels).length <= 16, 'use at most 16 labels'),
});

/** Schema of a member's record. */
export const memberRecordSchema = z.strictObject({
  host: id,
  zone: id,
  /** Address of the process, `ip:port`. */
  address: id,
  /** Id of this run of the process. */
  incarnation: id,
  /** Orders the incarnations of a host: the start time, raised above that of any other incarnation seen. */
  generation: count,
  /** Orders the records of one incarnation; only the member itself raises it. */
  version: count,
  state: z.enum(['alive', 'suspect', 'dead', 'left']),
  backend: announcementSchema.optional(),
});

/** Schema of the sender of a message, with the versions of its state. */
export const senderSchema = z.strictObject({
  host: id,
  zone: id,
  address: id,
  incarnation: id,
  generation: count,
  version: count,
  /** Sequence of the configuration in effect. */
  sequence: count,
  /** Hash of the configuration in effect. */
  hash: id,
  /** Hash of the versions of the zone summaries known to the sender. */
  digest: count,
});

const updates = z.array(memberRecordSchema).max(UPDATES_PER_MESSAGE * 2);

/** Schema of a backend server that another zone may send calls to. */
export const zoneContactSchema = z.strictObject({
  host: id, address: id, incarnation: id, slots: count, connections: count, coldStartMs: z.number().min(0),
});

/** Schema of one entry of a zone's summary. */
export const summaryEntrySchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('service'), service: id, version: count, count, slots: count, contacts: z.array(zoneContactSchema).max(8),
  }),
  z.strictObject({
    kind: z.literal('zone'), version: count, relays: z.array(id).max(8), unheard: z.array(id).max(ZONES_MAX),
  }),
]);

/** Schema of the version of a zone's summary; ordered by epoch, publisher and version. */
export const stampSchema = z.strictObject({
  zone: id, epoch: count, publisher: z.string().max(260), version: count,
});

/** Schema of a part of a zone's summary. */
export const summaryPartSchema = z.strictObject({
  stamp: stampSchema,
  /** Version after which the part continues. */
  from: count,
  entries: z.array(summaryEntrySchema),
  /** Whether this is the last part. */
  last: z.boolean(),
});

/** Schema of the difference between a base configuration and the next one. */
export const configurationChangeSchema = z.strictObject({
  baseSequence: count,
  baseHash: id,
  head: configurationSchema.omit({objects: true}),
  /** Objects of the next configuration in order: ranges of the base's objects, and new objects. */
  pieces: z.array(z.union([
    z.strictObject({start: count, count}),
    z.strictObject({put: declaredObjectSchema}),
  ])),
});

/** Schema of the body of a message, by kind. */
export const bodySchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('probe'), probeId: count, updates}),
  z.strictObject({kind: z.literal('ack'), probeId: count, updates}),
  z.strictObject({
    kind: z.literal('probe-request'), probeId: count, target: id, address: id,
  }),
  z.strictObject({
    kind: z.literal('indirect-ack'), probeId: count, target: id, incarnation: id,
  }),
  z.strictObject({kind: z.literal('gossip'), updates}),
  z.strictObject({kind: z.literal('sync'), record: memberRecordSchema, buckets: z.array(count).length(SYNC_BUCKET_COUNT)}),
  z.strictObject({
    kind: z.literal('sync-reply'), records: z.array(memberRecordSchema), buckets: z.array(count).max(SYNC_BUCKET_COUNT), more: z.boolean(),
  }),
  z.strictObject({kind: z.literal('records'), records: z.array(memberRecordSchema)}),
  z.strictObject({kind: z.literal('configuration-pull'), sequence: count, hash: id}),
  z.strictObject({kind: z.literal('configuration-change'), change: configurationChangeSchema}),
  z.strictObject({kind: z.literal('configuration-full'), configuration: configurationSchema}),
  z.strictObject({kind: z.literal('zones-notice')}),
  z.strictObject({kind: z.literal('zones-pull'), stamps: z.array(stampSchema).max(ZONES_MAX)}),
  z.strictObject({kind: z.literal('zones'), parts: z.array(summaryPartSchema).max(ZONES_MAX)}),
  z.strictObject({kind: z.literal('report'), reason: z.string().max(200)}),
]);

/** Schema of a message. */
export const messageSchema = z.strictObject({from: senderSchema, body: bodySchema});

/** Backend server as announced by its process. */
export type Announcement = z.infer<typeof announcementSchema>;
/** Record of a member, as gossip carries it. */
export type MemberRecord = z.infer<typeof memberRecordSchema>;
/** Sender of a message, with the versions of its state. */
export type MessageSender = z.infer<typeof senderSchema>;
/** Process through which another zone reaches a service. */
export type ZoneContact = z.infer<typeof zoneContactSchema>;
/** Entry of a zone summary. */
export type SummaryEntry = z.infer<typeof summaryEntrySchema>;
/** Version of a zone summary. */
export type SummaryStamp = z.infer<typeof stampSchema>;
/** Part of a zone summary. */
export type SummaryPart = z.infer<typeof summaryPartSchema>;
/** Difference between two configurations. */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;
/** Body of a message, by kind. */
export type MessageBody = z.infer<typeof bodySchema>;
/** Message between two processes. */
export type Message = z.infer<typeof messageSchema>;
/** Message with a body of one kind. */
export type ReceivedMessage<Kind extends MessageBody['kind']> = {from: MessageSender; body: Extract<MessageBody, {kind: Kind}>};
