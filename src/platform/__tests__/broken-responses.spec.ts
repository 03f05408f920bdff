/** Guards against a broken response of the platform that counts as its answer, so that a write is reported as rejected although it may have taken effect. */
import test from 'ava';
import {
  ending, resetting, startRawServer, writing, type RawResponse,
} from '../../shared/__tests__/raw-server.js';
import {createPlatformClient, type PlatformError} from '../client.js';

const BODY = JSON.stringify({
  kind: 'A', name: 'a', version: 3, value: {writeId: 'w'},
});
const HEAD = 'HTTP/1.1 200 OK\r\n';
const WITH_LENGTH = `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;

const cases: Array<{title: string; respond: RawResponse; expected: PlatformError['kind'] | 'ok'}> = [
  ...[0, 10, BODY.length].flatMap(bytes => [0, 20].map(delayMs => ({
    title: `no length, and a reset ${delayMs} ms after ${bytes} bytes of the body`, respond: resetting(`${HEAD}\r\n${BODY.slice(0, bytes)}`, delayMs), expected: 'unreachable' as const,
  }))),
  ...['000', '099', '101', '102', '600', '999', '2000'].map(status => ({
    title: `the status ${status}`, respond: writing(`HTTP/1.1 ${status} OK\r\n${WITH_LENGTH}`), expected: 'unreachable' as const,
  })),
  {title: 'no length, and an end after a part of the body', respond: ending(`${HEAD}\r\n${BODY.slice(0, 10)}`), expected: 'unreachable'},
  {title: 'a length, and an end after a part of the body', respond: ending(`${HEAD}${WITH_LENGTH.slice(0, -1)}`), expected: 'unreachable'},
  {title: 'a blank in the name of a field', respond: writing(`${HEAD}X Other: 1\r\n${WITH_LENGTH}`), expected: 'unreachable'},
  {title: 'a blank before the first field', respond: writing(`${HEAD} X-Other: 1\r\n${WITH_LENGTH}`), expected: 'unreachable'},
  {title: 'a control character in the name of a field', respond: writing(`${HEAD}X\u0001Other: 1\r\n${WITH_LENGTH}`), expected: 'unreachable'},
  {title: 'no length, and an end in order', respond: ending(`${HEAD}\r\n${BODY}`), expected: 'ok'},
  {title: 'a length', respond: writing(`${HEAD}${WITH_LENGTH}`), expected: 'ok'},
];

for (const {title, respond, expected} of cases) {
  test(`a write whose response has ${title} counts as ${expected}`, async t => {
    const client = createPlatformClient({address: await startRawServer(t, respond), timeoutMs: 20_000});
    t.teardown(client.close);
    const result = await client.write({
      kind: 'A', name: 'a', value: {writeId: 'w'}, expectedVersion: 2,
    });
    t.is(result.kind === 'error' ? result.error.kind : result.kind, expected);
  });
}
