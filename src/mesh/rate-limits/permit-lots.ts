/** Permits that a process or a coordinator holds, each usable up to a time. */

/** Permits that expire together, in milliseconds of the clock, and where they come from. */
export type PermitLot<Source extends string = string> = {permits: number; expiresAt: number; source: Source};

/** Held permits. */
export type PermitLots<Source extends string = string> = {
  add: (lot: PermitLot<Source>) => void;
  /** Permits that may be used at a time. */
  count: (now: number) => number;
  /** Takes permits, the first to expire first. */
  take: (now: number, wanted: number) => Array<PermitLot<Source>>;
  /** Takes permits of one source, the first to expire first, and returns their number. */
  takeFrom: (now: number, source: Source, wanted: number) => number;
};

/** Number of permits in lots or grants. */
export const sumPermits = (parts: ReadonlyArray<Pick<PermitLot, 'permits'>>): number => parts.reduce((sum, {permits}) => sum + permits, 0);

/** Creates an empty store of permits. */
export const createPermitLots = <Source extends string = string>(): PermitLots<Source> => {
  let lots: Array<PermitLot<Source>> = [];

  const dropExpired = (now: number): void => {
    if (lots.some(({expiresAt}) => expiresAt <= now)) {
      lots = lots.filter(({expiresAt}) => expiresAt > now);
    }
  };

  const take = (now: number, wanted: number, isTaken: (lot: PermitLot<Source>) => boolean): Array<PermitLot<Source>> => {
    dropExpired(now);
    let missing = wanted;
    const taken: Array<PermitLot<Source>> = [];
    for (const lot of lots) {
      if (missing <= 0) {
        break;
      }

      if (isTaken(lot)) {
        const permits = Math.min(lot.permits, missing);
        lot.permits -= permits;
        missing -= permits;
        taken.push({...lot, permits});
      }
    }

    lots = lots.filter(({permits}) => permits > 0);
    return taken;
  };

  return {
    add(lot) {
      if (lot.permits > 0) {
        lots.push({...lot});
        lots.sort((a, b) => a.expiresAt - b.expiresAt);
      }
    },
    count(now) {
      dropExpired(now);
      return sumPermits(lots);
    },
    take: (now, wanted) => take(now, wanted, () => true),
    takeFrom: (now, source, wanted) => sumPermits(take(now, wanted, lot => lot.source === source)),
  };
};
