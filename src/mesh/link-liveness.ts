/** Judges whether the other end of a link still answers, and when it has to be asked. */

/** Liveness of one connection. Times are in milliseconds of the clock. */
export type LinkLiveness = {
  /** A connection has been opened or this process stood still: nothing is known of the time before. */
  reset: () => void;
  /** Bytes came from the other end. */
  recordReceived: () => void;
  /** A call was sent. */
  recordCall: () => void;
  recordPing: () => void;
  isPingDue: () => boolean;
  /** Whether the other end has answered what it was asked within the last moments. */
  isLive: () => boolean;
  /** Whether the connection has to be given up. */
  isTimedOut: () => boolean;
  /** Time since the other end was heard. */
  msSinceReceived: () => number;
};

/** Time without a sign of life after which a link in use is asked for one, in milliseconds: several fit into the time in which silence has to be noticed. */
const ACTIVE_PING_INTERVAL_MS = 250;
/** Interval of pings over a link that is not in use, in milliseconds; they cost bytes between zones, and only news that a message has missed depends on them. */
const IDLE_PING_INTERVAL_MS = 1000;
/** Time after the last call for which a link counts as in use, in milliseconds. */
const ACTIVE_WINDOW_MS = 1000;
/** Time without an answer to a ping after which calls that must not run twice go elsewhere if they can, in milliseconds; many times the way to another zone and back. */
const UNRESPONSIVE_AFTER_MS = 350;
/** Time without an answer to a ping after which the connection is given up, in milliseconds; with the time until the ping it is a second, as calls have deadlines of about that. */
const DISCONNECT_AFTER_MS = 750;

/** Creates the liveness of a connection that has not been opened. */
export const createLinkLiveness = (now: () => number): LinkLiveness => {
  let receivedAt = now();
  let calledAt = Number.NEGATIVE_INFINITY;
  let lastPingAt = Number.NEGATIVE_INFINITY;
  /** Time of the first ping since the other end was heard. */
  let unansweredPingAt: number | undefined;

  const unansweredMs = (): number => unansweredPingAt === undefined ? 0 : now() - unansweredPingAt;

  return {
    reset() {
      receivedAt = now();
      unansweredPingAt = undefined;
    },
    recordReceived() {
      receivedAt = now();
      unansweredPingAt = undefined;
    },
    recordCall() {
      calledAt = now();
    },
    recordPing() {
      lastPingAt = now();
      unansweredPingAt ??= now();
    },
    isPingDue() {
      const isActive = now() - calledAt < ACTIVE_WINDOW_MS;
      return now() - lastPingAt >= IDLE_PING_INTERVAL_MS || (isActive && now() - Math.max(lastPingAt, receivedAt) >= ACTIVE_PING_INTERVAL_MS);
    },
    isLive: () => unansweredMs() < UNRESPONSIVE_AFTER_MS,
    isTimedOut: () => unansweredMs() > DISCONNECT_AFTER_MS,
    msSinceReceived: () => now() - receivedAt,
  };
};
