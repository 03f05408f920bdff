/** Fleet part of a process: performs what the fleet decision asks for. */
import {setTimeout as wait} from 'node:timers/promises';
import {
  composeStatus, createFleetState, decideFleet, endpointsOf, endpointsOfZone, ownLag,
  type Announcement, type Body, type ConfigurationSource, type FleetAction, type FleetEvent, type FleetReport, type MemberRecord, type Message, type ZoneStatus,
} from '../../decisions/fleet/fleet.js';
import type {Endpoint} from '../../decisions/outbound/outbound.js';
import type {Configuration} from '../../objects/configuration.js';
import type {PlatformClient} from '../../platform/client.js';
import {createClock, type Clock} from '../../shared/clock.js';
import type {Random} from '../../shared/random.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {
  APPLY_DELAY_MS, CONFIGURATION_TIMEOUT_MS, MESSAGE_TIMEOUT_MS, SENDS_MAX, TICK_MS,
} from './constants.js';
import {createEnvelopeCodec, type Envelope, type EnvelopeFault} from './envelope.js';
import {createPlatformLink} from './platform-link.js';
import {createHandler, createSender, type FleetHandler} from './transport.js';

/** Event that the fleet counts. */
export type FleetCount =
  | {counter: 'message-received' | 'message-sent'; kind: Body['kind']; bytes: number}
  | {counter: 'message-failed'; kind: Body['kind']; reason: 'no-answer' | 'too-many-sends'}
  | {counter: 'message-rejected'; reason: EnvelopeFault['kind']};

/** Options of the fleet part. */
export type FleetOptions = {
  /** Name of this host, unique in its zone. */
  host: string;
  /** Availability zone of this host. */
  zone: string;
  /** Address that other processes reach this one at, `ip:port`. */
  address: string;
  /** Id of this run of the process. */
  incarnation: string;
  /** Addresses of processes of any zone, tried for ever. */
  contacts: readonly string[];
  /** Fleet key, shared by all processes. */
  key: string;
  platform: PlatformClient;
  /** @default the operating system's monotonic timer */
  clock?: Clock;
  /** Time in milliseconds since the Unix epoch. @default Date.now */
  wallClock?: () => number;
  /** @default Math.random */
  random?: Random;
  /** Receives explained events. */
  onReport?: (report: FleetReport) => void;
  /** Receives events to be counted. */
  onCount?: (count: FleetCount) => void;
};

/** Change of the known members. */
export type MembersChange = {
  /** Records of this zone that are new or changed and live. */
  changed: readonly MemberRecord[];
  /** Hosts of this zone that are no longer live. */
  removed: readonly string[];
  /** Other zones whose summary changed. */
  zones: readonly string[];
};

/** What this process knows about its zone, and its own part. */
export type FleetStatus = {
  /** Status of the zone as this process sees it; the aggregator's is the complete one. */
  zone: ZoneStatus;
  sequence: number;
  source: ConfigurationSource;
  /** Time since the configuration in effect arrived, in milliseconds. */
  ageMs: number;
  /** Why this process has not the newest configuration it heard of; empty when it has. */
  lag: string;
};

/** Fleet part of a process. */
export type Fleet = {
  start: () => void;
  /** Ends at once; call `leave` before in a planned stop. */
  stop: () => Promise<void>;
  /** Handles requests under `/trpc/`; returns false for others. */
  handler: FleetHandler;
  /** Records of this zone, this process and dead members included. */
  members: () => MemberRecord[];
  /** Backend servers that calls can be sent to, in all zones. */
  endpoints: () => Endpoint[];
  /** Those of another zone. */
  endpointsOfZone: (zone: string) => Endpoint[];
  /** Calls the listener after each change; returns a function that ends this. */
  onMembersChanged: (listener: (change: MembersChange) => void) => () => void;
  configuration: () => Configuration;
  /** Calls the listener with a configuration shortly after it was taken and pushed on; returns a function that ends this. */
  onConfiguration: (listener: (configuration: Configuration) => void) => () => void;
  /** Announces the backend server of this host, or that there is none. */
  setBackendServer: (announcement: Announcement | undefined) => void;
  /** Announces that the backend server gets no new work; stays so for the rest of the run. */
  setDraining: () => void;
  /** Tells others that this process leaves; ends when they were told or did not answer in time. */
  leave: () => Promise<void>;
  status: () => FleetStatus;
};

type SendAction = Extract<FleetAction, {kind: 'send'}>;

