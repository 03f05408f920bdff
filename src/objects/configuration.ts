/** One accepted version of the declared objects, as the platform holds it and processes exchange it. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {gunzipSync, gzipSync} from 'node:zlib';
import {z} from 'zod';
import {fail, ok, type Result} from '../shared/result.js';
import {declaredObjectSchema, type DeclaredObject} from './schema.js';

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
  /** Id of the write, by which its writer recognises it when the platform's response was lost. */
  writeId: z.string().max(100),
  objects: z.array(declaredObjectSchema),
});

/** One accepted version of the declared objects. */
export type Configuration = z.infer<typeof configurationSchema>;

/** Platform object kind and name that hold the configuration. */
export const CONFIGURATION_KIND = 'Configuration';
/** Name of the platform object that holds the configuration. */
export const CONFIGURATION_NAME = 'head';

const byKindAndName = (a: DeclaredObject, b: DeclaredObject): number => {
  const left = `${a.kind}/${a.name}`;
  const right = `${b.kind}/${b.name}`;
  return left === right ? 0 : (left < right ? -1 : 1);
};

/** Sorts objects by kind and name, the order in which a configuration holds them. */
export const sortObjects = (objects: readonly DeclaredObject[]): DeclaredObject[] => [...objects].sort(byKindAndName);

const withSortedKeys = (_key: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1))
    : value;

/** Writes a value so that equal content gives equal text, whatever the order of its keys. */
export const canonicalJson = (value: unknown): string => JSON.stringify(value, withSortedKeys);

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

/** Schema of a configuration as the platform holds it; large ones are compressed. */
const storedSchema = configurationSchema.omit({objects: true}).extend({
  objects: z.array(declaredObjectSchema).optional(),
  /** Objects as JSON, gzip and base64. */
  packedObjects: z.string().optional(),
});

// The 2,900 services of the target need about 2 MB of plain JSON, more than the platform stores in one value.
// Smaller configurations stay readable with the platform's own tools.
const PACK_ABOVE_CHARACTERS = 262_144;

// Bounds the memory that a damaged or hostile value can take when it is unpacked.
const UNPACKED_MAX_BYTES = 33_554_432;

/** Why a value of the platform is no configuration. */
export type ConfigurationFault = {kind: 'malformed-configuration'; message: string};

/** Turns a configuration into the value that the platform stores. */
export const encodeConfiguration = (configuration: Configuration): unknown => {
  const text = JSON.stringify(configuration.objects);
  if (text.length <= PACK_ABOVE_CHARACTERS) {
    return configuration;
  }

  const {objects, ...rest} = configuration;
  return {...rest, packedObjects: gzipSync(text).toString('base64')};
};

const unpack = (packed: string): unknown =>
  JSON.parse(gunzipSync(Buffer.from(packed, 'base64'), {maxOutputLength: UNPACKED_MAX_BYTES}).toString());

const malformed = (detail: string) => fail({
  kind: 'malformed-configuration',
  message: `the configuration on the platform cannot be read (${detail}); use the same release everywhere, or apply the objects again from their files`,
} as const);

/** Reads a configuration from the value that the platform stores and checks its hash. */
export const decodeConfiguration = (value: unknown): Result<Configuration, ConfigurationFault> => {
  try {
    const {packedObjects, ...stored} = storedSchema.parse(value);
    const configuration = configurationSchema.parse(packedObjects === undefined ? stored : {...stored, objects: unpack(packedObjects)});
    return hashObjects(configuration.objects) === configuration.hash ? ok(configuration) : malformed('its hash does not match its objects');
  } catch (error) {
    return malformed(error instanceof z.ZodError ? z.prettifyError(error) : String(error));
  }
};
