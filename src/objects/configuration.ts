/** Configuration: one accepted version of the declared objects, as the platform stores it and processes exchange it. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {gunzipSync, gzipSync} from 'node:zlib';
import {z} from 'zod';
import {fail, ok, type Result} from '../shared/result.js';
import {declaredObjectSchema, type DeclaredObject} from './schema.js';

/** Schema of the last change of one object. */
const objectChangeSchema = z.strictObject({
  /** Sequence of the configuration that it came with. */
  sequence: z.number().int().min(0),
  author: z.string().max(200),
  /** Time of the write, in milliseconds since the Unix epoch, by the writer's clock. */
  at: z.number(),
});

/** Last change of one object: the configuration that it came with, its author and its time. */
export type ObjectChange = z.infer<typeof objectChangeSchema>;

/** Schema of a configuration. */
export const configurationSchema = z.strictObject({
  /** Order of acceptance; a process only ever replaces a configuration by one with a higher sequence. */
  sequence: z.number().int().min(0),
  /** Hash of the objects. */
  hash: z.string(),
  /** Time of the write, in milliseconds since the Unix epoch, by the writer's clock. */
  acceptedAt: z.number(),
  /** Who applied it. */
  author: z.string().max(200),
  /** Id of the write. When the platform's response is lost, the writer reads it back to find out whether the write was accepted. */
  writeId: z.string().max(100),
  objects: z.array(declaredObjectSchema),
  /** Last change of each object, by `kind/name`, removed objects included; used to detect conflicts between operators. */
  changes: z.record(z.string(), objectChangeSchema).optional(),
});

/** One accepted version of the declared objects. */
export type Configuration = z.infer<typeof configurationSchema>;

/** Kind of the platform object that holds the configuration. */
export const CONFIGURATION_KIND = 'Configuration';
/** Name of the platform object that holds the configuration. */
export const CONFIGURATION_NAME = 'head';

/** Identifies an object within a configuration, `kind/name`. */
export const objectKey = (object: {kind: string; name: string}): string => `${object.kind}/${object.name}`;

const byKindAndName = (a: DeclaredObject, b: DeclaredObject): number => {
  const left = objectKey(a);
  const right = objectKey(b);
  return left === right ? 0 : (left < right ? -1 : 1);
};

/** Sorts objects by kind and name, the order in which a configuration holds them. */
export const sortObjects = (objects: readonly DeclaredObject[]): DeclaredObject[] => [...objects].sort(byKindAndName);

const sortObjectKeys = (_key: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1))
    : value;

/** Serializes a value as JSON with sorted keys, so that equal values give equal text. */
export const canonicalJson = (value: unknown): string => JSON.stringify(value, sortObjectKeys);

/** Hashes objects; equal content has an equal hash, whatever the order of objects and keys. */
export const hashObjects = (objects: readonly DeclaredObject[]): string =>
  createHash('sha256').update(canonicalJson(sortObjects(objects))).digest('base64url');

/** Configuration of a deployment that has none yet. */
export const emptyConfiguration: Configuration = {
  sequence: 0,
  hash: hashObjects([]),
  acceptedAt: 0,
  author: '',
  writeId: '',
  objects: [],
};

/** Schema of a configuration as the platform stores it; large ones are compressed. */
const storedConfigurationSchema = configurationSchema.omit({objects: true}).extend({
  objects: z.array(declaredObjectSchema).optional(),
  /** Objects of a large configuration, as JSON compressed with gzip and encoded in base64. */
  packedObjects: z.string().optional(),
});

// The target fleet of 2,900 services needs about 2 MB of plain JSON, more than the platform stores in one value (1 MB).
// Smaller configurations are not compressed, so that they stay readable with the platform's own tools.
const COMPRESS_ABOVE_CHARACTERS = 262_144;

// Limits the memory that a corrupt or malicious value can take when it is decompressed.
const DECOMPRESSED_MAX_BYTES = 33_554_432;

// Each entry takes about 100 bytes of the 1 MB that a configuration may have. At 33,000 changes a day, 500 entries cover
// 20 minutes; an edit that is based on an older configuration is a conflict, and the operator reads the objects again.
const CHANGES_MAX = 500;

/** Records a change of the given objects and keeps the newest entries. */
export const addChanges = (configuration: Configuration, keys: readonly string[], change: ObjectChange): Record<string, ObjectChange> => {
  const entries = Object.entries({...configuration.changes, ...Object.fromEntries(keys.map(key => [key, change]))});
  return Object.fromEntries(entries.sort(([, a], [, b]) => b.sequence - a.sequence).slice(0, CHANGES_MAX));
};

/** Returns the last change of an object. If it is no longer recorded, returns the latest that it can have been, with an unknown author. */
export const lastChange = (configuration: Configuration, key: string): ObjectChange => {
  const {changes, sequence, author, acceptedAt} = configuration;
  const retained = Object.values(changes ?? {});
  if (changes === undefined) {
    return {sequence, author, at: acceptedAt};
  }

  const unknownChange = {sequence: 0, author: 'unknown', at: 0};
  const oldest = retained.sort((a, b) => a.sequence - b.sequence)[0] ?? unknownChange;
  return changes[key] ?? (retained.length < CHANGES_MAX ? unknownChange : {...unknownChange, sequence: oldest.sequence, at: oldest.at});
};

/** Reason why a value read from the platform is not a configuration. */
export type ConfigurationError = {kind: 'malformed-configuration'; message: string};

/** Encodes a configuration as the value that the platform stores. */
export const encodeConfiguration = (configuration: Configuration): unknown => {
  const text = JSON.stringify(configuration.objects);
  if (text.length <= COMPRESS_ABOVE_CHARACTERS) {
    return configuration;
  }

  const {objects, ...rest} = configuration;
  return {...rest, packedObjects: gzipSync(text).toString('base64')};
};

const decompress = (compressed: string): unknown =>
  JSON.parse(gunzipSync(Buffer.from(compressed, 'base64'), {maxOutputLength: DECOMPRESSED_MAX_BYTES}).toString());

const malformedError = (detail: string) => fail({
  kind: 'malformed-configuration',
  message: `the configuration on the platform cannot be read (${detail}); use the same release everywhere, or apply the objects again from their files`,
} as const);

/** Decodes a configuration from the value that the platform stores and checks its hash. */
export const decodeConfiguration = (value: unknown): Result<Configuration, ConfigurationError> => {
  try {
    const {packedObjects, ...stored} = storedConfigurationSchema.parse(value);
    const configuration = configurationSchema.parse(packedObjects === undefined ? stored : {...stored, objects: decompress(packedObjects)});
    return hashObjects(configuration.objects) === configuration.hash ? ok(configuration) : malformedError('its hash does not match its objects');
  } catch (error) {
    return malformedError(error instanceof z.ZodError ? z.prettifyError(error) : String(error));
  }
};
