/** Distribution of the configuration. Configurations are totally ordered, and a process only moves to a later one. */
import {emptyConfiguration, hashObjects, type Configuration} from '../../objects/configuration.js';
import type {Random} from '../../shared/random.js';
import {applyChange, describeChange} from './configuration-change.js';
import {
  CONFIGURATION_HISTORY_LENGTH, CONFIGURATION_PULL_INTERVAL_MS, CONFIGURATION_PUSH_FAN_OUT, REJECTED_PULL_DELAY_MS, WRITE_BACK_SPREAD_MS, WRITE_TIMEOUT_MS,
} from './constants.js';
import type {MessageBody, ReceivedMessage, MessageSender} from './message.js';
import {isRelay, isWatcher} from './roles.js';
import {
  liveMembers, reply, report, sample, send,
} from './sending.js';
import type {
  ConfigurationSource, ConfigurationState, FleetAction, FleetState, PlatformView,
} from './state.js';
import {relayAddresses} from './zone-summary.js';

type ConfigurationOffer = {configuration: Configuration; source: ConfigurationSource};
type ConfigurationPosition = {sequence: number; hash: string};

/** Creates the state of a process that has no configuration yet. */
export const createConfigurationState = (): ConfigurationState => ({
  current: emptyConfiguration,
  history: [],
  source: {kind: 'none'},
  receivedAt: 0,
  highestKnown: {sequence: 0, hash: emptyConfiguration.hash, since: 0},
  rejectionReason: '',
  nextPullAt: 0,
  platformPosition: undefined,
  writeBackAt: undefined,
  writeTimeoutAt: undefined,
});

/** Orders configurations by sequence, then by hash, so that of two with the same sequence every process keeps the same one. */
export const comparePositions = (a: ConfigurationPosition, b: ConfigurationPosition): number =>
  a.sequence - b.sequence || (a.hash === b.hash ? 0 : (a.hash > b.hash ? 1 : -1));

const createUpdateFor = (state: FleetState, position: ConfigurationPosition): MessageBody => {
  const {current, history} = state.configuration;
  const base = history.find(candidate => candidate.sequence === position.sequence && candidate.hash === position.hash);
  return base === undefined
    ? {kind: 'configuration-full', configuration: current}
    : {kind: 'configuration-change', change: describeChange(base, current)};
};

/** Pushes the configuration in effect to some members; a relay also pushes it to relays of other zones. */
const pushConfiguration = (state: FleetState, previous: Configuration, random: Random): FleetAction[] => {
  const body = createUpdateFor(state, previous);
  const members = sample(liveMembers(state).map(record => record.address), CONFIGURATION_PUSH_FAN_OUT, random);
  const relays = isRelay(state) ? sample(relayAddresses(state), CONFIGURATION_PUSH_FAN_OUT, random) : [];
  return [...members, ...relays].map(address => send(state, address, body));
};

const reportConflict = (a: ConfigurationPosition, b: ConfigurationPosition): FleetAction[] => {
  if (a.sequence !== b.sequence || a.hash === b.hash) {
    return [];
  }

  const [kept, dropped] = a.hash > b.hash ? [a, b] : [b, a];
  return [report({
    kind: 'configuration-conflict', sequence: a.sequence, kept: kept.hash, dropped: dropped.hash,
  })];
};

/** Adopts a configuration if it is later than the one in effect and its content has the stated hash. */
const adoptConfiguration = (state: FleetState, {configuration, source}: ConfigurationOffer, now: number, random: Random): FleetAction[] => {
  const {configuration: own} = state;
  const conflict = reportConflict(configuration, own.current);
  if (comparePositions(configuration, own.current) <= 0) {
    return conflict;
  }

  if (hashObjects(configuration.objects) !== configuration.hash) {
    own.rejectionReason = `the content of sequence ${configuration.sequence} does not have the stated hash`;
    own.nextPullAt = now + REJECTED_PULL_DELAY_MS;
    return [report({kind: 'configuration-rejected', reason: own.rejectionReason})];
  }

  const previous = own.current;
  own.history = [previous, ...own.history].slice(0, CONFIGURATION_HISTORY_LENGTH);
  own.current = configuration;
  own.source = source;
  own.receivedAt = now;
  own.rejectionReason = '';
  // The pushes come first, because applying a configuration may block the process for long.
  return [...conflict, ...pushConfiguration(state, previous, random), {kind: 'configuration-in-force', configuration, source}];
};

