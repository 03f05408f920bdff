/** Keeps a local copy of one kind of objects in the store: lists, then watches, and lists again when the store has dropped the history. */
import type {Random} from '../shared/random.js';
import type {DecisionLog} from './decision-log.js';
import type {
  ObjectStore, StoredObject, StoreError, StoreEvent,
} from './object-store.js';

/** What was read from the store, with all objects of the kind and the revision of the store that they reflect. */
export type ObjectChange =
  | {kind: 'listed'; objects: ReadonlyMap<string, StoredObject>; revision: number}
  /** `events` are all changes after revision `since`, which is that of the previous report. */
  | {kind: 'changed'; objects: ReadonlyMap<string, StoredObject>; revision: number; since: number; events: readonly StoreEvent[]};

/** Options of an object watcher. */
export type ObjectWatcherOptions = {
  kind: string;
  store: ObjectStore;
  log: DecisionLog;
  random: Random;
  /** Called after each list and each change. */
  onChange: (change: ObjectChange) => void;
  /** Called after each response of the store, also when nothing has changed. */
  onRead: () => void;
  /** Whether the store is to be read now; while not, it gets no requests after the first list. The next read begins with a list. */
  isActive: () => boolean;
  /** Time between a list or a change and the next request, in milliseconds, so that changes in quick succession cost one request. @default 0 */
  batchMs?: number;
  sleep?: (milliseconds: number) => Promise<void>;
};

/** Longest wait of one watch request, in milliseconds. The store allows 30 s, but a silent connection must be detected before the store drops the history. */
export const WATCH_MS = 9000;
/** Wait of the first watch request after an interruption, in milliseconds: the store may have been restored meanwhile, and its response is to show that at once. */
const RESUMED_WATCH_MS = 1;
/** Interval at which an inactive watcher checks whether it has become active, in milliseconds. */
const INACTIVE_POLL_MS = 100;
const BACKOFF_MIN_MS = 100;
/** Longest backoff after an error, in milliseconds: the contents of the store must be in force about two seconds after it is reachable again. */
const BACKOFF_MAX_MS = 1000;

const defaultSleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
  setTimeout(resolve, milliseconds);
});

/** Starts a watcher that runs until `stop` is called. */
export const startObjectWatcher = (options: ObjectWatcherOptions): {stop: () => void; isSynced: () => boolean} => {
  const {kind, store, log, random} = options;
  const sleep = options.sleep ?? defaultSleep;
  const objects = new Map<string, StoredObject>();
  let stopped = false;
  let synced = false;
  /** A process that starts has to know at once what the store holds. */
  let listedOnce = false;
  /** Revision of the last report; a watch without events moves the revision to continue from, but reports nothing. */
  let reportedRevision = 0;
  let backoffMs = BACKOFF_MIN_MS;
  /** Pause before the next list if the history is gone again before a watch has succeeded, in milliseconds. */
  let relistDelayMs = 0;

  const handleError = async (error: StoreError, during: string): Promise<void> => {
    if (synced) {
      log.write('warn', 'store-lost', {
        kind, during, fault: error.kind, cause: error.message,
      });
    }

    synced = false;
    log.count('store_faults', error.kind);
    await sleep(backoffMs * (0.5 + random()));
    backoffMs = Math.min(BACKOFF_MAX_MS, backoffMs * 2);
  };

  const markSynced = (revision: number): void => {
    backoffMs = BACKOFF_MIN_MS;
    options.onRead();
    if (!synced) {
      synced = true;
      log.write('info', 'store-reached', {kind, revision});
    }
  };

  const list = async (): Promise<number | undefined> => {
    const listed = await store.list(kind);
    if (listed.kind === 'error') {
      await handleError(listed.error, 'list');
      return undefined;
    }

    markSynced(listed.value.revision);
    listedOnce = true;
    objects.clear();
    for (const object of listed.value.objects) {
      objects.set(object.name, object);
    }

    reportedRevision = listed.value.revision;
    options.onChange({kind: 'listed', objects, revision: listed.value.revision});
    await sleep(options.batchMs ?? 0);
    return listed.value.revision;
  };

  const watch = async (revision: number): Promise<number | undefined> => {
    const watched = await store.watch(kind, revision, synced ? WATCH_MS : RESUMED_WATCH_MS);
    if (watched.kind === 'error') {
      if (watched.error.kind === 'history-gone') {
        log.write('info', 'store-history-gone', {kind, revision});
        await sleep(relistDelayMs * (0.5 + random()));
        relistDelayMs = Math.min(BACKOFF_MAX_MS, Math.max(BACKOFF_MIN_MS, relistDelayMs * 2));
        return undefined;
      }

      await handleError(watched.error, 'watch');
      return revision;
    }

    markSynced(watched.value.revision);
    relistDelayMs = 0;
    for (const {kind: change, object} of watched.value.events) {
      if (change === 'deleted') {
        objects.delete(object.name);
      } else {
        objects.set(object.name, object);
      }
    }

    if (watched.value.events.length > 0) {
      const since = reportedRevision;
      reportedRevision = watched.value.revision;
      options.onChange({
        kind: 'changed', objects, revision: watched.value.revision, since, events: watched.value.events,
      });
      await sleep(options.batchMs ?? 0);
    }

    return watched.value.revision;
  };

  const run = async (): Promise<void> => {
    let revision: number | undefined;
    /* eslint-disable no-await-in-loop, no-unmodified-loop-condition */
    while (!stopped) {
      if (listedOnce && !options.isActive()) {
        revision = undefined;
        await sleep(INACTIVE_POLL_MS);
        continue;
      }

      revision = revision === undefined ? await list() : await watch(revision);
    }
    /* eslint-enable no-await-in-loop, no-unmodified-loop-condition */
  };

  void run();
  return {
    stop() {
      stopped = true;
    },
    isSynced: () => synced,
  };
};
