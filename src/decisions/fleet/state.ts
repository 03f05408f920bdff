/** State, events and actions of the fleet decisions. */
import type {Configuration} from '../../objects/configuration.js';
import type {
  Announcement, MessageBody, MemberRecord, Message, SummaryStamp, SummaryEntry,
} from './message.js';

/** Origin of the configuration in effect. */
export type ConfigurationSource =
  | {kind: 'none'}
  | {kind: 'platform'}
  | {kind: 'peer'; host: string};

/** Another member of the zone. */
export type Member = {
  record: MemberRecord;
  /** Time of the last change of the member's state. */
  stateChangedAt: number;
  /** Sequence of the configuration in effect at the member, as last received. */
  sequence: number;
  /** Time at which the sequence was received. */
  sequenceAt: number;
  /** Why the member lags, by its own report; empty when it does not. */
  lagReason: string;
};

/** Probe that waits for an ack; `indirect` is set once other members were asked to repeat it. */
export type Probe = {probeId: number; host: string; address: string; sentAt: number; indirect: boolean};

/** State of the membership. */
export type MembershipState = {
  members: Map<string, Member>;
  /** How often the record of each host with a queued update has been sent. */
  updateSendCounts: Map<string, number>;
  /** Hosts whose record changed in this decision. */
  changedHosts: Set<string>;
  /** Hosts whose record was dropped in this decision. */
  removedHosts: Set<string>;
  /** Hosts still to be probed in this round, the next one last. */
  probeOrder: string[];
  probe: Probe | undefined;
  /** Probes sent on behalf of other members, by probe id of this process. */
  relayedProbes: Map<number, {origin: string; originProbeId: number; sentAt: number}>;
  lastProbeId: number;
  nextProbeAt: number;
  nextSyncAt: number;
  nextReconnectAt: number;
  /** Whether updates were queued since the last gossip round. */
  gossipDue: boolean;
  nextGossipAt: number;
  /** Earliest time of the next raise of the own generation. */
  nextGenerationRaiseAt: number;
  lastTickAt: number | undefined;
};

/** Configuration in effect, and what is known of newer ones and of the platform. */
export type ConfigurationState = {
  current: Configuration;
  /** Earlier configurations, the latest first. */
  history: Configuration[];
  source: ConfigurationSource;
  receivedAt: number;
  /** Latest configuration that another process announced; `since` is when it was first seen. */
  highestKnown: {sequence: number; hash: string; since: number};
  /** Why a newer configuration was rejected; empty when none was. */
  rejectionReason: string;
  nextPullAt: number;
  /** Version and configuration that the platform last showed; undefined when it must be read again. */
  platformPosition: {version: number | undefined; sequence: number; hash: string} | undefined;
  /** Time of the planned write-back to the platform. */
  writeBackAt: number | undefined;
  /** Time at which the write in progress times out; undefined without one. */
  writeTimeoutAt: number | undefined;
};

/** State of the roles. */
export type RolesState = {
  /** Members that watch the platform and exchange summaries with other zones; the first one aggregates the status. */
  watchers: string[];
  /** Time from which this process may take a role without knowing others; undefined before the first tick. */
  roleStartAt: number | undefined;
  watching: boolean;
  nextWatchAt: number;
  nextReadAt: number;
};

/** Summary of a zone: its version, and entries by service with the publisher of each. */
export type ZoneSummary = {
  stamp: SummaryStamp;
  entries: Map<string, {epoch: number; publisher: string; entry: SummaryEntry}>;
};

/** State of the zone summaries. */
export type ZonesState = {
  summaries: Map<string, ZoneSummary>;
  /** Time of the last message from each zone. */
  heardAt: Map<string, number>;
  /** Zones of the contacts from the settings, by address, as far as known. */
  contactZones: Map<string, string>;
  /** Hash of the versions of all summaries. */
  digest: number;
  /** Zones whose summary changed in this decision. */
  changedZones: Set<string>;
  publishDue: boolean;
  nextPublishAt: number;
  nextExchangeAt: number;
  nextPullAt: number;
  noticeDue: boolean;
  nextNoticeAt: number;
  /** Round-robin index of the next exchange with another zone. */
  exchangeIndex: number;
};

