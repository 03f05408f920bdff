/** Bounds this process's share of the sends beyond the first of each request, by service. */

/** Budget of a process. */
export type RetryBudget = {
  /** Counts the first send of a request. */
  noteRequest: (service: string) => void;
  /** Takes one further send; false when the budget is spent. */
  take: (service: string) => boolean;
};

/** Options of a budget. */
export type RetryBudgetOptions = {
  now: () => number;
  /** Further sends per request. */
  ratio: number;
  windowMs: number;
  /** Further sends in a window that are free, over the whole fleet. */
  slack: () => number;
};

/** Parts of a window that are counted apart, so that it slides. */
const PARTS = 10;
/** Part of the bound that is used: calls made by a repeated call count as repeats at the services below. */
const USED_SHARE = 0.5;

type Counts = {requests: number[]; repeats: number[]; part: number};

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Creates a budget. */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
  const services = new Map<string, Counts>();
  const partMs = options.windowMs / PARTS;

  const countsOf = (service: string): Counts => {
    const part = Math.floor(options.now() / partMs);
    const counts = services.get(service) ?? {requests: Array.from({length: PARTS}, () => 0), repeats: Array.from({length: PARTS}, () => 0), part};
    services.set(service, counts);
    const passed = Math.min(PARTS, part - counts.part);
    for (let step = 1; step <= passed; step++) {
      const index = (counts.part + step) % PARTS;
      counts.requests[index] = 0;
      counts.repeats[index] = 0;
    }

    counts.part = Math.max(counts.part, part);
    return counts;
  };

  return {
    noteRequest(service) {
      const counts = countsOf(service);
      counts.requests[counts.part % PARTS]!++;
    },
    take(service) {
      const counts = countsOf(service);
      const allowed = ((options.ratio * sum(counts.requests)) + options.slack()) * USED_SHARE;
      if (sum(counts.repeats) + 1 > allowed) {
        return false;
      }

      counts.repeats[counts.part % PARTS]!++;
      return true;
    },
  };
};
