/** Guards against a broken response of a process that the command line prints as its answer. */
import test from 'ava';
import {
  ending, resetting, startRawServer, writing, type RawResponse,
} from '../../shared/__tests__/raw-server.js';
import {callAdmin} from '../admin.js';

const BODY = '{"sequence": 3}';
const HEAD = 'HTTP/1.1 200 OK\r\n';
const WITH_LENGTH = `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;

const cases: Array<{title: string; respond: RawResponse; expected: 'ok' | 'unreachable' | 'failed'}> = [
  {title: 'a length, cut by a reset', respond: resetting((HEAD + WITH_LENGTH).slice(0, -1)), expected: 'unreachable'},
  {title: 'a length, cut by an end', respond: ending((HEAD + WITH_LENGTH).slice(0, -1)), expected: 'unreachable'},
  {title: 'no length, cut by a reset', respond: resetting(`${HEAD}\r\n${BODY.slice(0, 4)}`), expected: 'unreachable'},
  {title: 'no length, cut by a later reset', respond: resetting(`${HEAD}\r\n${BODY.slice(0, 4)}`, 20), expected: 'unreachable'},
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
    const result = await callAdmin(await startRawServer(t, respond), 'GET', '/status');
    t.is(result.kind === 'error' ? result.error.kind : result.kind, expected);
  });
}
