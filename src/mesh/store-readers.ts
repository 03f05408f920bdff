/**
Chooses the few processes of each zone that watch the store. All others learn of changes over their links.

Every process ranks the members of its zone in the same order and takes the first ones that it can reach, so no messages are needed to agree.
While two processes disagree for a moment, both watch, which costs calls and nothing else.
*/
import {rendezvousOrder} from '../shared/hash.js';

/** Whether a process can be reached over a link; `connecting` until the first attempt has ended. */
export type Reachability = 'open' | 'connecting' | 'unreachable';

/** Readers of the store from the point of view of one process. */
export type ReaderChoice = {
  /** Whether this process is one of them. */
  isReader: boolean;
  /** Other processes to be linked with: the readers, and those ranked before them that cannot be reached for the moment. */
  contacts: string[];
};

/** Processes of a zone that watch the store; the second one covers the time in which the loss of the first is not noticed yet. */
export const READERS_PER_ZONE = 2;
/** Processes that are linked with at most, including those that cannot be reached. */
const CONTACTS_MAX = 6;

/** Chooses the readers among the processes of a zone, which include `self`. */
export const chooseReaders = (zone: string, nodes: readonly string[], self: string, reachability: (node: string) => Reachability): ReaderChoice => {
  const contacts: string[] = [];
  let readers = 0;
  let isReader = false;
  for (const node of rendezvousOrder(zone, nodes)) {
    if (readers === READERS_PER_ZONE) {
      break;
    }

    if (node === self) {
      isReader = true;
      readers++;
    } else {
      contacts.push(node);
      readers += reachability(node) === 'unreachable' ? 0 : 1;
    }
  }

  return {isReader, contacts: contacts.slice(-CONTACTS_MAX)};
};