/** State of the status writes and reports. */
export type StatusState = {
  /** Content of the last written status, without ages. */
  lastWrittenContent: string;
  nextWriteAt: number | undefined;
  writeTimeoutAt: number | undefined;
  nextReportAt: number;
  nextLagReportAt: number;
  /** Recipient and content of the last report to the aggregator. */
  lastReport: string;
};

/** Options of the fleet decisions. */
export type FleetOptions = {
  host: string;
  zone: string;
  /** Address of the process, `ip:port`. */
  address: string;
  /** Id of this run of the process. */
  incarnation: string;
  /** Start time in milliseconds since the Unix epoch; orders the incarnations of a host. */
  startedAt: number;
  /** Addresses of processes of any zone, retried indefinitely. */
  contacts: readonly string[];
};

/** State of the fleet decisions, which change it in place. */
export type FleetState = {
  self: MemberRecord;
  contacts: readonly string[];
  membership: MembershipState;
  configuration: ConfigurationState;
  roles: RolesState;
  zones: ZonesState;
  status: StatusState;
};

/** Configuration that the platform returned to a read, a watch or a write. */
export type PlatformView = {
  by: 'read' | 'watch' | 'write';
  /** Absent when the platform holds no configuration. */
  configuration: Configuration | undefined;
  version: number | undefined;
};

/** Event that the fleet decisions react to. */
export type FleetEvent =
  | {kind: 'message-received'; message: Message}
  /** A message was not answered or could not be sent. */
  | {kind: 'message-failed'; address: string; body: MessageBody}
  | {kind: 'local-changed'; backend: Announcement | undefined}
  | {kind: 'configuration-read'; view: PlatformView}
  | {kind: 'configuration-failed'; message: string}
  | {kind: 'status-written'}
  | {kind: 'status-failed'; message: string}
  | {kind: 'tick'}
  | {kind: 'leave'};

/** Event for logs and `jujubewell explain`. */
export type FleetReport =
  | {kind: 'member-suspected' | 'member-dead' | 'member-back'; host: string}
  | {kind: 'refuted'; version: number}
  | {kind: 'duplicate-host'; host: string; incarnation: string}
  | {kind: 'woke-up'; pausedMs: number}
  | {kind: 'limit-reached'; limit: 'members' | 'zones' | 'services'}
  | {kind: 'configuration-rejected'; reason: string}
  | {kind: 'configuration-conflict'; sequence: number; kept: string; dropped: string}
  | {kind: 'configuration-written-back'; sequence: number; platformSequence: number}
  | {kind: 'platform-failed' | 'status-failed'; message: string}
  | {kind: 'zone-stale' | 'zone-heard'; zone: string};

/** Status of a zone, as written to the platform. */
export type ZoneStatus = {
  zone: string;
  aggregator: string;
  watchers: string[];
  sequence: number;
  hash: string;
  source: ConfigurationSource;
  /** Time since the configuration in effect arrived at the aggregator, in milliseconds. */
  ageMs: number;
  members: Array<{
    host: string; incarnation: string; state: MemberRecord['state']; sequence: number;
    /** Time since the sequence was learnt, in milliseconds. */
    ageMs: number;
    service?: string; slots?: number; draining?: boolean;
  }>;
  lagging: Array<{host: string; sequence: number; reason: string}>;
  zones: Array<{zone: string; stale: boolean}>;
};

/** Action for the caller of `decideFleet` to perform. */
export type FleetAction =
  /** `reply` marks the reply to the message being handled, which is sent back on the same connection. */
  | {kind: 'send'; address: string; message: Message; reply: boolean}
  /** Hosts of the zone whose record changed or was removed, and other zones whose summary changed. */
  | {kind: 'members-changed'; changed: MemberRecord[]; removed: string[]; zones: string[]}
  | {kind: 'configuration-in-force'; configuration: Configuration; source: ConfigurationSource}
  /** Open the watch from the version last seen; with `read`, read the object first. */
  | {kind: 'watch-platform'; read: boolean}
  | {kind: 'stop-watching'}
  | {kind: 'write-configuration'; configuration: Configuration; expectedVersion: number | undefined}
  | {kind: 'write-status'; status: ZoneStatus}
  | {kind: 'report'; report: FleetReport};
