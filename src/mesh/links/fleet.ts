/** Links to the other processes of the fleet, and the state that is exchanged over them. */
import type {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {Random} from '../../shared/random.js';
import type {ServiceLoad} from '../entry/refusal-levels.js';
import type {ServiceDemand} from '../fair-shares/service-demand.js';
import type {CrashGuard} from '../inbound/crash-guard.js';
import type {CrashRecord} from '../inbound/crash-records.js';
import type {DecisionLog} from '../decision-log.js';
import type {InboundProxy} from '../inbound/inbound-proxy.js';
import type {LearntRouteSpread} from '../entry/learnt-routes.js';
import type {MemberDirectory} from '../members/member-directory.js';
import {
  CAPABILITIES, type BackendState, type CallHeader, type CallResult, type Member, type Message,
} from '../message.js';
import type {CountedCalls} from '../entry/retry-budget.js';
import type {RoutingConfiguration} from '../entry/routing-configuration.js';
import type {Candidate} from '../entry/selection.js';
import type {WorkspaceRateLimiter} from '../rate-limits/workspace-rate-limiter.js';
import {createStoreReaders, readingTimes, type StoreReaders} from '../members/store-readers.js';
import {createStateExchange} from './state-exchange.js';
import {
  estimateCallCounts, estimateServiceLoad, estimateWorkspaceDemand, type BackendCounts, type LoadSample,
} from './service-estimate.js';
import {createPeerServer, type IncomingLink} from './peer-server.js';
import {createPeerLink, type PeerLink} from './peer-link.js';
import {createLinkTable} from './link-table.js';
import {chooseSubset, createRings, type Rings} from './subset.js';

/** Destination of one attempt: a backend server, reached directly or through the process on its host. */
export type Destination = {
  node: string;
  zone: string;
  send: (call: CallHeader, body: Buffer, onResult: (result: CallResult, body: Buffer) => void) => {cancel: () => void};
  /** Updates the failure rate of the destination. */
  recordOutcome: (failed: boolean) => void;
};

/** View that one process has of the fleet. */
export type Fleet = {
  start: () => Promise<void>;
  /** Linked backend servers of a service that accept calls. */
  candidates: (service: string) => Array<Candidate<Destination>>;
  /** Whether links to backend servers of a service are being opened, so that a call may be possible shortly. */
  isConnecting: (service: string) => boolean;
  /** Sends the state of the local backend server to all processes that have opened a link. */
  publishBackendState: (state: BackendState) => void;
  /** Tells the peers which versions this process knows, so that those with older ones request them. */
  announceVersions: () => void;
  /** Bytes that wait to be sent to the processes that have opened a link. */
  unsentBytes: () => number;
  /** Estimated capacity and load of a service. */
  serviceLoad: (service: string) => ServiceLoad;
  /** Estimated demand for a service by workspace; undefined without a recent report. */
  workspaceDemand: (service: string) => ServiceDemand | undefined;
  /** Estimated calls that the hosts of a service have received within the retry budget window; undefined when no host is reachable. */
  callCounts: (service: string) => CountedCalls | undefined;
  /** Services of the members, always including the service of this host. */
  services: () => ReadonlySet<string>;
  /** Part of this process in reading the store. */
  storeReaders: Pick<StoreReaders, 'isReader' | 'isLastingReader' | 'retryMaxMs'>;
  /** Records that this process has read the configuration as the store held it at a time of the clock. */
  recordStoreRead: (readAt: number) => void;
  /** Whether an outgoing link to a process is open. */
  isOpen: (node: string) => boolean;
  /** Sends a message over the outgoing link to a process, if it is open. */
  send: (node: string, message: Message) => void;
  /** Sends records of crashes: to all linked processes those that this process has found out, to some of them those that it passes on. */
  publishCrashes: (records: CrashRecord[], isOwn: boolean) => void;
  /** Drives the links and publishes what is due; called periodically. */
  tick: () => void;
  /** Restarts the liveness timers of all links; called after this process was suspended. */
  resetLiveness: () => void;
  close: () => void;
  /** Open outgoing links and accepted incoming links. */
  status: () => {links: number; incoming: number};
};

/** Options of the fleet. */
export type FleetOptions = {
  self: Member;
  now: () => number;
  log: DecisionLog;
  inboundProxy: InboundProxy;
  directory: MemberDirectory;
  learntRoutes: LearntRouteSpread;
  crashGuard: Pick<CrashGuard, 'all' | 'merge'>;
  rateLimits: Pick<WorkspaceRateLimiter, 'answer' | 'receive' | 'contacts'>;
  random: Random;
  /** Time after its confirmation by the store from which a version of the configuration must be in force, in milliseconds. */
  configurationMs: number;
  configuration: () => RoutingConfiguration | undefined;
  /** Called with each newer configuration that a peer sends; `from` is the peer. */
  onConfiguration: (configuration: RoutingConfiguration, from: string) => void;
};

/** Weight of the newest attempt in the moving average of failures. */
const FAILURE_RATE_SMOOTHING = 0.1;
/** Half-life of the failure rate while no attempts are made, in milliseconds, so that a failing backend server is tried again. */
const FAILURE_RATE_HALF_LIFE_MS = 2000;
/** Minimum interval between load messages while calls are queued, in milliseconds; admission reacts to the load within about a second. */
const LOAD_INTERVAL_MS = 250;
/** Interval at which the wanted links are determined, in milliseconds. */
const LINK_REVIEW_INTERVAL_MS = 400;
/** Number of services whose links are kept open without use; with more services, links are opened on first use. */
const KEPT_SERVICES_MAX = 8;
/** Time without calls after which the links to a service are closed, in milliseconds. */
const UNUSED_SERVICE_MS = 60_000;
/** Links over which a process that does not read the store passes on a new version; the readers use all of theirs. */
const ANNOUNCED_LINKS_MAX = 8;

/** Links, chosen at random, over which a process passes on what it has heard; with so many, all but a few in ten thousand processes are reached. */
const PASSED_ON_LINKS = 8;

type FailureRate = {rate: number; updatedAt: number};

const takeRandom = <Item>(items: readonly Item[], count: number, random: Random): Item[] =>
  items.map(item => ({item, position: random()})).sort((a, b) => a.position - b.position).slice(0, count).map(({item}) => item);

/** Creates the fleet; it listens after `start`, and connects to members as they become known and needed. */
export const createFleet = (options: FleetOptions): Fleet => {
  const {self, now, log, inboundProxy, directory, learntRoutes} = options;
  const storeReaders = createStoreReaders({
    zone: self.zone,
    self: self.node,
    incarnation: randomUUID().slice(0, 8),
    now,
    times: readingTimes(options.configurationMs),
    onNews() {
      announceVersions();
    },
  });
  const stateExchange = createStateExchange({
    now, log, directory, learntRoutes, storeReaders, crashGuard: options.crashGuard, rateLimits: options.rateLimits, configuration: options.configuration, onConfiguration: options.onConfiguration,
  });
  const {known} = stateExchange;
  const failureRates = new Map<string, FailureRate>();
  const usedAt = new Map<string, number>();
  const destinations = new WeakMap<PeerLink, Destination>();
  let localSequence = 0;
  let loadPublishedAt = Number.NEGATIVE_INFINITY;
  let publishedQueueLength = 0;
  let reviewedAt = Number.NEGATIVE_INFINITY;
  let ringGeneration = -1;
  let rings: Rings = createRings([self]);
  let wasReader = false;
  let contacts: ReadonlySet<string> = new Set();

  const links = createLinkTable({
    now,
    createLink: member => createPeerLink({
      address: member.address,
      now,
      log,
      // The links to the readers of the store bring new configurations, so they are pinged often.
      linkCount: () => contacts.has(member.node) ? 1 : links.open().length,
      createHello: () => ({
        type: 'hello', member: self, known: known(), record: stateExchange.backendRecords.of(member.node), capabilities: CAPABILITIES,
      }),
      createPing: () => ({type: 'ping', sentAt: now(), known: known()}),
      onMessage(link, message, body) {
        stateExchange.onMessage(link, message, body, member.node);
      },
    }),
  });

  const server = createPeerServer({
    address: self.address,
    now,
    log,
    inboundProxy,
    createWelcome: () => ({
      type: 'welcome', member: self, known: known(), state: inboundProxy.state(), record: inboundProxy.record(), capabilities: CAPABILITIES,
    }),
    createPong: () => ({type: 'pong', known: known(), load: inboundProxy.load()}),
    onMessage(link: IncomingLink, message, body) {
      stateExchange.onMessage(link, message, body, link.member()?.node ?? 'unknown');
    },
  });

  const failureRate = (node: string): number => {
    const known = failureRates.get(node);
    return known === undefined ? 0 : known.rate * (2 ** (-(now() - known.updatedAt) / FAILURE_RATE_HALF_LIFE_MS));
  };

  const recordOutcome = (node: string, failed: boolean): void => {
    const rate = failureRate(node);
    failureRates.set(node, {rate: rate + (FAILURE_RATE_SMOOTHING * ((failed ? 1 : 0) - rate)), updatedAt: now()});
  };

  const localDestination: Destination = {
    node: self.node,
    zone: self.zone,
    send(call, body, onResult) {
      localSequence++;
      const key = `local:${localSequence}`;
      inboundProxy.submit({
        key, call, body, onResult,
      });
      return {
        cancel() {
          inboundProxy.cancel(key);
        },
      };
    },
    recordOutcome(failed) {
      recordOutcome(self.node, failed);
    },
  };

  const createRemoteDestination = (link: PeerLink, member: Member): Destination => ({
    node: member.node,
    zone: member.zone,
    send: (call, body, onResult) => link.call(call, body, outcome => {
      if (outcome === undefined) {
        onResult({kind: 'lost', cause: 'the connection to the process on the host of the backend server was lost'}, body.subarray(0, 0));
      } else {
        onResult(outcome.result, outcome.body);
      }
    }),
    recordOutcome(failed) {
      recordOutcome(member.node, failed);
    },
  });

  const remoteDestination = (link: PeerLink, member: Member): Destination => {
    const known = destinations.get(link) ?? createRemoteDestination(link, member);
    destinations.set(link, known);
    return known;
  };

  /** Services whose links are to be open: all while there are few, otherwise those in use. */
  const wantedServices = (): string[] => {
    const services = [...rings.services()];
    return services.length <= KEPT_SERVICES_MAX
      ? services
      : services.filter(service => now() - (usedAt.get(service) ?? Number.NEGATIVE_INFINITY) < UNUSED_SERVICE_MS);
  };

  /** Determines the readers of the store and the links that this process needs. */
  const reviewLinks = (): void => {
    reviewedAt = now();
    if (ringGeneration !== directory.generation()) {
      ringGeneration = directory.generation();
      rings = createRings(directory.entryOf(self.node) === undefined ? [...directory.members(), self] : directory.members());
      storeReaders.setMembers(rings.callers(self.zone).map(({node}) => node), directory.revision() > 0);
    }

    const zoneMembers = rings.callers(self.zone);
    contacts = new Set(storeReaders.contacts(links.reachability));
    const contactMembers = zoneMembers.filter(({node}) => contacts.has(node));
    const subsets = wantedServices().flatMap(service => chooseSubset(rings, self, service, links.isUsable));
    const coordinators = options.rateLimits.contacts(links.reachability).flatMap(node => directory.entryOf(node)?.member ?? []);
    links.setWanted([...new Map([...contactMembers, ...coordinators, ...subsets].map(member => [member.node, member])).values()]);
  };

  const linksTo = (service: string) => links.open().filter(({member}) => member.service === service);

  const candidates = (service: string): Array<Candidate<Destination>> => {
    const isFirstUse = !usedAt.has(service);
    usedAt.set(service, now());
    if (isFirstUse) {
      reviewLinks();
    }

    const found: Array<Candidate<Destination>> = [];
    const localState = inboundProxy.state();
    if (localState.kind === 'ready' && localState.service === service) {
      found.push({
        destination: localDestination, node: self.node, zone: self.zone, load: localState.load, sentSinceReport: 0, isLive: true, coldMs: localState.coldMs, failureRate: failureRate(self.node),
      });
    }

    for (const {link, member} of linksTo(service)) {
      const state = link.state();
      if (state.kind === 'ready' && state.service === service) {
        found.push({
          destination: remoteDestination(link, member), node: member.node, zone: member.zone, load: state.load, sentSinceReport: link.sentSinceReport(), isLive: link.isLive(), coldMs: state.coldMs, failureRate: failureRate(member.node),
        });
      }
    }

    return found;
  };

  const backendCounts = (service: string): BackendCounts =>
    new Map([...rings.backends(service)].map(([zone, ring]) => [zone, ring.length]));

  /** Loads of the linked backend servers of a service and of the local one. */
  const loadSamples = (service: string, isCounted: (state: BackendState) => boolean): LoadSample[] => {
    const linked = linksTo(service).map(({link, member}) => ({zone: member.zone, state: link.state(), demandAgeMs: link.demandAgeMs()}));
    const all = self.service === service ? [{zone: self.zone, state: inboundProxy.state(), demandAgeMs: 0}, ...linked] : linked;
    return all.map(({zone, state, demandAgeMs}) => ({zone, demandAgeMs, load: state.kind !== 'absent' && state.service === service && isCounted(state) ? state.load : undefined}));
  };

  /** Publishes the load while calls are queued, and once after the queue has emptied: peers that send no calls here get no load with a result. */
  const publishLoad = (): void => {
    if (now() - loadPublishedAt < LOAD_INTERVAL_MS) {
      return;
    }

    const load = inboundProxy.load();
    if (load.queued > 0 || publishedQueueLength > 0) {
      loadPublishedAt = now();
      publishedQueueLength = load.queued;
      server.broadcast({type: 'load', load});
    }
  };

  const publishLearntRoutes = (): void => {
    const learnt = learntRoutes.takeDue();
    if (learnt !== undefined) {
      for (const {link} of links.open()) {
        link.send({type: 'learnt', learnt});
      }
    }
  };

  const announceVersions = (): void => {
    const message: Message = {type: 'known', known: known()};
    const open = links.open();
    for (const {link} of storeReaders.isReader() ? open : open.slice(0, ANNOUNCED_LINKS_MAX)) {
      link.send(message);
    }

    if (storeReaders.isReader()) {
      server.broadcast(message);
    }
  };

  /** Logs when this process begins or ends to read the store. */
  const recordReaderChange = (): void => {
    const isReader = storeReaders.isReader();
    if (isReader !== wasReader) {
      wasReader = isReader;
      const latest = storeReaders.latest();
      log.write('info', isReader ? 'store-reading-begun' : 'store-reading-ended', {rank: storeReaders.rank(), lastReader: latest?.reader, ageMs: latest === undefined ? undefined : Math.round(now() - latest.readAt)});
    }
  };

  return {
    start: server.start,
    candidates,
    isConnecting: service => [...rings.backends(service).values()].flat().some(({node}) => node !== self.node && links.linkTo(node) !== undefined && links.reachability(node) === 'connecting'),
    publishBackendState(state) {
      server.broadcast({type: 'state', state, record: inboundProxy.record()});
    },
    announceVersions,
    isOpen: node => links.linkTo(node)?.isOpen() ?? false,
    send(node, message) {
      const link = links.linkTo(node);
      if (link?.isOpen()) {
        link.send(message);
      }
    },
    publishCrashes(records, isOwn) {
      const open = links.open().map(({link}) => link);
      if (isOwn) {
        server.broadcast({type: 'crashes', records});
      }

      for (const link of isOwn ? open : takeRandom(open, PASSED_ON_LINKS, options.random)) {
        link.send({type: 'crashes', records});
      }
    },
    serviceLoad: service => estimateServiceLoad(loadSamples(service, ({kind}) => kind === 'ready'), backendCounts(service)),
    workspaceDemand: service => estimateWorkspaceDemand(loadSamples(service, () => true), backendCounts(service)),
    callCounts: service => estimateCallCounts(loadSamples(service, () => true), backendCounts(service)),
    services: () => rings.services().has(self.service) ? rings.services() : new Set([...rings.services(), self.service]),
    storeReaders,
    recordStoreRead(readAt) {
      storeReaders.recordOwn(readAt);
      server.broadcast({type: 'known', known: known()}, ({zone}) => zone === self.zone);
    },
    tick() {
      links.tick();
      storeReaders.tick();
      recordReaderChange();
      if (now() - reviewedAt >= LINK_REVIEW_INTERVAL_MS) {
        directory.removeUnlisted(node => links.linkTo(node) !== undefined && links.reachability(node) !== 'unreachable');
        reviewLinks();
      }

      publishLoad();
      publishLearntRoutes();
    },
    resetLiveness() {
      links.resetLiveness();
      server.resetLiveness();
    },
    close() {
      links.close();
      server.close();
    },
    unsentBytes: server.unsentBytes,
    status: () => ({links: links.open().length, incoming: server.linkCount()}),
  };
};
