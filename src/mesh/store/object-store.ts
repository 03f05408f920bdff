/** Interface of the platform's object store; the platform adapter implements it. */
import type {Result} from '../../shared/result.js';

/** Object in the store. */
export type StoredObject = {
  name: string;
  /** Revision of the store at the last change of the object. Revisions increase with each change of any object, and whatever is read after a restore of the store from a copy has a higher one than anything before. */
  revision: number;
  value: unknown;
};

/** Error of a store request. */
export type StoreError =
  /** No response, or one that leaves the outcome unknown. */
  | {kind: 'unreachable'; message: string}
  /** The store rejects requests for the moment; nothing was changed. */
  | {kind: 'busy'; message: string}
  /** The object has another revision than expected, or already exists. */
  | {kind: 'conflict'; message: string; current: StoredObject | undefined}
  | {kind: 'not-found'; message: string}
  /** The store no longer holds the history from the requested revision on, because it has dropped it or has been restored from a copy. */
  | {kind: 'history-gone'; message: string}
  | {kind: 'rejected'; message: string};

/** Change of an object. */
export type StoreEvent = {kind: 'changed' | 'deleted'; object: StoredObject};

/** Client of the object store. */
export type ObjectStore = {
  /** Lists all objects of a kind, with the revision from which a watch has to continue. Each request fails after `timeoutMs`. */
  list: (kind: string, timeoutMs?: number) => Promise<Result<{objects: StoredObject[]; revision: number}, StoreError>>;
  /** Creates an object; fails as unreachable after `timeoutMs`, in which case it may be created later. */
  create: (kind: string, name: string, value: unknown, timeoutMs?: number) => Promise<Result<StoredObject, StoreError>>;
  /** Replaces the value of an object; as with `create`, it may be replaced after the timeout. */
  replace: (kind: string, name: string, value: unknown, expectedRevision: number, timeoutMs?: number) => Promise<Result<StoredObject, StoreError>>;
  remove: (kind: string, name: string, expectedRevision: number) => Promise<Result<undefined, StoreError>>;
  /** Waits up to `waitMs` for changes after a revision; the response may take `marginMs` longer. */
  watch: (kind: string, revision: number, waitMs: number, marginMs?: number) => Promise<Result<{events: StoreEvent[]; revision: number}, StoreError>>;
  close: () => void;
};
