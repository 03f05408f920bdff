/* eslint-disable no-await-in-loop, no-void, no-unmodified-loop-condition, n/prefer-global/buffer, n/prefer-global/process, unicorn/no-process-exit, @stylistic/max-len, promise/prefer-await-to-then, unicorn/no-array-reduce */
// Stand-ins for the third review: the platform's store, upstreams, clients, and the hosts' program started as the deploy file says.
import {spawn} from 'node:child_process';
import {
  appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer as createHttpServer, request as httpRequest} from 'node:http';
import {connect, createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';

export const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const sleep = async ms => new Promise(resolve => {
  setTimeout(resolve, ms);
});

/** Writes record.txt beside the script; times are seconds since the start. */
export const createRecord = folder => {
  const file = path.join(folder, 'record.txt');
  const startedAt = performance.now();
  writeFileSync(file, '');
  return text => {
    appendFileSync(file, `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)}  ${text}\n`);
  };
};

const FIRST_PORT = 20_000;
const BLOCKS = 200;
const BLOCK_PORTS = 60;
let nextPort = (process.pid % BLOCKS) * BLOCK_PORTS;

/** A port that is free now, below those that the system gives to clients, and from a block of this process, so that nothing else takes it meanwhile. */
export const freePort = async () => {
  for (;;) {
    const port = FIRST_PORT + (nextPort % (BLOCKS * BLOCK_PORTS));
    nextPort++;
    const isFree = await new Promise(resolve => {
      const server = createNetServer();
      server.on('error', () => {
        resolve(false);
      });
      server.listen(port, '127.0.0.1', () => {
        server.close(() => {
          resolve(true);
        });
      });
    });
    if (isFree) {
      return port;
    }
  }
};

// ---------------------------------------------------------------- store

/** The platform's store as PROTOCOL.md describes it; it keeps idle connections open. */
export const startStore = async () => {
  const kinds = new Map();
  const waiting = new Set();
  const history = [];
  let revision = 1;
  const objectsOf = kind => {
    if (!kinds.has(kind)) {
      kinds.set(kind, new Map());
    }

    return kinds.get(kind);
  };

  const change = (kind, object, deleted) => {
    history.push({
      revision, kind, object: structuredClone(object), deleted,
    });
    for (const wake of waiting) {
      wake();
    }
  };

  const put = (kind, name, spec) => {
    const known = objectsOf(kind).get(name);
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) {
      return known;
    }

    revision++;
    const object = {
      metadata: {
        name, revision, created: known?.metadata.created ?? revision, finalizers: [], deletionPending: false,
      }, spec, status: known?.status ?? null,
    };
    objectsOf(kind).set(name, object);
    change(kind, object, false);
    return object;
  };

  const reply = (response, status, value) => {
    if (!response.destroyed) {
      response.writeHead(status, {'Content-Type': 'application/json'});
      response.end(JSON.stringify(value));
    }
  };

  const handle = async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const [, kind, name, status] = /^\/-\/objects\/([^/]+)(?:\/([^/]+))?(\/status)?$/u.exec(url.pathname).map(part => part === undefined ? undefined : decodeURIComponent(part));
    let text = '';
    for await (const chunk of request) {
      text += chunk;
    }

    const body = text === '' ? {} : JSON.parse(text);
    const objects = objectsOf(kind);
    if (request.method === 'GET' && url.searchParams.has('watch')) {
      const since = Number(url.searchParams.get('watch'));
      const events = () => history.filter(entry => entry.kind === kind && entry.revision > since).map(({object, deleted}) => ({object, deleted}));
      if (events().length === 0) {
        await new Promise(resolve => {
          const finish = () => {
            clearTimeout(timer);
            waiting.delete(wake);
            resolve();
          };

          const wake = () => {
            if (events().length > 0) {
              finish();
            }
          };

          const timer = setTimeout(finish, Math.min(30_000, Number(url.searchParams.get('waitMs'))));
          waiting.add(wake);
          response.on('close', finish);
        });
      }

      reply(response, 200, {events: events(), asOf: revision});
      return;
    }

    if (request.method === 'GET' && name === undefined) {
      const after = url.searchParams.get('after');
      const names = [...objects.keys()].sort().filter(known => after === null || known > after);
      reply(response, 200, {items: names.slice(0, 500).map(known => objects.get(known)), hasMore: names.length > 500, asOf: revision});
      return;
    }

    if (request.method === 'POST') {
      const known = objects.get(body.metadata.name);
      reply(response, known === undefined ? 201 : 409, known ?? put(kind, body.metadata.name, body.spec));
      return;
    }

    const known = objects.get(name);
    if (known === undefined) {
      reply(response, 404, {});
      return;
    }

    const expected = request.method === 'DELETE' ? url.searchParams.get('revision') : body.metadata?.revision;
    if (expected !== undefined && expected !== null && Number(expected) !== known.metadata.revision) {
      reply(response, 409, known);
    } else if (request.method === 'GET') {
      reply(response, 200, known);
    } else if (request.method === 'DELETE') {
      revision++;
      objects.delete(name);
      known.metadata.revision = revision;
      change(kind, known, true);
      reply(response, 200, {});
    } else if (status === undefined) {
      reply(response, 200, put(kind, name, body.spec));
    } else {
      known.status = body.status;
      reply(response, 200, known);
    }
  };

  const server = createHttpServer({keepAliveTimeout: 120_000}, (request, response) => {
    handle(request, response).catch(() => {
      response.destroy();
    });
  });
  await new Promise(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    put,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
};

