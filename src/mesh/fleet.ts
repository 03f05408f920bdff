/** The other processes: links to them, what they can take, and what is passed on between them. */
import type {Buffer} from 'node:buffer';
import type {ServiceRoom} from './admission.js';
import type {CallEdge, CallGraph} from './call-graph.js';
import type {ClientRoutes, RouteOrigin} from './client-routes.js';
import type {DecisionLog} from './decision-log.js';
import type {Dependencies, Dependency} from './dependencies.js';
import type {Door} from './door.js';
import type {
  BackendState, CallHead, DoorResult, Member, Message,
} from './message.js';
import {createPeerLink, type PeerLink} from './peer-link.js';
import {createPeerServer, type IncomingLink} from './peer-server.js';
import type {CountedCalls} from './retry-budget.js';
import type {RoutingConfiguration} from './routing-configuration.js';
import type {Candidate} from './selection.js';

/** Where an attempt is sent. */
export type Destination = {
  node: string;
  zone: string;
  send: (call: CallHead, body: Buffer, onResult: (result: DoorResult, body: Buffer) => void) => {cancel: () => void};
  /** Notes whether an attempt failed. */
  note: (failed: boolean) => void;
};

/** The fleet as one process sees it. */
export type Fleet = {
  start: () => Promise<void>;
  /** Backend servers of a service that take calls. */
  candidates: (service: string) => Array<Candidate<Destination>>;
  /** Members from the store; one that it no longer lists is forgotten unless it can be reached. */
  replaceMembers: (members: readonly Member[]) => void;
  members: () => Member[];
  publish: (state: BackendState) => void;
  configurationChanged: () => void;
  /** Tells the others at which service's host a route has arrived. */
  publishOrigin: (origin: RouteOrigin) => void;
  publishDependency: (dependency: Dependency) => void;
  publishCallEdge: (edge: CallEdge) => void;
  /** Room at the backend servers of a service that can be reached. */
  room: (service: string) => ServiceRoom;
  /** Calls that the doors of a service have counted; undefined when none can be reached. */
  counted: (service: string) => CountedCalls | undefined;
  /** Services of the backend servers that can be reached, the one of this host included. */
  services: () => ReadonlySet<string>;
  tick: () => void;
  /** This process stood still. */
  resume: () => void;
  close: () => void;
  status: () => {links: number; incoming: number};
};

/** Options of the fleet. */
export type FleetOptions = {
  /** This process; `service` is the one of its host. */
  self: Member & {service: string};
  now: () => number;
  log: DecisionLog;
  door: Door;
  configuration: () => RoutingConfiguration | undefined;
  onConfiguration: (configuration: RoutingConfiguration, from: string) => void;
  clientRoutes: Pick<ClientRoutes, 'merge' | 'list'>;
  dependencies: Pick<Dependencies, 'merge' | 'list'>;
  callGraph: Pick<CallGraph, 'merge' | 'list'>;
};

/** Weight of the newest attempt in the share of failures. */
const FAILURE_SMOOTHING = 0.1;
/** Time in which the share of failures halves without attempts, in milliseconds, so that a backend server is tried again. */
const FAILURE_HALF_LIFE_MS = 2000;
/** Interval at which the load is told while calls wait, in milliseconds; the admission follows it within about a second. */
const LOAD_INTERVAL_MS = 250;
/** Pause between two requests for a configuration over the same link, in milliseconds. */
const CONFIGURATION_PAUSE_MS = 200;

type Failures = {share: number; at: number};
type Speaker = {send: (message: Message) => void};

