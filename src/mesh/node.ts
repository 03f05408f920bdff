/** One process on a backend server host: its parts, wired together. */
import type {Random} from '../shared/random.js';
import {createAdmission} from './admission.js';
import {createCallGraph} from './call-graph.js';
import {createCallMetrics, type CallMetrics} from './call-metrics.js';
import {createClientRoutes} from './client-routes.js';
import {createSuspendAwareClock} from './clock.js';
import type {DecisionLog} from './decision-log.js';
import {createDependencies} from './dependencies.js';
import {createDoor, type Door, type FailuresBelow} from './door.js';
import {createEntry} from './entry.js';
import {createFleet} from './fleet.js';
import {follow} from './follow.js';
import type {BackendState, Member} from './message.js';
import type {ObjectStore, StoredObject} from './object-store.js';
import type {HttpDialect} from './protocol.js';
import {createRegistration, MEMBER_KIND, readMember} from './registration.js';
import {createRetryBudget} from './retry-budget.js';
import {createRouteTable, type RouteTable} from './route-table.js';
import type {RoutingConfiguration} from './routing-configuration.js';
import type {HostSettings} from './settings.js';

/** Options of a node. */
export type NodeOptions = {
  settings: HostSettings;
  log: DecisionLog;
  store: ObjectStore;
  dialect: HttpDialect;
  random: Random;
  /** Kind under which the operator's configuration is stored. */
  configurationKind: string;
  /** Newest valid configuration among the objects of that kind. */
  readConfiguration: (objects: ReadonlyMap<string, StoredObject>) => RoutingConfiguration | undefined;
};

/** One process. */
export type HostNode = {
  start: () => Promise<void>;
  /** Graceful stop; resolves when the process may exit. */
  stop: () => Promise<void>;
  /** Ends everything at once. */
  kill: () => void;
  isReady: () => boolean;
  status: () => {links: number; incoming: number; configurationVersion: number};
  door: Door;
  metrics: CallMetrics;
};

/** Interval of the decisions that depend on time alone, in milliseconds. */
const TICK_MS = 20;
/** Shortest time for which a stopping process takes new requests, in milliseconds: the platform asks for readiness every second and needs two refusals. */
const STOP_ACCEPT_MIN_MS = 2700;
/** Part of the time to stop that is left for closing, in milliseconds. */
const STOP_MARGIN_MS = 400;
const STOP_POLL_MS = 50;
/** Interval at which the dependencies of routes are derived from the calls that have been seen, in milliseconds. */
const LEARN_INTERVAL_MS = 500;
/** Time without a tick after which the process counts as having stood still, in milliseconds: several ticks, and less than the silence that ends a link. */
const STANDSTILL_MS = 300;

const sleep = async (milliseconds: number): Promise<void> => new Promise(resolve => {
  setTimeout(resolve, milliseconds);
});

