/** Keeps a local copy of one kind of objects in the store: lists, then watches, and lists again when the store has dropped the history. */
import type {Random} from '../shared/random.js';
import type {DecisionLog} from './decision-log.js';
import type {ObjectStore, StoredObject, StoreError} from './object-store.js';

/** Options of an object watcher. */
export type ObjectWatcherOptions = {
  kind: string;
  store: ObjectStore;
  log: DecisionLog;
  random: Random;
  /** Called with all objects of the kind after each list and each change. */
  onChange: (objects: ReadonlyMap<string, StoredObject>) => void;
  sleep?: (milliseconds: number) => Promise<void>;
};

/** Longest wait of one watch request, in milliseconds. The store allows 30 s, but a silent connection must be detected before the store drops the history. */
const WATCH_MS = 9000;
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
  let backoffMs = BACKOFF_MIN_MS;

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

  const markSynced = (): void => {
    backoffMs = BACKOFF_MIN_MS;
    if (!synced) {
      synced = true;
      log.write('info', 'store-reached', {kind});
    }
  };

  const list = async (): Promise<number | undefined> => {
    const listed = await store.list(kind);
    if (listed.kind === 'error') {
      await handleError(listed.error, 'list');
      return undefined;
    }

    markSynced();
    objects.clear();
    for (const object of listed.value.objects) {
      objects.set(object.name, object);
    }

    options.onChange(objects);
    return listed.value.revision;
  };

  const watch = async (revision: number): Promise<number | undefined> => {
    const watched = await store.watch(kind, revision, WATCH_MS);
    if (watched.kind === 'error') {
      if (watched.error.kind === 'history-gone') {
        log.write('info', 'store-history-gone', {kind, revision});
        return undefined;
      }

      await handleError(watched.error, 'watch');
      return revision;
    }

    markSynced();
    for (const {kind: change, object} of watched.value.events) {
      if (change === 'deleted') {
        objects.delete(object.name);
      } else {
        objects.set(object.name, object);
      }
    }

    if (watched.value.events.length > 0) {
      options.onChange(objects);
    }

    return watched.value.revision;
  };

  const run = async (): Promise<void> => {
    let revision: number | undefined;
    /* eslint-disable no-await-in-loop, no-unmodified-loop-condition */
    while (!stopped) {
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
