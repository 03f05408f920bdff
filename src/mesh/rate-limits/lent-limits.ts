/** Fractions of the limits that the processes of a zone lend to its coordinator, and the buckets that follow from them. */
import {createLoanBook} from './loans.js';
import {
  createPermitBucket, type PermitBucket, type WorkspaceLimit, type ZonePart,
} from './permit-bucket.js';

/** Limits of the configuration with the fraction of them that is lent. */
export type LentLimits = {
  /** Limit of a workspace; undefined when the configuration has none. */
  limitOf: (workspace: string) => WorkspaceLimit | undefined;
  /** Applies everything that has changed up to now: loans that ended, in their order, then the members and the configuration. */
  advance: (now: number) => void;
  /** Counts the loan of a process until a time. */
  putLoan: (lender: string, fraction: number, until: number) => void;
  /** Fraction of every limit that is lent, as of the last `advance`. */
  fraction: () => number;
  /** Part of the zone that lends, as of the last `advance`. */
  zonePart: () => ZonePart;
  /** Number of processes that lend. */
  lenders: () => number;
  /** Bucket of a workspace without recent requests, as if it had been there since the history begins or its limit was set. */
  createBucket: (workspace: string, limit: WorkspaceLimit, now: number) => PermitBucket;
  /** Drops the history that no bucket needs any more. */
  clean: (now: number) => void;
};

/** Fractions of the limits that this process and its zone own, and the number of zones. */
export type FleetPart = {ofProcess: number; ofZone: number; zones: number};

/** Options of the lent limits. */
export type LentLimitsOptions = {
  createdAt: number;
  /** Limited workspaces by name; a new map with each configuration. */
  limits: () => ReadonlyMap<string, WorkspaceLimit>;
  /** Fractions of the limits that this process and its zone own, and the number of zones. */
  fleetPart: () => FleetPart;
  /** Called when the lent fraction or a limit has changed, with the time of the change. */
  onChange: (at: number) => void;
};

/** Time for which earlier lent fractions are remembered, in milliseconds; the bucket of a workspace without recent requests is filled from them. */
const HISTORY_MS = 10_000;

/** Largest rounding error of a sum of fractions. */
const FRACTION_TOLERANCE = 1e-9;

type Lent = {fraction: number; zonePart: ZonePart};

const isSame = (a: Lent, b: Lent): boolean =>
  a.fraction === b.fraction && a.zonePart.zones === b.zonePart.zones && a.zonePart.isMajority === b.zonePart.isMajority;

/** Creates the limits without loans. */
export const createLentLimits = (options: LentLimitsOptions): LentLimits => {
  const loans = createLoanBook();
  let limits = options.limits();
  let lent: Lent = {fraction: 0, zonePart: {zones: 1, isMajority: false}};
  /** Lent fractions, each from a time on. */
  let history: Array<Lent & {at: number}> = [{at: options.createdAt, ...lent}];
  /** Times at which limits were added or changed, within the time of the history. */
  const changedAt = new Map<string, number>();

  const lentNow = (): Lent => {
    const {ofProcess, ofZone, zones} = options.fleetPart();
    const fraction = loans.fraction(ofProcess, ofZone);
    return {fraction, zonePart: {zones, isMajority: fraction > (ofZone / 2) + FRACTION_TOLERANCE}};
  };

  const applyChange = (at: number): void => {
    lent = lentNow();
    if (!isSame(history.at(-1)!, lent)) {
      history.push({at, ...lent});
    }

    options.onChange(at);
  };

  return {
    limitOf: workspace => limits.get(workspace),
    advance(now) {
      loans.expire(now, applyChange);
      const next = options.limits();
      if (next !== limits) {
        for (const [workspace, limit] of next) {
          const known = limits.get(workspace);
          if (known?.ratePerS !== limit.ratePerS || known.burst !== limit.burst) {
            changedAt.set(workspace, now);
          }
        }

        limits = next;
        applyChange(now);
      } else if (!isSame(lentNow(), lent)) {
        applyChange(now);
      }
    },
    putLoan: loans.put,
    fraction: () => lent.fraction,
    zonePart: () => lent.zonePart,
    lenders: loans.size,
    createBucket(workspace, limit, now) {
      const since = Math.max(history[0]!.at, now - HISTORY_MS, changedAt.get(workspace) ?? Number.NEGATIVE_INFINITY);
      const bucket = createPermitBucket(since);
      for (const step of history) {
        bucket.setShare(Math.max(since, step.at), step.fraction, limit, step.zonePart);
      }

      return bucket;
    },
    clean(now) {
      const kept = history.findLastIndex(({at}) => at <= now - HISTORY_MS);
      history = history.slice(Math.max(0, kept));
      for (const [workspace, at] of changedAt) {
        if (now - at > HISTORY_MS) {
          changedAt.delete(workspace);
        }
      }
    },
  };
};
