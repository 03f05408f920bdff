/** Parses one declared object by its schema. */
import type {z} from 'zod';
import {fail, ok, type Result} from '../shared/result.js';
import {formatPath, type ObjectDiagnostic} from './diagnostic.js';
import {DECLARED_KINDS, listFieldsAt, getProperty} from './json-schema.js';
import {suggestCorrection} from './suggestion.js';
import {declaredObjectSchema, type DeclaredObject} from './schema.js';

type ZodIssue = z.core.$ZodIssue;

const valueAt = (value: unknown, path: readonly PropertyKey[]): unknown => {
  let current = value;
  for (const key of path) {
    current = getProperty(current, key);
  }

  return current;
};

const identifyObject = (input: unknown, position: number): string => {
  const kind = getProperty(input, 'kind');
  const name = getProperty(input, 'name');
  return typeof kind === 'string' && typeof name === 'string' ? `${kind}/${name}` : `object ${position + 1}`;
};

const toStrings = (values: readonly unknown[]): string[] => values.map(String);

const formatRemedy = (issue: ZodIssue, found: unknown): string => {
  switch (issue.code) {
    case 'invalid_value': {
      return suggestCorrection(found, toStrings(issue.values)) ?? issue.message;
    }

    case 'invalid_union': {
      return suggestCorrection(found, toStrings('options' in issue && Array.isArray(issue.options) ? issue.options : [])) ?? issue.message;
    }

    case 'invalid_type': {
      return found === undefined ? `add it, with a value of type ${issue.expected}` : `use a value of type ${issue.expected}`;
    }

    case 'too_small': {
      return `use at least ${issue.minimum}`;
    }

    case 'too_big': {
      return `use at most ${issue.maximum}`;
    }

    case 'custom':
    case 'invalid_element':
    case 'invalid_format':
    case 'invalid_key':
    case 'not_multiple_of':
    case 'unrecognized_keys': {
      return issue.message;
    }
  }
};

const formatMessage = (issue: ZodIssue, found: unknown): string => {
  switch (issue.code) {
    case 'invalid_type':
    case 'invalid_union':
    case 'invalid_value': {
      return found === undefined ? 'the field is missing' : 'the value is not allowed';
    }

    case 'too_small': {
      return 'the value is too small or too short';
    }

    case 'too_big': {
      return 'the value is too large or too long';
    }

    case 'custom':
    case 'invalid_element':
    case 'invalid_format':
    case 'invalid_key':
    case 'not_multiple_of':
    case 'unrecognized_keys': {
      return 'the value is not allowed';
    }
  }
};

const toDiagnostics = (issue: ZodIssue, input: unknown, object: string): ObjectDiagnostic[] => {
  const found = valueAt(input, issue.path);
  if (issue.code !== 'unrecognized_keys') {
    return [{
      severity: 'error', object, path: formatPath(issue.path), found, message: formatMessage(issue, found), remedy: formatRemedy(issue, found),
    }];
  }

  const fields = listFieldsAt(String(getProperty(input, 'kind')), issue.path, input);
  return issue.keys.map(key => ({
    severity: 'error',
    object,
    path: formatPath([...issue.path, key]),
    found: getProperty(found, key),
    message: 'there is no such field',
    remedy: suggestCorrection(key, fields) ?? 'remove it',
  }));
};

const declaredBackendServerError = (object: string): ObjectDiagnostic => ({
  severity: 'error',
  object,
  path: 'kind',
  found: 'BackendServer',
  message: 'backend servers announce themselves',
  remedy: `remove it; declared kinds are: ${DECLARED_KINDS.join(', ')}`,
});

/**
Parses one object; on failure, returns everything that its schema does not allow.

@param position - Position in the input, from 0, by which diagnostics refer to an object without kind or name.
*/
export const parseObject = (input: unknown, position: number): Result<DeclaredObject, ObjectDiagnostic[]> => {
  const object = identifyObject(input, position);
  if (getProperty(input, 'kind') === 'BackendServer') {
    return fail([declaredBackendServerError(object)]);
  }

  const parsed = declaredObjectSchema.safeParse(input);
  return parsed.success ? ok(parsed.data) : fail(parsed.error.issues.flatMap(issue => toDiagnostics(issue, input, object)));
};
