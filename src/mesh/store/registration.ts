/** Keeps the member object of this process in the store, so that the other processes can find it. */
import {isDeepStrictEqual} from 'node:util';
import * as z from 'zod/mini';
import {isAddress} from '../../shared/address.js';
import type {Random} from '../../shared/random.js';
import type {CrashRecord} from '../inbound/crash-records.js';
import type {DecisionLog} from '../decision-log.js';
import {decodeDepartures, mergeDepartures, type Departure} from '../inbound/departures.js';
import type {ListedMember} from '../members/member-directory.js';
import type {Member} from '../message.js';
import type {ObjectStore, StoredObject} from './object-store.js';
import {decodeCrashRecords} from './stored-crash-records.js';

/** Object kind of the member objects. */
export const MEMBER_KIND = 'jujubewell-members';

/** Mean delay before a failed write is retried, in milliseconds: the object must be restored about two seconds after the store is reachable again. */
const RETRY_MS = 500;

/** Time in which the store has to answer a write at first, in milliseconds; doubled after each one without an answer. A connection that was silent while the store was away stays silent. */
const RESPONSE_MIN_MS = 800;
/** Longest time in which the store has to answer a write, in milliseconds. */
const RESPONSE_MAX_MS = 2500;

/** Registration of this process in the store. */
export type Registration = {
  /** Writes the member object, without reading the store before. */
  register: () => void;
  /** Writes the member object when the member list, as of a revision of the store, lacks it or holds other values. */
  reconcile: (listed: ListedMember | undefined, listRevision: number) => void;
  /** Keeps records of blocked requests in the member object. */
  setCrashRecords: (records: CrashRecord[]) => void;
  /** Keeps departures of the backend server of this host in the member object. */
  setDepartures: (departures: Departure[]) => void;
  /** Resolves when the store holds everything that was to be kept at the time of the call. */
  whenKept: () => Promise<void>;
  /** Takes this process out of the member list, when the host is removed from the fleet. The object stays if it holds departures, which a late restart of the process needs. */
  unregister: () => Promise<void>;
  /** Ends the retries of a failed write. */
  close: () => void;
};

const name = z.string().check(z.minLength(1));
const memberSchema = z.object({address: z.string().check(z.refine(isAddress)), zone: name, service: name});

/** Decodes a member object; undefined when it has another format, or an address that cannot be connected to. */
export const decodeMember = (object: StoredObject): Member | undefined => {
  const parsed = memberSchema.safeParse(object.value);
  return parsed.success ? {node: object.name, ...parsed.data} : undefined;
};

/** Options of the registration. */
export type RegistrationOptions = {
  self: Member;
  store: ObjectStore;
  log: DecisionLog;
  random: Random;
  /** Called once with the departures in the object that an earlier start of this process has left; with none if there is no object. */
  onRestored?: (departures: Departure[]) => void;
  /** Called when the object was created, so that other processes may not know this one yet. */
  onCreated?: () => void;
};

