/** Liveness detection for a link: schedules pings and detects a peer that no longer answers. */

/** Liveness of one connection. Times are clock readings in milliseconds. */
export type LinkLiveness = {
  /** Restarts the timers after the connection was opened or this process was suspended. */
  reset: () => void;
  /** Records that data arrived from the peer. */
  recordReceived: () => void;
  /** Records that a call was sent. */
  recordCall: () => void;
  /** Records that a ping was sent. */
  recordPing: () => void;
  isPingDue: () => boolean;
  /** Whether the peer answers in time; if not, other backend servers are preferred and non-idempotent calls are not sent over this link. */
  isLive: () => boolean;
  /** Whether a ping has been unanswered for so long that the connection must be closed. */
  isTimedOut: () => boolean;
  /** Time since data last arrived, in milliseconds. */
  msSinceReceived: () => number;
};

/** Time without received data after which an active link is pinged, in milliseconds; several pings fit into the time in which a silent peer has to be detected. */
const ACTIVE_PING_INTERVAL_MS = 250;
/** Shortest ping interval of an idle link, in milliseconds. Pings cost traffic between zones, and an idle link needs them only to pass on updates whose own message was missed. */
const IDLE_PING_INTERVAL_MIN_MS = 1000;
/** Pings that a process sends over all of its idle links, per second; with more links, each is pinged less often. */
const IDLE_PINGS_PER_SECOND = 16;
/** Longest ping interval of an idle link, in milliseconds. */
export const IDLE_PING_INTERVAL_MAX_MS = 4000;
/** Time after the last call for which a link counts as active, in milliseconds. */
const ACTIVE_WINDOW_MS = 1000;
/** Time without an answer to a ping after which other backend servers are preferred and non-idempotent calls are not sent over this link, in milliseconds; many times the round trip to another zone. */
const UNRESPONSIVE_AFTER_MS = 350;
/** Time without an answer to a ping after which the connection is closed, in milliseconds. Together with the time until the ping it is a second, which is about the deadline of a call. */
const DISCONNECT_AFTER_MS = 750;

/** Ping interval of an idle link of a process with a number of links, in milliseconds. */
export const idlePingIntervalMs = (linkCount: number): number =>
  Math.min(IDLE_PING_INTERVAL_MAX_MS, Math.max(IDLE_PING_INTERVAL_MIN_MS, linkCount * 1000 / IDLE_PINGS_PER_SECOND));

/** Creates the liveness of a connection; call `reset` when the connection opens. */
export const createLinkLiveness = (now: () => number, linkCount: () => number = () => 1): LinkLiveness => {
  let receivedAt = now();
  let calledAt = Number.NEGATIVE_INFINITY;
  let lastPingAt = Number.NEGATIVE_INFINITY;
  /** Time of the first ping since data last arrived; undefined when there is none. */
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
      return now() - lastPingAt >= idlePingIntervalMs(linkCount()) || (isActive && now() - Math.max(lastPingAt, receivedAt) >= ACTIVE_PING_INTERVAL_MS);
    },
    isLive: () => unansweredMs() < UNRESPONSIVE_AFTER_MS,
    isTimedOut: () => unansweredMs() > DISCONNECT_AFTER_MS,
    msSinceReceived: () => now() - receivedAt,
  };
};
