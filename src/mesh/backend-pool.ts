/** Connections to the backend server of this host; the most recently used idle one carries the next call. */
import {
  createBackendConnection, type BackendConnection, type Exchange, type ExchangeResult,
} from './backend-connection.js';
import type {HttpDialect} from './protocol.js';

/** A call at the backend server. */
export type RunningExchange = {cancel: (cause: string) => void};

/** Pool of connections. */
export type BackendConnectionPool = {
  run: (exchange: Exchange) => RunningExchange;
  /** Closes connections that were idle for too long. */
  closeExpired: () => void;
  /** Connections to another address or instance are not used again. */
  reset: (address: string) => void;
  close: () => void;
  connections: () => number;
};

/** Options of the pool. */
export type BackendConnectionPoolOptions = {
  dialect: HttpDialect;
  now: () => number;
  onReport: (event: string, requestId: string | undefined) => void;
};

/** Creates an empty pool. */
export const createBackendPool = (options: BackendConnectionPoolOptions): BackendConnectionPool => {
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
      onIdle(connection_) {
        if (outdated.has(connection_)) {
          connection_.destroy('the backend server has been replaced');
        } else {
          idle.push(connection_);
        }
      },
      onClosed(connection_) {
        open.delete(connection_);
        outdated.delete(connection_);
        removeIdle(connection_);
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

      connection.destroy('idle for too long');
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
      const now = options.now();
      for (const connection of idle.filter(candidate => candidate.usableUntil() <= now)) {
        connection.destroy('idle for too long');
        removeIdle(connection);
      }
    },
    reset(newAddress) {
      address = newAddress;
      for (const connection of idle) {
        connection.destroy('the backend server has been replaced');
      }

      idle = [];
      for (const connection of open) {
        outdated.add(connection);
      }
    },
    close() {
      for (const connection of open) {
        connection.destroy('the process stops');
      }
    },
    connections: () => open.size,
  };
};

