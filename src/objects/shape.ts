/** Checks the shape of one declared object against its schema. */
import type {z} from 'zod';
import {fail, ok, type Result} from '../shared/result.js';
import {pathText, type ObjectFault} from './fault.js';
import {DECLARED_KINDS, fieldsAt, memberOf} from './fields.js';
import {suggest} from './nearest.js';
import {declaredObjectSchema, type DeclaredObject} from './schema.js';

type Issue = z.core.$ZodIssue;

const valueAt = (value: unknown, path: readonly PropertyKey[]): unknown => {
  let current = value;
  for (const key of path) {
    current = memberOf(current, key);
  }

  return current;
};

const labelOf = (input: unknown, position: number): string => {
  const kind = memberOf(input, 'kind');
  const name = memberOf(input, 'name');
  return typeof kind === 'string' && typeof name === 'string' ? `${kind}/${name}` : `object ${position + 1}`;
};

const namesOf = (values: readonly unknown[]): string[] => values.map(String);

const remedyOf = (issue: Issue, found: unknown): string => {
  switch (issue.code) {
    case 'invalid_value': {
      return suggest(found, namesOf(issue.values)) ?? issue.message;
    }

    case 'invalid_union': {
      return suggest(found, namesOf('options' in issue && Array.isArray(issue.options) ? issue.options : [])) ?? issue.message;
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

const messageOf = (issue: Issue, found: unknown): string => {
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

const faultsOf = (issue: Issue, input: unknown, object: string): ObjectFault[] => {
  const found = valueAt(input, issue.path);
  if (issue.code !== 'unrecognized_keys') {
    return [{
      severity: 'error', object, path: pathText(issue.path), found, message: messageOf(issue, found), remedy: remedyOf(issue, found),
    }];
  }

  const fields = fieldsAt(String(memberOf(input, 'kind')), issue.path, input);
  return issue.keys.map(key => ({
    severity: 'error',
    object,
    path: pathText([...issue.path, key]),
    found: memberOf(found, key),
    message: 'there is no such field',
    remedy: suggest(key, fields) ?? 'remove it',
  }));
};

const announcedFault = (object: string): ObjectFault => ({
  severity: 'error',
  object,
  path: 'kind',
  found: 'BackendServer',
  message: 'backend servers announce themselves',
  remedy: `remove it; declared kinds are: ${DECLARED_KINDS.join(', ')}`,
});

/**
Parses one object and lists all faults of its shape.

@param position - Position in the input, from 0, which names an object that has no name.
*/
export const parseObject = (input: unknown, position: number): Result<DeclaredObject, ObjectFault[]> => {
  const object = labelOf(input, position);
  if (memberOf(input, 'kind') === 'BackendServer') {
    return fail([announcedFault(object)]);
  }

  const parsed = declaredObjectSchema.safeParse(input);
  return parsed.success ? ok(parsed.data) : fail(parsed.error.issues.flatMap(issue => faultsOf(issue, input, object)));
};
