/** Client device: its connections to entries, and its restarts. */
import {Agent} from 'undici';

/** Client device. */
export type Device = {
  index: number;
  /** Whether it waits as long as Retry-After says. */
  respectsRetryAfter: boolean;
  /** Connections of the present life of the device. */
  agent: () => Agent;
  /** Calls back when the device restarts; returns the way to stop that. */
  onRestart: (callback: () => void) => () => void;
  /** Drops all connections and everything in flight on them, and starts anew. */
  restart: () => void;
  /** Reconnects: later requests use new connections, requests in flight end on the old ones. */
  reconnect: () => void;
  close: () => Promise<void>;
};

/** Options of a device. */
export type DeviceOptions = {
  index: number;
  respectsRetryAfter: boolean;
  connections: number;
};

/** Creates a device; it connects with its first request. */
export const createDevice = (options: DeviceOptions): Device => {
  // The request code owns every timeout, so that each is counted under its cause.
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
