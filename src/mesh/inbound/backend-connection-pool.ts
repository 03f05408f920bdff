/** Pool of connections to the backend server of this host. The most recently used idle connection is reused first. */
import {getHeapStatistics} from 'node:v8';
import {createHeldBytes} from '../held-bytes.js';
import type {HttpDialect} from '../entry/http-dialect.js';
import {createTurnQueue} from '../turn-queue.js';
import {createResponseGate} from './response-gate.js';
import {
  createBackendConnection, type BackendConnection, type Exchange, type ExchangeResult,
} from './backend-connection.js';

/** Handle of an exchange in progress. */
export type RunningExchange = {cancel: (cause: string) => void};

/** Connections to one backend server. */
export type BackendConnectionPool = {
  /** Sends a request on an idle connection, or on a new one. */
  run: (exchange: Exchange) => RunningExchange;
  /** Closes connections whose idle timeout has passed, and lets responses go on for which there is room by now; called periodically. */
  closeExpired: () => void;
  /** Switches to a new instance or address: idle connections are closed, busy ones are not reused. */
  reset: (address: string) => void;
  /** Closes all connections. */
  close: () => void;
  /** Number of open connections. */
  connections: () => number;
  /** Memory that incomplete responses hold, in bytes. */
  heldBytes: () => number;
};

/** Options of the pool. */
export type BackendConnectionPoolOptions = {
  dialect: HttpDialect;
  now: () => number;
  /** Called when the backend server violates the protocol. */
  onProtocolEvent: (event: string, requestId: string | undefined) => void;
  /** Memory above which long responses wait for each other, in bytes. @default 16777216 */
  responseWaitBytes?: number;
  /** Memory of complete responses that wait to be sent to other processes, in bytes. @default 0 */
  unsentBytes?: () => number;
  /** Whether released memory leaves room for another long response. @default () => true */
  hasRoom?: () => boolean;
};

/** Memory that incomplete responses of a process hold at most, in bytes: a fifth of the memory of the smallest hosts. */
const HELD_MAX_BYTES = 48 * 1024 * 1024;
const RESPONSE_WAIT_DEFAULT_BYTES = 16 * 1024 * 1024;
/** Memory of all buffers, as a multiple of the memory above which responses wait, above which the next one waits for the garbage collector: one and a half times what the connections of callers may hold. */
const BUFFER_FACTOR = 6;

/** Creates an empty pool without an address; `reset` sets it. */
export const createBackendConnectionPool = (options: BackendConnectionPoolOptions): BackendConnectionPool => {
  const heldBytes = createHeldBytes({totalMax: HELD_MAX_BYTES});
  const parseQueue = createTurnQueue();
  const waitAboveBytes = options.responseWaitBytes ?? RESPONSE_WAIT_DEFAULT_BYTES;
  const gate = createResponseGate({
    waitAboveBytes,
    incompleteBytes: heldBytes.total,
    unsentBytes: options.unsentBytes ?? (() => 0),
    bufferBytes: () => getHeapStatistics().external_memory,
    bufferBytesMax: BUFFER_FACTOR * waitAboveBytes,
    hasRoom: options.hasRoom,
  });
  let address = '';
  let idle: BackendConnection[] = [];
  const open = new Set<BackendConnection>();
  const outdated = new Set<BackendConnection>();

  const removeIdle = (connection: BackendConnection): void => {
    idle = idle.filter(other => other !== connection);
  };

  const openConnection = (): BackendConnection => {
    const connection = createBackendConnection({
      ...options,
      address,
      heldBytes,
      parseQueue,
      gate,
      onIdle(reusable) {
        if (outdated.has(reusable)) {
          reusable.destroy('the backend server was replaced');
        } else {
          idle.push(reusable);
        }
      },
      onClosed(closedConnection) {
        open.delete(closedConnection);
        outdated.delete(closedConnection);
        removeIdle(closedConnection);
      },
    });
    open.add(connection);
    return connection;
  };

  const takeIdle = (): BackendConnection | undefined => {
    for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
      if (connection.usableUntil() > options.now()) {
        return connection;
      }

      connection.destroy('the idle timeout has passed');
    }

    return undefined;
  };

  return {
    run(exchange) {
      const connection = takeIdle() ?? openConnection();
      let ended = false;
      connection.send({
        ...exchange,
        onEnd(result: ExchangeResult) {
          if (!ended) {
            ended = true;
            exchange.onEnd(result);
          }
        },
      });
      return {
        cancel(cause) {
          if (!ended) {
            connection.destroy(cause);
          }
        },
      };
    },
    closeExpired() {
      gate.update();
      const now = options.now();
      for (const connection of idle.filter(candidate => candidate.usableUntil() <= now)) {
        connection.destroy('the idle timeout has passed');
        removeIdle(connection);
      }
    },
    reset(newAddress) {
      address = newAddress;
      for (const connection of idle) {
        connection.destroy('the backend server was replaced');
      }

      idle = [];
      for (const connection of open) {
        outdated.add(connection);
      }
    },
    close() {
      for (const connection of open) {
        connection.destroy('the process is stopping');
      }
    },
    connections: () => open.size,
    heldBytes: heldBytes.total,
  };
};

