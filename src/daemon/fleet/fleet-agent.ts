/** Fleet agent of a process: passes events to the fleet decision logic and performs the actions that it returns. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
  composeStatus, createFleetState, decideFleet, endpointsOf, endpointsOfZone, ownLag,
  type Announcement, type MessageBody, type ConfigurationSource, type FleetAction, type FleetEvent, type FleetReport, type MemberRecord, type Message, type ZoneStatus,
} from '../../decisions/fleet/fleet.js';
import type {Endpoint} from '../../decisions/outbound/outbound.js';
import type {Configuration} from '../../objects/configuration.js';
import type {PlatformClient} from '../../platform/client.js';
import {createClock, type Clock} from '../../shared/clock.js';
import type {Random} from '../../shared/random.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {
  CONFIGURATION_APPLY_DELAY_MS, CONFIGURATION_TIMEOUT_MS, MESSAGE_TIMEOUT_MS, PENDING_SENDS_MAX, TICK_INTERVAL_MS,
} from './constants.js';
import {createEnvelopeCodec, type Envelope, type EnvelopeError} from './envelope.js';
import {createPlatformAdapter} from './platform-adapter.js';
import {createFleetRequestHandler, createEnvelopeSender, type FleetRequestHandler} from './transport.js';

/** Event that is counted in a metric. */
export type FleetCounterEvent =
  | {counter: 'message-received' | 'message-sent'; kind: MessageBody['kind']; bytes: number}
  | {counter: 'message-failed'; kind: MessageBody['kind']; reason: 'no-answer' | 'too-many-sends'}
  | {counter: 'message-rejected'; reason: EnvelopeError['kind']};

/** Options of a fleet agent. */
export type FleetAgentOptions = {
  /** Name of this host, unique in the fleet. */
  host: string;
  /** Availability zone of this host. */
  zone: string;
  /** Address at which other processes reach this one, `ip:port`. */
  address: string;
  /** Incarnation: id of this run of the process. */
  incarnation: string;
  /** Addresses of initial contacts in any zone; retried indefinitely. */
  contacts: readonly string[];
  /** Fleet key, shared by all processes. */
  fleetKey: string;
  platform: PlatformClient;
  /** Monotonic clock. @default the operating system's monotonic timer */
  clock?: Clock;
  /** Time in milliseconds since the Unix epoch. @default Date.now */
  wallClock?: () => number;
  /** Random number generator. @default Math.random */
  random?: Random;
  /** Receives the reports of the fleet decision logic, which become log events. */
  onReport?: (report: FleetReport) => void;
  /** Receives the events to be counted in metrics. */
  onCount?: (count: FleetCounterEvent) => void;
};

/** Difference between two states of the known members. */
export type MembersChange = {
  /** Records of live members of this zone that are new or changed. */
  changed: readonly MemberRecord[];
  /** Hosts of this zone that are no longer live. */
  removed: readonly string[];
  /** Other zones whose summaries changed. */
  zones: readonly string[];
};

/** Status of the zone as seen by this process, and of its own configuration. */
export type FleetStatus = {
  /** Status of the zone as seen by this process; only that of the aggregator is complete. */
  zone: ZoneStatus;
  /** Sequence number of the configuration in effect. */
  sequence: number;
  /** Where the configuration in effect came from. */
  source: ConfigurationSource;
  /** Time since the configuration in effect was received, in milliseconds. */
  ageMs: number;
  /** Reason why this process does not have the newest configuration that it knows of; empty if it has it. */
  lag: string;
};

