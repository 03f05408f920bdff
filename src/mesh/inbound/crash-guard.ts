/** Decides which requests may run although they are blamed for crashes of backend servers, and spreads what is learnt of them. */
import {type Buffer} from 'node:buffer';
import type {DecisionLog} from '../decision-log.js';
import type {CallHeader} from '../message.js';
import {
  createCrashRecords, type Crash, type CrashRecord, type CrashRecords, type CrashRecordsOptions, type Suspicion,
} from './crash-records.js';
import type {ContentHeader, RequestContent} from './request-content.js';

/** A request that is blamed for crashes. */
export type SuspectedContent = {content: string; suspicion: Exclude<Suspicion, {kind: 'none'}>};

/** Guard of one process. */
export type CrashGuard = {
  /** What is known against a request; undefined when there is nothing. */
  assess: (header: ContentHeader, body: Buffer) => SuspectedContent | undefined;
  /** Record that travels with a call, so that the process next to the backend server knows it as well. */
  recordFor: (suspected: SuspectedContent) => CrashRecord | undefined;
  beginTrial: (content: string) => void;
  /** Records that a backend server crashed while it ran these calls. */
  recordCrash: (crash: Crash, calls: ReadonlyArray<{call: CallHeader; body: Buffer}>) => void;
  /** Records that a call has come to its end. */
  recordEnd: (header: ContentHeader, body: Buffer) => void;
  /** Merges records of another process, and passes on what is new. */
  merge: (records: readonly CrashRecord[]) => void;
  /** Applies records of blocked contents that a process, this one if `isOwn`, has kept in the store. */
  restore: (stored: readonly CrashRecord[], isOwn: boolean) => void;
  all: CrashRecords['all'];
  /** Sends what has been collected, and removes records that are long past; called periodically. */
  tick: () => void;
};

/** Options of the guard. */
export type CrashGuardOptions = CrashRecordsOptions & {
  log: DecisionLog;
  content: RequestContent;
  /** Sends records to other processes; `isOwn` tells whether this process has found them out itself. */
  publish: (records: CrashRecord[], isOwn: boolean) => void;
  /** Keeps the records of the blocked contents that this process has found out. */
  persist: (records: CrashRecord[]) => void;
  /** Time in milliseconds since the Unix epoch. @default Date.now */
  wallClock?: () => number;
};

/** Age of the last crash from which a kept record no longer counts, in milliseconds. */
const STORED_AGE_MAX_MS = 60 * 60_000;
/** Records that a process keeps in the store at most; the newest ones stay. */
const STORED_MAX = 20;

/** Interval at which old records are removed, in milliseconds. */
const EXPIRY_INTERVAL_MS = 10_000;

/** Creates a guard that suspects nothing. */
export const createCrashGuard = (options: CrashGuardOptions): CrashGuard => {
  const {log, content: requestContent} = options;
  const records = createCrashRecords(options);
  /** Contents that were cleared here and are not published yet; after a crash there are many within a moment. */
  let cleared: CrashRecord[] = [];
  let expiredAt = options.now();
  /** Contents that were blocked by a crash which this process has seen. */
  const ownBlocked = new Set<string>();
  let persisted = '[]';

  const isBlocked = (content: string): boolean => ['blocked', 'on-trial'].includes(records.assess(content).kind);

  /** Keeps the records of the contents in `ownBlocked` that are still blocked, when they differ from those kept. */
  const persistBlocked = (): void => {
    for (const content of [...ownBlocked].filter(known => !isBlocked(known))) {
      ownBlocked.delete(content);
    }

    const kept = [...ownBlocked].slice(-STORED_MAX).map(content => records.recordOf(content)).filter(record => record !== undefined);
    const text = JSON.stringify(kept);
    if (text !== persisted) {
      persisted = text;
      options.persist(kept);
    }
  };

  const publish = (changed: CrashRecord[], isOwn: boolean): void => {
    if (changed.length > 0) {
      options.publish(changed, isOwn);
    }
  };

  const logBlocked = (changed: readonly CrashRecord[]): void => {
    for (const {content, blamed} of changed) {
      const {kind} = records.assess(content);
      if (kind === 'blocked') {
        log.write('warn', 'request-blocked', {content, crashes: blamed.map(({id}) => id)});
      }
    }
  };

  const assess: CrashGuard['assess'] = (header, body) => {
    if (records.isEmpty() || !records.hasHead(requestContent.headOf(header))) {
      return undefined;
    }

    const content = requestContent.idOf(header, body);
    const suspicion = records.assess(content);
    return suspicion.kind === 'none' ? undefined : {content, suspicion};
  };

  const merge = (received: readonly CrashRecord[]): void => {
    const changed = records.merge(received);
    logBlocked(changed);
    publish(changed, false);
  };

  return {
    assess,
    recordFor: ({content}) => records.recordOf(content),
    beginTrial(content) {
      log.write('warn', 'request-on-trial', {content});
      records.beginTrial(content);
    },
    recordCrash(crash, calls) {
      const contents = calls.map(({call, body}) => ({request: call.requestId, content: requestContent.idOf(call, body)}));
      const changed = records.blame(crash, contents.map(({content}) => content));
      const blamed = new Set(changed.map(({content}) => content));
      log.write('warn', 'backend-crashed', {crash: crash.id, running: contents.length, blamed: contents.filter(({content}) => blamed.has(content))});
      for (const content of [...blamed].filter(blamedContent => isBlocked(blamedContent))) {
        ownBlocked.add(content);
      }

      logBlocked(changed);
      publish(changed, true);
    },
    recordEnd(header, body) {
      const suspected = assess(header, body);
      const record = suspected === undefined ? undefined : records.clear(suspected.content);
      if (record !== undefined) {
        log.write('info', 'request-cleared', {content: record.content, crashes: suspected!.suspicion.crashes});
        cleared.push(record);
      }
    },
    merge,
    restore(stored, isOwn) {
      const wallClock = options.wallClock ?? Date.now;
      const recent = stored.filter(({blamed}) => blamed.some(({at}) => wallClock() - at < STORED_AGE_MAX_MS));
      merge(recent);
      for (const {content} of isOwn ? recent : []) {
        ownBlocked.add(content);
      }
    },
    all: records.all,
    tick() {
      const due = cleared;
      cleared = [];
      publish(due, true);
      if (ownBlocked.size > 0 || persisted !== '[]') {
        persistBlocked();
      }

      if (options.now() - expiredAt >= EXPIRY_INTERVAL_MS) {
        expiredAt = options.now();
        records.removeExpired();
      }
    },
  };
};
