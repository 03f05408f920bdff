/**
Admission control: rejects a share of the client requests at this process while a service that their route depends on is overloaded.

A request that fails deep in the call graph has already used capacity of every service above; one that is rejected at its start costs nothing and can be retried.
Each process decides by the queue lengths that the inbound proxies of the service report, so all processes arrive at about the same share without coordination.
Where routes of several priorities depend on a service, its least urgent requests are refused first (`priority-shares.ts`).
Requests of workspaces are refused in another distribution: the share that is admitted in total is divided among the workspaces (`src/mesh/fair-shares`).
*/
import type {Random} from '../../shared/random.js';
import type {DecisionLog} from '../decision-log.js';
import {createBoundedNames} from '../fair-shares/bounded-names.js';
import type {CallOrigin} from '../fair-shares/demand-tracker.js';
import {createEntryServices} from '../fair-shares/entry-services.js';
import {createRequestMix} from '../fair-shares/request-mix.js';
import {createReturnSchedule} from '../fair-shares/return-schedule.js';
import {createServiceShares, type ServiceShares} from '../fair-shares/service-shares.js';
import {addServiceDemands, type ServiceDemand} from '../fair-shares/service-demand.js';
import {createShareLog} from '../fair-shares/share-log.js';
import type {Dependencies} from './dependencies.js';
import {createPriorityLog} from './priority-log.js';
import {ADMITTED_SHARE_MIN, admittedTotal} from './priority-shares.js';
import {createRefusalLevels, type ServiceLoad} from './refusal-levels.js';
import type {Route, Workspace} from './routing-configuration.js';
import {createServicePriorities} from './service-priorities.js';

/** Decides which client requests this process forwards. */
export type AdmissionController = {
  /**
  Whether to admit a request.
  A retry by a client is admitted with a higher probability than a new request, except where capacity is divided among workspaces or priorities.
  */
  admit: (request: AdmissionRequest, random: Random) => boolean;
  /** Updates the admitted shares from the load of the services that routes depend on; to be called at short intervals. */
  update: () => void;
  /** Share of the new requests of this kind that is admitted. */
  admittedShare: (kind: RequestKind) => number;
  /** What the calls for a request tell of it, so that they also stand for the requests that are refused. */
  callOrigin: (kind: RequestKind) => CallOrigin;
  /** Time after which a refused request of a workspace may return, in milliseconds; undefined for a request without a workspace. */
  retryAfterMs: (workspace: Pick<Workspace, 'name'> | undefined, remainingMs: number) => number | undefined;
};

/** What decides about the admission of a request; a lower priority number is more urgent. */
export type RequestKind = {route: Pick<Route, 'name' | 'targets'>; priority: number; workspace: Pick<Workspace, 'name'> | undefined};

/** A request that may be admitted. */
export type AdmissionRequest = RequestKind & {
  /** Whether the client seems to be retrying the request. */
  isClientRetry: boolean;
};

/** Options of the admission controller. */
export type AdmissionControllerOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'write' | 'count'>;
  dependencies: Pick<Dependencies, 'servicesOf' | 'dependentPriorities' | 'list'>;
  /** Priorities that requests of routes with these priorities may have. @default those of the routes */
  requestPriorities?: (routePriorities: readonly number[]) => readonly number[];
  /** Current load of a service. */
  serviceLoad: (service: string) => ServiceLoad;
  /** Recent demand for a service by workspace; undefined without a recent report. */
  workspaceDemand: (service: string) => ServiceDemand | undefined;
};

/** Factor on the refused share of a workspace's requests for each dependent priority that is less urgent than their own. */
const PRIORITY_FACTOR = 0.7;
/** Lowest mean urgency factor that scales the refusal level for division: with many ranks, the level would otherwise reach its end before it refuses enough of urgent requests. */
const MEAN_URGENCY_MIN = 0.5;
/** Time for which the shares of the workspaces are kept after the refusal level has fallen to zero, in milliseconds: the reported demand still follows from them. */
const SHARES_KEPT_MS = 3000;
/** Workspaces whose refused requests are counted by name. */
const COUNTED_WORKSPACES_MAX = 100;
/** Priorities whose refused requests are counted by number. */
const COUNTED_PRIORITIES_MAX = 100;

/** Shares of the workspaces at a service, and the last time at which it was overloaded. */
type DividedService = {shares: ServiceShares; overloadedAt: number};

