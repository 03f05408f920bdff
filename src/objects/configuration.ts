/** One accepted version of the declared objects, as the platform holds it and processes exchange it. */
import {createHash} from 'node:crypto';
import {z} from 'zod';
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

/** Hashes objects; equal content has an equal hash. */
export const hashObjects = (objects: readonly DeclaredObject[]): string =>
  createHash('sha256').update(JSON.stringify(objects)).digest('base64url');

/** Configuration of a deployment that has none yet. */
export const emptyConfiguration: Configuration = {
  sequence: 0,
  hash: hashObjects([]),
  acceptedAt: 0,
  author: '',
  writeId: '',
  objects: [],
};
