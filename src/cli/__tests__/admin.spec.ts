/** Guards against a broken response of a process that the command line prints as its answer. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'ava';
import {callAdmin} from '../admin.js';

const BODY = '{"sequence": 3}';
const HEAD = 'HTTP/1.1 200 OK\r\n';
const WITH_LENGTH = `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;

const cutAfter = (bytes: string, delayMs: number) => (socket: Socket): void => {
  socket.write(bytes);
  if (delayMs === 0) {
    socket.resetAndDestroy();
  } else {
    setTimeout(() => {
      socket.resetAndDestroy();
    }, delayMs);
  }
};

const writing = (bytes: string) => (socket: Socket): void => {
  socket.write(bytes);
};

const ending = (bytes: string) => (socket: Socket): void => {
  socket.end(bytes);
};

const cases: Array<{title: string; respond: (socket: Socket) => void; expected: 'ok' | 'unreachable' | 'failed'}> = [
  {title: 'a length, cut by a reset', respond: cutAfter((HEAD + WITH_LENGTH).slice(0, -1), 0), expected: 'unreachable'},
  {title: 'a length, cut by an end', respond: ending((HEAD + WITH_LENGTH).slice(0, -1)), expected: 'unreachable'},
  {title: 'no length, cut by a reset', respond: cutAfter(`${HEAD}\r\n${BODY.slice(0, 4)}`, 0), expected: 'unreachable'},
  {title: 'no length, cut by a later reset', respond: cutAfter(`${HEAD}\r\n${BODY.slice(0, 4)}`, 20), expected: 'unreachable'},
  {title: 'the status 000', respond: writing(`HTTP/1.1 000 OK\r\n${WITH_LENGTH}`), expected: 'unreachable'},
  {title: 'the status 2000', respond: writing(`HTTP/1.1 2000 OK\r\n${WITH_LENGTH}`), expected: 'unreachable'},
  {title: 'the status 600', respond: writing(`HTTP/1.1 600 OK\r\n${WITH_LENGTH}`), expected: 'failed'},
  {title: 'a blank in the name of a field', respond: writing(`${HEAD}X Other: 1\r\n${WITH_LENGTH}`), expected: 'unreachable'},
  {title: 'a control character in the name of a field', respond: writing(`${HEAD}X\u0001Other: 1\r\n${WITH_LENGTH}`), expected: 'unreachable'},
  {title: 'a failure status', respond: writing(`HTTP/1.1 503 Busy\r\n${WITH_LENGTH}`), expected: 'failed'},
  {title: 'no length, and an end in order', respond: ending(`${HEAD}\r\n${BODY}`), expected: 'ok'},
  {title: 'a length', respond: writing(HEAD + WITH_LENGTH), expected: 'ok'},
];

for (const {title, respond, expected} of cases) {
  test(`a response with ${title} counts as ${expected}`, async t => {
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        respond(socket);
      });
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => {
      server.close();
    });
    const result = await callAdmin(`127.0.0.1:${(server.address() as AddressInfo).port}`, 'GET', '/status');
    t.is(result.kind === 'error' ? result.error.kind : result.kind, expected);
  });
}
