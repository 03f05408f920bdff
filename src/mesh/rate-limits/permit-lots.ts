/** Permits that a process or a coordinator holds, each usable up to a time. */

/** Permits that expire together, in milliseconds of the clock, and the process that granted them. */
export type PermitLot = {permits: number; expiresAt: number; source: string};

/** Held permits. */
export type PermitLots = {
  add: (lot: PermitLot) => void;
  /** Permits that may be used at a time. */
  count: (now: number) => number;
  /** Takes permits, the first to expire first. */
  take: (now: number, wanted: number) => PermitLot[];
  /** Takes permits of one source, the first to expire first, and returns their number. */
  takeFrom: (now: number, source: string, wanted: number) => number;
};

/** Number of permits in lots or grants. */
export const sumPermits = (parts: ReadonlyArray<Pick<PermitLot, 'permits'>>): number => parts.reduce((sum, {permits}) => sum + permits, 0);

/** Creates an empty store of permits. */
export const createPermitLots = (): PermitLots => {
  let lots: PermitLot[] = [];

  const dropExpired = (now: number): void => {
    if (lots.some(({expiresAt}) => expiresAt <= now)) {
      lots = lots.filter(({expiresAt}) => expiresAt > now);
    }
  };

  const take = (now: number, wanted: number, isTaken: (lot: PermitLot) => boolean): PermitLot[] => {
    dropExpired(now);
    let missing = wanted;
    const taken: PermitLot[] = [];
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