// ---------------------------------------------------------------- hosts

/** Fields of a small deployment, as `fleetbench wire` shows them for the cpbm-mesh site. */
const bounds = {
  configApplyMs: 2000, drainMs: 2000, graceS: 6, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 50,
};

/** Fills in the settings template of the deploy file. */
const fillTemplate = values => readFileSync(path.join(repository, 'platform/settings.template.json'), 'utf8')
  .replaceAll(/\{\{([^}|]+)(\|json)?\}\}/gu, (_, name, json) => {
    const value = name.split('.').reduce((table, key) => table?.[key], values);
    return json === undefined ? String(value) : JSON.stringify(value);
  });

const readRole = () => {
  const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/mu.exec(text)[1].split(' ');
};

export const createDeployment = async ({folder, record, storePort}) => {
  const temporary = mkdtempSync(path.join(tmpdir(), 'review-3-'));
  const children = new Set();
  const hosts = [];

  const start = host => {
    const [program, ...parameters] = readRole();
    const child = spawn(program, parameters, {
      cwd: repository,
      env: {PATH: process.env.PATH, HOME: process.env.HOME, JUJUBEWELL_BOOT: host.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    host.child = child;
    host.log = [];
    children.add(child);
    host.exited = new Promise(resolve => {
      child.on('exit', (code, signal) => {
        children.delete(child);
        record(`process ${host.node} (${child.pid}) ended: code ${code}, signal ${signal}`);
        resolve({code, signal});
      });
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', chunk => {
        host.log.push(...chunk.toString().split('\n').filter(Boolean));
      });
    }

    record(`process ${host.node} (${child.pid}) started: entry ${host.entry}`);
  };

  return {
    hosts,
    start,
    async add({service, zone = 'ma-north-a', storeAddress = `127.0.0.1:${storePort}`}) {
      const node = `sidecar-${zone}-${hosts.length + 1}`;
      const [outbound, inbound, control, ready, metrics] = await Promise.all([freePort(), freePort(), freePort(), freePort(), freePort()]);
      const values = {
        node, zone, service, ip: '127.0.0.1', heartbeatMs: 1500, bounds, platform: {address: storeAddress},
        listen: {
          outbound: `127.0.0.1:${outbound}`, inbound: `127.0.0.1:${inbound}`, control: `127.0.0.1:${control}`, ready: `127.0.0.1:${ready}`,
        },
      };
      // All machines share one address here, so each has a port of its own for its metrics.
      const settings = fillTemplate(values).replace(':9464', `:${metrics}`);
      const host = {
        node, zone, service, entry: outbound, inbound, control, ready, settingsPath: path.join(temporary, `${node}.json`),
      };
      writeFileSync(host.settingsPath, settings);
      hosts.push(host);
      start(host);
      return host;
    },
    async isReady(host) {
      return new Promise(resolve => {
        const request = httpRequest({
          host: '127.0.0.1', port: host.ready, path: '/-/readiness', agent: false, timeout: 500,
        }, response => {
          response.resume();
          resolve(response.statusCode === 200);
        });
        request.on('error', () => {
          resolve(false);
        });
        request.end();
      });
    },
    async waitUntilReady(timeoutMs = 20_000) {
      const until = performance.now() + timeoutMs;
      for (;;) {
        const states = await Promise.all(hosts.map(host => this.isReady(host)));
        if (states.every(Boolean)) {
          return;
        }

        if (performance.now() > until) {
          throw new Error('the processes did not become ready');
        }

        await sleep(100);
      }
    },
    async stop() {
      for (const child of children) {
        child.kill('SIGKILL');
      }

      await sleep(100);
      rmSync(temporary, {recursive: true, force: true});
    },
    folder,
  };
};

// ---------------------------------------------------------------- upstreams

let nextInstance = 0;

/** Announces an upstream to the `control` address of its machine until `stop`. */
export const announce = (host, {address, slots, born = Date.now()}) => {
  nextInstance++;
  const id = `i-${born.toString(16)}${nextInstance}`;
  let sequence = 0;
  const beat = (state = 'ready') => {
    sequence++;
    const text = JSON.stringify({
      address, born, info: {
        service: host.service, version: 'v1', zone: host.zone, slots,
      }, status: {state, sequence, coldRemainingMs: 0},
    });
    const request = httpRequest({
      host: '127.0.0.1', port: host.control, method: 'POST', path: `/-/Instances.Heartbeat/${id}`, agent: false, headers: {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)},
    }, response => {
      response.resume();
    });
    request.on('error', () => undefined);
    request.end(text);
  };

  beat();
  const timer = setInterval(beat, 1500);
  return {
    id,
    stop() {
      clearInterval(timer);
    },
  };
};

/** Starts an upstream. `run` is called with each request that it begins to work on, and answers it through `answer(status, body)` or by itself. */
export const startUpstream = async ({slots, record, name, run, queueMax = 72}) => {
  const sockets = new Set();
  const ran = [];
  const queue = [];
  let running = 0;
  let instance;
  const next = () => {
    while (running < slots && queue.length > 0) {
      queue.shift()();
    }
  };

  const server = createHttpServer({keepAliveTimeout: 10_000}, (request, response) => {
    const id = request.headers['x-request-id'];
    const chunks = [];
    request.on('data', chunk => {
      chunks.push(chunk);
    });
    request.on('end', () => {
      if (request.headers['x-expected-instance'] !== instance) {
        response.writeHead(421, {'X-Instance-Id': instance, 'X-Request-Id': id, 'Content-Length': 0});
        response.end();
        return;
      }

      if (queue.length >= queueMax) {
        response.writeHead(503, {'X-Not-Executed': '1', 'X-Request-Id': id, 'Content-Length': 0});
        response.end();
        return;
      }

      let isOver = false;
      const begin = () => {
        if (isOver) {
          return;
        }

        running++;
        ran.push({id, at: performance.now(), path: request.url});
        record(`upstream ${name} begins ${id} ${request.method} ${request.url}`);
        let isReleased = false;
        const release = () => {
          if (!isReleased) {
            isReleased = true;
            running--;
            next();
          }
        };

        response.on('close', () => {
          if (!isReleased) {
            record(`upstream ${name} ends ${id}${response.writableFinished ? '' : ': its connection was closed before the answer'}`);
          }

          release();
        });
        run({
          id, request, response, body: Buffer.concat(chunks),
          answer(status, body, headers = {}) {
            if (!response.destroyed) {
              response.writeHead(status, {
                'X-Request-Id': id, 'X-Response-Seal': `seal-${id}`, 'Content-Length': body.length, ...headers,
              });
              response.end(body);
            }
          },
        });
      };

      response.on('close', () => {
        isOver = true;
      });
      queue.push(begin);
      next();
    });
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      sockets.delete(socket);
    });
  });
  await new Promise(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    slots,
    ran,
    running: () => running,
    setInstance(id) {
      instance = id;
    },
    close() {
      server.close();
      for (const socket of sockets) {
        socket.destroy();
      }
    },
  };
};

