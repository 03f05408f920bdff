/** The rule before urgent requests were admitted first, as the base of comparisons: the refused share falls by a constant factor with each less urgent priority. */
import type {Random} from '../../../shared/random.js';
import {createRefusalLevels, type ServiceLoad} from '../refusal-levels.js';

/** Options of the previous rule, for the priorities of the routes that depend on one service. */
export type PreviousAdmissionOptions = {now: () => number; priorities: readonly number[]; serviceLoad: () => ServiceLoad};

const PRIORITY_FACTOR = 0.7;
const ADMITTED_SHARE_MIN = 0.1;
const SERVICE = 'below';

/** Creates the previous rule. */
export const createPreviousAdmission = ({now, priorities, serviceLoad}: PreviousAdmissionOptions) => {
  const levels = createRefusalLevels({write: () => undefined});
  let updatedAt = now();
  const admittedShare = (priority: number): number =>
    Math.max(ADMITTED_SHARE_MIN, 1 - (levels.of(SERVICE) * (PRIORITY_FACTOR ** priorities.filter(other => other > priority).length)));

  return {
    update() {
      levels.update(SERVICE, serviceLoad(), now() - updatedAt);
      updatedAt = now();
    },
    admit({priority, isClientRetry}: {priority: number; isClientRetry: boolean}, random: Random): boolean {
      const admitted = admittedShare(priority);
      return random() < (isClientRetry ? Math.sqrt(admitted) : admitted);
    },
    admittedShare: ({priority}: {priority: number}) => admittedShare(priority),
  };
};
