/** Logs noticeable changes of the admitted shares of the priorities at a service. */
import type {DecisionLog} from '../decision-log.js';
import type {PriorityShare} from './service-priorities.js';

/** Smallest change of the admitted share of a priority that is logged. */
const LOGGED_CHANGE_MIN = 0.2;
/** Shortest interval between two lines about one service, in milliseconds. */
const LOG_INTERVAL_MS = 1000;
/** Priorities that a line names, the most urgent first. */
const LOGGED_MAX = 8;

type LoggedShares = {at: number; shares: ReadonlyMap<number, number>};

const NOTHING_LOGGED: LoggedShares = {at: Number.NEGATIVE_INFINITY, shares: new Map()};

const toHundredths = (share: number): number => Math.round(share * 100) / 100;

/** Whether a share has changed noticeably, or whether refusals have ended. */
const isNoticeable = (share: number, logged: number): boolean => Math.abs(share - logged) >= LOGGED_CHANGE_MIN || (share === 1 && logged < 1);

/** Creates a function that logs the shares at a service if one has changed noticeably since its last line; without shares, everything is admitted. */
export const createPriorityLog = (now: () => number, log: Pick<DecisionLog, 'write'>): ((service: string, shares: readonly PriorityShare[]) => void) => {
  const logged = new Map<string, LoggedShares>();
  return (service, shares) => {
    if (shares.length === 0 && !logged.has(service)) {
      return;
    }

    const last = logged.get(service) ?? NOTHING_LOGGED;
    const current = new Map(shares.map(({priority, admittedShare}) => [priority, admittedShare]));
    const priorities = new Set([...current.keys(), ...last.shares.keys()]);
    const hasChanged = [...priorities].some(priority => isNoticeable(current.get(priority) ?? 1, last.shares.get(priority) ?? 1));
    if (!hasChanged || now() - last.at < LOG_INTERVAL_MS) {
      return;
    }

    logged.set(service, {at: now(), shares: current});
    log.write('info', 'priority-shares-changed', {
      service,
      priorities: shares.slice(0, LOGGED_MAX).map(({priority, admittedShare, demandShare}) => ({priority, admittedShare: toHundredths(admittedShare), demandShare: toHundredths(demandShare)})),
    });
  };
};
