/** Counts events in a sliding window. */

/** Counter of a window. */
export type WindowCounter = {
  add: () => void;
  /** Events within the window. */
  count: () => number;
  /** Events within the newest parts of the window, a tenth to a fifth of it. */
  newest: () => number;
};

/** Parts of a window that are counted apart, so that it slides. */
const PARTS = 10;

/** Creates an empty counter. */
export const createWindowCounter = (now: () => number, windowMs: number): WindowCounter => {
  const partMs = windowMs / PARTS;
  const counts = Array.from({length: PARTS}, () => 0);
  let part = Math.floor(now() / partMs);
  let total = 0;

  const slide = (): void => {
    const current = Math.floor(now() / partMs);
    const passed = Math.min(PARTS, current - part);
    for (let step = 1; step <= passed; step++) {
      const index = (part + step) % PARTS;
      total -= counts[index]!;
      counts[index] = 0;
    }

    part = Math.max(part, current);
  };

  return {
    add() {
      slide();
      counts[part % PARTS]!++;
      total++;
    },
    count() {
      slide();
      return total;
    },
    newest() {
      slide();
      return counts[part % PARTS]! + counts[(part + PARTS - 1) % PARTS]!;
    },
  };
};
