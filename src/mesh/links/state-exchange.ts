/** Exchanges state with other processes over the links: versions, the configuration, members, learnt routes, and what backend servers have stated. */
import {Buffer} from 'node:buffer';
import {isAddress} from '../../shared/address.js';
import type {CrashGuard} from '../inbound/crash-guard.js';
import type {DecisionLog} from '../decision-log.js';
import type {LearntRouteSpread} from '../entry/learnt-routes.js';
import type {MemberDirectory} from '../members/member-directory.js';
import type {
  BackendRecord, KnownVersions, Message, ReportedReading,
} from '../message.js';
import type {RoutingConfiguration} from '../entry/routing-configuration.js';
import type {StoreReaders} from '../members/store-readers.js';
import {isWellFormedAnswer, isWellFormedPoll} from '../rate-limits/permit-messages.js';
import type {WorkspaceRateLimiter} from '../rate-limits/workspace-rate-limiter.js';
import {createBackendRecords, type BackendRecords} from './backend-records.js';

/** Link over which a message can be answered. */
export type MessageSender = {send: (message: Message, body?: Buffer) => void};

/** State of this process that other processes share. */
export type StateExchange = {
  /** Versions that this process knows. */
  known: () => KnownVersions;
  /** What the backend servers of other hosts have stated. */
  backendRecords: Pick<BackendRecords, 'of'>;
  /** Handles a message about state, and logs any other one; `from` is the process that sent it. */
  onMessage: (sender: MessageSender, message: Message, body: Buffer, from: string) => void;
};

/** Options of the exchange. */
export type StateExchangeOptions = {
  now: () => number;
  log: DecisionLog;
  directory: MemberDirectory;
  learntRoutes: LearntRouteSpread;
  crashGuard: Pick<CrashGuard, 'all' | 'merge'>;
  storeReaders: Pick<StoreReaders, 'latest' | 'ownAt' | 'recordPeer'>;
  rateLimits: Pick<WorkspaceRateLimiter, 'answer' | 'receive'>;
  configuration: () => RoutingConfiguration | undefined;
  /** Called with each newer configuration that a peer sends; `from` is the peer. */
  onConfiguration: (configuration: RoutingConfiguration, from: string) => void;
};

/** Minimum interval between two requests for the same newer state, over all links, in milliseconds. */
const REQUEST_INTERVAL_MS = 200;

