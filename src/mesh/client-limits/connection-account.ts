/** Account of the memory that connections of callers hold: request heads, bodies and responses that the client has not read. When it is full, it closes the connections that hold most. */
import type {DecisionLog} from '../decision-log.js';
import type {Reservation} from '../held-bytes.js';
import type {ConnectionLimits} from './limits.js';

/** Why a connection is closed. */
export type EvictionReason = 'memory-full' | 'too-many-connections';

/** What an account knows of a connection. */
export type ConnectionState = {
  /** Whether a request of the connection is being forwarded; such a connection is closed only when no other can be. */
  isForwarding: () => boolean;
  /** Whether the connection has had a response. */
  isAnswered: () => boolean;
  /** Refuses or closes the connection. */
  evict: (reason: EvictionReason) => void;
};

/** Part of an account that belongs to one connection. */
export type ConnectionPart = {
  /** Memory for one request; it is released with the connection at the latest. */
  reserve: () => Reservation;
  heldBytes: () => number;
  /** Ends the part when the connection has closed. */
  close: () => void;
};

/** Account of all connections. */
export type ConnectionAccount = {
  /** Adds a connection, and closes another one if there are too many. */
  open: (state: ConnectionState) => ConnectionPart;
  heldBytes: () => number;
  connectionCount: () => number;
};

/** Options of an account. */
export type ConnectionAccountOptions = {
  /** Memory that all connections hold at most, in bytes. */
  heldBytesMax: number;
  limits: Pick<ConnectionLimits, 'connections'>;
  log: Pick<DecisionLog, 'count' | 'write'>;
};

/** Share of the bound by which one connection may exceed it while the others hold next to nothing: the longest body takes its last block and its head beside its length. */
const SINGLE_REQUEST_EXTRA_SHARE = 1 / 32;
/** Share of the bound that the others may hold meanwhile. */
const NEXT_TO_NOTHING_SHARE = 1 / 128;

type Entry = {state: ConnectionState; heldBytes: number; isOpen: boolean};

/** Whether `left` is closed before `right`. Older connections come first among equals. */
const isBefore = (left: Entry, right: Entry): boolean => {
  const isForwarding = left.state.isForwarding();
  if (isForwarding !== right.state.isForwarding()) {
    return !isForwarding;
  }

  if (left.heldBytes !== right.heldBytes) {
    return left.heldBytes > right.heldBytes;
  }

  return !left.state.isAnswered() && right.state.isAnswered();
};

/** Creates an account without connections. */
export const createConnectionAccount = ({heldBytesMax, limits, log}: ConnectionAccountOptions): ConnectionAccount => {
  /** In the order in which the connections were opened. */
  const entries = new Set<Entry>();
  let totalBytes = 0;

  const remove = (entry: Entry): void => {
    if (entry.isOpen) {
      entry.isOpen = false;
      entries.delete(entry);
      totalBytes -= entry.heldBytes;
    }
  };

  const findFirst = (isCandidate: (entry: Entry) => boolean): Entry | undefined => {
    let first: Entry | undefined;
    for (const entry of entries) {
      if (isCandidate(entry) && (first === undefined || isBefore(entry, first))) {
        first = entry;
      }
    }

    return first;
  };

  const evict = (entry: Entry, reason: EvictionReason): void => {
    const {heldBytes} = entry;
    remove(entry);
    log.count('connections_closed', reason);
    log.write('warn', 'connection-closed', {
      reason, heldBytes, totalBytes, connections: entries.size,
    });
    entry.state.evict(reason);
  };

  const mayExceed = (entry: Entry): boolean => totalBytes <= heldBytesMax * (1 + SINGLE_REQUEST_EXTRA_SHARE) && totalBytes - entry.heldBytes <= heldBytesMax * NEXT_TO_NOTHING_SHARE;

  const makeRoom = (): void => {
    for (;;) {
      const first = totalBytes > heldBytesMax ? findFirst(({heldBytes}) => heldBytes > 0) : undefined;
      if (first === undefined || mayExceed(first)) {
        return;
      }

      evict(first, 'memory-full');
    }
  };

  const change = (entry: Entry, bytes: number): void => {
    entry.heldBytes += bytes;
    totalBytes += bytes;
  };

  return {
    open(state) {
      const entry: Entry = {state, heldBytes: 0, isOpen: true};
      if (entries.size >= limits.connections) {
        evict(findFirst(() => true)!, 'too-many-connections');
      }

      entries.add(entry);
      return {
        reserve() {
          let reserved = 0;
          return {
            add(bytes) {
              if (!entry.isOpen) {
                return false;
              }

              reserved += bytes;
              change(entry, bytes);
              if (totalBytes > heldBytesMax) {
                makeRoom();
              }

              return entry.isOpen;
            },
            release() {
              if (entry.isOpen) {
                change(entry, -reserved);
              }

              reserved = 0;
            },
          };
        },
        heldBytes: () => entry.heldBytes,
        close() {
          remove(entry);
        },
      };
    },
    heldBytes: () => totalBytes,
    connectionCount: () => entries.size,
  };
};
