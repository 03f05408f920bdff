/** Decides which share of a service's calls leaves the own zone, from the admitted fractions of the zones. */

/** Admitted fraction in a zone that is clearly lower than elsewhere, as a difference. */
const SPILL_THRESHOLD = 0.1;
/** Difference below which calls return to the own zone; the gap between both prevents flapping. */
const RETURN_THRESHOLD = 0.03;
const STEP_INTERVAL_MS = 100;
const SPILL_STEP = 0.05;
const RETURN_STEP = 0.02;
/** A rest stays in the own zone, so that its recovery is noticed. */
const SPILL_SHARE_MAX = 0.9;
const FRACTION_EWMA_WEIGHT = 0.1;
/** Time in which what is known about a fraction or a share halves without calls, in milliseconds. */
const HALF_LIFE_MS = 3000;

/** Value that is forgotten over time. */
type DecayingValue = {value: number; at: number};

/** Admitted fractions of one zone, by priority. */
export type RejectedFractions = Map<number, DecayingValue>;

/** Shares of calls that leave the own zone, by priority. */
export type SpillShares = Map<number, DecayingValue>;

const decayedValue = (decaying: DecayingValue | undefined, now: number): number =>
  (decaying === undefined ? 0 : decaying.value * (2 ** (-(now - decaying.at) / HALF_LIFE_MS)));

/** Mean admitted fraction of a zone; it tends to 1 without responses. */
export const admittedFractionOf = (fractions: RejectedFractions, priority: number, now: number): number =>
  1 - decayedValue(fractions.get(priority), now);

/** Notes the admitted fraction of a response from the zone. */
export const recordAdmittedFraction = (fractions: RejectedFractions, priority: number, fraction: number, now: number): void => {
  const rejected = decayedValue(fractions.get(priority), now);
  fractions.set(priority, {value: rejected + ((1 - fraction - rejected) * FRACTION_EWMA_WEIGHT), at: now});
};

/** Share of the calls of a priority that leaves the own zone. */
export const spillShare = (shares: SpillShares, priority: number, now: number): number => decayedValue(shares.get(priority), now);

/** Tells whether the share may move; steps are at least 100 ms apart. */
export const isSpillStepDue = (shares: SpillShares, priority: number, now: number): boolean =>
  now - (shares.get(priority)?.at ?? Number.NEGATIVE_INFINITY) >= STEP_INTERVAL_MS;

const stepFor = (difference: number): number => {
  if (difference > SPILL_THRESHOLD) {
    return SPILL_STEP;
  }

  return difference < RETURN_THRESHOLD ? -RETURN_STEP : 0;
};

/** Moves the share one step; `remote` is the highest admitted fraction of other zones. */
export const updateSpillShare = (shares: SpillShares, priority: number, fractions: {local: number; remote: number}, now: number): void => {
  const share = decayedValue(shares.get(priority), now) + stepFor(fractions.remote - fractions.local);
  shares.set(priority, {value: Math.min(SPILL_SHARE_MAX, Math.max(0, share)), at: now});
};
