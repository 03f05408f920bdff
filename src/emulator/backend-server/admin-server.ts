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

const COMMAND_REMEDY = 'the command is not valid; send {"kind": "slowness", "factor": 2}, or "freeze-connections", "leave" or "crash" as the kind';

const parseCommand = (text: string): ControlCommand | undefined => {
  try {
    return controlCommandSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

/** Creates the listener without an address. */
export const createAdminServer = (options: AdminServerOptions): Server => {
  const handleControl = async (request: IncomingMessage, response: ServerResponse) => {
    const body = await readBody(request);
    const command = parseCommand(body.toString());
    if (command === undefined) {
      respond(response, 400, COMMAND_REMEDY);
      return;
    }

    respondJson(response, {taken: command.kind});
    options.control(command);
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
