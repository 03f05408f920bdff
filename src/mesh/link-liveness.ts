/** Judges whether the other end of a link still answers, and when it has to be asked. */

/** Liveness of one connection. Times are in milliseconds of the clock. */
export type LinkLiveness = {
  /** A connection has been opened or this process stood still: nothing is known of the time before. */
  reset: () => void;
  /** Bytes came from the other end. */
  heard: () => void;
  /** A call was sent. */
  used: () => void;
  pinged: () => void;
  pingDue: () => boolean;
  /** Whether the other end has answered what it was asked within the last moments. */
  isLive: () => boolean;
  /** Whether the connection has to be given up. */
  isSilent: () => boolean;
  /** Time since the other end was heard. */
  silentMs: () => number;
};

/** Time without a sign of life after which a link in use is asked for one, in milliseconds: several fit into the time in which silence has to be noticed. */
const PING_BUSY_MS = 250;
/** Interval of pings over a link that is not in use, in milliseconds; they cost bytes between zones, and only news that a message has missed depends on them. */
const PING_IDLE_MS = 1000;
/** Time after the last call for which a link counts as in use, in milliseconds. */
const IN_USE_MS = 1000;
/** Time without an answer to a ping after which calls that must not run twice go elsewhere if they can, in milliseconds; many times the way to another zone and back. */
const LIVE_MS = 350;
/** Time without an answer to a ping after which the connection is given up, in milliseconds; with the time until the ping it is a second, as calls have deadlines of about that. */
const SILENT_MS = 750;

/** Creates the liveness of a connection that has not been opened. */
export const createLinkLiveness = (now: () => number): LinkLiveness => {
  let heardAt = now();
  let usedAt = Number.NEGATIVE_INFINITY;
  let pingedAt = Number.NEGATIVE_INFINITY;
  /** Time of the first ping since the other end was heard. */
  let askedAt: number | undefined;

  const askedForMs = (): number => askedAt === undefined ? 0 : now() - askedAt;

  return {
    reset() {
      heardAt = now();
      askedAt = undefined;
    },
    heard() {
      heardAt = now();
      askedAt = undefined;
    },
    used() {
      usedAt = now();
    },
    pinged() {
      pingedAt = now();
      askedAt ??= now();
    },
    pingDue() {
      const isInUse = now() - usedAt < IN_USE_MS;
      return now() - pingedAt >= PING_IDLE_MS || (isInUse && now() - Math.max(pingedAt, heardAt) >= PING_BUSY_MS);
    },
    isLive: () => askedForMs() < LIVE_MS,
    isSilent: () => askedForMs() > SILENT_MS,
    silentMs: () => now() - heardAt,
  };
};
