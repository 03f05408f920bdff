/** Announcement of an emulated backend server to the process on its host. */
import {type Agent} from 'undici';
import type {BackendServer} from '../../objects/schema.js';

/** Path on the local listener of a process that takes announcements. */
export const ANNOUNCEMENT_PATH = '/.jujubewell/backend-server';

const ANNOUNCEMENT_INTERVAL_MS = 1000;
const ANNOUNCEMENT_TIMEOUT_MS = 1000;

/** Running announcement. */
export type Announcement = {
  /** Ends the repetition and tells the process that the backend server is leaving. */
  withdraw: () => Promise<void>;
  /** Ends the repetition without a word. */
  abandon: () => void;
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
    // The process is starting, paused or gone; the next announcement reaches it.
  }
};

/** Announces a backend server at once and then every second. */
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
    abandon() {
      clearInterval(timer);
    },
  };
};
