/** Client of the users: one connection to the `outbound` address of a machine, with its requests and their answers. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {elapsed, record} from './deployment.mjs';

const HEAD_END = '\r\n\r\n';
/** Delay between two readings of a slow client, in milliseconds. */
const READ_INTERVAL_MS = 10;
const SECOND_MS = 1000;

let lastId = 0;
/** Id of a request, new for each attempt. */
export const newId = prefix => {
  lastId++;
  return `${prefix}-${String(lastId).padStart(5, '0')}`;
};

const decodeHead = bytes => {
  const [statusLine, ...lines] = bytes.toString('latin1').split('\r\n');
  const headers = Object.fromEntries(lines.map(line => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  return {status: Number(statusLine.split(' ')[1]), headers};
};

/** Opens a connection. With `bytesPerMs`, the client reads no faster than that; with `delayMs`, all that it sends and receives is as long on its way, in each direction. */
export const openConnection = (entry, {bytesPerMs, delayMs = 0} = {}) => {
  const socket = connect({...entry, noDelay: true});
  const answers = [];
  let pieces = [];
  let receivedBytes = 0;
  /** Head of the answer that is being received, and the bytes that it takes with its body. */
  let current;
  let wake = () => undefined;
  /** Does something after the time that bytes are on their way; timers of one duration keep their order. */
  const afterDelay = work => {
    if (delayMs === 0) {
      work();
    } else {
      setTimeout(work, delayMs);
    }
  };

  const connection = {
    socket,
    /** Set when the connection has ended: when, with which error, how many bytes of an incomplete answer had come, and whether it ended in order. */
    closed: undefined,
    /** Head of the answer that is being received. */
    currentHead: () => current?.head,
    /** Sends a request. */
    send({id, method = 'GET', path, deadlineMs = 5000, body}) {
      record(`client sends ${id}: ${method} ${path}, ${body?.length ?? 0} bytes`);
      const lines = [`${method} ${path} HTTP/1.1`, 'Host: site.example', `X-Request-Id: ${id}`, `X-Deadline-Ms: ${deadlineMs}`, ...(body === undefined ? [] : [`Content-Length: ${body.length}`])];
      afterDelay(() => {
        socket.write(`${lines.join('\r\n')}${HEAD_END}`, 'latin1');
        if (body !== undefined) {
          socket.write(body);
        }
      });
    },
    /** Resolves with the next answer, or with undefined when the connection has ended without one. */
    async next() {
      while (answers.length === 0 && connection.closed === undefined) {
        // eslint-disable-next-line no-await-in-loop
        await new Promise(resolve => {
          wake = resolve;
        });
      }

      return answers.shift();
    },
  };

  /** Takes complete answers from the received bytes. */
  const takeAnswers = () => {
    for (;;) {
      if (current === undefined) {
        const bytes = Buffer.concat(pieces);
        pieces = [bytes];
        const end = bytes.indexOf(HEAD_END);
        if (end === -1) {
          return;
        }

        const head = decodeHead(bytes.subarray(0, end));
        const length = head.headers['content-length'];
        current = {head, headBytes: end + HEAD_END.length, bytes: length === undefined ? Number.POSITIVE_INFINITY : end + HEAD_END.length + Number(length)};
      }

      if (receivedBytes < current.bytes) {
        return;
      }

      const bytes = Buffer.concat(pieces);
      const {head} = current;
      answers.push({
        ...head,
        body: bytes.subarray(current.headBytes, current.bytes),
        at: elapsed(),
        closes: head.headers.connection?.toLowerCase() === 'close',
        retryAfterMs: head.headers['retry-after'] === undefined ? undefined : Number(head.headers['retry-after']) * SECOND_MS,
      });
      pieces = [bytes.subarray(current.bytes)];
      receivedBytes -= current.bytes;
      current = undefined;
      wake();
    }
  };

  let hasEnded = false;
  let fault;
  socket.on('data', chunk => {
    afterDelay(() => {
      pieces.push(chunk);
      receivedBytes += chunk.length;
      takeAnswers();
    });
    if (bytesPerMs !== undefined) {
      socket.pause();
      setTimeout(() => socket.resume(), Math.max(READ_INTERVAL_MS, chunk.length / bytesPerMs));
    }
  });
  socket.on('end', () => {
    hasEnded = true;
  });
  socket.on('error', error => {
    fault = error.code;
  });
  socket.on('close', () => {
    afterDelay(() => {
      connection.closed = {
        at: elapsed(), error: fault, isInOrder: hasEnded && fault === undefined, partialBytes: receivedBytes, bodyBytes: current === undefined ? 0 : receivedBytes - current.headBytes,
      };
      wake();
    });
  });
  return connection;
};
