/** Announces an emulated backend server to the daemon on its host. */
import {type Agent} from 'undici';
import type {BackendServer} from '../../objects/schema.js';

/** Path on the local listener of a daemon that accepts announcements. */
export const ANNOUNCEMENT_PATH = '/.jujubewell/backend-server';

const ANNOUNCEMENT_INTERVAL_MS = 1000;
const ANNOUNCEMENT_TIMEOUT_MS = 1000;

/** Handle on the repeated announcement of a backend server. */
export type Announcement = {
  /** Stops announcing and tells the daemon that the backend server is leaving. */
  withdraw: () => Promise<void>;
  /** Stops announcing without notifying the daemon, as a crashed backend server does. */
  cancel: () => void;
};

const send = async (agent: Agent, local: string, method: 'PUT' | 'DELETE', body?: BackendServer): Promise<void> => {
  try {
    const response = await agent.request({
      origin: `http://${local}`,
      path: ANNOUNCEMENT_PATH,
      method,
      headers: body === undefined ? {} : {'content-type': 'application/json'},
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(ANNOUNCEMENT_TIMEOUT_MS),
    });
    await response.body.dump();
  } catch {
    // The daemon is starting, paused or gone; the next announcement retries.
  }
};

/** Announces a backend server immediately and then every second. */
export const startAnnouncement = (agent: Agent, local: string, backendServer: BackendServer): Announcement => {
  void send(agent, local, 'PUT', backendServer);
  const timer = setInterval(() => {
    void send(agent, local, 'PUT', backendServer);
  }, ANNOUNCEMENT_INTERVAL_MS);
  return {
    async withdraw() {
      clearInterval(timer);
      await send(agent, local, 'DELETE');
    },
    cancel() {
      clearInterval(timer);
    },
  };
};
