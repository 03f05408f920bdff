/** The platform's object store as the fleet uses it; the adapter provides it. */
import type {Result} from '../shared/result.js';

/** Object of the store. */
export type StoredObject = {
  name: string;
  /** Grows with each change of any object. */
  revision: number;
  value: unknown;
};

/** Why a call to the store failed. */
export type StoreError =
  /** No answer, or one that says nothing of the outcome. */
  | {kind: 'unreachable'; message: string}
  /** The store refuses calls for the moment; nothing was done. */
  | {kind: 'busy'; message: string}
  /** The object is not as expected. */
  | {kind: 'conflict'; message: string; current: StoredObject | undefined}
  | {kind: 'not-found'; message: string}
  /** The history that a watch asks for is gone. */
  | {kind: 'history-gone'; message: string}
  | {kind: 'rejected'; message: string};

/** Change of an object. */
export type StoreEvent = {kind: 'changed' | 'deleted'; object: StoredObject};

/** The store. */
export type ObjectStore = {
  /** All objects of a kind, and the revision from which a watch continues. */
  list: (kind: string) => Promise<Result<{objects: StoredObject[]; revision: number}, StoreError>>;
  create: (kind: string, name: string, value: unknown) => Promise<Result<StoredObject, StoreError>>;
  replace: (kind: string, name: string, value: unknown, expectedRevision: number) => Promise<Result<StoredObject, StoreError>>;
  remove: (kind: string, name: string, expectedRevision: number) => Promise<Result<undefined, StoreError>>;
  /** Waits for changes after a revision, `waitMs` at most. */
  watch: (kind: string, revision: number, waitMs: number) => Promise<Result<{events: StoreEvent[]; revision: number}, StoreError>>;
  close: () => void;
};