// ---------------------------------------------------------------- clients

/** One connection of a client. Responses are returned in the order of the requests. */
export const openConnection = async port => {
  const socket = connect({host: '127.0.0.1', port, noDelay: true});
  let received = Buffer.alloc(0);
  const pending = [];
  let end;
  const settle = () => {
    for (;;) {
      const headEnd = received.indexOf('\r\n\r\n');
      if (pending.length === 0 || headEnd === -1) {
        break;
      }

      const [statusLine, ...lines] = received.subarray(0, headEnd).toString('latin1').split('\r\n');
      const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
      const status = Number(statusLine.split(' ')[1]);
      const rest = received.subarray(headEnd + 4);
      const length = headers['content-length'];
      if (length === undefined ? end === undefined : rest.length < Number(length)) {
        break;
      }

      const body = length === undefined ? rest : rest.subarray(0, Number(length));
      received = rest.subarray(body.length);
      pending.shift()({
        kind: 'answer', status, headers, body, end: length === undefined ? end : undefined,
      });
    }

    if (end !== undefined) {
      for (const resolve of pending.splice(0)) {
        resolve({kind: 'cut', end, receivedBytes: received.length});
      }
    }
  };

  socket.on('data', chunk => {
    received = Buffer.concat([received, chunk]);
    settle();
  });
  socket.on('error', error => {
    end ??= error.code;
    settle();
  });
  socket.on('end', () => {
    end ??= 'closed';
    settle();
  });
  socket.on('close', () => {
    end ??= 'closed';
    settle();
  });
  await new Promise((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  return {
    socket,
    isClosed: () => end !== undefined,
    async send({id, method = 'GET', host = 'hulo84.example', path: target, deadlineMs = 6000, body, headers = {}}) {
      return new Promise(resolve => {
        pending.push(resolve);
        socket.write(`${method} ${target} HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}${body === undefined ? '' : `Content-Length: ${body.length}\r\n`}\r\n`);
        if (body !== undefined) {
          socket.write(body);
        }

        settle();
      });
    },
    close() {
      socket.destroy();
    },
  };
};

export const describe = outcome => outcome.kind === 'cut' ? `no answer: the connection ended (${outcome.end})` : `${outcome.status} with ${outcome.body.length} bytes${outcome.headers['x-response-seal'] === undefined ? ' of the system itself' : ''}`;

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (folder, play) => {
  const record = createRecord(folder);
  const trouble = process.env.TROUBLE !== '0';
  record(trouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  let code = 2;
  const cleanups = [];
  process.on('uncaughtException', error => {
    record(`an error that nothing catches: ${error.stack}`);
    void finish(2);
  });
  const limit = setTimeout(() => {
    record('the case took too long');
    void finish(2);
  }, 110_000);
  const finish = async result => {
    clearTimeout(limit);
    for (const cleanup of cleanups.reverse()) {
      try {
        await cleanup();
      } catch {}
    }

    record(`exit ${result}`);
    process.exit(result);
  };

  try {
    const store = await startStore();
    cleanups.push(() => store.close());
    const deployment = await createDeployment({folder, record, storePort: store.port});
    cleanups.push(() => deployment.stop());
    const broken = await play({
      record, trouble, store, deployment, cleanups,
    });
    record(broken ? 'THE RULE WAS BROKEN' : 'the rule held');
    code = broken ? 1 : 0;
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
    console.error(error);
  }

  await finish(code);
};
