/** Client devices: their connections to entry listeners, and their restarts. */
import {Agent} from 'undici';

/** Emulated client device with its own connection pool. */
export type Device = {
  index: number;
  /** Whether it honours Retry-After. */
  respectsRetryAfter: boolean;
  /** Current connection pool; a restart or reconnect replaces it. */
  agent: () => Agent;
  /** Registers a restart listener; returns a function that removes it. */
  onRestart: (callback: () => void) => () => void;
  /** Aborts all requests in flight, drops all connections and starts with a new pool. */
  restart: () => void;
  /** Uses new connections for later requests; requests in flight finish on the old ones. */
  reconnect: () => void;
  close: () => Promise<void>;
};

/** Options of a device. */
export type DeviceOptions = {
  index: number;
  respectsRetryAfter: boolean;
  connections: number;
};

/** Creates a device; it connects on its first request. */
export const createDevice = (options: DeviceOptions): Device => {
  // Timeouts of the agent are off: the caller enforces them itself, so that each failure is counted under its cause.
  const createAgent = () => new Agent({
    connections: options.connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0,
  });
  let agent = createAgent();
  const restartListeners = new Set<() => void>();
  return {
    index: options.index,
    respectsRetryAfter: options.respectsRetryAfter,
    agent: () => agent,
    onRestart(callback) {
      restartListeners.add(callback);
      return () => {
        restartListeners.delete(callback);
      };
    },
    restart() {
      const previousAgent = agent;
      agent = createAgent();
      for (const callback of restartListeners) {
        callback();
      }

      void previousAgent.destroy();
    },
    reconnect() {
      const previousAgent = agent;
      agent = createAgent();
      void previousAgent.close();
    },
    async close() {
      await agent.destroy();
    },
  };
};
