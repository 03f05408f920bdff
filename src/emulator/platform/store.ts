/** Objects of the emulated platform: versions, conditional writes and a history of changes. */
import {Buffer} from 'node:buffer';
import type {PlatformObject} from '../../platform/client.js';
import {fail, ok, type Result} from '../../shared/result.js';

/** Largest value, in bytes of JSON. */
export const VALUE_MAX_BYTES = 1_048_576;

/** Condition under which a write or deletion takes effect. */
export type Condition = {kind: 'absent'} | {kind: 'version'; version: number};

/** Change of an object, as watches report it. */
export type Change =
  | {type: 'changed'; version: number; object: PlatformObject}
  | {type: 'deleted'; version: number; kind: string; name: string};

/** Why a write or deletion did not take effect. */
export type StoreError =
  | {kind: 'conflict'; current: PlatformObject | undefined}
  | {kind: 'too-large'; bytes: number};

/** Copy of all objects and of the version counter at one moment. */
export type Snapshot = {version: number; objects: readonly PlatformObject[]};

/** Store of the emulated platform. */
export type Store = {
  version: () => number;
  read: (kind: string, name: string) => PlatformObject | undefined;
  list: (kind: string) => PlatformObject[];
  write: (kind: string, name: string, value: unknown, condition: Condition) => Result<PlatformObject, StoreError>;
  remove: (kind: string, name: string, condition: Condition) => Result<number, StoreError>;
  /** Changes of a kind after a version, or undefined when the history does not reach back or the version lies ahead. */
  changesAfter: (kind: string, version: number) => Change[] | undefined;
  snapshot: () => Snapshot;
  /** Returns to a snapshot, version counter included, as a restore from a backup does. */
  restore: (snapshot: Snapshot) => void;
};

const objectKey = (kind: string, name: string): string => `${kind}/${name}`;

const isConditionMet = (condition: Condition, current: PlatformObject | undefined): boolean =>
  condition.kind === 'absent' ? current === undefined : current?.version === condition.version;

const objectKindOf = (change: Change): string => change.type === 'changed' ? change.object.kind : change.kind;

/**
Creates an empty store.

@param historyLimit - Number of changes that watches can resume over.
*/
export const createStore = (historyLimit: number): Store => {
  let version = 0;
  let objects = new Map<string, PlatformObject>();
  let history: Change[] = [];
  /** Version before the oldest change in the history. */
  let historyStart = 0;

  const appendToHistory = (change: Change): void => {
    history.push(change);
    const excess = history.length - historyLimit;
    if (excess > 0) {
      historyStart = history[excess - 1]!.version;
      history = history.slice(excess);
    }
  };

  return {
    version: () => version,
    read: (kind, name) => objects.get(objectKey(kind, name)),
    list: kind => [...objects.values()].filter(object => object.kind === kind),
    write(kind, name, value, condition) {
      const bytes = Buffer.byteLength(JSON.stringify(value));
      if (bytes > VALUE_MAX_BYTES) {
        return fail({kind: 'too-large', bytes});
      }

      const current = objects.get(objectKey(kind, name));
      if (!isConditionMet(condition, current)) {
        return fail({kind: 'conflict', current});
      }

      version += 1;
      const object = {
        kind, name, version, value,
      };
      objects.set(objectKey(kind, name), object);
      appendToHistory({type: 'changed', version, object});
      return ok(object);
    },
    remove(kind, name, condition) {
      const current = objects.get(objectKey(kind, name));
      if (current === undefined || !isConditionMet(condition, current)) {
        return fail({kind: 'conflict', current});
      }

      version += 1;
      objects.delete(objectKey(kind, name));
      appendToHistory({
        type: 'deleted', version, kind, name,
      });
      return ok(version);
    },
    changesAfter: (kind, after) => after < historyStart || after > version
      ? undefined
      : history.filter(change => change.version > after && objectKindOf(change) === kind),
    snapshot: () => ({version, objects: [...objects.values()]}),
    restore(snapshot) {
      version = snapshot.version;
      objects = new Map(snapshot.objects.map(object => [objectKey(object.kind, object.name), object]));
      history = [];
      historyStart = version;
    },
  };
};
