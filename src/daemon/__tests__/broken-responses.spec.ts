/** Guards against a broken response of a backend server that reaches a caller as a whole one, and against losing a sound one. */
import {Buffer} from 'node:buffer';
import {Readable} from 'node:stream';
import {text} from 'node:stream/consumers';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import type {DeclaredObject} from '../../objects/schema.js';
import {
  ending, resetting, startRawServer, writing, type RawResponse,
} from '../../shared/__tests__/raw-server.js';
import {createReplayBody, createReplayBudget, emptyBody} from '../replay-body.js';
import {createTransport} from '../transport.js';
import {startDeployment} from './deployment.js';

const MIB = 1024 * 1024;
/** Longest read of a connection, in bytes. */
const READ_BYTES = 64 * 1024;
const LENGTH_AND_BODY = 'Content-Length: 5\r\n\r\nwhole';

/** Body in the pieces in which a connection delivers it. */
const splitBody = (bytes: number): Buffer[] => Array.from({length: Math.ceil(bytes / READ_BYTES)}, (_, index) => Buffer.alloc(Math.min(READ_BYTES, bytes - (index * READ_BYTES))));

/** Sends a request to a server that writes raw bytes when its first bytes arrive; returns the status and the body, or how the exchange ended. */
const exchange = async (t: ExecutionContext, respond: RawResponse, requestBytes: number): Promise<string> => {
  const transport = createTransport({address: await startRawServer(t, respond), connections: 1});
  const result = await transport.send({
    message: {
      method: 'POST', path: '/', headers: {'content-length': String(requestBytes)}, body: requestBytes === 0
        ? emptyBody
        : createReplayBody({
          source: Readable.from(splitBody(requestBytes)), hasBody: true, limit: 0, budget: createReplayBudget(0),
        }),
    },
    headers: {},
    timeoutMs: 20_000,
    silenceTimeoutMs: undefined,
    signal: new AbortController().signal,
    newConnection: false,
  });
  if (result.kind !== 'replied') {
    return result.kind;
  }

  const {status, body} = result.reply;
  try {
    return `${status} ${Buffer.isBuffer(body) ? body.toString() : await text(body)}`;
  } catch {
    return 'cut';
  }
};

/** Response that leaves the rest of the request unread. */
const withoutReading = (respond: RawResponse): RawResponse => socket => {
  socket.pause();
  respond(socket);
};

for (const requestBytes of [0, 1000, 8 * MIB]) {
  for (const part of ['', 'part']) {
    for (const delayMs of [0, 5]) {
      test(`a response without a length to ${requestBytes} bytes is cut when its connection is reset ${delayMs} ms after ${part.length} bytes`, async t => {
        const outcome = await exchange(t, withoutReading(resetting(`HTTP/1.1 200 OK\r\n\r\n${part}`, delayMs)), requestBytes);
        t.true(outcome === 'cut' || outcome === 'lost', outcome);
      });
    }
  }
}

test('a response without a length is cut when its connection ends before the request was sent', async t => {
  const outcome = await exchange(t, withoutReading(ending('HTTP/1.1 200 OK\r\n\r\npart')), 8 * MIB);
  t.true(outcome === 'cut' || outcome === 'lost', outcome);
});

