/** Composition root of the process on a backend server host. */
import type {Random} from '../shared/random.js';
import {createAdmissionController} from './entry/admission.js';
import {createCallGraph} from './entry/call-graph.js';
import {createRequestMetrics, type RequestMetrics} from './entry/request-metrics.js';
import {createClientRoutes} from './entry/client-routes.js';
import {createSuspendAwareClock} from './clock.js';
import {createCrashGuard} from './inbound/crash-guard.js';
import type {DecisionLog} from './decision-log.js';
import {createDepartedHosts} from './members/departed-hosts.js';
import type {Announcement} from './inbound/announcement.js';
import {createDependencies} from './entry/dependencies.js';
import type {DownstreamFailures} from './inbound/inbound-call.js';
import {createInboundProxy, type InboundProxy} from './inbound/inbound-proxy.js';
import {CONNECTION_LIMIT_DEFAULTS} from './client-limits/limits.js';
import {createCallerListener} from './entry/caller-listener.js';
import {createFleet} from './links/fleet.js';
import {changedObjects, type ObjectWatcher} from './store/object-watcher.js';
import {watchStore} from './store/store-watchers.js';
import type {BackendState, Member} from './message.js';
import type {ObjectStore, StoredObject} from './store/object-store.js';
import type {HttpDialect} from './entry/http-dialect.js';
import {createLearntRouteSpread} from './entry/learnt-routes.js';
import {createListedMembers} from './members/listed-members.js';
import {createMemberDirectory} from './members/member-directory.js';
import {createPlannedStop} from './planned-stop.js';
import {areDeparturesKept} from './store/kept-departures.js';
import {createRegistration} from './store/registration.js';
import {createProcessMemory} from './released-memory/process-memory.js';
import {createRequestContent} from './inbound/request-content.js';
import {createRetryBudget} from './entry/retry-budget.js';
import {createRouteTable, type RouteTable} from './entry/route-table.js';
import type {RoutingConfiguration} from './entry/routing-configuration.js';
import type {HostSettings} from './settings.js';
import {createWorkspaceRateLimiter} from './rate-limits/workspace-rate-limiter.js';
import {decodeCrashRecords} from './store/stored-crash-records.js';

/** Options of a host node. */
export type NodeOptions = {
  settings: HostSettings;
  log: DecisionLog;
  store: ObjectStore;
  dialect: HttpDialect;
  random: Random;
  /** Object kind of the operator's configuration in the store. */
  configurationKind: string;
  /** Decodes the configuration from the objects of that kind; undefined when there is no valid one. */
  readConfiguration: (objects: ReadonlyMap<string, StoredObject>) => RoutingConfiguration | undefined;
};

/** The process on one backend server host. */
export type HostNode = {
  start: () => Promise<void>;
  /** Stops gracefully; resolves when the process may exit. */
  stop: () => Promise<void>;
  /** Closes all connections and listeners at once. */
  kill: () => void;
  /** Whether the process has a configuration and knows other members or the member list, and is not stopping. */
  isReady: () => boolean;
  /** Open outgoing links, accepted incoming links, and the version of the configuration in force (0 without one). */
  status: () => {links: number; incoming: number; configurationVersion: number};
  /** Queue and dispatcher in front of the local backend server. */
  inboundProxy: InboundProxy;
  /** What the local backend server says of itself. Both resolve to whether this process may confirm it: a leaving only once it outlasts the process. */
  announcements: {
    announce: (announcement: Announcement) => Promise<boolean>;
    leave: (instance: string, startedAt?: number) => Promise<boolean>;
  };
  /** Metrics of the requests that have arrived at this host. */
  metrics: RequestMetrics;
};

/** Interval of the periodic work, such as timeouts, pings and reconnects, in milliseconds. */
const TICK_MS = 50;
/** Share of the memory for connections of callers above which long responses of the backend server wait for each other. */
const RESPONSE_WAIT_SHARE = 0.25;
/** Share of the memory for connections of callers that bodies of calls from other processes hold at most. */
const PEER_BODY_SHARE = 0.5;
/** Interval at which the admitted shares are updated, in milliseconds. */
const ADMISSION_INTERVAL_MS = 100;
/** Interval at which the dependencies of routes are derived from the observed call graph, in milliseconds. */
const DEPENDENCY_INTERVAL_MS = 500;
/** Time without a tick after which the process counts as suspended, in milliseconds: several ticks, and less than the time without data after which a link is closed. */
const STALL_THRESHOLD_MS = 300;

