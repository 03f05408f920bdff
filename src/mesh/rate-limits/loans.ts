/** Loans of fractions of the limits: those that a process gives, and those that a coordinator counts. */
import {LOAN_MS} from './times.js';

/** Fraction that a process lends, with the last clock of the coordinator that it has seen. */
export type Loan = {fraction: number; echoedClock: number | undefined};

/** What a process lends. */
export type Lender = {
  /** Records the clock in an answer of a coordinator, and returns whether it is the first one. */
  recordClock: (coordinator: string, clock: number) => boolean;
  /** Loan to send to a coordinator now; undefined while the fraction may still count elsewhere. */
  lend: (now: number, coordinator: string, fraction: number) => Loan | undefined;
  /** Whether the fraction counts nowhere and can be lent to a coordinator. */
  isFree: (now: number, coordinator: string) => boolean;
  /** Coordinator to which the fraction is lent; undefined when the loan has ended. */
  borrower: (now: number) => string | undefined;
};

/** Coordinators whose clock is remembered: the present one, an earlier one and those of other zones. */
const CLOCKS_MAX = 64;

/** Creates a lender. Before `readyAt` the fraction may still count from before a restart. */
export const createLender = (readyAt: number): Lender => {
  const clocks = new Map<string, number>();
  let borrower: string | undefined;
  let lentUntil = Number.NEGATIVE_INFINITY;
  return {
    recordClock(coordinator, clock) {
      const isFirst = !clocks.delete(coordinator);
      clocks.set(coordinator, clock);
      if (clocks.size > CLOCKS_MAX) {
        clocks.delete(clocks.keys().next().value!);
      }

      return isFirst;
    },
    lend(now, coordinator, fraction) {
      const echoedClock = clocks.get(coordinator);
      const isLentElsewhere = borrower !== coordinator && now < lentUntil;
      if (fraction <= 0 || now < readyAt || isLentElsewhere || echoedClock === undefined) {
        return undefined;
      }

      borrower = coordinator;
      lentUntil = now + LOAN_MS;
      return {fraction, echoedClock};
    },
    isFree: (now, coordinator) => now >= readyAt && now >= lentUntil && clocks.has(coordinator),
    borrower: now => now < lentUntil ? borrower : undefined,
  };
};

/** Loans that a coordinator counts. */
export type LoanBook = {
  /** Counts a loan of a process until a time, or a smaller or larger one from now on. */
  put: (lender: string, fraction: number, until: number) => void;
  /** Ends the loans whose time has come up to `now`, one after the other; `onChange` is called after each with its time. */
  expire: (now: number, onChange: (at: number) => void) => void;
  /** Sum of the loans, each and all together with at most what the coordinator itself knows of the fleet. */
  fraction: (ownFraction: number, zoneFraction: number) => number;
  size: () => number;
};

/** Creates an empty book. */
export const createLoanBook = (): LoanBook => {
  const loans = new Map<string, {fraction: number; until: number}>();
  return {
    put(lender, fraction, until) {
      loans.set(lender, {fraction, until});
    },
    expire(now, onChange) {
      const ended = [...loans].filter(([, {until}]) => until <= now).sort(([, a], [, b]) => a.until - b.until);
      for (const [lender, {until}] of ended) {
        loans.delete(lender);
        onChange(until);
      }
    },
    fraction: (ownFraction, zoneFraction) => Math.min(zoneFraction, [...loans.values()].reduce((sum, {fraction}) => sum + Math.min(ownFraction, fraction), 0)),
    size: () => loans.size,
  };
};
