/** Order of configurations: a process only ever goes to a later one. */
import {emptyConfiguration, hashObjects, type Configuration} from '../../objects/configuration.js';
import type {Random} from '../../shared/random.js';
import {applyChange, describeChange} from './configuration-change.js';
import {
  HISTORY_LENGTH, PULL_INTERVAL_MS, PUSH_COUNT, REJECTION_PAUSE_MS, WRITE_BACK_SPREAD_MS, WRITE_TIMEOUT_MS,
} from './constants.js';
import type {Body, Received, Sender} from './message.js';
import {isRelay, isWatcher} from './roles.js';
import {
  liveMembers, reply, report, sample, send,
} from './sending.js';
import type {
  ConfigurationSource, ConfigurationState, FleetAction, FleetState, PlatformView,
} from './state.js';
import {relayAddresses} from './zone-summary.js';

type Offer = {configuration: Configuration; source: ConfigurationSource};
type Position = {sequence: number; hash: string};

/** Creates the state of a process that has no configuration yet. */
export const createConfigurationState = (): ConfigurationState => ({
  current: emptyConfiguration,
  history: [],
  source: {kind: 'none'},
  receivedAt: 0,
  known: {sequence: 0, hash: emptyConfiguration.hash, since: 0},
  fault: '',
  nextPullAt: 0,
  platform: undefined,
  writeBackAt: undefined,
  writingUntil: undefined,
});

/** Orders configurations by sequence, then by hash, so that every process keeps the same one of two with an equal sequence. */
export const comparePositions = (a: Position, b: Position): number =>
  a.sequence - b.sequence || (a.hash === b.hash ? 0 : (a.hash > b.hash ? 1 : -1));

const describeFor = (state: FleetState, position: Position): Body => {
  const {current, history} = state.configuration;
  const base = history.find(candidate => candidate.sequence === position.sequence && candidate.hash === position.hash);
  return base === undefined
    ? {kind: 'configuration-full', configuration: current}
    : {kind: 'configuration-change', change: describeChange(base, current)};
};

/** Pushes the configuration in effect to some members, and from a relay to relays of other zones. */
const push = (state: FleetState, previous: Configuration, random: Random): FleetAction[] => {
  const body = describeFor(state, previous);
  const members = sample(liveMembers(state).map(record => record.address), PUSH_COUNT, random);
  const relays = isRelay(state) ? sample(relayAddresses(state), PUSH_COUNT, random) : [];
  return [...members, ...relays].map(address => send(state, address, body));
};

const reportConflict = (a: Position, b: Position): FleetAction[] => {
  if (a.sequence !== b.sequence || a.hash === b.hash) {
    return [];
  }

  const [kept, dropped] = a.hash > b.hash ? [a, b] : [b, a];
  return [report({
    kind: 'configuration-conflict', sequence: a.sequence, kept: kept.hash, dropped: dropped.hash,
  })];
};

/** Takes a configuration if it is later than the one in effect and its content has the stated hash. */
const adopt = (state: FleetState, {configuration, source}: Offer, now: number, random: Random): FleetAction[] => {
  const {configuration: own} = state;
  const conflict = reportConflict(configuration, own.current);
  if (comparePositions(configuration, own.current) <= 0) {
    return conflict;
  }

  if (hashObjects(configuration.objects) !== configuration.hash) {
    own.fault = `the content of sequence ${configuration.sequence} does not have the stated hash`;
    own.nextPullAt = now + REJECTION_PAUSE_MS;
    return [report({kind: 'configuration-rejected', reason: own.fault})];
  }

  const previous = own.current;
  own.history = [previous, ...own.history].slice(0, HISTORY_LENGTH);
  own.current = configuration;
  own.source = source;
  own.receivedAt = now;
  own.fault = '';
  // The pushes come first, because bringing a configuration into force may block the process for long.
  return [...conflict, ...push(state, previous, random), {kind: 'configuration-in-force', configuration, source}];
};