/** Creates a host node; nothing listens before `start`. */
export const createHostNode = (options: NodeOptions): HostNode => {
  const {settings, log, store, random} = options;
  const clock = createSuspendAwareClock();
  const {now} = clock;
  const self: Member = {
    node: settings.node, address: settings.listen.peer, zone: settings.zone, service: settings.service,
  };
  const metrics = createRequestMetrics();
  let routeTable: RouteTable | undefined;
  let stopping = false;
  /** The planned stop; a second signal does not end it sooner. */
  let stopped: Promise<void> | undefined;
  const directory = createMemberDirectory();
  const listedMembers = createListedMembers(directory, log);
  const downstreamFailures: DownstreamFailures = {lastFailureAt: Number.NEGATIVE_INFINITY, overloadedAt: new Map()};

  const clientRoutes = createClientRoutes({
    service: settings.service,
    services: () => fleet.services(),
    onNewOrigin(origin) {
      log.write('debug', 'route-origin-seen', {...origin});
      learntRoutes.addOrigin(origin);
    },
  });

  const callGraph = createCallGraph(edge => {
    log.write('info', 'call-edge-learnt', {...edge});
    learntRoutes.addEdge(edge);
  });

  const dependencies = createDependencies({
    now,
    onLearnt(dependency) {
      log.write('info', 'dependency-learnt', {...dependency});
      learntRoutes.addDependency(dependency);
    },
  });

  const learntRoutes = createLearntRouteSpread({
    now, clientRoutes, callGraph, dependencies,
  });

  const crashGuard = createCrashGuard({
    now,
    log,
    self: settings.node,
    nodes: () => directory.members().map(({node}) => node),
    content: createRequestContent(options.dialect.readCaller),
    publish(records, isOwn) {
      fleet.publishCrashes(records, isOwn);
    },
    persist(records) {
      registration.setCrashRecords(records);
    },
  });

  const inboundProxy = createInboundProxy({
    dialect: options.dialect,
    now,
    log,
    crashGuard,
    drainMs: settings.bounds.drainMs,
    retryWindowMs: settings.bounds.retryWindowMs,
    announcementMs: settings.announcementMs,
    downstreamFailures: () => downstreamFailures,
    responseWaitBytes: settings.heldBytesMax * RESPONSE_WAIT_SHARE,
    unsentBytes: () => fleet.unsentBytes(),
    bodyBytesMax: settings.heldBytesMax * PEER_BODY_SHARE,
    hasRoom: () => releasedMemory.hasRoom(),
    connectionLimit: service => routeTable?.configuration.services.find(limits => limits.service === service)?.connections ?? Number.POSITIVE_INFINITY,
    onStateChange(state: BackendState) {
      fleet.publishBackendState(state);
    },
    awaitsDepartures: true,
    onDeparture(departures) {
      registration.setDepartures(departures);
    },
  });

  const applyConfiguration = (configuration: RoutingConfiguration, from: string): void => {
    if (configuration.version <= (routeTable?.version ?? 0)) {
      return;
    }

    routeTable = createRouteTable(configuration);
    log.write('info', 'configuration-in-force', {
      version: configuration.version, routes: configuration.routes.length, workspaces: configuration.workspaces?.length, from,
    });
    callerListener.setLimits(configuration.limits);
    fleet.announceVersions();
  };

  const rateLimits = createWorkspaceRateLimiter({
    self,
    now,
    log,
    workspaces: () => routeTable?.configuration.workspaces,
    fleet: {generation: directory.generation, members: directory.listedMembers},
    isOpen: node => fleet.isOpen(node),
    send(node, message) {
      fleet.send(node, message);
    },
  });

  const fleet = createFleet({
    self, now, log, random, rateLimits, inboundProxy, directory, learntRoutes, crashGuard, configurationMs: settings.bounds.configurationMs, configuration: () => routeTable?.configuration, onConfiguration: applyConfiguration,
  });

  const budget = createRetryBudget({
    now, ratio: settings.bounds.retryRatio, windowMs: settings.bounds.retryWindowMs, slack: settings.bounds.retrySlack, processCount: () => directory.members().length, callCounts: service => fleet.callCounts(service),
  });

  /** Makes each client route depend on the services of all routes that are called on its behalf. */
  const deriveDependencies = (): void => {
    const routes = routeTable?.configuration.routes ?? [];
    const targets = new Map(routes.map(route => [route.name, route.targets.map(({service}) => service)]));
    for (const {name: route, priority} of routes.filter(({name}) => clientRoutes.has(name))) {
      const services = [...callGraph.calledRoutes(route, clientRoutes.has)].flatMap(called => targets.get(called) ?? []);
      dependencies.merge(services.map(service => ({route, priority, service})));
    }
  };

  const admission = createAdmissionController({
    now,
    log,
    dependencies,
    requestPriorities: routePriorities => routeTable?.priorities.all(routePriorities) ?? routePriorities,
    serviceLoad: service => fleet.serviceLoad(service),
    workspaceDemand: service => fleet.workspaceDemand(service),
  });

  const releasedMemory = createProcessMemory({
    now, log, heldBytesMax: settings.heldBytesMax, heldBytes: () => callerListener.heldBytes() + inboundProxy.bodies.heldBytes(),
  });

  const callerListener = createCallerListener({
    releasedMemory,
    address: settings.listen.entry,
    dialect: options.dialect,
    callerService: settings.service,
    zone: settings.zone,
    routeTable: () => routeTable,
    log,
    now,
    random,
    fleet,
    budget,
    crashGuard,
    admission,
    dependencies,
    rateLimits,
    isClientRoute: clientRoutes.has,
    onArrived(route) {
      clientRoutes.observe(route);
      callGraph.observe(inboundProxy.runningRoutes(), route);
    },
    heldBytesMax: settings.heldBytesMax,
    clientLimits: {...CONNECTION_LIMIT_DEFAULTS, ...settings.clientLimits},
    onFinished: metrics.record,
    onRefused: metrics.recordRefused,
    onCallFailed(overloadedServices) {
      downstreamFailures.lastFailureAt = now();
      for (const service of overloadedServices) {
        downstreamFailures.overloadedAt.set(service, now());
      }
    },
  });

  const registration = createRegistration({
    self, store, log, random, onRestored: inboundProxy.restoreDepartures, onCreated: rateLimits.recordListed,
  });
  const departedHosts = createDepartedHosts({
    now, random, store, log,
  });
  const watchers: ObjectWatcher[] = [];
  let tickTimer: NodeJS.Timeout | undefined;
  let lastTickAt = now();
  let reconciledRevision = 0;
  let admissionUpdatedAt = now();
  let dependenciesDerivedAt = now();

  /** Restores the entry of this process when a newer member list lacks it. */
  const reconcileRegistration = (): void => {
    if (directory.revision() > reconciledRevision) {
      reconciledRevision = directory.revision();
      registration.reconcile(directory.entryOf(self.node), reconciledRevision);
    }
  };

  const updateAdmission = (): void => {
    if (now() - admissionUpdatedAt >= ADMISSION_INTERVAL_MS) {
      admissionUpdatedAt = now();
      admission.update();
    }
  };

  const tick = (): void => {
    const suspendedMs = clock.detectSuspension();
    const stalledMs = now() - lastTickAt;
    if (stalledMs > STALL_THRESHOLD_MS) {
      log.write('warn', 'suspended', {ms: Math.round(stalledMs), hostMs: Math.round(suspendedMs)});
      fleet.resetLiveness();
      inboundProxy.resetAnnouncementTimeout();
    }

    lastTickAt = now();

    releasedMemory.update();
    fleet.tick();
    rateLimits.tick();
    for (const watcher of watchers) {
      watcher.wake();
    }

    reconcileRegistration();
    departedHosts.tick();
    inboundProxy.tick();
    crashGuard.tick();
    updateAdmission();
    if (now() - dependenciesDerivedAt > DEPENDENCY_INTERVAL_MS) {
      dependenciesDerivedAt = now();
      deriveDependencies();
    }
  };

  const kill = (): void => {
    clearInterval(tickTimer);
    for (const watcher of watchers) {
      watcher.stop();
    }

    registration.close();
    callerListener.close();
    fleet.close();
    inboundProxy.close();
    store.close();
  };

  const stopNow = createPlannedStop({
    now,
    log,
    graceMs: settings.bounds.graceMs,
    callerListener,
    inboundProxy,
    registration,
    requestMaxMs: () => Math.max(0, ...(routeTable?.configuration.routes.map(({timeoutMs}) => timeoutMs) ?? [])),
    kill,
  });

  return {
    announcements: {
      async announce(announcement) {
        inboundProxy.announce(announcement);
        return announcement.state === 'ready' || areDeparturesKept(registration);
      },
      async leave(instance, startedAt) {
        inboundProxy.leave(instance, startedAt);
        return areDeparturesKept(registration);
      },
    },
    async start() {
      await fleet.start();
      await callerListener.start();
      tickTimer = setInterval(tick, TICK_MS);
      registration.register();
      watchers.push(...watchStore({
        store,
        log,
        random,
        now,
        configurationKind: options.configurationKind,
        configurationMs: settings.bounds.configurationMs,
        storeReaders: fleet.storeReaders,
        onConfigurationRead: fleet.recordStoreRead,
        onConfiguration(objects) {
          const configuration = options.readConfiguration(objects);
          if (configuration !== undefined) {
            applyConfiguration(configuration, 'store');
          }
        },
        onMembers(change) {
          listedMembers.apply(change);
          departedHosts.apply(change);
          for (const {name, value} of changedObjects(change)) {
            crashGuard.restore(decodeCrashRecords(value), name === settings.node);
          }

          fleet.announceVersions();
        },
      }));
    },
    async stop() {
      stopping = true;
      stopped ??= stopNow();
      return stopped;
    },
    kill,
    isReady: () => !stopping && routeTable !== undefined && (directory.revision() > 0 || directory.members().length > 1),
    status: () => ({...fleet.status(), configurationVersion: routeTable?.version ?? 0}),
    inboundProxy,
    metrics,
  };
};
