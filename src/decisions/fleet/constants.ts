/** Intervals and limits of the fleet protocol. */

/** Time between two probes that a process sends, in milliseconds. */
export const PROBE_INTERVAL_MS = 1000;
/** Time after which an unanswered probe is repeated through other members, in milliseconds. */
export const INDIRECT_PROBE_DELAY_MS = 400;
/** Number of members that repeat a probe. */
export const INDIRECT_PROBE_COUNT = 2;
/** Time that a suspected member has to refute before it is declared dead, in milliseconds. */
export const SUSPICION_TIMEOUT_MS = 3000;
/** Time for which the record of a dead member is kept, in milliseconds; far longer than the death takes to reach all members. */
export const TOMBSTONE_RETENTION_MS = 600_000;
/** Gap between two ticks that counts as a pause of this process, in milliseconds. Timeouts that expire during a pause say nothing about other processes. */
export const PROCESS_PAUSE_MS = 2000;
/** Maximum number of members of a zone; the target is 955. */
export const MEMBERS_MAX = 4096;
/** Maximum number of open probes on behalf of other members. */
export const RELAYED_PROBES_MAX = 64;

/** Maximum number of queued updates in one message. */
export const UPDATES_PER_MESSAGE = 8;
/** Factor on the decimal logarithm of the member count; limits how often an update is sent. */
export const UPDATE_TRANSMIT_FACTOR = 4;
/** Minimum time between two gossip rounds with new updates, in milliseconds. */
export const GOSSIP_INTERVAL_MS = 300;
/** Number of members that a gossip round is sent to. Updates on probes alone take 7 s to reach 955 members, too long for a draining host. */
export const GOSSIP_FAN_OUT = 3;

/** Time between two anti-entropy syncs with another member, in milliseconds. */
export const SYNC_INTERVAL_MS = 10_000;
/** Time between two attempts to reach an address that is no live member, in milliseconds. */
export const RECONNECT_INTERVAL_MS = 1000;
/** Number of record hashes in a sync. */
export const SYNC_BUCKET_COUNT = 64;
/** Maximum size of the records or summaries in one message, in bytes of JSON. A new process learns 955 members in about 5 messages. */
export const SYNC_BYTES_MAX = 48_000;

/** Number of members that a new configuration is pushed to. */
export const CONFIGURATION_PUSH_FAN_OUT = 4;
/** Minimum time between two requests for a configuration, in milliseconds. */
export const CONFIGURATION_PULL_INTERVAL_MS = 400;
/** Delay of the next request after a configuration with a wrong hash, in milliseconds; a configuration may have 1 MB. */
export const REJECTED_PULL_DELAY_MS = 10_000;
/** Number of earlier configurations kept to answer a request with a difference. */
export const CONFIGURATION_HISTORY_LENGTH = 4;
/** Time after which the platform watch is opened again, in milliseconds; limits the delay when a watch silently stops delivering. */
export const WATCH_RENEWAL_INTERVAL_MS = 1500;
/** Time between two full reads of the configuration, in milliseconds. A watch does not show that the platform was restored to an older version. */
export const PLATFORM_READ_INTERVAL_MS = 60_000;
/** Delay before a failed read or watch is retried, in milliseconds. */
export const PLATFORM_RETRY_DELAY_MS = 1000;
/** Window over which the watchers spread the write-back of a configuration, in milliseconds. */
export const WRITE_BACK_SPREAD_MS = 1000;
/** Timeout of a write to the platform, in milliseconds. */
export const WRITE_TIMEOUT_MS = 5000;
/** Time within which a configuration should have reached every process, in milliseconds; a process without it then counts as lagging. */
export const CONFIGURATION_PROPAGATION_MS = 3000;

/** Number of members of a zone that watch the platform and exchange summaries with other zones. */
export const WATCHER_COUNT = 2;
/** Time that a starting process with contacts waits for answers before it takes a role, in milliseconds. Without it a restarted fleet reads and writes the platform 21,000 times at once. */
export const ROLE_START_DELAY_MS = 3000;
/** Number of contacts per service in a zone summary. */
export const CONTACTS_PER_SERVICE = 3;
/** Maximum number of services per zone; the target is 2,900. */
export const SERVICES_PER_ZONE_MAX = 4096;
/** Maximum number of zones; the target is 22. */
export const ZONES_MAX = 64;
/** Time between two exchanges of a relay with another zone, in milliseconds; also that between two publications of a summary. */
export const ZONE_EXCHANGE_INTERVAL_MS = 1000;
/** Minimum time between two requests for zone summaries, in milliseconds. */
export const SUMMARY_PULL_INTERVAL_MS = 300;
/** Minimum time between two notices of changed summaries, in milliseconds. */
export const SUMMARY_NOTICE_INTERVAL_MS = 500;
/** Time without a message from a zone after which it is marked stale, in milliseconds. */
export const ZONE_STALE_MS = 10_000;
/** Addition to `ZONE_STALE_MS` per known zone, in milliseconds; needed because a relay exchanges with one zone at a time. */
export const ZONE_STALE_PER_ZONE_MS = 2000;

/** Minimum time between two writes of the status, in milliseconds. */
export const STATUS_INTERVAL_MS = 5000;
/** Maximum average rate of status writes, in bytes per millisecond. The status of 955 members has about 110 KB. */
export const STATUS_BYTES_PER_MS = 2;
/** Rate of routine reports to the aggregator, per millisecond; each costs it 1 KB. Members of a larger zone report less often. */
export const REPORTS_PER_MS = 0.002;
/** Rate of reports to the aggregator when all members lag, per millisecond. */
export const LAG_REPORTS_PER_MS = 0.016;