/** Creates the registration; nothing is written before the first `register` or `reconcile`. */
export const createRegistration = (options: RegistrationOptions): Registration => {
  const {self, store, log} = options;
  /** Undefined before this process has any of its own: it keeps those that it finds in its object. */
  let crashRecords: CrashRecord[] | undefined;
  let departures: Departure[] = [];
  let isRestored = false;
  /** Number of changes of what is to be kept, and how many of them the store holds. */
  let changes = 0;
  let keptChanges = 0;
  let waiting: Array<{change: number; resolve: () => void}> = [];
  let writing = false;
  /** Whether the object has to be written again, because it has changed during a write. */
  let isOutdated = false;
  let pendingWrite: Promise<void> = Promise.resolve();
  let closed = false;
  let responseMs = RESPONSE_MIN_MS;
  /** Revision of the object as last read or written; undefined when it does not exist. */
  let revision: number | undefined;

  const isOwn = (member: Member | undefined): boolean => member?.address === self.address && member.zone === self.zone && member.service === self.service;

  /** What is kept in the object, whether or not this process is a member. */
  const createKept = () => ({
    ...(crashRecords === undefined || crashRecords.length === 0 ? {} : {crashRecords}), ...(departures.length === 0 ? {} : {departures}),
  });

  const createValue = () => ({
    address: self.address, zone: self.zone, service: self.service, ...createKept(),
  });

  /** Restores what an earlier start of this process has kept in the object; called with the first answer that shows the object, or that there is none. */
  const restore = (value: unknown): void => {
    if (isRestored) {
      return;
    }

    isRestored = true;
    const earlier = decodeDepartures(value);
    crashRecords ??= decodeCrashRecords(value);
    departures = mergeDepartures(earlier, departures);
    options.onRestored?.(earlier);
  };

  /** Adopts the object that stands in the way of a write; returns whether it already holds the right values. */
  const adoptCurrent = (current: StoredObject | undefined): boolean => {
    revision = current?.revision;
    restore(current?.value);
    return current !== undefined && isDeepStrictEqual(current.value, createValue());
  };

  const recordKept = (upTo: number): void => {
    keptChanges = upTo;
    const kept = waiting.filter(({change}) => change <= upTo);
    waiting = waiting.filter(({change}) => change > upTo);
    for (const {resolve} of kept) {
      resolve();
    }
  };

  const writeIfOutdated = (): void => {
    if (isOutdated) {
      write();
    }
  };

  const write = (): void => {
    if (writing || closed) {
      isOutdated = writing;
      return;
    }

    writing = true;
    isOutdated = false;
    pendingWrite = writeNow();
  };

  const writeNow = async (): Promise<void> => {
    const value = createValue();
    const written = changes;
    const isNew = revision === undefined;
    const result = revision === undefined
      ? await store.create(MEMBER_KIND, self.node, value, responseMs)
      : await store.replace(MEMBER_KIND, self.node, value, revision, responseMs);
    writing = false;
    responseMs = result.kind === 'error' && result.error.kind === 'unreachable' ? Math.min(RESPONSE_MAX_MS, responseMs * 2) : RESPONSE_MIN_MS;
    if (result.kind === 'ok') {
      revision = result.value.revision;
      restore(undefined);
      if (isNew) {
        options.onCreated?.();
      }

      log.write('info', 'registered', {address: self.address, revision});
      recordKept(written);
      writeIfOutdated();
      return;
    }

    const upToDate = changes;
    if (result.error.kind === 'conflict' && adoptCurrent(result.error.current)) {
      log.write('info', 'registered', {address: self.address, revision});
      recordKept(upToDate);
      writeIfOutdated();
      return;
    }

    if (result.error.kind === 'not-found') {
      revision = undefined;
    }

    log.write('warn', 'registration-failed', {fault: result.error.kind, cause: result.error.message});
    setTimeout(write, RETRY_MS * (0.5 + options.random()));
  };

  const keep = (): void => {
    changes++;
    write();
  };

  return {
    register() {
      write();
    },
    reconcile(listed, listRevision) {
      // A list that is older than the last write says nothing about it.
      if (writing || listRevision < (revision ?? 0)) {
        return;
      }

      // The list shows members only; what is kept besides may be missing from an object of another revision, as after a restore of the store.
      const isChanged = listed?.revision !== revision && Object.keys(createKept()).length > 0;
      if (isOwn(listed?.member) && !isChanged) {
        return;
      }

      // The first write has to be refused if there is an object, since the refusal shows what it keeps.
      revision = listed === undefined || listed.revision === 0 || !isRestored ? undefined : listed.revision;
      write();
    },
    setCrashRecords(records) {
      crashRecords = records;
      keep();
    },
    setDepartures(next) {
      departures = next;
      keep();
    },
    whenKept: async () => new Promise(resolve => {
      if (keptChanges >= changes) {
        resolve();
      } else {
        waiting.push({change: changes, resolve});
      }
    }),
    async unregister() {
      closed = true;
      await pendingWrite;
      if (revision === undefined) {
        return;
      }

      const removed = departures.length === 0
        ? await store.remove(MEMBER_KIND, self.node, revision)
        : await store.replace(MEMBER_KIND, self.node, {departures}, revision);
      if (removed.kind === 'error') {
        log.write('warn', 'registration-not-removed', {fault: removed.error.kind, cause: removed.error.message});
      }
    },
    close() {
      closed = true;
    },
  };
};
