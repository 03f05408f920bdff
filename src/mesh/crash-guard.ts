/** Decides which requests may run although they are blamed for crashes of backend servers, and spreads what is learnt of them. */
import {type Buffer} from 'node:buffer';
import {
  createCrashRecords, type Crash, type CrashRecord, type CrashRecords, type CrashRecordsOptions, type Suspicion,
} from './crash-records.js';
import type {DecisionLog} from './decision-log.js';
import type {CallHeader} from './message.js';
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
};

/** Interval at which old records are removed, in milliseconds. */
const EXPIRY_INTERVAL_MS = 10_000;

/** Creates a guard that suspects nothing. */
export const createCrashGuard = (options: CrashGuardOptions): CrashGuard => {
  const {log, content: requestContent} = options;
  const records = createCrashRecords(options);
  /** Contents that were cleared here and are not published yet; after a crash there are many within a moment. */
  let cleared: CrashRecord[] = [];
  let expiredAt = options.now();

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
    merge(received) {
      const changed = records.merge(received);
      logBlocked(changed);
      publish(changed, false);
    },
    all: records.all,
    tick() {
      const due = cleared;
      cleared = [];
      publish(due, true);
      if (options.now() - expiredAt >= EXPIRY_INTERVAL_MS) {
        expiredAt = options.now();
        records.removeExpired();
      }
    },
  };
};
