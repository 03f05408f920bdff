/** Periods and limits of the fleet protocol. */

/** Time between two probes of a process, in milliseconds. */
export const PROBE_INTERVAL_MS = 1000;
/** Time after which a probe without an answer is repeated through other members, in milliseconds. */
export const INDIRECT_PROBE_DELAY_MS = 400;
/** Members that repeat a probe. */
export const INDIRECT_PROBE_COUNT = 2;
/** Time that a suspected member gets to refute, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3000;
/** Time for which the record of a dead member is kept, in milliseconds. It outlasts the spread of the death by far. */
export const TOMBSTONE_RETENTION_MS = 600_000;
/** Gap between two ticks that counts as a pause of this process, in milliseconds. Its timers prove nothing about others then. */
export const PROCESS_PAUSE_MS = 2000;
/** Members of a zone that are kept; the target is 955. */
export const MEMBERS_MAX = 4096;
/** Probe requests of other members that are open at one time. */
export const RELAYED_PROBES_MAX = 64;

/** Updates in one message. */
export const UPDATES_PER_MESSAGE = 8;
/** Factor on the logarithm of the member count that limits how often an update is sent. */
export const UPDATE_TRANSMIT_FACTOR = 4;
/** Shortest time between two immediate spreads of updates, in milliseconds. */
export const GOSSIP_INTERVAL_MS = 300;
/** Members that receive an immediate spread. Probes alone take 7 s for 955 members, too long for a draining host. */
export const GOSSIP_FANOUT = 3;

/** Time between two comparisons of all records with another member, in milliseconds. */
export const SYNC_INTERVAL_MS = 10_000;
/** Time between two attempts at an address that is no live member, in milliseconds. */
export const RECONNECT_INTERVAL_MS = 1000;
/** Hashes that a comparison of all records sends. */
export const SYNC_BUCKET_COUNT = 64;
/** Records or summaries in one repair message, in bytes of JSON. A newcomer learns 955 members in about 5 messages. */
export const SYNC_BYTES_MAX = 48_000;

/** Members that a new configuration is pushed to. */
export const CONFIGURATION_PUSH_FANOUT = 4;
/** Shortest time between two requests for a configuration, in milliseconds. */
export const CONFIGURATION_PULL_INTERVAL_MS = 400;
/** Time before another request after a configuration with a wrong hash, in milliseconds; it may have 1 MB. */
export const REJECTED_PULL_DELAY_MS = 10_000;
/** Configurations kept to answer a request with a difference. */
export const HISTORY_LENGTH = 4;
/** Time after which the watch is opened again, in milliseconds. It bounds the harm of a silent watch. */
export const WATCH_RENEWAL_INTERVAL_MS = 1500;
/** Time between two full reads of the configuration, in milliseconds. A watch cannot show a platform restored to an older version. */
export const PLATFORM_READ_INTERVAL_MS = 60_000;
/** Time before a failed read or watch is repeated, in milliseconds. */
export const PLATFORM_RETRY_DELAY_MS = 1000;
/** Window over which watchers spread the writing back of a configuration, in milliseconds. */
export const WRITE_BACK_SPREAD_MS = 1000;
/** Time after which a write without an outcome is given up, in milliseconds. */
export const WRITE_TIMEOUT_MS = 5000;
/** Time within which a configuration is expected everywhere, in milliseconds. */
export const CONFIGURATION_PROPAGATION_MS = 3000;

/** Members of a zone that watch the platform and speak with other zones. */
export const WATCHER_COUNT = 2;
/** Time that a starting process with contacts waits for others before it takes a role, in milliseconds. Without it a restarted fleet reads and writes the platform 21,000 times at once. */
export const ROLE_START_DELAY_MS = 3000;
/** Contacts of a service that another zone is told of. */
export const CONTACTS_PER_SERVICE = 3;
/** Services kept per zone; the target is 2,900. */
export const SERVICES_PER_ZONE_MAX = 4096;
/** Zones that are kept; the target is 22. */
export const ZONES_MAX = 64;
/** Time between two exchanges of a relay with other zones, in milliseconds. */
export const ZONE_EXCHANGE_INTERVAL_MS = 1000;
/** Shortest time between two requests for zone summaries, in milliseconds. */
export const SUMMARY_PULL_INTERVAL_MS = 300;
/** Shortest time between two notices of changed summaries, in milliseconds. */
export const SUMMARY_NOTICE_INTERVAL_MS = 500;
/** Time without news after which a zone is marked stale, in milliseconds. */
export const ZONE_STALE_MS = 10_000;
/** Allowance per known zone on top of the shortest stale time, in milliseconds; relays speak with one zone at a time. */
export const ZONE_STALE_PER_ZONE_MS = 2000;

/** Shortest time between two writes of the status, in milliseconds. */
export const STATUS_INTERVAL_MS = 5000;
/** Rate that status writes may use on average, in bytes per millisecond. The object of 955 members has about 110 KB. */
export const STATUS_BYTES_PER_MS = 2;
/** Rate of routine reports that the aggregator takes, per millisecond; each costs it 1 KB. A larger zone reports less often. */
export const REPORTS_PER_MS = 0.002;
/** Rate of reports that the aggregator takes when all members lag, per millisecond. */
export const LAG_REPORTS_PER_MS = 0.016;
