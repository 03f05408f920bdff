/** Keeps the member object of this process in the store, so that the other processes can find it. */
import type {Random} from '../shared/random.js';
import type {DecisionLog} from './decision-log.js';
import type {Member} from './message.js';
import type {ObjectStore, StoredObject} from './object-store.js';

/** Object kind of the member objects. */
export const MEMBER_KIND = 'jujubewell-members';

/** Mean delay before a failed write is retried, in milliseconds: the object must be restored about two seconds after the store is reachable again. */
const RETRY_MS = 500;

/** Registration of this process in the store. */
export type Registration = {
  /** Writes the member object when the listed objects lack it or hold other values. */
  reconcile: (objects: ReadonlyMap<string, StoredObject>) => void;
  /** Deletes the member object, when the host is removed from the fleet. */
  unregister: () => Promise<void>;
};

/** Decodes a member object; undefined when it has another format. */
export const decodeMember = ({name, value}: StoredObject): Member | undefined => {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }

  const {address, zone} = value as {address?: unknown; zone?: unknown};
  return typeof address === 'string' && typeof zone === 'string' ? {node: name, address, zone} : undefined;
};

/** Creates the registration; nothing is written before the first `reconcile`. */
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

  /** Retries a failed write. Conflicts are not retried, because the next list or watch event leads to a new write. */
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