/** A response and what comes out of it while its connection stays open. */
const responses: Array<{title: string; bytes: string; expected: string}> = [
  ...['000', '099', '101', '600', '999', '2000', '20', '200OK'].map(status => ({title: `the status ${status}`, bytes: `HTTP/1.1 ${status} OK\r\n${LENGTH_AND_BODY}`, expected: 'lost'})),
  {title: 'the status 102 and a body', bytes: `HTTP/1.1 102 OK\r\n${LENGTH_AND_BODY}`, expected: 'lost'},
  {title: 'a control character in the reason phrase', bytes: `HTTP/1.1 200 O\u0001K\r\n${LENGTH_AND_BODY}`, expected: 'lost'},
  {title: 'a blank before the length', bytes: `HTTP/1.1 200 OK\r\nX-Other: 1\r\n ${LENGTH_AND_BODY}`, expected: 'lost'},
  {title: 'a blank before the first field', bytes: `HTTP/1.1 200 OK\r\n X-Other: 1\r\n${LENGTH_AND_BODY}`, expected: 'lost'},
  {title: 'a blank in the name of the length', bytes: `HTTP/1.1 200 OK\r\n${LENGTH_AND_BODY.replace('-', ' ')}`, expected: 'lost'},
  {title: 'a control character in the name of the length', bytes: `HTTP/1.1 200 OK\r\n${LENGTH_AND_BODY.replace('-', '\u0001')}`, expected: 'lost'},
  {title: 'a control character in a value', bytes: `HTTP/1.1 200 OK\r\nX-Other: a\u0001\r\n${LENGTH_AND_BODY}`, expected: 'lost'},
  {title: 'a control character in a trailer', bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX\u0001After: 1\r\n\r\n', expected: 'cut'},
  {title: 'a control character in a chunk size', bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;\u0001\r\nwhole\r\n0\r\n\r\n', expected: 'cut'},
  {title: 'a length and chunks', bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n', expected: 'lost'},
  {title: 'bytes that are no response', bytes: 'whole', expected: 'lost'},
  {title: 'a value in UTF-8', bytes: `HTTP/1.1 200 OK\r\nX-Motif: \u00C3\u0089cole\r\n${LENGTH_AND_BODY}`, expected: '200 whole'},
  {title: 'a reason phrase in UTF-8', bytes: `HTTP/1.1 200 d\u00C3\u00A9j\u00C3\u00A0 vu\r\n${LENGTH_AND_BODY}`, expected: '200 whole'},
  {title: 'an informational response before it', bytes: `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n${LENGTH_AND_BODY}`, expected: '200 whole'},
  {title: 'a failure status', bytes: `HTTP/1.1 599 Busy\r\n${LENGTH_AND_BODY}`, expected: '599 whole'},
];

for (const {title, bytes, expected} of responses) {
  test(`a response with ${title} comes out as ${expected}`, async t => {
    t.is(await exchange(t, writing(bytes), 0), expected);
  });
}

/** Undici reads these and does not tell the version; listed in KNOWN-RED.txt. */
const misread: Array<{title: string; bytes: string}> = [
  {title: 'the version HTTP/2.0', bytes: `HTTP/2.0 200 OK\r\n${LENGTH_AND_BODY}`},
  {title: 'the version HTTP/0.9', bytes: `HTTP/0.9 200 OK\r\n${LENGTH_AND_BODY}`},
  {title: 'chunks in HTTP/1.0', bytes: 'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'},
];

for (const {title, bytes} of misread) {
  test.failing(`a response with ${title} comes out as lost`, async t => {
    t.is(await exchange(t, writing(bytes), 0), 'lost');
  });
}

const soundEnds: Array<{title: string; requestBytes: number; respond: RawResponse; expected: string}> = [
  {
    title: 'without a length whose connection ends in order', requestBytes: 1000, respond: ending('HTTP/1.1 200 OK\r\n\r\nwhole'), expected: '200 whole',
  },
  {
    title: 'without a length whose connection ends later',
    requestBytes: 1000,
    respond(socket) {
      socket.write('HTTP/1.1 200 OK\r\n\r\nwh');
      setTimeout(() => {
        socket.end('ole');
      }, 20);
    },
    expected: '200 whole',
  },
  {
    title: 'with a length before the request was sent', requestBytes: 8 * MIB, respond: writing(`HTTP/1.1 200 OK\r\n${LENGTH_AND_BODY}`), expected: '200 whole',
  },
  {
    title: 'in chunks before the request was sent', requestBytes: 8 * MIB, respond: writing('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'), expected: '200 whole',
  },
  {
    title: 'without a body before the request was sent', requestBytes: 8 * MIB, respond: writing('HTTP/1.1 204 No Content\r\n\r\n'), expected: '204 ',
  },
];

for (const {title, requestBytes, respond, expected} of soundEnds) {
  test(`a response ${title} is whole`, async t => {
    t.is(await exchange(t, respond, requestBytes), expected);
  });
}

const objects: DeclaredObject[] = [
  {
    kind: 'Service', name: 'cutting', labels: {}, spec: {},
  },
  {
    kind: 'RequestKind', name: 'cut', labels: {}, spec: {
      service: 'cutting', methods: ['POST'], path: '/cut', idempotent: true,
    },
  },
];

test.serial('a caller does not get a part as a whole response, from this host and from another', async t => {
  const deployment = await startDeployment(objects, [
    {
      service: 'cutting',
      handle(incoming) {
        incoming.socket.write('HTTP/1.1 200 OK\r\n\r\npart');
        incoming.socket.resetAndDestroy();
      },
    },
    {service: 'other', handle: () => undefined},
  ]);
  t.teardown(deployment.stop);
  for (const {entry} of deployment.hosts) {
    const readReply = async (): Promise<string> => {
      const reply = await request(`http://${entry}/cutting/cut`, {method: 'POST', body: 'x'});
      return reply.body.text();
    };

    await t.throwsAsync(readReply, {message: 'other side closed'}); // eslint-disable-line no-await-in-loop
  }
});
