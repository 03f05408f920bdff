/** Membership of the fleet, links to the other processes, and the state that is exchanged with them. */
import type {Buffer} from 'node:buffer';
import type {ServiceLoad} from './admission.js';
import type {CallEdge, CallGraph} from './call-graph.js';
import type {ClientRoutes, RouteOrigin} from './client-routes.js';
import type {DecisionLog} from './decision-log.js';
import type {Dependencies, Dependency} from './dependencies.js';
import type {InboundProxy} from './inbound-proxy.js';
import type {
  BackendState, CallHeader, CallResult, Member, Message,
} from './message.js';
import {createPeerLink, type PeerLink} from './peer-link.js';
import {createPeerServer, type IncomingLink} from './peer-server.js';
import type {CountedCalls} from './retry-budget.js';
import type {RoutingConfiguration} from './routing-configuration.js';
import type {Candidate} from './selection.js';

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
  /** Backend servers of a service that accept calls. */
  candidates: (service: string) => Array<Candidate<Destination>>;
  /** Adds the members listed in the store, and removes those that are neither listed nor connected. */
  syncMembers: (members: readonly Member[]) => void;
  members: () => Member[];
  /** Sends the state of the local backend server to all processes that have opened a link. */
  publishBackendState: (state: BackendState) => void;
  /** Pings all peers, so that those with an older configuration request the current one. */
  announceConfigurationVersion: () => void;
  /** Tells the peers that a request for a route has arrived at a host of a service. */
  publishRouteOrigin: (origin: RouteOrigin) => void;
  /** Sends a learnt dependency of a route to all peers. */
  publishDependency: (dependency: Dependency) => void;
  /** Sends a learnt edge of the call graph to all peers. */
  publishCallEdge: (edge: CallEdge) => void;
  /** Total capacity and load of the reachable backend servers of a service. */
  serviceLoad: (service: string) => ServiceLoad;
  /** Calls that the hosts of a service have received within the retry budget window; undefined when no host is reachable. */
  callCounts: (service: string) => CountedCalls | undefined;
  /** Services with a reachable backend server, always including the service of this host; updated on each tick. */
  reachableServices: () => ReadonlySet<string>;
  /** Drives the links and publishes the load when due; called periodically. */
  tick: () => void;
  /** Restarts the liveness timers of all links; called after this process was suspended. */
  resetLiveness: () => void;
  close: () => void;
  /** Open outgoing links and accepted incoming links. */
  status: () => {links: number; incoming: number};
};

/** Options of the fleet. */
export type FleetOptions = {
  /** This process; `service` is the service of the backend server on its host. */
  self: Member & {service: string};
  now: () => number;
  log: DecisionLog;
  inboundProxy: InboundProxy;
  configuration: () => RoutingConfiguration | undefined;
  /** Called with each configuration that a peer sends, newer or not; `from` is the peer. */
  onConfiguration: (configuration: RoutingConfiguration, from: string) => void;
  clientRoutes: Pick<ClientRoutes, 'merge' | 'list'>;
  dependencies: Pick<Dependencies, 'merge' | 'list'>;
  callGraph: Pick<CallGraph, 'merge' | 'list'>;
};

/** Weight of the newest attempt in the moving average of failures. */
const FAILURE_RATE_SMOOTHING = 0.1;
/** Half-life of the failure rate while no attempts are made, in milliseconds, so that a failing backend server is tried again. */
const FAILURE_RATE_HALF_LIFE_MS = 2000;
/** Minimum interval between load messages while calls are queued, in milliseconds; admission reacts to the load within about a second. */
const LOAD_INTERVAL_MS = 250;
/** Minimum interval between two requests for a newer configuration, over all links, in milliseconds. */
const CONFIGURATION_REQUEST_INTERVAL_MS = 200;

type FailureRate = {rate: number; updatedAt: number};
type MessageSender = {send: (message: Message) => void};