/** Creates an admission controller; it admits everything until `update` observes an overload. */
export const createAdmissionController = ({now, log, dependencies, requestPriorities, serviceLoad, workspaceDemand}: AdmissionControllerOptions): AdmissionController => {
  const refusalLevels = createRefusalLevels(log);
  const servicePriorities = createServicePriorities({dependencies: dependencies.list});
  const entryServices = createEntryServices(now);
  const dividedServices = new Map<string, DividedService>();
  const requestMix = createRequestMix();
  const returnSchedule = createReturnSchedule(now);
  const logShares = createShareLog(now, log);
  const logPriorities = createPriorityLog(now, log);
  const workspaceLabel = createBoundedNames(COUNTED_WORKSPACES_MAX);
  const priorityLabel = createBoundedNames(COUNTED_PRIORITIES_MAX);
  let updatedAt = now();

  /** Factor that a priority has on the refused share of a workspace at a service. */
  const urgencyFactor = (service: string, priority: number): number => {
    const priorities = dependencies.dependentPriorities(service);
    return PRIORITY_FACTOR ** (requestPriorities?.(priorities) ?? priorities).filter(other => other > priority).length;
  };

  /** Services whose overload matters to a request. Those that it is sent to count for workspaces only, since their queues refuse requests without regard to workspaces. */
  const servicesOf = ({route, workspace}: RequestKind): string[] => workspace === undefined
    ? dependencies.servicesOf(route.name)
    : [...new Set([...dependencies.servicesOf(route.name), ...route.targets.map(({service}) => service)])];

  /** Admitted share of a request as far as one service is concerned. */
  const admittedShareAt = (service: string, {priority, workspace}: RequestKind): number => {
    const level = refusalLevels.of(service);
    const divided = workspace === undefined ? undefined : dividedServices.get(service);
    if (level === 0 && divided === undefined) {
      return 1;
    }

    if (workspace === undefined) {
      return servicePriorities.admittedShare(service, priority, level);
    }

    const factor = urgencyFactor(service, priority);
    return divided === undefined
      ? Math.max(ADMITTED_SHARE_MIN, 1 - (level * factor))
      : divided.shares.admittedShare(workspace.name, factor);
  };

  const admittedShare = (kind: RequestKind): number => Math.min(1, ...servicesOf(kind).map(service => admittedShareAt(service, kind)));

  /** Whether to admit a request without a workspace. Where capacity is divided, retries are not favoured: those of less urgent requests would take the place of urgent ones. */
  const admitByPriority = (request: AdmissionRequest, random: Random): boolean => {
    const services = servicesOf(request);
    const probabilities = services.map(service => {
      const share = admittedShareAt(service, request);
      return request.isClientRetry && !servicePriorities.isDivided(service) ? Math.sqrt(share) : share;
    });
    const isAdmitted = random() < Math.min(1, ...probabilities);
    servicePriorities.record(services, request.priority);
    if (!isAdmitted) {
      log.count('priority_refusals', priorityLabel(String(request.priority)));
    }

    return isAdmitted;
  };

  /** Demand by workspace of the services through which requests reach a service. */
  const findDemand = (service: string): ServiceDemand | undefined => {
    const counted = [...entryServices.byRoute()].flatMap(([route, targets]) => {
      if (targets.includes(service)) {
        return [service];
      }

      return dependencies.servicesOf(route).includes(service) ? targets : [];
    });
    return addServiceDemands([...new Set(counted)].map(counting => workspaceDemand(counting)).filter(demand => demand !== undefined));
  };

  /** Divides what is admitted for a service among the workspaces. Without recent reports of their use, all are refused alike. */
  const updateShares = (service: string): void => {
    const level = refusalLevels.of(service);
    const known = dividedServices.get(service);
    const overloadedAt = level > 0 ? now() : (known?.overloadedAt ?? Number.NEGATIVE_INFINITY);
    const demand = now() - overloadedAt <= SHARES_KEPT_MS ? findDemand(service) : undefined;
    if (demand === undefined) {
      dividedServices.delete(service);
      return;
    }

    const {shares} = known ?? {shares: createServiceShares()};
    dividedServices.set(service, {shares, overloadedAt});
    shares.update(demand, admittedTotal(level * Math.max(MEAN_URGENCY_MIN, shares.meanUrgencyFactor())));
    logShares(service, demand, shares.shares()!);
  };

  return {
    update() {
      const elapsedMs = now() - updatedAt;
      updatedAt = now();
      const dependedOn = new Set(dependencies.servicesOf());
      const services = new Set([...dependedOn, ...[...entryServices.byRoute().values()].flat()]);
      for (const service of services) {
        const load = serviceLoad(service);
        // Requests wait for links to the service that they go to; its backend servers may be about to be known.
        if (load.backends === 0 && !dependedOn.has(service)) {
          refusalLevels.reset(service, load);
        } else {
          refusalLevels.update(service, load, elapsedMs);
        }

        updateShares(service);
      }

      servicePriorities.update(new Set([...services].filter(service => refusalLevels.of(service) > 0)));
      for (const service of services) {
        logPriorities(service, servicePriorities.shares(service, refusalLevels.of(service)));
      }
    },
    admit(request, random) {
      const {route, priority, workspace, isClientRetry} = request;
      if (workspace === undefined) {
        return admitByPriority(request, random);
      }

      const admitted = admittedShare(request);
      entryServices.record(route);
      const divided = servicesOf(request).filter(service => dividedServices.has(service));
      for (const service of divided) {
        dividedServices.get(service)!.shares.recordRequest(workspace.name, urgencyFactor(service, priority));
      }

      if (divided.length > 0) {
        requestMix.record(workspace.name, isClientRetry);
      }

      // A workspace whose clients retry at once would otherwise get more than its share.
      const isAdmitted = random() < (isClientRetry && divided.length === 0 ? Math.sqrt(admitted) : admitted);
      if (isAdmitted) {
        returnSchedule.recordAdmitted(workspace.name);
      } else {
        log.count('workspace_refusals', workspaceLabel(workspace.name));
      }

      return isAdmitted;
    },
    admittedShare,
    callOrigin(kind) {
      if (kind.workspace === undefined) {
        return {};
      }

      const {name: workspace} = kind.workspace;
      const share = admittedShare(kind);
      return share < 1 ? {workspace, admittedShare: share, freshShare: requestMix.freshShare(workspace)} : {workspace};
    },
    retryAfterMs: (workspace, remainingMs) => workspace === undefined ? undefined : returnSchedule.delayMs(workspace.name, remainingMs),
  };
};
