/** Guards against a broken response of the platform that counts as its answer, so that a write is reported as rejected although it may have taken effect. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'ava';
import {createPlatformClient, type PlatformError} from '../client.js';

const BODY = JSON.stringify({
  kind: 'A', name: 'a', version: 3, value: {writeId: 'w'},
});
const HEAD = 'HTTP/1.1 200 OK\r\n';
const WITH_LENGTH = `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;

type Case = {title: string; respond: (socket: Socket) => void; expected: PlatformError['kind'] | 'ok'};

const withStatus = (status: string): Case => ({
  title: `the status ${status}`, expected: 'unreachable', respond: socket => socket.write(`HTTP/1.1 ${status} OK\r\n${WITH_LENGTH}`),
});

/** A response without a length with a part of its body, and a reset some time after it. */
const withReset = (bytes: number, delayMs: number): Case => ({
  title: `no length, and a reset ${delayMs} ms after ${bytes} bytes of the body`,
  expected: 'unreachable',
  respond(socket) {
    socket.write(`${HEAD}\r\n${BODY.slice(0, bytes)}`);
    if (delayMs === 0) {
      socket.resetAndDestroy();
    } else {
      setTimeout(() => {
        socket.resetAndDestroy();
      }, delayMs);
    }
  },
});

const cases: Case[] = [
  ...[0, 10, BODY.length].flatMap(bytes => [withReset(bytes, 0), withReset(bytes, 20)]),
  ...['000', '099', '101', '102', '600', '999', '2000'].map(status => withStatus(status)),
  {title: 'no length, and an end after a part of the body', expected: 'unreachable', respond: socket => socket.end(`${HEAD}\r\n${BODY.slice(0, 10)}`)},
  {title: 'a length, and an end after a part of the body', expected: 'unreachable', respond: socket => socket.end(`${HEAD}${WITH_LENGTH.slice(0, -1)}`)},
  {title: 'a blank in the name of a field', expected: 'unreachable', respond: socket => socket.write(`${HEAD}X Other: 1\r\n${WITH_LENGTH}`)},
  {title: 'a blank before the first field', expected: 'unreachable', respond: socket => socket.write(`${HEAD} X-Other: 1\r\n${WITH_LENGTH}`)},
  {title: 'a control character in the name of a field', expected: 'unreachable', respond: socket => socket.write(`${HEAD}X\u0001Other: 1\r\n${WITH_LENGTH}`)},
  {title: 'no length, and an end in order', expected: 'ok', respond: socket => socket.end(`${HEAD}\r\n${BODY}`)},
  {title: 'a length', expected: 'ok', respond: socket => socket.write(`${HEAD}${WITH_LENGTH}`)},
];

for (const {title, respond, expected} of cases) {
  test(`a write whose response has ${title} counts as ${expected}`, async t => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        respond(socket);
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const client = createPlatformClient({address: `127.0.0.1:${(server.address() as AddressInfo).port}`, timeoutMs: 20_000});
    t.teardown(async () => {
      await client.close();
      server.close();
    });
    const result = await client.write({
      kind: 'A', name: 'a', value: {writeId: 'w'}, expectedVersion: 2,
    });
    t.is(result.kind === 'error' ? result.error.kind : result.kind, expected);
  });
}