/** Creates the fleet; it listens after `start` and connects to each member as soon as the member is known. */
export const createFleet = (options: FleetOptions): Fleet => {
  const {self, now, log, inboundProxy} = options;
  const member: Member = {node: self.node, address: self.address, zone: self.zone};
  const members = new Map<string, Member>([[self.node, member]]);
  const links = new Map<string, PeerLink>();
  const failureRates = new Map<string, FailureRate>();
  let configurationRequestedAt = Number.NEGATIVE_INFINITY;
  let localSequence = 0;
  let loadPublishedAt = Number.NEGATIVE_INFINITY;
  let publishedQueueLength = 0;
  /** Cached once per tick, because every request reads it. */
  let reachableServices: ReadonlySet<string> = new Set([self.service]);

  const configurationVersion = (): number => options.configuration()?.version ?? 0;
  const createHello = (): Message => ({type: 'hello', member, configurationVersion: configurationVersion()});
  const createPing = (): Message => ({
    type: 'ping', sentAt: now(), configurationVersion: configurationVersion(), memberCount: members.size,
  });

  const requestNewerConfiguration = (sender: MessageSender, peerVersion: number): void => {
    if (peerVersion > configurationVersion() && now() - configurationRequestedAt > CONFIGURATION_REQUEST_INTERVAL_MS) {
      configurationRequestedAt = now();
      sender.send({type: 'configuration-wanted'});
    }
  };

  const createMemberList = (): Message => ({type: 'members', members: [...members.values()]});

  const addMember = (member: Member, source: string): void => {
    const known = members.get(member.node);
    if (member.node === self.node || known?.address === member.address) {
      return;
    }

    if (known !== undefined) {
      links.get(known.address)?.close();
      links.delete(known.address);
    }

    members.set(member.node, member);
    log.write('info', 'member-added', {member: member.node, address: member.address, source});
    const link = createPeerLink({
      address: member.address, now, log, createHello, createPing, onMessage: onLinkMessage,
    });
    links.set(member.address, link);
    link.tick();
  };

  const onMessage = (sender: MessageSender, message: Message, from: string): void => {
    switch (message.type) {
      case 'ping':
      case 'pong': {
        requestNewerConfiguration(sender, message.configurationVersion);
        return;
      }

      case 'configuration-wanted': {
        const configuration = options.configuration();
        if (configuration !== undefined) {
          sender.send({type: 'configuration', configuration});
        }

        return;
      }

      case 'configuration': {
        options.onConfiguration(message.configuration, from);
        return;
      }

      case 'members': {
        for (const member of message.members) {
          addMember(member, from);
        }

        return;
      }

      case 'route-origins': {
        options.clientRoutes.merge(message.origins);
        return;
      }

      case 'dependencies': {
        options.dependencies.merge(message.dependencies);
        return;
      }

      case 'call-edges': {
        options.callGraph.merge(message.edges);
        return;
      }

      case 'hello': {
        addMember(message.member, 'hello');
        requestNewerConfiguration(sender, message.configurationVersion);
        sender.send(createMemberList());
        sender.send({type: 'route-origins', origins: options.clientRoutes.list()});
        sender.send({type: 'dependencies', dependencies: options.dependencies.list()});
        sender.send({type: 'call-edges', edges: options.callGraph.list()});
        return;
      }

      case 'welcome': {
        requestNewerConfiguration(sender, message.configurationVersion);
        return;
      }

      case 'call':
      case 'cancel':
      case 'load':
      case 'result':
      case 'state': {
        log.write('warn', 'message-unexpected', {type: message.type, from});
      }
    }
  };

  const onLinkMessage = (link: PeerLink, message: Message): void => {
    onMessage(link, message, link.member()?.node ?? link.address);
  };

  const server = createPeerServer({
    address: self.address,
    now,
    log,
    inboundProxy,
    createWelcome: () => ({
      type: 'welcome', member, configurationVersion: configurationVersion(), state: inboundProxy.state(),
    }),
    createPong: () => ({type: 'pong', configurationVersion: configurationVersion(), load: inboundProxy.load()}),
    onMessage(link: IncomingLink, message) {
      onMessage(link, message, link.member()?.node ?? 'unknown');
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

  const candidates = (service: string): Array<Candidate<Destination>> => {
    const found: Array<Candidate<Destination>> = [];
    const localState = inboundProxy.state();
    if (localState.kind === 'ready' && localState.service === service) {
      found.push({
        destination: localDestination, node: self.node, zone: self.zone, load: localState.load, sentSinceReport: 0, isLive: true, coldMs: localState.coldMs, failureRate: failureRate(self.node),
      });
    }

    for (const link of links.values()) {
      const state = link.state();
      const member = link.member();
      if (link.isOpen() && member !== undefined && state.kind === 'ready' && state.service === service) {
        found.push({
          destination: createRemoteDestination(link, member), node: member.node, zone: member.zone, load: state.load, sentSinceReport: link.sentSinceReport(), isLive: link.isLive(), coldMs: state.coldMs, failureRate: failureRate(member.node),
        });
      }
    }

    return found;
  };

  const broadcast = (message: Message): void => {
    for (const link of links.values()) {
      if (link.isOpen()) {
        link.send(message);
      }
    }
  };

  /** States of the local backend server and of those behind an open link. */
  const reachableBackendStates = (): BackendState[] => {
    const open = [...links.values()].filter(link => link.isOpen());
    return [inboundProxy.state(), ...open.map(link => link.state())];
  };

  const serviceLoad = (service: string): ServiceLoad => {
    const total: ServiceLoad = {
      backends: 0, running: 0, queued: 0, limit: 0,
    };
    for (const state of reachableBackendStates()) {
      if (state.kind === 'ready' && state.service === service) {
        total.backends++;
        total.running += state.load.running;
        total.queued += state.load.queued;
        total.limit += state.load.limit;
      }
    }

    return total;
  };

  const callCounts = (service: string): CountedCalls | undefined => {
    const loads = reachableBackendStates().flatMap(state => state.kind !== 'absent' && state.service === service ? [state.load.counted] : []);
    return loads.length === 0
      ? undefined
      : {
        requests: loads.reduce((total, {requests}) => total + requests, 0),
        repeats: loads.reduce((total, {repeats}) => total + repeats, 0),
      };
  };

  const findReachableServices = (): ReadonlySet<string> =>
    new Set([self.service, ...reachableBackendStates().flatMap(state => state.kind === 'ready' ? [state.service] : [])]);

  /** Publishes the load while calls are queued, and once after the queue has emptied: peers that send no calls here get no load with a result. */
  const publishLoad = (): void => {
    const load = inboundProxy.load();
    if ((load.queued > 0 || publishedQueueLength > 0) && now() - loadPublishedAt >= LOAD_INTERVAL_MS) {
      loadPublishedAt = now();
      publishedQueueLength = load.queued;
      server.broadcast({type: 'load', load});
    }
  };

  return {
    start: server.start,
    candidates,
    syncMembers(listed) {
      for (const member of listed) {
        addMember(member, 'store');
      }

      const names = new Set(listed.map(({node}) => node));
      for (const member of members.values()) {
        const link = links.get(member.address);
        if (member.node !== self.node && !names.has(member.node) && link !== undefined && !link.isOpen()) {
          members.delete(member.node);
          links.delete(member.address);
          link.close();
          log.write('info', 'member-removed', {member: member.node, address: member.address});
        }
      }
    },
    members: () => [...members.values()],
    publishBackendState(state) {
      server.broadcast({type: 'state', state});
    },
    publishRouteOrigin(origin) {
      broadcast({type: 'route-origins', origins: [origin]});
    },
    publishDependency(dependency) {
      broadcast({type: 'dependencies', dependencies: [dependency]});
    },
    publishCallEdge(edge) {
      broadcast({type: 'call-edges', edges: [edge]});
    },
    serviceLoad,
    callCounts,
    reachableServices: () => reachableServices,
    announceConfigurationVersion() {
      broadcast(createPing());
    },
    tick() {
      for (const link of links.values()) {
        link.tick();
      }

      reachableServices = findReachableServices();
      publishLoad();
    },
    resetLiveness() {
      for (const link of links.values()) {
        link.resetLiveness();
      }

      server.resetLiveness();
    },
    close() {
      for (const link of links.values()) {
        link.close();
      }

      server.close();
    },
    status: () => ({links: [...links.values()].filter(link => link.isOpen()).length, incoming: server.linkCount()}),
  };
};
