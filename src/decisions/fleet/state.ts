/** State, events and actions of the fleet decision. */
import type {Configuration} from '../../objects/configuration.js';
import type {
  Announcement, Body, MemberRecord, Message, SummaryStamp, SummaryEntry,
} from './message.js';

/** Where the configuration in effect came from. */
export type ConfigurationSource =
  | {kind: 'none'}
  | {kind: 'platform'}
  | {kind: 'peer'; host: string};

/** Another member of the zone. */
export type Member = {
  record: MemberRecord;
  /** Time of the last change of state. */
  since: number;
  /** Last known sequence of the configuration in effect there. */
  sequence: number;
  /** When the sequence was learnt. */
  sequenceAt: number;
  /** Why the member says it lags; empty when it does not. */
  reason: string;
};

/** Probe that waits for an answer. */
export type Probe = {probeId: number; host: string; address: string; sentAt: number; indirect: boolean};

/** State of the membership. */
export type MembershipState = {
  members: Map<string, Member>;
  /** How often each update has been sent. */
  updateSendCounts: Map<string, number>;
  /** Hosts whose record changed in this decision. */
  changedHosts: Set<string>;
  removedHosts: Set<string>;
  /** Order of the coming probes. */
  probeOrder: string[];
  probe: Probe | undefined;
  /** Probes made for others, by probe id of this process. */
  relayedProbes: Map<number, {origin: string; originProbeId: number; sentAt: number}>;
  lastProbeId: number;
  nextProbeAt: number;
  nextSyncAt: number;
  nextReconnectAt: number;
  gossipDue: boolean;
  nextGossipAt: number;
  nextGenerationRaiseAt: number;
  lastTickAt: number | undefined;
};

/** State of the configuration. */
export type ConfigurationState = {
  current: Configuration;
  /** Earlier configurations, the latest first. */
  history: Configuration[];
  source: ConfigurationSource;
  receivedAt: number;
  /** Highest sequence heard of. */
  highestKnown: {sequence: number; hash: string; since: number};
  /** Why a newer configuration was not taken; empty when none is known. */
  rejectionReason: string;
  nextPullAt: number;
  /** What the platform last showed. */
  platformPosition: {version: number | undefined; sequence: number; hash: string} | undefined;
  writeBackAt: number | undefined;
  writeTimeoutAt: number | undefined;
};

/** State of the roles. */
export type RolesState = {
  /** Members that watch the platform and speak with other zones; the first one aggregates the status. */
  holders: string[];
  /** End of the wait for others after the start; absent before the first tick. */
  roleStartAt: number | undefined;
  watching: boolean;
  nextWatchAt: number;
  nextReadAt: number;
};

/** Summary of a zone. */
export type ZoneSummary = {
  stamp: SummaryStamp;
  entries: Map<string, {epoch: number; publisher: string; entry: SummaryEntry}>;
};

/** State of the zone summaries. */
export type ZonesState = {
  feeds: Map<string, ZoneSummary>;
  /** When this process last heard from a zone. */
  heardAt: Map<string, number>;
  /** Zones of the addresses from the settings, as far as known. */
  contactZones: Map<string, string>;
  digest: number;
  changedZones: Set<string>;
  publishDue: boolean;
  nextPublishAt: number;
  nextExchangeAt: number;
  nextPullAt: number;
  noticeDue: boolean;
  nextNoticeAt: number;
  exchangeIndex: number;
};

/** State of the status. */
export type StatusState = {
  lastWrittenContent: string;
  nextWriteAt: number | undefined;
  writeTimeoutAt: number | undefined;
  nextReportAt: number;
  nextLagReportAt: number;
  lastReport: string;
};

/** Options of the fleet decision. */
export type FleetOptions = {
  host: string;
  zone: string;
  /** Address of the process, `ip:port`. */
  address: string;
  /** Id of this run of the process. */
  incarnation: string;
  /** Start time in milliseconds since the Unix epoch; orders the incarnations of a host. */
  startedAt: number;
  /** Addresses of processes of any zone, tried for ever. */
  contacts: readonly string[];
};

/** State of the fleet decision, changed in place by its decisions. */
export type FleetState = {
  self: MemberRecord;
  contacts: readonly string[];
  membership: MembershipState;
  configuration: ConfigurationState;
  roles: RolesState;
  zones: ZonesState;
  status: StatusState;
};

/** What the platform showed: a read or a watch, or the result of a write. */
export type PlatformView = {
  by: 'read' | 'watch' | 'write';
  /** Absent when the platform holds no configuration. */
  configuration: Configuration | undefined;
  version: number | undefined;
};

/** What happened. */
export type FleetEvent =
  | {kind: 'message-received'; message: Message}
  /** No answer to a message arrived, or it could not be sent. */
  | {kind: 'message-failed'; address: string; body: Body}
  | {kind: 'local-changed'; backend: Announcement | undefined}
  | {kind: 'configuration-read'; view: PlatformView}
  | {kind: 'configuration-failed'; message: string}
  | {kind: 'status-written'}
  | {kind: 'status-failed'; message: string}
  | {kind: 'tick'}
  | {kind: 'leave'};

/** Explained event of the fleet, for logs and `jujubewell explain`. */
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

/** What the shell has to do. */
export type FleetAction =
  /** `reply` marks the answer to the message being handled, which travels back on the same connection. */
  | {kind: 'send'; address: string; message: Message; reply: boolean}
  /** Hosts of the zone whose record changed or was dropped, and other zones whose summary changed. */
  | {kind: 'members-changed'; changed: MemberRecord[]; removed: string[]; zones: string[]}
  | {kind: 'configuration-in-force'; configuration: Configuration; source: ConfigurationSource}
  /** Open the watch again after the version last seen; with `read`, read the object first. */
  | {kind: 'watch-platform'; read: boolean}
  | {kind: 'stop-watching'}
  | {kind: 'write-configuration'; configuration: Configuration; expectedVersion: number | undefined}
  | {kind: 'write-status'; status: ZoneStatus}
  | {kind: 'report'; report: FleetReport};
