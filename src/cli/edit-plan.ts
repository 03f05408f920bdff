/** Compares an operator's edit with a configuration. */
import {
  canonicalJson, lastChange, objectKey, sortObjects, type ObjectChange, type Configuration,
} from '../objects/configuration.js';
import type {DeclaredObject} from '../objects/schema.js';

/** Edit that an operator makes to the objects. */
export type Edit = {
  /** Objects to create or replace. */
  put: readonly DeclaredObject[];
  /** Objects to remove, by `kind/name`. */
  remove: readonly string[];
  /** Whether objects that are not in `put` are removed. */
  prune: boolean;
};

/** Difference that an edit makes to one object. */
export type Difference =
  | {kind: 'created'; key: string; after: DeclaredObject}
  | {kind: 'updated'; key: string; before: DeclaredObject; after: DeclaredObject}
  | {kind: 'removed'; key: string; before: DeclaredObject};

/** Objects after an edit, and the differences that it makes. */
export type EditPlan = {objects: DeclaredObject[]; differences: Difference[]};

const indexByKey = (objects: readonly DeclaredObject[]): Map<string, DeclaredObject> =>
  new Map(objects.map(object => [objectKey(object), object]));

const compareObjects = (key: string, before: DeclaredObject | undefined, after: DeclaredObject | undefined): Difference[] => {
  if (after === undefined) {
    return before === undefined ? [] : [{kind: 'removed', key, before}];
  }

  if (before === undefined) {
    return [{kind: 'created', key, after}];
  }

  return canonicalJson(before) === canonicalJson(after)
    ? []
    : [{
      kind: 'updated', key, before, after,
    }];
};

/** Applies an edit to the objects of a configuration. */
export const planEdit = (configuration: Configuration, edit: Edit): EditPlan => {
  const before = indexByKey(configuration.objects);
  const put = indexByKey(edit.put);
  const after = new Map(edit.prune ? put : [...before, ...put]);
  for (const key of edit.remove) {
    after.delete(key);
  }

  const keys = [...new Set([...before.keys(), ...after.keys()])].sort();
  return {
    objects: sortObjects([...after.values()]),
    differences: keys.flatMap(key => compareObjects(key, before.get(key), after.get(key))),
  };
};

/** Conditions under which an edit may replace existing objects. */
export type WritePreconditions = {
  /** Sequence of the configuration that was edited, if the operator stated it. */
  baseSequence: number | undefined;
  /** Sequence at the first read of this command; what changed later is a conflict in any case. */
  firstSequence: number;
  author: string;
  /** Whether the operator asked to replace the changes of others. */
  overwrite: boolean;
};

/** Change of another operator that an edit would overwrite. */
export type OverwrittenChange = {key: string; change: ObjectChange};

/**
Lists the changes of others that an edit would overwrite.

With a base sequence, an object may be replaced when it has not changed since. Without one, an object may be created when
it does not exist, and replaced when its last change was by the same author: otherwise the second of two edits of the same
state would overwrite the first one.
*/
export const findOverwrittenChanges = (configuration: Configuration, plan: EditPlan, preconditions: WritePreconditions): OverwrittenChange[] => {
  const {baseSequence, firstSequence, author, overwrite} = preconditions;
  return plan.differences
    .map(({kind, key}) => ({kind, key, change: lastChange(configuration, key)}))
    .filter(({kind, change}) => {
      if (change.sequence > firstSequence) {
        return true;
      }

      if (overwrite) {
        return false;
      }

      return baseSequence === undefined ? kind !== 'created' && change.author !== author : change.sequence > baseSequence;
    })
    .map(({key, change}) => ({key, change}));
};

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null;

const formatValue = (value: unknown): string => value === undefined ? 'nothing' : canonicalJson(value);

/** Lists the fields that differ, one per line. */
export const listFieldDifferences = (before: unknown, after: unknown, path = ''): string[] => {
  if (canonicalJson(before) === canonicalJson(after)) {
    return [];
  }

  if (!isRecord(before) || !isRecord(after)) {
    return [`${path}: ${formatValue(before)} -> ${formatValue(after)}`];
  }

  return [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
    .flatMap(key => listFieldDifferences(before[key], after[key], path === '' ? key : `${path}.${key}`));
};

/** Formats a difference as the lines that `diff` shows. */
export const formatDifference = (difference: Difference): string[] => {
  switch (difference.kind) {
    case 'created': {
      return [`+ ${difference.key}`];
    }

    case 'removed': {
      return [`- ${difference.key}`];
    }

    case 'updated': {
      return [`~ ${difference.key}`, ...listFieldDifferences(difference.before, difference.after).map(line => `    ${line}`)];
    }
  }
};
