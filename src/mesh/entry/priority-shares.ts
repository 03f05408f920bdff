/** Divides what is admitted at an overloaded service among the priorities of the requests: the most urgent first, with a minimum for each. */
import {REFUSAL_LEVEL_MAX} from './refusal-levels.js';

/** Lowest admitted share of all requests: some have to probe whether capacity is back. */
export const ADMITTED_SHARE_MIN = 0.1;
/** Lowest admitted share of a priority, as a part of that of all. Requests served less than a quarter as often as all count as starved, and those to other services may be served in full. */
const SHARE_OF_TOTAL_MIN = 0.4;

/**
Share of all requests that is admitted at a refusal level, where it is divided.
It falls from 1 about as fast as the level rises, and more slowly the less is left: with a heavy overload, a straight line would make a small step of the level halve the admitted work.
*/
export const admittedTotal = (level: number): number => ADMITTED_SHARE_MIN ** (level / REFUSAL_LEVEL_MAX);

/**
Admitted share of the requests of a priority; a lower number is more urgent.
`demand` is the part of each priority in all requests. Weighted by it, the shares of all priorities add up to `admittedTotal(level)`.
*/
export const admittedShareOf = (priority: number, demand: ReadonlyMap<number, number>, level: number): number => {
  const total = admittedTotal(level);
  const minimum = SHARE_OF_TOTAL_MIN * total;
  const moreUrgent = [...demand].filter(([other]) => other < priority).reduce((sum, [, part]) => sum + part, 0);
  // What the minimum of all, and the more urgent requests, leave of the total.
  const remaining = total - minimum - ((1 - minimum) * moreUrgent);
  // A priority without recent requests is admitted in full as long as anything remains: dividing by 0 gives infinity.
  return remaining <= 0 ? minimum : Math.min(1, minimum + (remaining / (demand.get(priority) ?? 0)));
};
