/** Small deployment on loopback: a stand-in for the platform's store, stand-ins for upstreams, and the project's own processes, started with the command of the deploy file. */
// A script waits in loops and ends itself with the status of its case.
/* eslint-disable no-await-in-loop, promise/prefer-await-to-then, unicorn/no-process-exit */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
  appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
export const isTrouble = process.env.TROUBLE !== '0';
export const sleep = milliseconds => new Promise(resolve => {
  setTimeout(resolve, milliseconds);
});

const startedAt = performance.now();
/** Seconds since the start of the script. */
export const elapsed = () => (performance.now() - startedAt) / 1000;

let recordPath;
/** Writes a line to the record of a case. */
export const record = text => {
  const line = `${elapsed().toFixed(3)} s  ${text}\n`;
  if (recordPath !== undefined) {
    appendFileSync(recordPath, line);
  }
};

/** Waits until a condition holds; fails after a time in milliseconds. */
export const eventually = async (what, condition, timeoutMs = 15_000) => {
  const until = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > until) {
      throw new Error(`not within ${timeoutMs} ms: ${what}`);
    }

    await sleep(20);
  }
};

/** Bounds as in the small sites of the users' pages. */
const BOUNDS = {
  seedLagS: 3, addressReuseS: 2, stabilityWindowMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 6, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, stretchMaxMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 48, recoveryS: 15,
};
export const LIMITS = {
  cpuShare: 0.54, cores: 2, memoryMb: 350, maxFileDescriptors: 4100, linkMbps: 1000, diskMb: 0,
};
export const HEARTBEAT_MS = 1500;

const lookUp = (fields, name) => {
  let value = fields;
  for (const key of name.split('.')) {
    value = value?.[key];
  }

  return value;
};

/** Fills in the placeholders of a settings template that the template of the project uses. */
const fillTemplate = (template, fields) => template.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/gu, (_, name, json) => {
  const value = lookUp(fields, name);
  return json === undefined ? String(value ?? '') : JSON.stringify(value);
});

const deployFile = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
const runCommand = /^run = "(.+)"$/mu.exec(deployFile)[1].split(' ');
const templatePath = /^template = "(.+)"$/mu.exec(deployFile)[1];

/** A block of loopback addresses that this run has for itself. */
const block = `127.${20 + (process.pid % 200)}.${Math.floor(Math.random() * 250)}`;
let nextHost = 10;
export const nextAddress = () => {
  nextHost++;
  return `${block}.${nextHost}`;
};

const readBody = async request => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }

  return Buffer.concat(chunks).toString();
};