/** Represents one process in the fleet: membership, configuration distribution and zone status. */
export type FleetAgent = {
  start: () => void;
  /** Stops immediately. In a planned shutdown, call `leave` first. */
  stop: () => Promise<void>;
  /** Handles requests under `/trpc/`; returns false for others. */
  handler: FleetRequestHandler;
  /** Records of all members of this zone, including this process and dead members. */
  members: () => MemberRecord[];
  /** Endpoints of all backend servers that calls can be sent to, in all zones. */
  endpoints: () => Endpoint[];
  /** Endpoints of another zone. */
  endpointsOfZone: (zone: string) => Endpoint[];
  /** Calls the listener after each change; returns a function that removes it. */
  onMembersChanged: (listener: (change: MembersChange) => void) => () => void;
  /** Configuration in effect. */
  configuration: () => Configuration;
  /** Calls the listener shortly after a configuration was accepted and pushed to other processes; returns a function that removes it. */
  onConfiguration: (listener: (configuration: Configuration) => void) => () => void;
  /** Announces the backend server of this host, or that the host has none. */
  setBackendServer: (announcement: Announcement | undefined) => void;
  /** Announces that the backend server accepts no new calls. Cannot be undone during this incarnation. */
  setDraining: () => void;
  /** Announces that this process leaves; resolves when all pending messages have been delivered or have failed, or after the message timeout. */
  leave: () => Promise<void>;
  status: () => FleetStatus;
};

type SendAction = Extract<FleetAction, {kind: 'send'}>;

const createListenerSet = <Value>() => {
  const listeners = new Set<(value: Value) => void>();
  return {
    add(listener: (value: Value) => void) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    notify(value: Value) {
      for (const listener of listeners) {
        listener(value);
      }
    },
  };
};

const messageTimeoutOf = (body: MessageBody): number =>
  body.kind.startsWith('configuration-') ? CONFIGURATION_TIMEOUT_MS : MESSAGE_TIMEOUT_MS;

