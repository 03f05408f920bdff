/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it: objects by kind and name, lists, watches and writes under a condition. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const PATH = /^\/-\/objects\/([^/?]+)(?:\/([^/?]+))?(\/status)?$/;
const PAGE_ITEMS = 500;
const WAIT_MAX_MS = 30_000;

const readJson = async request => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }

  return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
};

export const createStore = () => {
  const kinds = new Map();
  const history = [];
  const waiting = new Set();
  let revision = 1;

  const objectsOf = kind => {
    if (!kinds.has(kind)) {
      kinds.set(kind, new Map());
    }

    return kinds.get(kind);
  };

  const recordChange = (kind, object, deleted) => {
    history.push({
      revision, kind, object, deleted,
    });
    for (const wake of waiting) {
      wake();
    }
  };

  /** Writes an object as the operator or another writer does; returns it. */
  const put = (kind, name, {spec, status}) => {
    revision++;
    const known = objectsOf(kind).get(name);
    const object = {
      metadata: {
        name, revision, created: known?.metadata.created ?? Date.now(), finalizers: [], deletionPending: false,
      },
      spec: spec ?? known?.spec,
      status: status ?? known?.status,
    };
    objectsOf(kind).set(name, object);
    recordChange(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const object = objectsOf(kind).get(name);
    revision++;
    objectsOf(kind).delete(name);
    recordChange(kind, {...object, metadata: {...object.metadata, revision}}, true);
  };

  const eventsSince = (kind, since) => history
    .filter(change => change.kind === kind && change.revision > since)
    .map(({object, deleted}) => ({object, deleted}));

  const watch = async (kind, since, waitMs) => {
    const until = performance.now() + Math.min(waitMs, WAIT_MAX_MS);
    while (eventsSince(kind, since).length === 0 && performance.now() < until) {
      // eslint-disable-next-line no-await-in-loop
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        };

        const timer = setTimeout(wake, Math.max(1, until - performance.now()));
        waiting.add(wake);
      });
    }

    return {status: 200, body: {events: eventsSince(kind, since), asOf: revision}};
  };

  const list = (kind, after) => {
    const names = [...objectsOf(kind).keys()].sort().filter(name => name > after);
    return {
      status: 200,
      body: {items: names.slice(0, PAGE_ITEMS).map(name => objectsOf(kind).get(name)), hasMore: names.length > PAGE_ITEMS, asOf: revision},
    };
  };

  const write = ({method, kind, name, part, query, body}) => {
    const known = objectsOf(kind).get(name);
    const stated = body?.metadata?.revision ?? query.get('revision');
    if (method === 'POST') {
      return known === undefined ? {status: 201, body: put(kind, name, {spec: body?.spec})} : {status: 409, body: known};
    }

    if (known === undefined) {
      return {status: 404, body: {error: 'no such object'}};
    }

    if (stated !== null && stated !== undefined && Number(stated) !== known.metadata.revision) {
      return {status: 409, body: known};
    }

    if (method === 'DELETE') {
      remove(kind, name);
      return {status: 200, body: {}};
    }

    return {status: 200, body: put(kind, name, part === undefined ? {spec: body?.spec} : {status: body?.status})};
  };

  const handle = async request => {
    const url = new URL(request.url, 'http://store');
    const [, encodedKind, encodedName, part] = PATH.exec(url.pathname) ?? [];
    if (encodedKind === undefined) {
      return {status: 404, body: {error: 'no such path'}};
    }

    const kind = decodeURIComponent(encodedKind);
    const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
    const query = url.searchParams;
    if (request.method !== 'GET') {
      const body = await readJson(request);
      return write({
        method: request.method, kind, name: name ?? body?.metadata?.name, part, query, body,
      });
    }

    if (name !== undefined) {
      const object = objectsOf(kind).get(name);
      return object === undefined ? {status: 404, body: {error: 'no such object'}} : {status: 200, body: object};
    }

    return query.has('watch') ? watch(kind, Number(query.get('watch')), Number(query.get('waitMs') ?? 0)) : list(kind, query.get('after') ?? '');
  };

  const server = createServer(async (request, response) => {
    let answer;
    try {
      answer = await handle(request);
    } catch (error) {
      answer = {status: 400, body: {error: error.message}};
    }

    const text = JSON.stringify(answer.body);
    response.writeHead(answer.status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
    response.end(text);
  });

  return {
    put,
    names: kind => [...objectsOf(kind).keys()],
    listen: async (host, port) => new Promise(resolve => {
      server.listen(port, host, resolve);
    }),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
};
