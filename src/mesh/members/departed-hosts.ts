/** Deletes the member objects of hosts that were removed from the fleet. They stay for a while, because they hold the departures that a late restart of the process needs. */
import type {Random} from '../../shared/random.js';
import type {DecisionLog} from '../decision-log.js';
import {decodeDepartures} from '../inbound/departures.js';
import type {ObjectChange} from '../store/object-watcher.js';
import type {ObjectStore, StoredObject} from '../store/object-store.js';
import {decodeMember, MEMBER_KIND} from '../store/registration.js';

/** Hosts that were removed, as a reader of the member list sees them. */
export type DepartedHosts = {
  /** Applies what was read of the member list. */
  apply: (change: ObjectChange) => void;
  /** Deletes the objects that are due; called periodically. */
  tick: () => void;
};

/** Options of the departed hosts. */
export type DepartedHostsOptions = {now: () => number; random: Random; store: Pick<ObjectStore, 'remove'>; log: DecisionLog};

/** Shortest time for which an object stays, in milliseconds: announcements may be late by seconds, and a process may take as long to restart. Readers wait up to twice as long at random, so that one of them deletes it and the others see that. */
const KEPT_MS = 60_000;

type Due = {revision: number; at: number};

const isDepartedHost = (object: StoredObject): boolean => decodeMember(object) === undefined && decodeDepartures(object.value).length > 0;

/** Creates an empty set. */
export const createDepartedHosts = ({now, random, store, log}: DepartedHostsOptions): DepartedHosts => {
  const due = new Map<string, Due>();

  const remove = async (name: string, {revision}: Due): Promise<void> => {
    const removed = await store.remove(MEMBER_KIND, name, revision);
    log.write('info', 'departed-host-deleted', {member: name, fault: removed.kind === 'error' ? removed.error.kind : undefined});
  };

  const applyObject = (name: string, object: StoredObject | undefined): void => {
    if (object === undefined || !isDepartedHost(object)) {
      due.delete(name);
    } else if (due.get(name)?.revision !== object.revision) {
      due.set(name, {revision: object.revision, at: now() + (KEPT_MS * (1 + random()))});
    }
  };

  return {
    apply(change) {
      const names = change.kind === 'listed' ? [...new Set([...due.keys(), ...change.objects.keys()])] : change.events.map(({object}) => object.name);
      for (const name of names) {
        applyObject(name, change.objects.get(name));
      }
    },
    tick() {
      for (const [name, entry] of due) {
        if (now() >= entry.at) {
          due.delete(name);
          void remove(name, entry);
        }
      }
    },
  };
};