/** Creates the fleet agent of a process. */
export const createFleetAgent = (options: FleetAgentOptions): FleetAgent => {
  const {clock = createClock(), wallClock = Date.now, random = Math.random, onReport, onCount} = options;
  const state = createFleetState({...options, startedAt: Math.max(0, Math.trunc(wallClock()))});
  const codec = createEnvelopeCodec({...options, wallClock});
  const sender = createEnvelopeSender();
  const membersListeners = createListenerSet<MembersChange>();
  const configurationListeners = createListenerSet<Configuration>();
  const pendingSends = new Set<Promise<void>>();
  let tickTimer: NodeJS.Timeout | undefined;
  let applyTimer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let isDraining = false;

  const platformAdapter = createPlatformAdapter({
    platform: options.platform,
    now: clock.now,
    onEvent(event) {
      handleEvent(event);
    },
  });

  const openEnvelope = (envelope: Envelope): Result<Message, EnvelopeError> => {
    const result = codec.open(envelope);
    if (result.kind === 'error') {
      onCount?.({counter: 'message-rejected', reason: result.error.kind});
    } else {
      onCount?.({counter: 'message-received', kind: result.value.body.kind, bytes: envelope.content.length});
    }

    return result;
  };

  const handleSendFailure = ({address, message: {body}}: SendAction, reason: 'no-answer' | 'too-many-sends'): void => {
    onCount?.({counter: 'message-failed', kind: body.kind, reason});
    handleEvent({kind: 'message-failed', address, body});
  };

  const deliverMessage = async (action: SendAction): Promise<void> => {
    const {address, message} = action;
    const envelope = codec.seal(address, message);
    onCount?.({counter: 'message-sent', kind: message.body.kind, bytes: envelope.content.length});
    let replyEnvelope: Envelope | undefined;
    try {
      replyEnvelope = await sender.deliver(address, envelope, messageTimeoutOf(message.body));
    } catch {
      handleSendFailure(action, 'no-answer');
      return;
    }

    const opened = replyEnvelope === undefined ? undefined : openEnvelope(replyEnvelope);
    if (opened?.kind === 'ok') {
      handleEvent({kind: 'message-received', message: opened.value});
    }
  };

  const send = (action: SendAction): void => {
    if (pendingSends.size >= PENDING_SENDS_MAX) {
      // Reported asynchronously, so that the failure is not passed to the decision logic while its actions are still being performed.
      setImmediate(handleSendFailure, action, 'too-many-sends');
      return;
    }

    const pendingSend = deliverMessage(action);
    pendingSends.add(pendingSend);
    void pendingSend.finally(() => pendingSends.delete(pendingSend)); // eslint-disable-line promise/prefer-await-to-then
  };

  /** Notifies the configuration listeners after a delay. Of several configurations accepted in that time, only the last one is applied. */
  const scheduleApply = (): void => {
    applyTimer ??= setTimeout(() => {
      applyTimer = undefined;
      configurationListeners.notify(state.configuration.current);
    }, CONFIGURATION_APPLY_DELAY_MS);
  };

  const performAction = (action: FleetAction): void => {
    switch (action.kind) {
      case 'send': {
        send(action);
        break;
      }

      case 'members-changed': {
        const {changed, removed, zones} = action;
        membersListeners.notify({changed, removed, zones});
        break;
      }

      case 'configuration-in-force': {
        scheduleApply();
        break;
      }

      case 'watch-platform': {
        platformAdapter.watch(action.read);
        break;
      }

      case 'stop-watching': {
        platformAdapter.stopWatching();
        break;
      }

      case 'write-configuration': {
        void platformAdapter.writeConfiguration(action.configuration, action.expectedVersion);
        break;
      }

      case 'write-status': {
        void platformAdapter.writeStatus(action.status);
        break;
      }

      case 'report': {
        onReport?.(action.report);
        break;
      }
    }
  };

  /** Passes an event to the decision logic and performs the actions that it returns. The reply is returned instead of sent if the caller can return it in its response. */
  const handleEvent = (event: FleetEvent, canReturnReply = false): Message | undefined => {
    if (isStopped) {
      return undefined;
    }

    const actions = decideFleet(state, event, clock.now(), random);
    const reply = canReturnReply ? actions.find((action): action is SendAction => action.kind === 'send' && action.reply) : undefined;
    for (const action of actions.filter(candidate => candidate !== reply)) {
      performAction(action);
    }

    return reply?.message;
  };

  const receive = (envelope: Envelope): Result<Envelope | undefined, EnvelopeError> => {
    const opened = openEnvelope(envelope);
    if (opened.kind === 'error') {
      return fail(opened.error);
    }

    const reply = handleEvent({kind: 'message-received', message: opened.value}, true);
    if (reply === undefined) {
      return ok(undefined);
    }

    const sealed = codec.seal(opened.value.from.address, reply);
    onCount?.({counter: 'message-sent', kind: reply.body.kind, bytes: sealed.content.length});
    return ok(sealed);
  };

  return {
    start() {
      handleEvent({kind: 'tick'});
      tickTimer = setInterval(() => handleEvent({kind: 'tick'}), TICK_INTERVAL_MS);
    },
    async stop() {
      isStopped = true;
      clearInterval(tickTimer);
      clearTimeout(applyTimer);
      platformAdapter.stopWatching();
      await sender.close();
      await Promise.all(pendingSends);
    },
    handler: createFleetRequestHandler(receive, reason => onCount?.({counter: 'message-rejected', reason})),
    members: () => [{...state.self}, ...[...state.membership.members.values()].map(member => member.record)],
    endpoints: () => endpointsOf(state),
    endpointsOfZone: zone => endpointsOfZone(state, zone),
    onMembersChanged: listener => membersListeners.add(listener),
    configuration: () => state.configuration.current,
    onConfiguration: listener => configurationListeners.add(listener),
    setBackendServer(announcement) {
      handleEvent({kind: 'local-changed', backend: announcement && {...announcement, draining: announcement.draining || isDraining}});
    },
    setDraining() {
      isDraining = true;
      if (state.self.backend !== undefined) {
        handleEvent({kind: 'local-changed', backend: {...state.self.backend, draining: true}});
      }
    },
    async leave() {
      handleEvent({kind: 'leave'});
      platformAdapter.stopWatching();
      await Promise.race([Promise.all(pendingSends), sleep(MESSAGE_TIMEOUT_MS)]);
    },
    status: () => ({
      zone: composeStatus(state, clock.now()),
      sequence: state.configuration.current.sequence,
      source: state.configuration.source,
      ageMs: Math.round(clock.now() - state.configuration.receivedAt),
      lag: ownLag(state, clock.now()),
    }),
  };
};
