/** Timeouts, intervals and limits of the messages between processes. */

/** Interval between tick events of the fleet decision logic, in milliseconds. */
export const TICK_INTERVAL_MS = 100;
/**
Delay between accepting a configuration and passing it to the listeners, in milliseconds. Compiling the policy of
2,900 services blocks the event loop for 0.3 s. The delay lets the pushes to other processes, which may need a new
connection, be sent before that.
*/
export const CONFIGURATION_APPLY_DELAY_MS = 10;
/** Timeout of a message, in milliseconds. It is shorter than the probe interval, so a silent connection is replaced before the next probe. */
export const MESSAGE_TIMEOUT_MS = 800;
/** Timeout of a message with a configuration, in milliseconds. */
export const CONFIGURATION_TIMEOUT_MS = 3000;
/** Timeout for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 500;
/** Idle time after which a connection is closed, in milliseconds. */
export const KEEP_ALIVE_TIMEOUT_MS = 5000;
/** Maximum number of cached tRPC clients, one per address; a zone of 955 members and 42 relays need 1,000. */
export const CACHED_CLIENTS_MAX = 2048;
/** Maximum number of messages being sent at a time; further ones are dropped and count as failed. */
export const PENDING_SENDS_MAX = 256;
/** Maximum size of an envelope in bytes: a configuration of 1 MB, with room for one level of JSON escaping. */
export const ENVELOPE_BYTES_MAX = 2_097_152;
/** Maximum length of a message without a configuration, in characters. */
export const MESSAGE_LENGTH_MAX = 131_072;
/** Maximum difference between the clocks of two hosts, in milliseconds. It bounds the time for which replay records are needed. */
export const CLOCK_SKEW_MAX_MS = 30_000;
/** Replay window in messages: how far behind the highest sequence number of its sender a message may arrive. */
export const REPLAY_WINDOW = 256;
/** Maximum number of senders whose sequence numbers are kept; a zone of 955 members and 42 relays need 1,000. */
export const TRACKED_SENDERS_MAX = 8192;
/** Time after which a pending read of the platform no longer blocks a new one, in milliseconds. */
export const PENDING_READ_TIMEOUT_MS = 5000;
