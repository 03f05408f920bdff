/** Stand-in for an application upstream, as PROTOCOL.md describes it: slots, a short queue, X-Expected-Instance, seals, heartbeats. */
import {Buffer} from 'node:buffer';
import {createServer, request as httpRequest} from 'node:http';

const QUEUE_MAX = 72;

/** Reads a body; `delayMs` gives the pause after each piece of it. */
const readBody = async (request, delayMs) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
    const pauseMs = delayMs();
    if (pauseMs > 0) {
      await new Promise(resolve => {
        setTimeout(resolve, pauseMs);
      });
    }
  }

  return Buffer.concat(chunks);
};

/** Work that a request asks for in its path, `/SERVICE/work-MS/...`, in milliseconds. */
const workOf = path => Number(/\/work-(\d+)\//.exec(path)?.[1] ?? 20);

/**
Creates an upstream. `answer` may replace the bytes of an answer: it gets the run and the sound head and body, and returns what to write, or undefined for the sound answer.
*/
export const createBackendServer = ({instance, service, zone, host, port, slots, record, readDelayMs = () => 0, answer = () => undefined, bodyOf = ({id, path}) => `${id} ${path}`}) => {
  const runs = [];
  const waiting = [];
  const sockets = new Set();
  let running = 0;
  let sequence = 0;
  let timer;
  let born = Date.now();
  let incarnation = 0;
  let isDown = false;
  let isSilent = false;

  const release = () => {
    running--;
    waiting.shift()?.();
  };

  const acquire = async request => {
    if (running >= slots) {
      if (waiting.length >= QUEUE_MAX) {
        return false;
      }

      await new Promise(resolve => {
        waiting.push(resolve);
      });
    }

    running++;
    if (request.socket.destroyed) {
      release();
      return false;
    }

    return true;
  };

  const refuse = (response, status, headers, reason) => {
    response.writeHead(status, {...headers, 'Content-Length': Buffer.byteLength(reason)});
    response.end(reason);
  };

  const run = async (request, response) => {
    const begunIn = incarnation;
    if (isSilent) {
      return;
    }

    const id = request.headers['x-request-id'];
    let body;
    try {
      body = await readBody(request, readDelayMs);
    } catch {
      return;
    }

    if (id === undefined) {
      refuse(response, 400, {'X-Not-Executed': '1'}, 'no id');
      return;
    }

    if (request.headers['x-expected-instance'] !== undefined && request.headers['x-expected-instance'] !== instance) {
      refuse(response, 421, {'X-Request-Id': id, 'X-Not-Executed': '1'}, 'another instance');
      return;
    }

    if (!await acquire(request)) {
      refuse(response, 503, {'X-Request-Id': id, 'X-Not-Executed': '1'}, 'full');
      return;
    }

    const entry = {
      id, service, instance, method: request.method, path: request.url, caller: request.headers['x-caller-service'], bytes: body.length, startedAt: performance.now(), state: 'at work',
    };
    runs.push(entry);
    record('run', {id, instance});
    const workMs = Math.min(workOf(request.url), Number(request.headers['x-deadline-ms'] ?? 30_000));
    const dropped = await new Promise(resolve => {
      const done = setTimeout(() => {
        resolve(false);
      }, workMs);
      request.socket.once('close', () => {
        clearTimeout(done);
        resolve(true);
      });
    });
    if (begunIn === incarnation) {
      release();
    }

    entry.endedAt = performance.now();
    entry.state = dropped ? 'dropped' : 'answered';
    if (dropped || isSilent) {
      return;
    }

    const text = Buffer.from(bodyOf(entry));
    const head = ['HTTP/1.1 200 OK', `X-Request-Id: ${id}`, `X-Response-Seal: seal-${id}`, 'Content-Type: text/plain', `Content-Length: ${text.length}`];
    const replaced = answer(entry, head, text);
    if (replaced === undefined) {
      record('answer', {id, instance, status: 200});
      response.writeHead(200, {
        'X-Request-Id': id, 'X-Response-Seal': `seal-${id}`, 'Content-Type': 'text/plain', 'Content-Length': text.length,
      });
      response.end(text);
      return;
    }

    entry.state = replaced.isSpoiled ? 'spoiled' : 'answered';
    record(replaced.isSpoiled ? 'spoiled answer' : 'answer', {id, instance, ...(replaced.isSpoiled ? {text: replaced.bytes.toString('latin1').slice(0, 250)} : {})});
    request.socket.write(replaced.bytes);
    if (replaced.endless !== undefined) {
      const writeOn = () => {
        while (!request.socket.destroyed && request.socket.write(replaced.endless)) {
          entry.bytesSent = (entry.bytesSent ?? 0) + replaced.endless.length;
        }
      };

      request.socket.on('drain', writeOn);
      writeOn();
    } else if (replaced.close) {
      request.socket.destroy();
    } else if (replaced.end) {
      request.socket.end();
    } else if (replaced.later) {
      setTimeout(() => {
        request.socket.write(replaced.later);
      }, replaced.laterMs);
    }
  };

  const server = createServer((request, response) => {
    if (request.url === '/health') {
      response.writeHead(200, {'X-Instance-Id': instance, 'Content-Length': 0});
      response.end();
      return;
    }

    run(request, response);
  });
  server.keepAliveTimeout = 10_000;
  server.on('connection', socket => {
    sockets.add(socket);
    socket.setMaxListeners(0);
    socket.on('close', () => {
      sockets.delete(socket);
    });
  });

  const call = async ({host: controlHost, port: controlPort}, path, message) => new Promise(resolve => {
    const text = JSON.stringify(message);
    const request = httpRequest({
      host: controlHost, port: controlPort, method: 'POST', path, agent: false, headers: {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)}, timeout: 1000,
    });
    request.on('response', response => {
      response.resume();
      resolve(response.statusCode);
    });
    request.on('timeout', () => {
      request.destroy();
    });
    request.on('error', () => {
      resolve(undefined);
    });
    request.end(text);
  });

  const createHeartbeat = changes => {
    sequence++;
    return {
      address: `${host}:${port}`,
      born,
      info: {
        service, zone, version: 'v1', slots,
      },
      status: {state: 'ready', sequence, coldRemainingMs: 0},
      ...changes,
    };
  };

  /** Sends a heartbeat, or what `changes` makes of it, to a control address; resolves with the status of the answer. */
  const announce = async (control, changes = {}, name = instance) => call(control, `/-/Instances.Heartbeat/${name}`, createHeartbeat(changes));

  const listen = async () => new Promise(resolve => {
    server.listen(port, host, resolve);
  });

  return {
    runs,
    announce,
    listen,
    startHeartbeats(control, intervalMs) {
      announce(control);
      timer = setInterval(() => {
        if (!isDown) {
          announce(control);
        }
      }, intervalMs);
    },
    /** Makes a heartbeat that arrives when the returned function is called. */
    holdHeartbeat() {
      const message = createHeartbeat({});
      return async control => call(control, `/-/Instances.Heartbeat/${instance}`, message);
    },
    /** Leaves, and sends no more heartbeats; goes on serving. */
    async deregister(control) {
      clearInterval(timer);
      sequence++;
      return call(control, `/-/Instances.Deregister/${instance}`, {born, status: {sequence}});
    },
    /** Ends at once, with all that it was working on. */
    crash() {
      isDown = true;
      incarnation++;
      running = 0;
      waiting.length = 0;
      server.close();
      for (const socket of sockets) {
        socket.destroy();
      }
    },
    /** Answers nothing any more and says nothing of itself; its connections stay open. */
    fallSilent() {
      isDown = true;
      isSilent = true;
      clearInterval(timer);
    },
    /** Gives up the address, without a word on the connections that are open. */
    releaseAddress() {
      server.close();
    },
    /** Starts again under the same id. */
    async restart(control) {
      born = Date.now();
      sequence = 0;
      await listen();
      isDown = false;
      await announce(control);
    },
    close() {
      clearInterval(timer);
      server.close();
      for (const socket of sockets) {
        socket.destroy();
      }
    },
  };
};
