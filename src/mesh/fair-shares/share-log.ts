/** Logs noticeable changes of the shares of the workspaces at a service. */
import type {DecisionLog} from '../decision-log.js';
import type {ServiceDemand} from './service-demand.js';
import type {WorkspaceShares} from './workspace-shares.js';

/** Smallest change of the share of a workspace that is logged. */
const LOGGED_CHANGE_MIN = 0.2;
/** Shortest interval between two lines about one service, in milliseconds. */
const LOG_INTERVAL_MS = 1000;
/** Workspaces that a line names. */
const LOGGED_MAX = 3;

type LoggedShares = {at: number; limited: ReadonlyMap<string, number>; others: number};

const NOTHING_LOGGED: LoggedShares = {at: Number.NEGATIVE_INFINITY, limited: new Map(), others: 1};

const toHundredths = (share: number): number => Math.round(share * 100) / 100;

/** Whether a share has changed noticeably, or whether the limit on a workspace has ended. */
const isNoticeable = (share: number, logged: number): boolean => Math.abs(share - logged) >= LOGGED_CHANGE_MIN || (share === 1 && logged < 1);

/** Creates a function that logs the shares of a service if they have changed noticeably since its last line. */
export const createShareLog = (now: () => number, log: Pick<DecisionLog, 'write'>): ((service: string, demand: ServiceDemand, shares: WorkspaceShares) => void) => {
  const logged = new Map<string, LoggedShares>();
  return (service, demand, {level, named, others}) => {
    const last = logged.get(service) ?? NOTHING_LOGGED;
    const names = new Set([...named.keys(), ...last.limited.keys()]);
    const hasChanged = isNoticeable(others, last.others) || [...names].some(name => isNoticeable(named.get(name) ?? others, last.limited.get(name) ?? 1));
    if (!hasChanged || now() - last.at < LOG_INTERVAL_MS) {
      return;
    }

    const limited = [...named].filter(([, share]) => share < 1);
    logged.set(service, {at: now(), limited: new Map(limited), others});
    log.write('info', 'workspace-shares-changed', {
      service,
      levelMsPerS: Number.isFinite(level) ? Math.round(level) : undefined,
      limited: limited
        .map(([workspace, share]) => ({workspace, admittedShare: toHundredths(share), demandMsPerS: Math.round(demand.named.get(workspace)?.total ?? 0)}))
        .sort((a, b) => b.demandMsPerS - a.demandMsPerS)
        .slice(0, LOGGED_MAX),
      limitedCount: limited.length,
      othersShare: toHundredths(others),
      othersDemandMsPerS: Math.round(demand.others.mean.total * demand.others.count),
      othersCount: demand.others.count,
      ageMs: Math.round(demand.ageMs),
    });
  };
};