const createListeners = <Value>() => {
  const listeners = new Set<(value: Value) => void>();
  return {
    add(listener: (value: Value) => void) {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    call(value: Value) {
      for (const listener of listeners) {
        listener(value);
      }
    },
  };
};

const timeoutOf = (body: Body): number =>
  body.kind.startsWith('configuration-') ? CONFIGURATION_TIMEOUT_MS : MESSAGE_TIMEOUT_MS;

/** Creates the fleet part of a process. */
export const createFleet = (options: FleetOptions): Fleet => {
  const {clock = createClock(), wallClock = Date.now, random = Math.random, onReport, onCount} = options;
  const state = createFleetState({...options, startedAt: Math.max(0, Math.trunc(wallClock()))});
  const codec = createEnvelopeCodec({...options, wallClock});
  const sender = createSender();
  const membersListeners = createListeners<MembersChange>();
  const configurationListeners = createListeners<Configuration>();
  const sends = new Set<Promise<void>>();
  let timer: NodeJS.Timeout | undefined;
  let applyTimer: NodeJS.Timeout | undefined;
  let isStopped = false;
  let isDraining = false;

  const link = createPlatformLink({
    platform: options.platform,
    now: clock.now,
    onEvent(event) {
      handle(event);
    },
  });

  const open = (envelope: Envelope): Result<Message, EnvelopeFault> => {
    const result = codec.open(envelope);
    if (result.kind === 'error') {
      onCount?.({counter: 'message-rejected', reason: result.error.kind});
    } else {
      onCount?.({counter: 'message-received', kind: result.value.body.kind, bytes: envelope.content.length});
    }

    return result;
  };

  const failSend = ({address, message: {body}}: SendAction, reason: 'no-answer' | 'too-many-sends'): void => {
    onCount?.({counter: 'message-failed', kind: body.kind, reason});
    handle({kind: 'message-failed', address, body});
  };

  const deliver = async (action: SendAction): Promise<void> => {
    const {address, message} = action;
    const envelope = codec.seal(address, message);
    onCount?.({counter: 'message-sent', kind: message.body.kind, bytes: envelope.content.length});
    let answer: Envelope | undefined;
    try {
      answer = await sender.deliver(address, envelope, timeoutOf(message.body));
    } catch {
      failSend(action, 'no-answer');
      return;
    }

    const opened = answer === undefined ? undefined : open(answer);
    if (opened?.kind === 'ok') {
      handle({kind: 'message-received', message: opened.value});
    }
  };

  const send = (action: SendAction): void => {
    if (sends.size >= SENDS_MAX) {
      // Told later, so that a failure does not enter the decision while its actions are performed.
      setImmediate(failSend, action, 'too-many-sends');
      return;
    }

    const sending = deliver(action);
    sends.add(sending);
    void sending.finally(() => sends.delete(sending)); // eslint-disable-line promise/prefer-await-to-then
  };

  /** Several configurations that arrive within the delay are applied as the last of them. */
  const applyLater = (): void => {
    applyTimer ??= setTimeout(() => {
      applyTimer = undefined;
      configurationListeners.call(state.configuration.current);
    }, APPLY_DELAY_MS);
  };

  const perform = (action: FleetAction): void => {
    switch (action.kind) {
      case 'send': {
        send(action);
        break;
      }

      case 'members-changed': {
        const {changed, removed, zones} = action;
        membersListeners.call({changed, removed, zones});
        break;
      }

      case 'configuration-in-force': {
        applyLater();
        break;
      }

      case 'watch-platform': {
        link.watch(action.read);
        break;
      }

      case 'stop-watching': {
        link.stopWatching();
        break;
      }

      case 'write-configuration': {
        void link.writeConfiguration(action.configuration, action.expectedVersion);
        break;
      }

      case 'write-status': {
        void link.writeStatus(action.status);
        break;
      }

      case 'report': {
        onReport?.(action.report);
        break;
      }
    }
  };

  /** Decides on an event and performs the actions; an answer is returned when the caller can carry it. */
  const handle = (event: FleetEvent, carriesAnswer = false): Message | undefined => {
    if (isStopped) {
      return undefined;
    }

    const actions = decideFleet(state, event, clock.now(), random);
    const answer = carriesAnswer ? actions.find((action): action is SendAction => action.kind === 'send' && action.reply) : undefined;
    for (const action of actions.filter(candidate => candidate !== answer)) {
      perform(action);
    }

    return answer?.message;
  };

  const receive = (envelope: Envelope): Result<Envelope | undefined, EnvelopeFault> => {
    const opened = open(envelope);
    if (opened.kind === 'error') {
      return fail(opened.error);
    }

    const answer = handle({kind: 'message-received', message: opened.value}, true);
    if (answer === undefined) {
      return ok(undefined);
    }

    const sealed = codec.seal(opened.value.from.address, answer);
    onCount?.({counter: 'message-sent', kind: answer.body.kind, bytes: sealed.content.length});
    return ok(sealed);
  };

  return {
    start() {
      handle({kind: 'tick'});
      timer = setInterval(() => handle({kind: 'tick'}), TICK_MS);
    },
    async stop() {
      isStopped = true;
      clearInterval(timer);
      clearTimeout(applyTimer);
      link.stopWatching();
      await sender.close();
      await Promise.all(sends);
    },
    handler: createHandler(receive, reason => onCount?.({counter: 'message-rejected', reason})),
    members: () => [{...state.self}, ...[...state.membership.members.values()].map(member => member.record)],
    endpoints: () => endpointsOf(state),
    endpointsOfZone: zone => endpointsOfZone(state, zone),
    onMembersChanged: listener => membersListeners.add(listener),
    configuration: () => state.configuration.current,
    onConfiguration: listener => configurationListeners.add(listener),
    setBackendServer(announcement) {
      handle({kind: 'local-changed', backend: announcement && {...announcement, draining: announcement.draining || isDraining}});
    },
    setDraining() {
      isDraining = true;
      if (state.self.backend !== undefined) {
        handle({kind: 'local-changed', backend: {...state.self.backend, draining: true}});
      }
    },
    async leave() {
      handle({kind: 'leave'});
      link.stopWatching();
      await Promise.race([Promise.all(sends), wait(MESSAGE_TIMEOUT_MS)]);
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
