/** Assembles a `jujubewelld` process from its parts. */
import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createClock} from '../shared/clock.js';
import {emptyConfiguration, type Configuration} from '../objects/configuration.js';
import {compilePolicy, type Policy} from '../objects/policy.js';
import type {BackendServer} from '../objects/schema.js';
import type {PlatformClient} from '../platform/client.js';
import {createAdminHandler} from './admin.js';
import {createEntryHandler} from './entry.js';
import {createEventLog} from './event-log.js';
import {createListener, type Listener, type ListenerOptions} from './http-server.js';
import {createLocalHandler} from './local.js';
import type {Log} from './log.js';
import {createMetrics} from './metrics.js';
import {createPeerHandler} from './peer.js';
import {createPeerTransports} from './peer-transports.js';
import {createReceiver} from './receiver.js';
import {createReplayBudget} from './replay-body.js';
import {createSender} from './sender.js';
import type {Settings} from './settings.js';
import {createSupervisor, type Part} from './supervisor.js';
import {createTicketRequestHandler} from './ticket-requests.js';
import {createFleetPart} from './fleet-part.js';

/** One `jujubewelld` process. */
export type Node = {
  start: () => Promise<void>;
  /** Stops gracefully: rejects new calls, waits for calls in flight, then closes all listeners and connections. */
  stop: () => Promise<void>;
  /** Content of the admin listener's `/status`. */
  status: () => unknown;
};

/** Options of a node. */
export type NodeOptions = {
  settings: Settings;
  log: Log;
  platform: PlatformClient;
};

/** Interval between tick events of the decision logic, in milliseconds. */
const TICK_INTERVAL_MS = 20;
/** Time for callers to learn that this process is draining before its listeners close connections, in milliseconds. */
const DRAIN_NOTICE_MS = 1500;
/** Interval between checks whether all calls in flight have ended, in milliseconds. */
const DRAIN_POLL_INTERVAL_MS = 50;
/** Time without an announcement after which the backend server counts as gone, in milliseconds. */
const ANNOUNCEMENT_TIMEOUT_MS = 3500;

const INCARNATION_BYTES = 9;

const sleep = async (milliseconds: number) => new Promise<void>(resolve => {
  setTimeout(resolve, milliseconds);
});

/** Wraps a request handler so that a failure is logged and closes the connection. */
const withErrorHandling = (log: Log, handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>) =>
  async (request: IncomingMessage, response: ServerResponse) => {
    try {
      await handle(request, response);
    } catch (error) {
      log.error('request handler failed', {error: error instanceof Error ? error.stack : String(error)});
      response.destroy();
    }
  };

