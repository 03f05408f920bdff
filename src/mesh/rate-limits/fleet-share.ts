/** The part of every limit that one process owns: 1/N, where N is the number of listed members. */
import {LISTING_MS, LOAN_MS} from './times.js';

/** Number of members by which the limits are divided. */
export type FleetShare = {
  /** Records the number of listed members. */
  update: (now: number, members: number) => void;
  /** Fraction of one process; 0 before the member list is known. */
  ofProcess: () => number;
};

/** Time for which an earlier, larger number of members counts, in milliseconds: a process that was removed may still have lent its fraction. */
const SHRINK_MS = LISTING_MS + LOAN_MS;

/** Creates a share of a fleet whose members are not known. */
export const createFleetShare = (): FleetShare => {
  let members = 0;
  let earlier: Array<{members: number; until: number}> = [];
  return {
    update(now, next) {
      if (next < members) {
        earlier.push({members, until: now + SHRINK_MS});
      }

      members = next;
      earlier = earlier.filter(entry => entry.until > now && entry.members > members);
    },
    ofProcess: () => members === 0 ? 0 : 1 / Math.max(members, ...earlier.map(entry => entry.members)),
  };
};