/** Notes what the sender has in effect and asks for it if it is later. */
export const noticePosition = (state: FleetState, from: Sender, now: number): FleetAction[] => {
  const {configuration: own} = state;
  if (comparePositions(from, own.known) > 0) {
    own.known = {sequence: from.sequence, hash: from.hash, since: now};
  }

  if (comparePositions(from, own.current) <= 0 || now < own.nextPullAt) {
    return [];
  }

  own.nextPullAt = now + PULL_INTERVAL_MS;
  return [send(state, from.address, {kind: 'configuration-pull', sequence: own.current.sequence, hash: own.current.hash})];
};

/** Answers a request with the difference to what the other side has, or with the whole configuration. */
export const handlePull = (state: FleetState, {from, body}: Received<'configuration-pull'>): FleetAction[] =>
  comparePositions(state.configuration.current, body) > 0 ? [reply(state, from, describeFor(state, body))] : [];

/** Takes a whole configuration of another process. */
export const handleFull = (state: FleetState, {from, body}: Received<'configuration-full'>, now: number, random: Random): FleetAction[] =>
  adopt(state, {configuration: body.configuration, source: {kind: 'peer', host: from.host}}, now, random);

/** Takes a difference, or asks for the whole configuration when its base is not in effect here. */
export const handleChange = (state: FleetState, {from, body}: Received<'configuration-change'>, now: number, random: Random): FleetAction[] => {
  const {current} = state.configuration;
  const {change} = body;
  if (comparePositions(change.head, current) <= 0) {
    return reportConflict(change.head, current);
  }

  const isBase = change.baseSequence === current.sequence && change.baseHash === current.hash;
  const configuration = isBase ? applyChange(current, change) : undefined;
  // Noticing the sender's position has asked for the rest already unless a request is open.
  return configuration === undefined ? [] : adopt(state, {configuration, source: {kind: 'peer', host: from.host}}, now, random);
};

/** Takes what the platform showed. */
export const handleView = (state: FleetState, view: PlatformView, now: number, random: Random): FleetAction[] => {
  const {configuration: own} = state;
  const {configuration, version} = view;
  if (view.by === 'write') {
    own.writingUntil = undefined;
  }

  // A watch event may arrive after a later read; only a read may show a platform restored to an older version.
  if (view.by !== 'watch' || (version ?? 0) > (own.platform?.version ?? 0)) {
    own.platform = {version, sequence: configuration?.sequence ?? 0, hash: configuration?.hash ?? emptyConfiguration.hash};
  }

  return configuration === undefined ? [] : adopt(state, {configuration, source: {kind: 'platform'}}, now, random);
};

/** The outcome of a write is open after a failure: nothing is written before the platform was read again. */
export const handlePlatformFailure = (state: FleetState): void => {
  state.configuration.platform = undefined;
  state.configuration.writingUntil = undefined;
};

/** Writes the configuration in effect back when the platform shows an earlier one. */
export const tickConfiguration = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const {configuration: own} = state;
  if (own.writingUntil !== undefined && now >= own.writingUntil) {
    handlePlatformFailure(state);
  }

  const isBehind = own.platform !== undefined && comparePositions(own.platform, own.current) < 0;
  if (!isWatcher(state) || !isBehind || own.writingUntil !== undefined) {
    own.writeBackAt = undefined;
    return [];
  }

  // The watchers of all zones see the same; a random wait lets one of them write and the others see it.
  own.writeBackAt ??= now + (random() * WRITE_BACK_SPREAD_MS);
  if (now < own.writeBackAt) {
    return [];
  }

  own.writeBackAt = undefined;
  own.writingUntil = now + WRITE_TIMEOUT_MS;
  return [
    report({kind: 'configuration-written-back', sequence: own.current.sequence, platformSequence: own.platform!.sequence}),
    {kind: 'write-configuration', configuration: own.current, expectedVersion: own.platform!.version},
  ];
};