/** The platform's metadata store, as the page of the protocol describes it. */
export const startStore = async () => {
  const ip = nextAddress();
  const kinds = new Map();
  let revision = 1;
  const events = [];
  let waiting = [];
  const objectsOf = kind => {
    if (!kinds.has(kind)) {
      kinds.set(kind, new Map());
    }

    return kinds.get(kind);
  };

  const note = (kind, object, deleted) => {
    events.push({
      kind, revision, object: structuredClone(object), deleted,
    });
    const due = waiting;
    waiting = [];
    for (const wake of due) {
      wake();
    }
  };

  const put = (kind, name, spec) => {
    revision++;
    const objects = objectsOf(kind);
    const object = {
      metadata: {
        name, revision, created: objects.get(name)?.metadata.created ?? revision, finalizers: [], deletionPending: false,
      }, spec, status: objects.get(name)?.status ?? {},
    };
    objects.set(name, object);
    note(kind, object, false);
    return object;
  };

  const answer = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
    response.end(text);
  };

  const eventsAfter = (kind, from) => events.filter(event => event.kind === kind && event.revision > from).map(({object, deleted}) => ({object, deleted}));

  const handle = async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const [kind, name] = url.pathname.replace('/-/objects/', '').split('/').map(part => decodeURIComponent(part));
    const body = request.method === 'GET' || request.method === 'DELETE' ? undefined : JSON.parse(await readBody(request));
    const objects = objectsOf(kind);
    switch (request.method) {
      case 'GET': {
        if (name !== undefined) {
          const object = objects.get(name);
          answer(response, object === undefined ? 404 : 200, object ?? {});
          return;
        }

        const from = url.searchParams.get('watch');
        if (from === null) {
          answer(response, 200, {items: [...objects.values()], hasMore: false, asOf: revision});
          return;
        }

        const until = performance.now() + Number(url.searchParams.get('waitMs'));
        while (eventsAfter(kind, Number(from)).length === 0 && performance.now() < until) {
          await Promise.race([sleep(Math.max(1, until - performance.now())), new Promise(resolve => {
            waiting.push(resolve);
          })]);
        }

        answer(response, 200, {events: eventsAfter(kind, Number(from)), asOf: revision});
        return;
      }

      case 'POST': {
        const key = body.metadata.name;
        if (objects.has(key)) {
          answer(response, 409, objects.get(key));
        } else {
          answer(response, 200, put(kind, key, body.spec));
        }

        return;
      }

      case 'PUT': {
        const known = objects.get(name);
        if (known === undefined) {
          answer(response, 404, {});
        } else if (body.metadata?.revision !== undefined && body.metadata.revision !== known.metadata.revision) {
          answer(response, 409, known);
        } else {
          answer(response, 200, JSON.stringify(known.spec) === JSON.stringify(body.spec) ? known : put(kind, name, body.spec));
        }

        return;
      }

      case 'DELETE': {
        const known = objects.get(name);
        const asked = url.searchParams.get('revision');
        if (known === undefined) {
          answer(response, 404, {});
        } else if (asked !== null && Number(asked) !== known.metadata.revision) {
          answer(response, 409, known);
        } else {
          objects.delete(name);
          revision++;
          note(kind, {...known, metadata: {...known.metadata, revision}}, true);
          answer(response, 200, known);
        }

        return;
      }

      default: {
        answer(response, 405, {});
      }
    }
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise(resolve => {
    server.listen(8309, ip, resolve);
  });
  return {
    address: `${ip}:8309`,
    /** Writes a configuration, as the operator does; the answer of the store is its confirmation. */
    configure(version, routes, services, limits = {}) {
      put('config', 'main', {
        version, routes, services, limits: {
          maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000, ...limits,
        },
      });
      record(`store confirms configuration ${version}`);
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
};

/** Sends a JSON call and returns the status, or undefined without an answer within a second. */
const postJson = async (ip, port, target, body) => new Promise(resolve => {
  const text = JSON.stringify(body);
  const request = httpRequest({
    host: ip, port, path: target, method: 'POST', agent: false, timeout: 1000, headers: {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)},
  }, response => {
    response.resume();
    response.on('end', () => resolve(response.statusCode));
    response.on('error', () => resolve(undefined));
  });
  request.on('timeout', () => request.destroy(new Error('no answer within a second')));
  request.on('error', () => resolve(undefined));
  request.end(text);
});

const sealOf = id => `seal.${id}`;

