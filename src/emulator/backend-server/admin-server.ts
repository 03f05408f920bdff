/** Admin listener of an emulated backend server: counters, runs and control commands. */
import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {CounterReport} from './counters.js';
import {readBody, respond, respondJson} from './http.js';
import type {Run} from './runs.js';
import {controlCommandSchema, type ControlCommand} from './settings.js';

/** What the listener shows and controls. */
export type AdminServerOptions = {
  counters: () => CounterReport;
  runs: () => readonly Run[];
  control: (command: ControlCommand) => void;
};

/** Creates the listener without an address. */
export const createAdminServer = (options: AdminServerOptions): Server => {
  const handleControl = async (request: IncomingMessage, response: ServerResponse) => {
    const body = await readBody(request);
    const command = controlCommandSchema.safeParse(JSON.parse(body.toString()));
    if (!command.success) {
      respond(response, 400, command.error.message);
      return;
    }

    respondJson(response, {taken: command.data.kind});
    options.control(command.data);
  };

  const handleRequest = async (request: IncomingMessage, response: ServerResponse) => {
    switch (request.url ?? '') {
      case '/counters': {
        respondJson(response, options.counters());
        return;
      }

      case '/runs': {
        respondJson(response, options.runs());
        return;
      }

      case '/control': {
        await handleControl(request, response);
        return;
      }

      default: {
        respond(response, 404, 'use /counters, /runs or /control');
      }
    }
  };

  return createServer((request, response) => {
    void handleRequest(request, response);
  });
};
