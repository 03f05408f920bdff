/** Guards the detection of silent connections: a slow call with heartbeats is not abandoned, a call on a silent connection is. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import type {TransportResult} from '../message.js';
import {emptyBody} from '../replay-body.js';
import {createTransport} from '../transport.js';

const SILENCE_TIMEOUT_MS = 200;

const start = async (t: ExecutionContext, handle: (request: IncomingMessage, response: ServerResponse) => void) => {
  const server = createServer(handle);
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const transport = createTransport({address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connections: 4});
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return async (newConnection = false): Promise<TransportResult> => transport.send({
    message: {
      method: 'GET', path: '/', headers: {}, body: emptyBody,
    },
    headers: {},
    timeoutMs: 20_000,
    silenceTimeoutMs: SILENCE_TIMEOUT_MS,
    signal: new AbortController().signal,
    newConnection,
  });
};

test('a call that is slower than the silence timeout but sends heartbeats is not abandoned', async t => {
  let requests = 0;
  const send = await start(t, (_request, response) => {
    requests++;
    const heartbeat = setInterval(() => {
      response.writeProcessing();
    }, SILENCE_TIMEOUT_MS / 10);
    setTimeout(() => {
      clearInterval(heartbeat);
      response.end('whole');
    }, SILENCE_TIMEOUT_MS * 4);
  });
  const results = await Promise.all([send(), send()]);
  t.deepEqual(results.map(({kind}) => kind), ['replied', 'replied']);
  t.is(requests, 2);
});

test('a silent connection is detected, and the next request uses a new one', async t => {
  const silent = new Set<Socket>();
  let isFirst = true;
  const send = await start(t, (request, response) => {
    if (isFirst || silent.has(request.socket)) {
      isFirst = false;
      silent.add(request.socket);
      return;
    }

    response.end('whole');
  });
  t.like(await send(), {kind: 'silent'});
  t.like(await send(true), {kind: 'replied'});
});
