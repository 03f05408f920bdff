/** Watches the kinds of objects that a process needs: the configuration, and the member list. */
import type {Random} from '../../shared/random.js';
import type {DecisionLog} from '../decision-log.js';
import {readingTimes, type StoreReaders} from '../members/store-readers.js';
import type {ObjectStore, StoredObject} from './object-store.js';
import {startObjectWatcher, type ObjectChange, type ObjectWatcher} from './object-watcher.js';
import {MEMBER_KIND} from './registration.js';

/** Options of the watchers. */
export type StoreWatcherOptions = {
  store: ObjectStore;
  log: DecisionLog;
  random: Random;
  now: () => number;
  /** Object kind of the configuration. */
  configurationKind: string;
  /** Time after its confirmation by the store from which a version of the configuration must be in force, in milliseconds. */
  configurationMs: number;
  /** Part of this process in reading the store. */
  storeReaders: Pick<StoreReaders, 'isReader' | 'isLastingReader' | 'retryMaxMs'>;
  /** Called when the configuration has been read as the store held it at a time of the clock. */
  onConfigurationRead: (readAt: number) => void;
  /** Called with all objects of the configuration after a change. */
  onConfiguration: (objects: ReadonlyMap<string, StoredObject>) => void;
  /** Called with changes of the member list. */
  onMembers: (change: ObjectChange) => void;
};

/** Time in which changes of the member list are collected, in milliseconds: many processes may start or stop at once. */
const MEMBER_BATCH_MS = 200;

/** Starts the watchers. */
export const watchStore = ({configurationKind, configurationMs, storeReaders, onConfigurationRead, onConfiguration, onMembers, ...shared}: StoreWatcherOptions): ObjectWatcher[] => {
  const {watchMs, responseMs} = readingTimes(configurationMs);
  return [
    startObjectWatcher({
      ...shared,
      kind: configurationKind,
      watchMs,
      responseMs,
      backoffMaxMs: storeReaders.retryMaxMs,
      onRead: onConfigurationRead,
      isActive: storeReaders.isReader,
      onChange({objects}) {
        onConfiguration(objects);
      },
    }),
    startObjectWatcher({
      ...shared,
      kind: MEMBER_KIND,
      onRead: () => undefined,
      isActive: storeReaders.isLastingReader,
      batchMs: MEMBER_BATCH_MS,
      onChange: onMembers,
    }),
  ];
};