/** Creates the exchange; nothing is known from other processes yet. */
export const createStateExchange = (options: StateExchangeOptions): StateExchange => {
  const {now, log, directory, learntRoutes, storeReaders, crashGuard} = options;
  const backendRecords = createBackendRecords();
  let configurationRequestedAt = Number.NEGATIVE_INFINITY;
  let membersRequestedAt = Number.NEGATIVE_INFINITY;
  let encodedConfiguration: {version: number; body: Buffer} | undefined;

  const knownReading = (): ReportedReading | undefined => {
    const latest = storeReaders.latest();
    return latest === undefined
      ? undefined
      : {
        reader: latest.reader, incarnation: latest.incarnation, sequence: latest.sequence, ageMs: Math.ceil(now() - latest.readAt),
      };
  };

  const known = (): KnownVersions => ({
    configuration: options.configuration()?.version ?? 0,
    members: directory.revision(),
    reading: knownReading(),
    ownReadingAgeMs: Number.isFinite(storeReaders.ownAt()) ? Math.ceil(now() - storeReaders.ownAt()) : undefined,
  });

  /** Records the readings of a peer; one that found a newer version than this process has counts only once the version has arrived. */
  const recordReadings = (from: string, peer: KnownVersions): void => {
    const {configuration, reading, ownReadingAgeMs} = peer;
    const isReflected = configuration <= known().configuration;
    storeReaders.recordPeer(from, {
      ownAt: ownReadingAgeMs === undefined ? Number.NEGATIVE_INFINITY : now() - ownReadingAgeMs,
      latest: reading === undefined || !isReflected
        ? undefined
        : {
          reader: reading.reader, incarnation: reading.incarnation, sequence: reading.sequence, readAt: now() - reading.ageMs,
        },
    });
  };

  const requestNewerState = (sender: MessageSender, peer: KnownVersions, from: string): void => {
    const own = known();
    recordReadings(from, peer);
    if (peer.configuration > own.configuration && now() - configurationRequestedAt > REQUEST_INTERVAL_MS) {
      configurationRequestedAt = now();
      sender.send({type: 'configuration-wanted'});
    }

    if (peer.members > own.members && now() - membersRequestedAt > REQUEST_INTERVAL_MS) {
      membersRequestedAt = now();
      sender.send({type: 'members-wanted', since: own.members});
    }
  };

  const sendConfiguration = (sender: MessageSender): void => {
    const configuration = options.configuration();
    if (configuration === undefined) {
      return;
    }

    if (encodedConfiguration?.version !== configuration.version) {
      encodedConfiguration = {version: configuration.version, body: Buffer.from(JSON.stringify(configuration))};
    }

    sender.send({type: 'configuration', version: configuration.version, known: known()}, encodedConfiguration.body);
  };

  const sendLearntRoutes = (sender: MessageSender): void => {
    sender.send({type: 'learnt', learnt: learntRoutes.all()});
  };

  const sendCrashRecords = (sender: MessageSender): void => {
    const records = crashGuard.all();
    if (records.length > 0) {
      sender.send({type: 'crashes', records});
    }
  };

  const keepRecord = (node: string, record: BackendRecord | undefined): void => {
    if (record !== undefined) {
      backendRecords.put(node, record);
    }
  };

  const answerPoll = (sender: MessageSender, message: Extract<Message, {type: 'permits-wanted'}>, from: string): void => {
    if (!isWellFormedPoll(message)) {
      log.count('link_protocol', 'permits-invalid');
      return;
    }

    const answer = options.rateLimits.answer(from, message);
    if (answer !== undefined) {
      sender.send(answer);
    }
  };

  const takePermits = (message: Extract<Message, {type: 'permits'}>, from: string): void => {
    if (isWellFormedAnswer(message)) {
      options.rateLimits.receive(from, message);
    } else {
      log.count('link_protocol', 'permits-invalid');
    }
  };

  const onMessage = (sender: MessageSender, message: Message, body: Buffer, from: string): void => {
    switch (message.type) {
      case 'ping':
      case 'pong':
      case 'known': {
        requestNewerState(sender, message.known, from);
        return;
      }

      case 'configuration-wanted': {
        sendConfiguration(sender);
        return;
      }

      case 'configuration': {
        if (message.version > known().configuration) {
          options.onConfiguration(JSON.parse(body.toString()) as RoutingConfiguration, from);
        }

        if (message.known !== undefined) {
          recordReadings(from, message.known);
        }

        return;
      }

      case 'members-wanted': {
        sender.send({type: 'members', changes: directory.changesSince(message.since)});
        return;
      }

      case 'members': {
        const {changes} = message;
        directory.applyChanges({...changes, listed: changes.listed.filter(({member}) => isAddress(member.address))});
        return;
      }

      case 'learnt': {
        learntRoutes.merge(message.learnt);
        return;
      }

      case 'hello': {
        if (isAddress(message.member.address)) {
          directory.learn(message.member);
        }

        requestNewerState(sender, message.known, from);
        sendLearntRoutes(sender);
        sendCrashRecords(sender);
        return;
      }

      case 'state': {
        keepRecord(from, message.record);
        return;
      }

      case 'welcome': {
        keepRecord(from, message.record);
        requestNewerState(sender, message.known, from);
        sendLearntRoutes(sender);
        sendCrashRecords(sender);
        return;
      }

      case 'crashes': {
        crashGuard.merge(message.records);
        return;
      }

      case 'permits-wanted': {
        answerPoll(sender, message, from);
        return;
      }

      case 'permits': {
        takePermits(message, from);
        return;
      }

      case 'body':
      case 'call':
      case 'cancel':
      case 'grant':
      case 'load':
      case 'result': {
        log.write('warn', 'message-unexpected', {type: message.type, from});
      }
    }
  };

  return {
    known,
    backendRecords,
    onMessage,
  };
};
