/** Applies the member objects of the store to the member list. Objects that cannot be read name no member. */
import type {DecisionLog} from '../decision-log.js';
import {decodeDepartures} from '../inbound/departures.js';
import type {StoredObject} from '../store/object-store.js';
import type {ObjectChange} from '../store/object-watcher.js';
import {decodeMember} from '../store/registration.js';
import type {ListedMember, MemberDirectory} from './member-directory.js';

/** Reader of member objects. */
export type ListedMembers = {apply: (change: ObjectChange) => void};

/** Creates a reader that keeps a member list up to date. */
export const createListedMembers = (directory: MemberDirectory, log: DecisionLog): ListedMembers => {
  /** Revision of each unreadable object that has been reported. */
  const unreadable = new Map<string, number>();

  const reportUnreadable = ({name, revision, value}: StoredObject): void => {
    // A removed host leaves an object with its departures only.
    if (unreadable.get(name) === revision || decodeDepartures(value).length > 0) {
      return;
    }

    unreadable.set(name, revision);
    log.count('members', 'unreadable');
    log.write('warn', 'member-unreadable', {member: name, revision, remedy: 'find out what writes this object and delete it; a member has an address of the form ip:port, a zone and a service'});
  };

  const toListed = (object: StoredObject): ListedMember[] => {
    const member = decodeMember(object);
    if (member === undefined) {
      reportUnreadable(object);
      return [];
    }

    unreadable.delete(object.name);
    return [{member, revision: object.revision}];
  };

  return {
    apply(change) {
      switch (change.kind) {
        case 'listed': {
          directory.applySnapshot([...change.objects.values()].flatMap(object => toListed(object)), change.revision);
          return;
        }

        case 'changed': {
          const {objects, since, revision} = change;
          const names = [...new Set(change.events.map(({object}) => object.name))];
          const listed = names.flatMap(name => objects.has(name) ? toListed(objects.get(name)!) : []);
          const listedNames = new Set(listed.map(({member}) => member.node));
          directory.applyChanges({
            since, revision, listed, removed: names.filter(name => !listedNames.has(name)).map(node => ({node, revision})),
          });
        }
      }
    },
  };
};