/** A deployment; `close` ends all that it started. */
export const startDeployment = async caseFolder => {
  recordPath = path.join(caseFolder, 'record.txt');
  writeFileSync(recordPath, '');
  const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  const store = await startStore();
  const hosts = [];
  const children = new Set();

  const startProcess = host => {
    const settingsPath = path.join(folder, `${host.name}.json`);
    writeFileSync(settingsPath, fillTemplate(readFileSync(path.join(root, templatePath), 'utf8'), {
      node: host.name, zone: host.zone, service: host.service, ip: host.ip, heartbeatMs: HEARTBEAT_MS, bounds: BOUNDS, platform: {address: store.address},
      listen: {
        inbound: `${host.ip}:8300`, outbound: `${host.ip}:8304`, ready: `${host.ip}:8302`, control: `${host.ip}:8306`,
      },
    }));
    const [program, ...parameters] = runCommand;
    const child = spawn(program, parameters, {
      cwd: root, env: {PATH: process.env.PATH, HOME: folder, JUJUBEWELL_BOOT: settingsPath}, stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(child);
    host.child = child;
    host.log = '';
    child.stdout.on('data', chunk => {
      host.log += chunk;
    });
    child.stderr.on('data', chunk => {
      host.log += chunk;
    });
    child.on('exit', (code, signal) => {
      children.delete(child);
      host.exited = {code, signal};
      record(`process ${host.name} ended: code ${code}, signal ${signal}`);
      if (!host.endExpected) {
        record(`its last lines: ${host.log.slice(-1500)}`);
      }
    });
    host.exited = undefined;
    record(`process ${host.name} started, ${host.service} at ${host.ip}`);
  };

  const addHost = async ({name, zone, service, slots = 60, serve}) => {
    const host = {
      name, zone, service, ip: nextAddress(), runs: [], endExpected: false, sequence: 0, state: 'ready', instance: `i-${name}`, born: Date.now(), connections: new Set(), rejected: 0,
    };
    const server = createServer({requestTimeout: 0, headersTimeout: 0, keepAliveTimeout: 10_000}, (request, response) => {
      const id = request.headers['x-request-id'];
      const expected = request.headers['x-expected-instance'];
      if (expected !== undefined && expected !== host.instance) {
        request.resume();
        response.writeHead(421, {'X-Request-Id': id, 'X-Not-Executed': '1', 'Content-Length': 0});
        response.end();
        return;
      }

      if (id === undefined) {
        request.resume();
        response.writeHead(400, {'X-Not-Executed': '1', 'Content-Length': 0});
        response.end();
        return;
      }

      const run = {
        id, method: request.method, url: request.url, at: elapsed(), endedAt: undefined, how: undefined, caller: request.headers['x-caller-service'], deadlineMs: Number(request.headers['x-deadline-ms']),
      };
      host.runs.push(run);
      record(`${name} runs ${id} (${request.method} ${request.url})`);
      response.on('close', () => {
        run.endedAt = elapsed();
        run.how = response.writableFinished ? 'answered' : 'its connection closed';
        record(`${name} ends ${id}: ${run.how}`);
      });
      serve({
        request, response, run, host, headers: {'X-Request-Id': id, 'X-Response-Seal': sealOf(id)},
      });
    });
    server.on('connection', socket => {
      host.connections.add(socket);
      socket.on('close', () => host.connections.delete(socket));
    });
    await new Promise(resolve => {
      server.listen(8301, host.ip, resolve);
    });
    host.upstream = server;
    host.slots = slots;
    host.heartbeat = async (changes = {}) => {
      host.sequence++;
      return postJson(host.ip, 8306, `/-/Instances.Heartbeat/${changes.instance ?? host.instance}`, {
        address: `${host.ip}:8301`, born: host.born, info: {
          service, version: 'v1', zone, slots,
        }, status: {state: host.state, sequence: host.sequence, coldRemainingMs: 0}, ...changes.body,
      });
    };

    host.deregister = async () => postJson(host.ip, 8306, `/-/Instances.Deregister/${host.instance}`, {born: host.born});
    host.timer = setInterval(() => {
      host.heartbeat();
    }, HEARTBEAT_MS);
    host.entry = {host: host.ip, port: 8304};
    host.start = () => startProcess(host);
    host.kill = signal => {
      host.endExpected = true;
      record(`${signal} to process ${host.name}`);
      host.child.kill(signal);
    };

    host.isReady = () => new Promise(resolve => {
      const request = httpRequest({
        host: host.ip, port: 8302, path: '/-/readiness', agent: false, timeout: 1000,
      }, response => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
      request.end();
    });
    hosts.push(host);
    startProcess(host);
    return host;
  };

  return {
    store,
    hosts,
    addHost,
    /** Waits until all processes are ready and have had heartbeats and links. */
    async settle() {
      for (const host of hosts) {
        await eventually(`${host.name} is ready`, host.isReady);
        await eventually(`${host.name} confirms a heartbeat`, async () => (await host.heartbeat()) === 200);
      }

      await sleep(1500);
      record('all processes are ready');
    },
    async close() {
      for (const host of hosts) {
        clearInterval(host.timer);
        host.endExpected = true;
        host.upstream.closeAllConnections();
        host.upstream.close();
      }

      for (const child of children) {
        child.kill('SIGKILL');
      }

      store.close();
      await eventually('all processes have ended', () => children.size === 0, 5000).catch(() => undefined);
      rmSync(folder, {recursive: true, force: true});
    },
  };
};

/** Runs a case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export const runCase = async (moduleUrl, work) => {
  const folder = path.dirname(fileURLToPath(moduleUrl));
  mkdirSync(folder, {recursive: true});
  let status = 2;
  let deployment;
  const limit = setTimeout(() => {
    record('the case took too long');
    process.exitCode = 2;
    deployment?.close().then(() => process.exit(2));
  }, 110_000);
  try {
    deployment = await startDeployment(folder);
    const {isBroken, text} = await work(deployment);
    record(`${isBroken ? 'BROKEN' : 'HELD'}: ${text}`);
    process.stdout.write(`${isBroken ? 'broken' : 'held'}: ${text}\n`);
    status = isBroken ? 1 : 0;
  } catch (error) {
    record(`could not run: ${error.stack}`);
    process.stdout.write(`could not run: ${error.message}\n`);
  } finally {
    clearTimeout(limit);
    await deployment?.close();
  }

  process.exit(status);
};

export const route = (service, changes = {}) => ({
  host: 'site.example', pathPrefix: `/${service}/`, kind: 'idempotent', timeoutMs: 5000, targetLatencyMs: 1500, priority: 1, maxAttempts: 2, service, ...changes,
});
