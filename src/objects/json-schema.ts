/** Fields of the declared objects, taken from the JSON Schema that zod derives. */
import {z} from 'zod';
import {
  backendServerSchema, requestKindSchema, ruleSchema, serviceSchema,
} from './schema.js';

/** Part of a JSON Schema that validation messages and the reference page use. */
export type JsonSchema = {
  type?: string;
  description?: string;
  default?: unknown;
  const?: string;
  enum?: readonly string[];
  pattern?: string;
  properties?: Readonly<Record<string, JsonSchema>>;
  required?: readonly string[];
  additionalProperties?: JsonSchema | boolean;
  items?: JsonSchema;
  oneOf?: readonly JsonSchema[];
  minimum?: number;
  maximum?: number;
  minItems?: number;
  maxItems?: number;
  minLength?: number;
  maxLength?: number;
};

const toJsonSchema = (schema: z.ZodType): JsonSchema => z.toJSONSchema(schema, {io: 'input'}) as JsonSchema;

/** JSON Schema of each kind of object. */
export const KIND_SCHEMAS: Readonly<Record<string, JsonSchema>> = {
  Service: toJsonSchema(serviceSchema),
  RequestKind: toJsonSchema(requestKindSchema),
  Rule: toJsonSchema(ruleSchema),
  BackendServer: toJsonSchema(backendServerSchema),
};

/** Kinds that operators declare. */
export const DECLARED_KINDS: readonly string[] = ['Service', 'RequestKind', 'Rule'];

/** Returns a member of a value, or undefined when it has none of that key. */
export const getProperty = (value: unknown, key: PropertyKey): unknown =>
  typeof value === 'object' && value !== null ? (value as Record<PropertyKey, unknown>)[key] : undefined;

const matchingVariant = (schema: JsonSchema, value: unknown): JsonSchema =>
  schema.oneOf?.find(variant => variant.properties?.type?.const === getProperty(value, 'type')) ?? schema;

/** Lists the fields that an object of a kind may have at a path. */
export const listFieldsAt = (kind: string, path: readonly PropertyKey[], object: unknown): string[] => {
  let schema: JsonSchema | undefined = KIND_SCHEMAS[kind];
  let value = object;
  for (const key of path) {
    schema = typeof key === 'number' ? schema?.items : schema?.properties?.[String(key)];
    value = getProperty(value, key);
    schema &&= matchingVariant(schema, value);
  }

  return Object.keys(schema?.properties ?? {});
};