/** Records the position of the configuration that the sender has in effect, and requests it if it is later than the own one. */
export const handleConfigurationPosition = (state: FleetState, from: MessageSender, now: number): FleetAction[] => {
  const {configuration: own} = state;
  if (comparePositions(from, own.highestKnown) > 0) {
    own.highestKnown = {sequence: from.sequence, hash: from.hash, since: now};
  }

  if (comparePositions(from, own.current) <= 0 || now < own.nextPullAt) {
    return [];
  }

  own.nextPullAt = now + CONFIGURATION_PULL_INTERVAL_MS;
  return [send(state, from.address, {kind: 'configuration-pull', sequence: own.current.sequence, hash: own.current.hash})];
};

/** Answers a request with the difference to the sender's configuration, or with the whole configuration. */
export const handleConfigurationPull = (state: FleetState, {from, body}: ReceivedMessage<'configuration-pull'>): FleetAction[] =>
  comparePositions(state.configuration.current, body) > 0 ? [reply(state, from, createUpdateFor(state, body))] : [];

/** Handles a whole configuration from another process. */
export const handleFullConfiguration = (state: FleetState, {from, body}: ReceivedMessage<'configuration-full'>, now: number, random: Random): FleetAction[] =>
  adoptConfiguration(state, {configuration: body.configuration, source: {kind: 'peer', host: from.host}}, now, random);

/** Handles a difference; ignores it when its base is not in effect here. */
export const handleConfigurationChange = (state: FleetState, {from, body}: ReceivedMessage<'configuration-change'>, now: number, random: Random): FleetAction[] => {
  const {current} = state.configuration;
  const {change} = body;
  if (comparePositions(change.head, current) <= 0) {
    return reportConflict(change.head, current);
  }

  const isBase = change.baseSequence === current.sequence && change.baseHash === current.hash;
  const configuration = isBase ? applyChange(current, change) : undefined;
  // `handlePosition`, which runs for every message, requests the sender's configuration unless a request is open.
  return configuration === undefined ? [] : adoptConfiguration(state, {configuration, source: {kind: 'peer', host: from.host}}, now, random);
};

/** Handles the configuration that the platform returned. */
export const handlePlatformView = (state: FleetState, view: PlatformView, now: number, random: Random): FleetAction[] => {
  const {configuration: own} = state;
  const {configuration, version} = view;
  if (view.by === 'write') {
    own.writeTimeoutAt = undefined;
  }

  // A watch event may arrive after a later read; only a read or write can show that the platform was restored to an older version.
  if (view.by !== 'watch' || (version ?? 0) > (own.platformPosition?.version ?? 0)) {
    own.platformPosition = {version, sequence: configuration?.sequence ?? 0, hash: configuration?.hash ?? emptyConfiguration.hash};
  }

  return configuration === undefined ? [] : adoptConfiguration(state, {configuration, source: {kind: 'platform'}}, now, random);
};

/** Forgets the platform's version after a failure. The outcome of a write is then unknown, so nothing is written before the next read. */
export const forgetPlatformPosition = (state: FleetState): void => {
  state.configuration.platformPosition = undefined;
  state.configuration.writeTimeoutAt = undefined;
};

/** Writes the configuration in effect back when the platform has an earlier one. */
export const tickConfiguration = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const {configuration: own} = state;
  if (own.writeTimeoutAt !== undefined && now >= own.writeTimeoutAt) {
    forgetPlatformPosition(state);
  }

  const isBehind = own.platformPosition !== undefined && comparePositions(own.platformPosition, own.current) < 0;
  if (!isWatcher(state) || !isBehind || own.writeTimeoutAt !== undefined) {
    own.writeBackAt = undefined;
    return [];
  }

  // The watchers of all zones see the same state. A random delay lets one of them write, and the others see the result.
  own.writeBackAt ??= now + (random() * WRITE_BACK_SPREAD_MS);
  if (now < own.writeBackAt) {
    return [];
  }

  own.writeBackAt = undefined;
  own.writeTimeoutAt = now + WRITE_TIMEOUT_MS;
  return [
    report({kind: 'configuration-written-back', sequence: own.current.sequence, platformSequence: own.platformPosition!.sequence}),
    {kind: 'write-configuration', configuration: own.current, expectedVersion: own.platformPosition!.version},
  ];
};
