/** Guards against a client that loses its ticket, counts a wrong response as completed, or resends without limit. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {encodeMessage} from '../../emulator/backend-server/message.js';
import {createLoadGenerator} from '../load-generator.js';

type ResponseHandler = (request: IncomingMessage, response: ServerResponse, count: number) => void;

const sendWholeResponse: ResponseHandler = (request, response) => {
  response.end(encodeMessage(String(request.headers['jujubewell-request-id']), 'chiuse', 10));
};

type Case = [title: string, handleResponse: ResponseHandler, expected: {completed: boolean; sendings: number; resends: number; lastReason: string}];

const cases: Case[] = [
  ['a whole response completes the request', sendWholeResponse, {
    completed: true, sendings: 1, resends: 0, lastReason: 'completed',
  }],
  ['a client keeps its ticket after a rejection', (request, response, count) => {
    const ticket = request.headers['jujubewell-ticket'];
    if (ticket === undefined) {
      response.writeHead(428, {'jujubewell-ticket': 'T1'}).end();
    } else if (count === 2) {
      response.writeHead(503, {'jujubewell-outcome': 'not-run', 'jujubewell-reason': 'queue-time'}).end();
    } else if (ticket === 'T1') {
      sendWholeResponse(request, response, count);
    }
  }, {
    completed: true, sendings: 3, resends: 1, lastReason: 'completed',
  }],
  ['a response to another request does not count as completed', (_, response) => {
    response.end(encodeMessage('other', 'chiuse', 10));
  }, {
    completed: false, sendings: 3, resends: 2, lastReason: 'swapped',
  }],
  ['a truncated response does not count as completed', (request, response) => {
    const body = encodeMessage(String(request.headers['jujubewell-request-id']), 'chiuse', 10);
    response.writeHead(200, {'content-length': body.length}).write(body.subarray(0, -1), () => {
      response.destroy();
    });
  }, {
    completed: false, sendings: 3, resends: 2, lastReason: 'truncated',
  }],
  ['a response without a length whose connection is reset does not count as completed', (request, {socket}) => {
    const body = encodeMessage(String(request.headers['jujubewell-request-id']), 'chiuse', 10);
    socket!.write(`HTTP/1.1 200 OK\r\n\r\n${body.subarray(0, -1).toString()}`);
    socket!.resetAndDestroy();
  }, {
    completed: false, sendings: 3, resends: 2, lastReason: 'truncated',
  }],
  ...['HTTP/1.1 000 OK', 'HTTP/1.1 2000 OK', 'HTTP/1.1 200 OK\r\nX Other: 1', 'HTTP/1.1 200 OK\r\nX\u0001Other: 1', 'HTTP/1.1 200 OK\r\n X-Other: 1'].map((head): Case =>
    [`a response with the head ${JSON.stringify(head)} does not count as completed`, (request, {socket}) => {
      const body = encodeMessage(String(request.headers['jujubewell-request-id']), 'chiuse', 10);
      socket!.write(`${head}\r\nContent-Length: ${body.length}\r\n\r\n${body.toString()}`);
    }, {
      completed: false, sendings: 3, resends: 2, lastReason: 'broken',
    }]),
  ['a rejection is counted under its reason', (_, response) => {
    response.writeHead(503, {'jujubewell-outcome': 'not-run', 'jujubewell-reason': 'admission'}).end();
  }, {
    completed: false, sendings: 3, resends: 2, lastReason: 'admission',
  }],
];

for (const [title, handleResponse, expected] of cases) {
  test(title, async t => {
    let count = 0;
    const server = createServer((request, response) => {
      request.resume();
      handleResponse(request, response, ++count);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const generator = createLoadGenerator({
      entries: [`127.0.0.1:${(server.address() as AddressInfo).port}`],
      durationMs: 1,
      devices: 1,
      kinds: [{
        name: 'book', service: 'chiuse', method: 'POST', path: '/closures', idempotent: false, priority: 0, deadlineMs: 10_000, ratePerSecond: 1e-9,
      }],
      restarts: [{atMs: 0, spreadMs: 0, burstPerDevice: 1}],
      client: {resends: 2, backoffMs: 1},
    });
    const {records} = await generator.run();
    t.is(records.length, 1);
    t.like(records[0], expected);
    server.close();
    server.closeAllConnections();
  });
}
