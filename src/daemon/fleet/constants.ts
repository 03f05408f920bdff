/** Limits of the messages between processes. */

/** Time between two ticks of the decision, in milliseconds. */
export const TICK_INTERVAL_MS = 100;
/**
Time between taking a configuration and handing it to the listeners, in milliseconds. Compiling the policy of
2,900 services blocks the loop for 0.3 s; by then the pushes to other processes, which may need a new connection, are sent.
*/
export const CONFIGURATION_APPLY_DELAY_MS = 10;
/** Time that a message may take, in milliseconds. It is below the probe interval, so a silent connection is replaced before the next probe. */
export const MESSAGE_TIMEOUT_MS = 800;
/** Time that a message with a configuration may take, in milliseconds. */
export const CONFIGURATION_TIMEOUT_MS = 3000;
/** Time to open a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 500;
/** Time for which an idle connection is kept, in milliseconds. */
export const IDLE_TIMEOUT_MS = 5000;
/** Addresses for which a client is kept; a zone of 955 members and 42 relays need 1,000. */
export const CACHED_CLIENTS_MAX = 2048;
/** Messages on their way at one time; more are dropped and count as failed. */
export const PENDING_SENDS_MAX = 256;
/** Size limit of an envelope in bytes: a configuration of 1 MB, escaped once. */
export const ENVELOPE_BYTES_MAX = 2_097_152;
/** Size limit of a message without a configuration, in characters. */
export const MESSAGE_LENGTH_MAX = 131_072;
/** Largest difference between the clocks of two hosts, in milliseconds. It bounds how long replay records are needed. */
export const CLOCK_SKEW_MAX_MS = 30_000;
/** Messages of one sender that may overtake each other. */
export const REPLAY_WINDOW = 256;
/** Senders whose sequence numbers are kept; a zone of 955 members and 42 relays need 1,000. */
export const TRACKED_SENDERS_MAX = 8192;
/** Time after which a read that has not ended no longer prevents another one, in milliseconds. */
export const PENDING_READ_TIMEOUT_MS = 5000;
