/** Tells how the demand for a service is divided among the priorities of the requests that depend on it. */

/** Mix of the requests that arrived at this process. */
export type PriorityMix = {
  /** Records a request, whether or not it is admitted. */
  record: (priority: number) => void;
  /** Part of each priority in the recent requests, by priority; empty before the first one. */
  shares: () => ReadonlyMap<number, number>;
};

/** Weight of the newest request in the mix, which covers about the last hundred requests. */
const SMOOTHING = 0.01;
/** Part below which a priority is forgotten; it is left by priorities of an earlier configuration. */
const SHARE_MIN = 0.0001;

/** Creates a mix without requests. */
export const createPriorityMix = (): PriorityMix => {
  const shares = new Map<number, number>();
  let requests = 0;
  return {
    record(priority) {
      requests++;
      const weight = Math.max(SMOOTHING, 1 / requests);
      shares.set(priority, shares.get(priority) ?? 0);
      for (const [known, share] of shares) {
        const next = share + (weight * ((known === priority ? 1 : 0) - share));
        if (next < SHARE_MIN) {
          shares.delete(known);
        } else {
          shares.set(known, next);
        }
      }
    },
    shares: () => shares,
  };
};
