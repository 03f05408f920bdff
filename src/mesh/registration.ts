/** Keeps this process's entry in the store, so that the others find it. */
import type {Random} from '../shared/random.js';
import type {DecisionLog} from './decision-log.js';
import type {Member} from './message.js';
import type {ObjectStore, StoredObject} from './object-store.js';

/** Kind of the entries of processes. */
export const MEMBER_KIND = 'jujubewell-members';

/** Pause before a failed write is tried again, in milliseconds: the entry has to be back about two seconds after the store is. */
const RETRY_MS = 500;

/** Entry of this process. */
export type Registration = {
  /** Compares what the store lists with what it should, and writes the difference. */
  reconcile: (objects: ReadonlyMap<string, StoredObject>) => void;
  /** Removes the entry; for a host that is taken away. */
  unregister: () => Promise<void>;
};

/** Reads an entry; undefined when it was not written by a process of this system. */
export const decodeMember = ({name, value}: StoredObject): Member | undefined => {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }

  const {address, zone} = value as {address?: unknown; zone?: unknown};
  return typeof address === 'string' && typeof zone === 'string' ? {node: name, address, zone} : undefined;
};

/** Creates the registration; nothing is written before the first list. */
export const createRegistration = (options: {self: Member; store: ObjectStore; log: DecisionLog; random: Random}): Registration => {
  const {self, store, log} = options;
  const value = {address: self.address, zone: self.zone};
  let writing = false;
  let unregistering = false;
  let revision: number | undefined;

  const write = async (listed: StoredObject | undefined): Promise<void> => {
    writing = true;
    const written = listed === undefined
      ? await store.create(MEMBER_KIND, self.node, value)
      : await store.replace(MEMBER_KIND, self.node, value, listed.revision);
    writing = false;
    if (written.kind === 'ok') {
      revision = written.value.revision;
      log.write('info', 'registered', {address: self.address, revision});
    } else if (written.error.kind !== 'conflict') {
      log.write('warn', 'registration-failed', {fault: written.error.kind, cause: written.error.message});
      scheduleRetry(listed);
    }
  };

  /** A conflict is resolved by the next list or event; other failures are tried again. */
  const scheduleRetry = (listed: StoredObject | undefined): void => {
    setTimeout(() => {
      if (!unregistering && !writing) {
        void write(listed);
      }
    }, RETRY_MS * (0.5 + options.random()));
  };

  return {
    reconcile(objects) {
      const listed = objects.get(self.node);
      revision = listed?.revision ?? revision;
      const member = listed === undefined ? undefined : decodeMember(listed);
      const isUpToDate = member?.address === self.address && member.zone === self.zone;
      if (!isUpToDate && !writing && !unregistering) {
        void write(listed);
      }
    },
    async unregister() {
      unregistering = true;
      if (revision === undefined) {
        return;
      }

      const removed = await store.remove(MEMBER_KIND, self.node, revision);
      if (removed.kind === 'error') {
        log.write('warn', 'registration-not-removed', {fault: removed.error.kind, cause: removed.error.message});
      }
    },
  };
};