/** Creates the fleet. */
export const createFleet = (options: FleetOptions): Fleet => {
  const {self, now, log, door} = options;
  const member: Member = {node: self.node, address: self.address, zone: self.zone};
  const members = new Map<string, Member>([[self.node, member]]);
  const links = new Map<string, PeerLink>();
  const failures = new Map<string, Failures>();
  let wantedAt = Number.NEGATIVE_INFINITY;
  let localSequence = 0;
  let loadToldAt = Number.NEGATIVE_INFINITY;
  let queuedAtLast = 0;
  /** Renewed with each tick, as each request asks for it. */
  let services: ReadonlySet<string> = new Set([self.service]);

  const version = (): number => options.configuration()?.version ?? 0;
  const hello = (): Message => ({type: 'hello', member, configurationVersion: version()});
  const ping = (): Message => ({
    type: 'ping', sentAt: now(), configurationVersion: version(), memberCount: members.size,
  });

  const compareVersion = (speaker: Speaker, theirs: number): void => {
    if (theirs > version() && now() - wantedAt > CONFIGURATION_PAUSE_MS) {
      wantedAt = now();
      speaker.send({type: 'configuration-wanted'});
    }
  };

  const listMembers = (): Message => ({type: 'members', members: [...members.values()]});

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
      address: member.address, now, log, hello, ping, onMessage: onLinkMessage,
    });
    links.set(member.address, link);
    link.tick();
  };

  const onMessage = (speaker: Speaker, message: Message, from: string): void => {
    switch (message.type) {
      case 'ping':
      case 'pong': {
        compareVersion(speaker, message.configurationVersion);
        return;
      }

      case 'configuration-wanted': {
        const configuration = options.configuration();
        if (configuration !== undefined) {
          speaker.send({type: 'configuration', configuration});
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
        compareVersion(speaker, message.configurationVersion);
        speaker.send(listMembers());
        speaker.send({type: 'route-origins', origins: options.clientRoutes.list()});
        speaker.send({type: 'dependencies', dependencies: options.dependencies.list()});
        speaker.send({type: 'call-edges', edges: options.callGraph.list()});
        return;
      }

      case 'welcome': {
        compareVersion(speaker, message.configurationVersion);
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
    door,
    welcome: () => ({
      type: 'welcome', member, configurationVersion: version(), state: door.state(),
    }),
    pong: () => ({type: 'pong', configurationVersion: version(), load: door.load()}),
    onMessage(link: IncomingLink, message) {
      onMessage(link, message, link.member()?.node ?? 'unknown');
    },
  });

  const failureShare = (node: string): number => {
    const known = failures.get(node);
    return known === undefined ? 0 : known.share * (2 ** (-(now() - known.at) / FAILURE_HALF_LIFE_MS));
  };

  const note = (node: string, failed: boolean): void => {
    const share = failureShare(node);
    failures.set(node, {share: share + (FAILURE_SMOOTHING * ((failed ? 1 : 0) - share)), at: now()});
  };

  const local: Destination = {
    node: self.node,
    zone: self.zone,
    send(call, body, onResult) {
      localSequence++;
      const key = `local:${localSequence}`;
      door.offer({
        key, call, body, onResult,
      });
      return {
        cancel() {
          door.cancel(key);
        },
      };
    },
    note(failed) {
      note(self.node, failed);
    },
  };

  const remote = (link: PeerLink, member: Member): Destination => ({
    node: member.node,
    zone: member.zone,
    send: (call, body, onResult) => link.call(call, body, outcome => {
      if (outcome === undefined) {
        onResult({kind: 'lost', cause: 'the connection to the process beside the backend server was lost'}, body.subarray(0, 0));
      } else {
        onResult(outcome.result, outcome.body);
      }
    }),
    note(failed) {
      note(member.node, failed);
    },
  });

  const candidates = (service: string): Array<Candidate<Destination>> => {
    const found: Array<Candidate<Destination>> = [];
    const own = door.state();
    if (own.kind === 'ready' && own.service === service) {
      found.push({
        target: local, node: self.node, zone: self.zone, load: own.load, sentSinceReport: 0, live: true, coldMs: own.coldMs, failureShare: failureShare(self.node),
      });
    }

    for (const link of links.values()) {
      const state = link.state();
      const member = link.member();
      if (link.isOpen() && member !== undefined && state.kind === 'ready' && state.service === service) {
        found.push({
          target: remote(link, member), node: member.node, zone: member.zone, load: state.load, sentSinceReport: link.sentSinceReport(), live: link.isLive(), coldMs: state.coldMs, failureShare: failureShare(member.node),
        });
      }
    }

    return found;
  };

  const tellAll = (message: Message): void => {
    for (const link of links.values()) {
      if (link.isOpen()) {
        link.send(message);
      }
    }
  };

  /** States of the backend servers that can be reached. */
  const states = (): BackendState[] => {
    const open = [...links.values()].filter(link => link.isOpen());
    return [door.state(), ...open.map(link => link.state())];
  };

  const room = (service: string): ServiceRoom => {
    const total: ServiceRoom = {
      backends: 0, running: 0, queued: 0, limit: 0,
    };
    for (const state of states()) {
      if (state.kind === 'ready' && state.service === service) {
        total.backends++;
        total.running += state.load.running;
        total.queued += state.load.queued;
        total.limit += state.load.limit;
      }
    }

    return total;
  };

  const counted = (service: string): CountedCalls | undefined => {
    const loads = states().flatMap(state => state.kind !== 'absent' && state.service === service ? [state.load.counted] : []);
    return loads.length === 0
      ? undefined
      : {
        requests: loads.reduce((total, {requests}) => total + requests, 0),
        repeats: loads.reduce((total, {repeats}) => total + repeats, 0),
      };
  };

  const reachableServices = (): ReadonlySet<string> =>
    new Set([self.service, ...states().flatMap(state => state.kind === 'ready' ? [state.service] : [])]);

  /** Processes that send no calls here learn by this that calls wait, and once more when none does. */
  const publishLoad = (): void => {
    const load = door.load();
    if ((load.queued > 0 || queuedAtLast > 0) && now() - loadToldAt >= LOAD_INTERVAL_MS) {
      loadToldAt = now();
      queuedAtLast = load.queued;
      server.publish({type: 'load', load});
    }
  };

  return {
    start: server.start,
    candidates,
    replaceMembers(listed) {
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
    publish(state) {
      server.publish({type: 'state', state});
    },
    publishOrigin(origin) {
      tellAll({type: 'route-origins', origins: [origin]});
    },
    publishDependency(dependency) {
      tellAll({type: 'dependencies', dependencies: [dependency]});
    },
    publishCallEdge(edge) {
      tellAll({type: 'call-edges', edges: [edge]});
    },
    room,
    counted,
    services: () => services,
    configurationChanged() {
      tellAll(ping());
    },
    tick() {
      for (const link of links.values()) {
        link.tick();
      }

      services = reachableServices();
      publishLoad();
    },
    resume() {
      for (const link of links.values()) {
        link.resume();
      }

      server.resume();
    },
    close() {
      for (const link of links.values()) {
        link.close();
      }

      server.close();
    },
    status: () => ({links: [...links.values()].filter(link => link.isOpen()).length, incoming: server.links()}),
  };
};
