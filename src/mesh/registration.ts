/** Keeps the member object of this process in the store, so that the other processes can find it. */
import type {Random} from '../shared/random.js';
import type {CrashRecord} from './crash-records.js';
import type {DecisionLog} from './decision-log.js';
import type {ListedMember} from './member-directory.js';
import type {Member} from './message.js';
import type {ObjectStore, StoredObject} from './object-store.js';
import {decodeCrashRecords} from './stored-crash-records.js';

/** Object kind of the member objects. */
export const MEMBER_KIND = 'jujubewell-members';

/** Mean delay before a failed write is retried, in milliseconds: the object must be restored about two seconds after the store is reachable again. */
const RETRY_MS = 500;

/** Registration of this process in the store. */
export type Registration = {
  /** Writes the member object, without reading the store before. */
  register: () => void;
  /** Writes the member object when the member list, as of a revision of the store, lacks it or holds other values. */
  reconcile: (listed: ListedMember | undefined, listRevision: number) => void;
  /** Keeps records of blocked requests in the member object. */
  setCrashRecords: (records: CrashRecord[]) => void;
  /** Deletes the member object, when the host is removed from the fleet. */
  unregister: () => Promise<void>;
  /** Ends the retries of a failed write. */
  close: () => void;
};

/** Decodes a member object; undefined when it has another format. */
export const decodeMember = ({name, value}: StoredObject): Member | undefined => {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }

  const {address, zone, service} = value as {address?: unknown; zone?: unknown; service?: unknown};
  return typeof address === 'string' && typeof zone === 'string' && typeof service === 'string'
    ? {
      node: name, address, zone, service,
    }
    : undefined;
};

/** Creates the registration; nothing is written before the first `register` or `reconcile`. */
export const createRegistration = (options: {self: Member; store: ObjectStore; log: DecisionLog; random: Random}): Registration => {
  const {self, store, log} = options;
  /** Undefined before this process has any of its own: it keeps those that it finds in its object. */
  let crashRecords: CrashRecord[] | undefined;
  let writing = false;
  /** Whether the object has to be written again, because it has changed during a write. */
  let isOutdated = false;
  let closed = false;
  /** Revision of the object as last read or written; undefined when it does not exist. */
  let revision: number | undefined;

  const isOwn = (member: Member | undefined): boolean => member?.address === self.address && member.zone === self.zone && member.service === self.service;

  const createValue = () => ({
    address: self.address, zone: self.zone, service: self.service, ...(crashRecords === undefined || crashRecords.length === 0 ? {} : {crashRecords}),
  });

  /** Adopts the object that stands in the way of a write; returns whether it already holds the right values. */
  const adoptCurrent = (current: StoredObject | undefined): boolean => {
    revision = current?.revision;
    const hasOwnRecords = crashRecords !== undefined;
    crashRecords ??= decodeCrashRecords(current?.value);
    return current !== undefined && isOwn(decodeMember(current)) && !hasOwnRecords;
  };

  const writeIfOutdated = (): void => {
    if (isOutdated) {
      void write();
    }
  };

  const write = async (): Promise<void> => {
    if (writing || closed) {
      isOutdated = writing;
      return;
    }

    writing = true;
    isOutdated = false;
    const value = createValue();
    const written = revision === undefined
      ? await store.create(MEMBER_KIND, self.node, value)
      : await store.replace(MEMBER_KIND, self.node, value, revision);
    writing = false;
    if (written.kind === 'ok') {
      revision = written.value.revision;
      log.write('info', 'registered', {address: self.address, revision});
      writeIfOutdated();
      return;
    }

    if (written.error.kind === 'conflict' && adoptCurrent(written.error.current)) {
      log.write('info', 'registered', {address: self.address, revision});
      writeIfOutdated();
      return;
    }

    if (written.error.kind === 'not-found') {
      revision = undefined;
    }

    log.write('warn', 'registration-failed', {fault: written.error.kind, cause: written.error.message});
    setTimeout(() => {
      void write();
    }, RETRY_MS * (0.5 + options.random()));
  };

  return {
    register() {
      void write();
    },
    reconcile(listed, listRevision) {
      // A list that is older than the last write says nothing about it.
      if (writing || listRevision < (revision ?? 0) || isOwn(listed?.member)) {
        return;
      }

      revision = listed === undefined || listed.revision === 0 ? undefined : listed.revision;
      void write();
    },
    setCrashRecords(records) {
      crashRecords = records;
      void write();
    },
    async unregister() {
      closed = true;
      if (revision === undefined) {
        return;
      }

      const removed = await store.remove(MEMBER_KIND, self.node, revision);
      if (removed.kind === 'error') {
        log.write('warn', 'registration-not-removed', {fault: removed.error.kind, cause: removed.error.message});
      }
    },
    close() {
      closed = true;
    },
  };
};