/** Creates a node; its listeners open when `start` is called. */
export const createNode = (options: NodeOptions): Node => {
  const {settings, log} = options;
  const clock = createClock();
  const {random} = Math;
  const incarnation = randomBytes(INCARNATION_BYTES).toString('base64url');
  const startedAt = Date.now();
  const metrics = createMetrics();
  const eventLog = createEventLog({
    host: settings.host,
    onEvent(event) {
      log.info(event.cause, {kind: event.kind});
    },
  });
  const replayBudget = createReplayBudget(settings.limits.replayBytes);
  let policy: Policy = compilePolicy([]);
  let configuration = emptyConfiguration;
  let backendServer: BackendServer | undefined;
  let lastAnnouncementAt = 0;
  let leaving = false;

  const receiver = createReceiver({
    incarnation,
    policy,
    clock,
    random,
    metrics,
    eventLog,
    openParentCall(parent) {
      sender.openParentCall(parent);
    },
    closeParentCall: callId => sender.closeParentCall(callId),
  });
  const peers = createPeerTransports({
    host: settings.host, incarnation, fleetKey: settings.fleetKey, connections: settings.limits.peerConnections,
  });
  const sender = createSender({
    host: settings.host, zone: settings.zone, incarnation, fleetKey: settings.fleetKey, ticketLifetimeMs: settings.limits.ticketLifetimeMs, policy, clock, random, metrics, eventLog, receiver, peers,
  });

  /** Recompiles the policy after a change of the configuration or of the backend server, whose labels select rules. */
  const recompilePolicy = () => {
    policy = compilePolicy(configuration.objects, backendServer?.labels);
    receiver.setPolicy(policy);
    sender.setPolicy(policy);
  };

  const setConfiguration = (accepted: Configuration) => {
    configuration = accepted;
    recompilePolicy();
    metrics.setGauge('configuration_sequence', configuration.sequence);
    eventLog.report('configuration-in-effect', `configuration ${configuration.sequence} by ${configuration.author} is in effect`);
  };

  const fleet = createFleetPart({
    settings, incarnation, platform: options.platform, clock, random, metrics, eventLog, onEndpoints: sender.updateEndpoints, onConfiguration: setConfiguration,
  });

  const onBackendAnnounced = (announced: BackendServer) => {
    lastAnnouncementAt = clock.now();
    if (leaving) {
      return;
    }

    const isNew = JSON.stringify(announced) !== JSON.stringify(backendServer);
    backendServer = announced;
    receiver.setBackendServer(announced);
    if (isNew) {
      recompilePolicy();
      eventLog.report('backend-server-announced', `backend server ${announced.name} of service ${announced.spec.service} announced ${announced.spec.slots} slots`);
      fleet.setBackendServer(announced);
    }
  };

  const removeBackendServer = (cause: string) => {
    if (backendServer === undefined) {
      return;
    }

    backendServer = undefined;
    eventLog.report('backend-server-left', cause);
    receiver.removeBackendServer();
    fleet.setBackendServer(undefined);
  };

  const handlerOptions = {
    policy: () => policy, sender, replayBytesPerCall: settings.limits.replayBytesPerCall, replayBudget, metrics, eventLog,
  };
  const entryHandler = createEntryHandler({
    ...handlerOptions,
    isConfigured: () => fleet.ready(),
    fleetKey: settings.fleetKey,
    handleTicketRequest: createTicketRequestHandler({
      fleetKey: settings.fleetKey, host: settings.host, incarnation, policy: () => policy, sender, receiver, peers,
    }),
  });
  const localHandler = createLocalHandler({
    ...handlerOptions,
    receiver,
    clock,
    onBackendAnnounced,
    onBackendLeaving() {
      removeBackendServer('the backend server announced that it leaves');
    },
  });
  const peerHandler = createPeerHandler({
    ...handlerOptions, fleetKey: settings.fleetKey, receiver, handleControlMessage: fleet.handle,
  });
  const createHandlerListener = (address: string, maxConnections: number, handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>): Listener => createListener({
    address, maxConnections, handle: withErrorHandling(log, handle),
  } satisfies ListenerOptions);

  /** Maximum number of connections to each of the peer, local and admin listeners. */
  const internalConnectionsMax = 100_000;
  const entry = createHandlerListener(settings.entry, settings.limits.clientConnections, entryHandler);
  const peer = createHandlerListener(settings.peer, internalConnectionsMax, peerHandler);
  const local = createHandlerListener(settings.local, internalConnectionsMax, localHandler);

  const status = () => ({
    host: settings.host,
    zone: settings.zone,
    incarnation,
    startedAt,
    state: leaving ? 'leaving' : 'running',
    backendServer: backendServer ?? null,
    inFlight: receiver.inFlight(),
    clientConnections: entry.connections(),
    parts: supervisor.states(),
    fleet: {...fleet.status(), sequence: configuration.sequence},
  });

  const waitUntil = async (isDone: () => boolean, deadlineAt: number) => {
    while (!isDone() && clock.now() < deadlineAt) {
      await sleep(DRAIN_POLL_INTERVAL_MS); // eslint-disable-line no-await-in-loop
    }
  };

  /** Rejects new calls and waits for calls in flight. Listeners and the fleet part stop after this, so that replies can still be sent. */
  const drain = async () => {
    if (leaving) {
      return;
    }

    leaving = true;
    const deadlineAt = clock.now() + settings.stopTimeoutMs;
    eventLog.report('drain-started', 'the process was asked to leave; it takes no new work for its backend server');
    fleet.setDraining();
    const allCallsEnded = receiver.drain();
    await sleep(Math.min(DRAIN_NOTICE_MS, settings.stopTimeoutMs));
    entry.disableKeepAlive();
    peer.disableKeepAlive();
    await Promise.race([allCallsEnded, waitUntil(() => receiver.inFlight() === 0, deadlineAt)]);
    await waitUntil(() => sender.inFlight() === 0, deadlineAt);
  };

  const admin = createHandlerListener(settings.admin, internalConnectionsMax, createAdminHandler({
    status,
    ready: () => !leaving && fleet.ready(),
    drain() {
      void drain();
    },
    metrics,
    eventLog,
  }));

  const listenerPart = (name: string, listener: Listener): Part => ({
    name, required: true, start: async () => listener.start(), stop: async () => listener.stop(),
  });

  let tickTimer: NodeJS.Timeout | undefined;
  const tick = () => {
    receiver.tick();
    sender.tick();
    if (backendServer !== undefined && clock.now() - lastAnnouncementAt > ANNOUNCEMENT_TIMEOUT_MS) {
      removeBackendServer('the backend server has stopped announcing itself; start it again or check its local address');
    }
  };

  const supervisor = createSupervisor({
    random,
    report: eventLog.report,
    schedule(delayMs, run) {
      const timer = setTimeout(run, delayMs);
      return () => {
        clearTimeout(timer);
      };
    },
    parts: [
      {
        name: 'decisions',
        required: true,
        async start() {
          tickTimer = setInterval(tick, TICK_INTERVAL_MS);
        },
        async stop() {
          clearInterval(tickTimer);
        },
      },
      listenerPart('admin', admin),
      listenerPart('peer', peer),
      {
        name: 'fleet', required: false, start: async () => fleet.start(), stop: async () => fleet.stop(),
      },
      listenerPart('local', local),
      listenerPart('entry', entry),
    ],
  });

  return {
    start: async () => supervisor.start(),
    async stop() {
      await drain();
      await supervisor.stop();
      await Promise.all([receiver.close(), peers.close(), options.platform.close()]);
    },
    status,
  };
};
