/** Keeps a local copy of one kind of objects in the store: lists, then watches, and lists again when the store has dropped the history. */
import type {Random} from '../../shared/random.js';
import type {DecisionLog} from '../decision-log.js';
import type {
  ObjectStore, StoredObject, StoreError, StoreEvent,
} from './object-store.js';

/** What was read from the store, with all objects of the kind and the revision of the store that they reflect. */
export type ObjectChange =
  | {kind: 'listed'; objects: ReadonlyMap<string, StoredObject>; revision: number}
  /** `events` are all changes after revision `since`, which is that of the previous report. */
  | {kind: 'changed'; objects: ReadonlyMap<string, StoredObject>; revision: number; since: number; events: readonly StoreEvent[]};

/** Objects that a list or a watch has shown, without deleted ones. */
export const changedObjects = (change: ObjectChange): StoredObject[] => {
  switch (change.kind) {
    case 'listed': {
      return [...change.objects.values()];
    }

    case 'changed': {
      return change.events.filter(({kind}) => kind === 'changed').map(({object}) => object);
    }
  }
};

/** Options of an object watcher. */
export type ObjectWatcherOptions = {
  kind: string;
  store: ObjectStore;
  log: DecisionLog;
  random: Random;
  /** Called after each list and each change. */
  onChange: (change: ObjectChange) => void;
  now: () => number;
  /** Called after each response of the store, also when nothing has changed, with the time up to which the copy certainly contains all changes. */
  onRead: (readAt: number) => void;
  /** Whether the store is to be read now; while not, it gets no requests after the first list. The next read begins with a list. */
  isActive: () => boolean;
  /** Longest time without a response while nothing changes, in milliseconds: the wait of one watch request. @default 9000 */
  watchMs?: number;
  /** Time in which the store has to respond at first, in milliseconds; doubled after each failure. @default that of the store's client */
  responseMs?: number;
  /** Longest backoff after an error, in milliseconds. @default 1000 */
  backoffMaxMs?: () => number;
  /** Time between a list or a change and the next request, in milliseconds, so that changes in quick succession cost one request. @default 0 */
  batchMs?: number;
  sleep?: (milliseconds: number) => Promise<void>;
};

/** Longest wait of one watch request, in milliseconds. The store allows 30 s, but a silent connection must be detected before the store drops the history. */
const WATCH_MS = 9000;
/** Wait of the first watch request after an interruption, in milliseconds: the store may have been restored meanwhile, and its response is to show that at once. */
const RESUMED_WATCH_MS = 1;
const BACKOFF_MIN_MS = 100;
/** Longest backoff after an error, in milliseconds: the contents of the store must be in force about two seconds after it is reachable again. */
const BACKOFF_MAX_MS = 1000;
/** Longest time in which the store has to respond, in milliseconds. */
const RESPONSE_MAX_MS = 2500;

const defaultSleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
  setTimeout(resolve, milliseconds);
});

/** A running watcher. */
export type ObjectWatcher = {
  stop: () => void;
  isSynced: () => boolean;
  /** Lets an inactive watcher check whether it has become active; called periodically. */
  wake: () => void;
};

/** Starts a watcher that runs until `stop` is called. */
export const startObjectWatcher = (options: ObjectWatcherOptions): ObjectWatcher => {
  const {kind, store, log, random, now, watchMs = WATCH_MS} = options;
  const sleep = options.sleep ?? defaultSleep;
  const objects = new Map<string, StoredObject>();
  let stopped = false;
  let synced = false;
  /** A process that starts has to know at once what the store holds. */
  let listedOnce = false;
  /** Revision of the last report; a watch without events moves the revision to continue from, but reports nothing. */
  let reportedRevision = 0;
  let backoffMs = BACKOFF_MIN_MS;
  let {responseMs} = options;
  /** Time up to which the copy certainly contains all changes. */
  let readAt = Number.NEGATIVE_INFINITY;
  /** Ends the wait of an inactive watcher. */
  let resume: (() => void) | undefined;
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
    backoffMs = Math.min(options.backoffMaxMs?.() ?? BACKOFF_MAX_MS, backoffMs * 2);
    responseMs = responseMs === undefined ? undefined : Math.min(RESPONSE_MAX_MS, responseMs * 2);
  };

  const resetBackoff = (): void => {
    backoffMs = BACKOFF_MIN_MS;
    responseMs = options.responseMs;
  };

  const markSynced = (revision: number): void => {
    resetBackoff();
    if (!synced) {
      synced = true;
      log.write('info', 'store-reached', {kind, revision});
    }
  };

  const recordRead = (time: number): void => {
    readAt = time;
    options.onRead(time);
  };

  const list = async (): Promise<number | undefined> => {
    const requestedAt = now();
    const listed = await store.list(kind, responseMs);
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
    recordRead(requestedAt);
    await sleep(options.batchMs ?? 0);
    return listed.value.revision;
  };

  const watch = async (revision: number): Promise<number | undefined> => {
    const requestedAt = now();
    // A watch that was answered early is followed by a shorter one, so that the copy is never older than one full wait.
    const waitMs = synced ? Math.max(RESUMED_WATCH_MS, Math.round(readAt + watchMs - requestedAt)) : RESUMED_WATCH_MS;
    const watched = await store.watch(kind, revision, waitMs, responseMs);
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
      recordRead(requestedAt);
      await sleep(options.batchMs ?? 0);
    } else {
      // The response says that nothing changed until the wait was over; this process may have been suspended before it read the response.
      recordRead(Math.min(now(), requestedAt + waitMs));
    }

    return watched.value.revision;
  };

  const waitUntilWoken = async (): Promise<void> => new Promise(resolve => {
    resume = resolve;
  });

  const run = async (): Promise<void> => {
    let revision: number | undefined;
    /* eslint-disable no-await-in-loop, no-unmodified-loop-condition */
    while (!stopped) {
      if (listedOnce && !options.isActive()) {
        revision = undefined;
        resetBackoff();
        await waitUntilWoken();
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
    wake() {
      if (resume !== undefined && options.isActive()) {
        resume();
        resume = undefined;
      }
    },
  };
};
