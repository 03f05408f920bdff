/** Checks of rules, from what clients and upstreams have seen. */

/** More of these than this number break LOST (RULES.md: "more than three times"). */
export const LOST_MAX = 3;

const runsById = deployment => new Map(deployment.hosts.flatMap(({backend}) => backend.runs).map(run => [run.id, run]));

/**
LOST: "At any time, a machine in touch passes a request from a kept connection on to a sound upstream and closes that connection without an answer, more than three times."
Returns the requests from kept connections that a sound upstream had begun to run, and whose connection was closed without an answer.
*/
export const findLost = (deployment, results, {isSound = () => true} = {}) => {
  const runs = runsById(deployment);
  return results.filter(({id, outcome, isKept}) => outcome === 'closed' && isKept && runs.has(id) && isSound(runs.get(id)));
};

/** Counts of outcomes by status, for the summary. */
export const countOutcomes = results => {
  const counts = {};
  for (const {outcome, status, error} of results) {
    const key = outcome === 'answer' ? `${status}${error === undefined ? '' : ` ${error}`}` : outcome;
    counts[key] = (counts[key] ?? 0) + 1;
  }

  return counts;
};

/** Processes that ended by themselves, by machine. */
export const countEnds = deployment => Object.fromEntries(deployment.hosts.filter(({ends}) => ends.length > 0).map(({name, ends}) => [name, {times: ends.length, reason: ends[0].reason}]));
