/** Zone spill-over: adjusts the share of a service's calls that leaves the local zone, by the admitted fractions of the zones. */

/** Difference of admitted fractions, remote minus local, above which more calls leave the local zone. */
const SPILL_THRESHOLD = 0.1;
/** Difference below which calls return to the local zone; the gap to `SPILL_THRESHOLD` prevents flapping. */
const RETURN_THRESHOLD = 0.03;
const STEP_INTERVAL_MS = 100;
const SPILL_STEP = 0.05;
const RETURN_STEP = 0.02;
/** Some calls stay in the local zone, so that its recovery is noticed. */
const SPILL_SHARE_MAX = 0.9;
const FRACTION_EWMA_WEIGHT = 0.1;
/** Half-life of a share or of a zone's rejected fraction without calls, in milliseconds. */
const HALF_LIFE_MS = 3000;

/** Value that decays exponentially; `at` is the time of its last update. */
type DecayingValue = {value: number; at: number};

/** Rejected fractions of one zone, by priority. */
export type RejectedFractions = Map<number, DecayingValue>;

/** Shares of calls that leave the local zone, by priority. */
export type SpillShares = Map<number, DecayingValue>;

const decayedValue = (decaying: DecayingValue | undefined, now: number): number =>
  (decaying === undefined ? 0 : decaying.value * (2 ** (-(now - decaying.at) / HALF_LIFE_MS)));

/** Mean admitted fraction of a zone; approaches 1 without responses. */
export const admittedFractionOf = (fractions: RejectedFractions, priority: number, now: number): number =>
  1 - decayedValue(fractions.get(priority), now);

/** Records the admitted fraction of a response from the zone. */
export const recordAdmittedFraction = (fractions: RejectedFractions, priority: number, fraction: number, now: number): void => {
  const rejected = decayedValue(fractions.get(priority), now);
  fractions.set(priority, {value: rejected + ((1 - fraction - rejected) * FRACTION_EWMA_WEIGHT), at: now});
};

/** Share of the calls of a priority that leaves the local zone. */
export const spillShare = (shares: SpillShares, priority: number, now: number): number => decayedValue(shares.get(priority), now);

/** Whether the share may change; steps are at least `STEP_INTERVAL_MS` apart. */
export const isSpillStepDue = (shares: SpillShares, priority: number, now: number): boolean =>
  now - (shares.get(priority)?.at ?? Number.NEGATIVE_INFINITY) >= STEP_INTERVAL_MS;

const stepFor = (difference: number): number => {
  if (difference > SPILL_THRESHOLD) {
    return SPILL_STEP;
  }

  return difference < RETURN_THRESHOLD ? -RETURN_STEP : 0;
};

/** Changes the share by one step; `remote` is the highest admitted fraction of other zones. */
export const updateSpillShare = (shares: SpillShares, priority: number, fractions: {local: number; remote: number}, now: number): void => {
  const share = decayedValue(shares.get(priority), now) + stepFor(fractions.remote - fractions.local);
  shares.set(priority, {value: Math.min(SPILL_SHARE_MAX, Math.max(0, share)), at: now});
};