/** Creates a node; nothing listens before `start`. */
export const createHostNode = (options: NodeOptions): HostNode => {
  const {settings, log, store, random} = options;
  const clock = createSuspendAwareClock();
  const {now} = clock;
  const self: Member = {node: settings.node, address: settings.listen.peer, zone: settings.zone};
  const metrics = createCallMetrics();
  let table: RouteTable | undefined;
  let stopping = false;
  let membersKnown = false;
  const below: FailuresBelow = {failedAt: Number.NEGATIVE_INFINITY, lackingAt: new Map()};

  const clientRoutes = createClientRoutes({
    service: settings.service,
    services: () => fleet.services(),
    onSeen(origin) {
      log.write('debug', 'route-origin-seen', {...origin});
      fleet.publishOrigin(origin);
    },
  });

  const callGraph = createCallGraph(edge => {
    log.write('info', 'call-edge-learnt', {...edge});
    fleet.publishCallEdge(edge);
  });

  const dependencies = createDependencies({
    now,
    onLearnt(dependency) {
      log.write('info', 'dependency-learnt', {...dependency});
      fleet.publishDependency(dependency);
    },
  });

  const door = createDoor({
    dialect: options.dialect,
    now,
    log,
    drainMs: settings.bounds.drainMs,
    retryWindowMs: settings.bounds.retryWindowMs,
    announcementMs: settings.announcementMs,
    below: () => below,
    connections: service => table?.configuration.services.find(limits => limits.service === service)?.connections ?? Number.POSITIVE_INFINITY,
    onState(state: BackendState) {
      fleet.publish(state);
    },
  });

  const takeConfiguration = (configuration: RoutingConfiguration, from: string): void => {
    if (configuration.version <= (table?.version ?? 0)) {
      return;
    }

    table = createRouteTable(configuration);
    log.write('info', 'configuration-in-force', {version: configuration.version, routes: configuration.routes.length, from});
    entry.setLimits(configuration.limits);
    fleet.configurationChanged();
  };

  const fleet = createFleet({
    self: {...self, service: settings.service}, now, log, door, configuration: () => table?.configuration, onConfiguration: takeConfiguration, clientRoutes, dependencies, callGraph,
  });

  const budget = createRetryBudget({
    now, ratio: settings.bounds.retryRatio, windowMs: settings.bounds.retryWindowMs, slack: settings.bounds.retrySlack, processes: () => fleet.members().length, counted: service => fleet.counted(service),
  });

  /** Routes of clients depend on the services of the routes that are called for them. */
  const learnDependencies = (): void => {
    const routes = table?.configuration.routes ?? [];
    const targets = new Map(routes.map(route => [route.name, route.targets.map(({service}) => service)]));
    for (const {name: route, priority} of routes.filter(({name}) => clientRoutes.has(name))) {
      const services = [...callGraph.below(route, clientRoutes.has)].flatMap(called => targets.get(called) ?? []);
      dependencies.merge(services.map(service => ({route, priority, service})));
    }
  };

  const admission = createAdmission({
    now, log, dependencies, room: service => fleet.room(service),
  });

  const entry = createEntry({
    address: settings.listen.entry,
    dialect: options.dialect,
    callerService: settings.service,
    zone: settings.zone,
    routes: () => table,
    log,
    now,
    random,
    fleet,
    budget,
    admission,
    dependencies,
    isClientRoute: clientRoutes.has,
    onArrived(route) {
      clientRoutes.observe(route);
      callGraph.observe(door.runningRoutes(), route);
    },
    heldBytesMax: settings.heldBytesMax,
    onFinished: metrics.record,
    onCallFailed(lacking) {
      below.failedAt = now();
      for (const service of lacking) {
        below.lackingAt.set(service, now());
      }
    },
  });

  const registration = createRegistration({
    self, store, log, random,
  });
  const followers: Array<{stop: () => void}> = [];
  let ticker: NodeJS.Timeout | undefined;
  let tickedAt = now();
  let learntAt = now();

  const tick = (): void => {
    const suspendedMs = clock.observe();
    const stillMs = now() - tickedAt;
    if (stillMs > STANDSTILL_MS) {
      log.write('warn', 'suspended', {ms: Math.round(stillMs), hostMs: Math.round(suspendedMs)});
      fleet.resume();
      door.resume();
    }

    tickedAt = now();

    fleet.tick();
    door.tick();
    admission.observe();
    if (now() - learntAt > LEARN_INTERVAL_MS) {
      learntAt = now();
      learnDependencies();
    }
  };

  const followStore = (): void => {
    followers.push(
      follow({
        kind: options.configurationKind,
        store,
        log,
        random,
        onObjects(objects) {
          const configuration = options.readConfiguration(objects);
          if (configuration !== undefined) {
            takeConfiguration(configuration, 'store');
          }
        },
      }),
      follow({
        kind: MEMBER_KIND,
        store,
        log,
        random,
        onObjects(objects) {
          membersKnown = true;
          registration.check(objects);
          fleet.replaceMembers([...objects.values()].map(object => readMember(object)).filter(member => member !== undefined));
        },
      }),
    );
  };

  /** Requests that are taken in must end before the process does. */
  const longestRequestMs = (): number => Math.max(0, ...(table?.configuration.routes.map(({timeoutMs}) => timeoutMs) ?? []));

  const settled = async (deadlineAt: number): Promise<void> => {
    /* eslint-disable no-await-in-loop */
    while (now() < deadlineAt && entry.inFlight() + door.inFlight() > 0) {
      await sleep(STOP_POLL_MS);
    }
    /* eslint-enable no-await-in-loop */
  };

  const kill = (): void => {
    clearInterval(ticker);
    for (const follower of followers) {
      follower.stop();
    }

    entry.close();
    fleet.close();
    door.close();
    store.close();
  };

  return {
    async start() {
      await fleet.start();
      await entry.start();
      ticker = setInterval(tick, TICK_MS);
      followStore();
    },
    async stop() {
      if (stopping) {
        return;
      }

      stopping = true;
      const startedAt = now();
      const deadlineAt = startedAt + settings.bounds.graceMs - STOP_MARGIN_MS;
      entry.retire();
      if (door.hasLeft()) {
        await Promise.race([registration.remove(), sleep(STOP_MARGIN_MS)]);
      }

      // The backend server runs on, so its calls go on as long as they can end before this process does.
      await sleep(Math.max(0, STOP_ACCEPT_MIN_MS - longestRequestMs()));
      door.stop();
      await sleep(Math.max(0, startedAt + STOP_ACCEPT_MIN_MS - now()));
      await settled(deadlineAt - longestRequestMs());
      entry.refuse();
      await settled(deadlineAt);
      log.write('info', 'stopping', {entry: entry.inFlight(), door: door.inFlight(), ms: Math.round(now() - startedAt)});
      kill();
    },
    kill,
    isReady: () => !stopping && table !== undefined && (membersKnown || fleet.members().length > 1),
    status: () => ({...fleet.status(), configurationVersion: table?.version ?? 0}),
    door,
    metrics,
  };
};
