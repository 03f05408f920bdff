/** Admitted shares of the workspaces at one overloaded service. */
import type {ServiceDemand} from './service-demand.js';
import {divideCapacity, type WorkspaceShares} from './workspace-shares.js';

/** Admitted shares at one service. */
export type ServiceShares = {
  /** Divides a capacity for the share `admittedShare` of the demand among the workspaces. */
  update: (demand: ServiceDemand, admittedShare: number) => void;
  /**
  Share of the requests of a workspace that is admitted; `urgencyFactor` is the factor that their priority has on the refused share.
  Within a workspace, the factor moves refusals to the less urgent requests without changing their total.
  */
  admittedShare: (workspace: string, urgencyFactor: number) => number;
  /** Records the urgency of a request, whether or not it is admitted. */
  recordRequest: (workspace: string, urgencyFactor: number) => void;
  /** Mean urgency factor of all requests. */
  meanUrgencyFactor: () => number;
  /** Result of the last division; undefined before it. */
  shares: () => WorkspaceShares | undefined;
};

/** Weight of the newest request in a mean urgency factor. */
const URGENCY_SMOOTHING = 0.02;
/** Lowest admitted share of the least urgent requests, as a part of that of their workspace. */
const LEAST_URGENT_MIN = 0.3;

const approach = (value: number | undefined, target: number): number => value === undefined ? target : value + (URGENCY_SMOOTHING * (target - value));

/** Creates the shares of a service at which everything is admitted. */
export const createServiceShares = (): ServiceShares => {
  let divided: WorkspaceShares | undefined;
  let meanFactor: number | undefined;
  /** Mean urgency factors of the workspaces that are known by name, and of the others together. */
  let namedFactors = new Map<string, number>();
  let othersFactor: number | undefined;

  const shareOf = (workspace: string): number => divided?.named.get(workspace) ?? divided?.others ?? 1;

  return {
    update(demand, admittedShare) {
      divided = divideCapacity(demand, admittedShare);
      namedFactors = new Map([...namedFactors].filter(([workspace]) => demand.named.has(workspace)));
    },
    admittedShare(workspace, urgencyFactor) {
      const share = shareOf(workspace);
      const workspaceFactor = (divided?.named.has(workspace) ? namedFactors.get(workspace) : othersFactor) ?? urgencyFactor;
      return Math.min(1, Math.max(LEAST_URGENT_MIN * share, 1 - ((1 - share) * urgencyFactor / workspaceFactor)));
    },
    recordRequest(workspace, urgencyFactor) {
      meanFactor = approach(meanFactor, urgencyFactor);
      if (divided?.named.has(workspace)) {
        namedFactors.set(workspace, approach(namedFactors.get(workspace), urgencyFactor));
      } else {
        othersFactor = approach(othersFactor, urgencyFactor);
      }
    },
    meanUrgencyFactor: () => meanFactor ?? 1,
    shares: () => divided,
  };
};
