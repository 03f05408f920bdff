/** In-memory object store of the platform emulator, with versions, conditional writes and a history of changes. */
import {Buffer} from 'node:buffer';
import type {PlatformObject} from '../../platform/client.js';
import {fail, ok, type Result} from '../../shared/result.js';

/** Maximum size of a value, in bytes of JSON. */
export const VALUE_MAX_BYTES = 1_048_576;

/** Precondition of a write or deletion: the object does not exist, or has the given version. */
export type Condition = {kind: 'absent'} | {kind: 'version'; version: number};

/** Change of an object, as sent to watches. */
export type Change =
  | {type: 'changed'; version: number; object: PlatformObject}
  | {type: 'deleted'; version: number; kind: string; name: string};

/** Reason why a write or deletion was rejected. */
export type StoreError =
  | {kind: 'conflict'; current: PlatformObject | undefined}
  | {kind: 'too-large'; bytes: number};

/** Copy of all objects and of the version counter. */
export type Snapshot = {version: number; objects: readonly PlatformObject[]};

/** Versioned object store; every write and deletion increments one version counter. */
export type Store = {
  version: () => number;
  read: (kind: string, name: string) => PlatformObject | undefined;
  list: (kind: string) => PlatformObject[];
  write: (kind: string, name: string, value: unknown, condition: Condition) => Result<PlatformObject, StoreError>;
  remove: (kind: string, name: string, condition: Condition) => Result<number, StoreError>;
  /** Changes of a kind after a version; undefined if the history no longer covers that version, or if it is newer than the current one. */
  changesAfter: (kind: string, version: number) => Change[] | undefined;
  snapshot: () => Snapshot;
  /** Restores a snapshot including its version counter, as a restore from a backup does, and clears the history. */
  restore: (snapshot: Snapshot) => void;
};

const objectKey = (kind: string, name: string): string => `${kind}/${name}`;

const isConditionMet = (condition: Condition, current: PlatformObject | undefined): boolean =>
  condition.kind === 'absent' ? current === undefined : current?.version === condition.version;

const objectKindOf = (change: Change): string => change.type === 'changed' ? change.object.kind : change.kind;

/**
Creates an empty store.

@param historyLimit - Number of past changes kept, from which a watch can resume.
*/
export const createStore = (historyLimit: number): Store => {
  let version = 0;
  let objects = new Map<string, PlatformObject>();
  let history: Change[] = [];
  /** Oldest version from which the history covers all later changes. */
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
