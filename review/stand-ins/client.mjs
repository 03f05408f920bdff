/** Stand-in for clients on kept connections: each sends its next request once the last one is answered, or several at once where it may pipeline. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

let clients = 0;

/** Reads one answer from the start of the bytes; undefined while it is incomplete. An answer without a length ends with its connection. */
const parseAnswer = (bytes, isEnded) => {
  const end = bytes.indexOf('\r\n\r\n');
  if (end === -1) {
    return undefined;
  }

  const [statusLine, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
  const length = headers.get('content-length');
  const from = end + 4;
  if (length === undefined && !isEnded) {
    return undefined;
  }

  const to = length === undefined ? bytes.length : from + Number(length);
  return bytes.length < to
    ? undefined
    : {
      status: Number(statusLine.split(' ')[1]), headers, body: bytes.subarray(from, to), rest: bytes.subarray(to),
    };
};

/**
Starts a client that keeps its connection. `next` gives the requests to send at once ({method, path, deadlineMs, body}); an empty list ends the client.
Each request gets one entry in `results`: `answer`, or `closed` when the connection ended without one, or `unanswered` while neither has come by `giveUpMs` after its deadline.
*/
export const startClient = ({entry, hostName = 'shop.example', next, results, record, giveUpMs = 1000, pauseMs = 0, startDelayMs = 0}) => {
  clients++;
  const client = `c${clients}`;
  let sent = 0;
  let stopped = false;
  let socket;
  let done;
  const finished = new Promise(resolve => {
    done = resolve;
  });

  const openConnection = () => {
    const connection = connect({...entry, noDelay: true});
    let pending = [];
    let bytes = Buffer.alloc(0);
    let answered = 0;
    let timer;
    socket = connection;

    const settle = (request, fields) => {
      Object.assign(request, fields, {endedAt: performance.now()});
      record(fields.outcome, {id: request.id, status: fields.status});
    };

    const sendNext = () => {
      if (connection.destroyed) {
        return;
      }

      const batch = stopped ? [] : next();
      if (batch.length === 0) {
        connection.end();
        done();
        return;
      }

      let text = '';
      for (const {method = 'GET', path, deadlineMs = 5000, body = ''} of batch) {
        sent++;
        const request = {
          id: `${client}-${sent}`, method, path, deadlineMs, isKept: answered > 0, sentAt: performance.now(), outcome: 'unanswered', entry: entry.host,
        };
        results.push(request);
        pending.push(request);
        text += `${method} ${path} HTTP/1.1\r\nHost: ${hostName}\r\nX-Request-Id: ${request.id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n${body === '' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`}\r\n${body}`;
        record('sent', {id: request.id, method, path});
      }

      connection.write(text);
      timer = setTimeout(() => {
        connection.destroy();
      }, Math.max(...batch.map(({deadlineMs = 5000}) => deadlineMs)) + giveUpMs);
    };

    const read = isEnded => {
      for (;;) {
        const answer = parseAnswer(bytes, isEnded);
        if (answer === undefined || pending.length === 0) {
          return;
        }

        bytes = answer.rest;
        answered++;
        const request = pending.shift();
        settle(request, {
          outcome: 'answer', status: answer.status, body: answer.body, seal: answer.headers.get('x-response-seal'), answeredId: answer.headers.get('x-request-id'), closes: answer.headers.get('connection') === 'close', error: answer.status >= 400 ? answer.body.toString().trim() : undefined,
        });
        if (pending.length === 0 && !isEnded) {
          clearTimeout(timer);
          if (request.closes) {
            connection.end();
            return;
          }

          setTimeout(sendNext, pauseMs);
        }
      }
    };

    connection.on('connect', sendNext);
    connection.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk]);
      read(false);
    });
    connection.on('error', () => undefined);
    connection.on('end', () => {
      read(true);
    });
    connection.on('close', () => {
      clearTimeout(timer);
      const isGivenUp = pending.some(({sentAt, deadlineMs}) => performance.now() - sentAt >= deadlineMs + giveUpMs - 50);
      for (const request of pending) {
        settle(request, {outcome: isGivenUp ? 'unanswered' : 'closed'});
      }

      pending = [];
      if (!stopped) {
        setTimeout(openConnection, 100);
      }
    });
  };

  setTimeout(openConnection, startDelayMs);
  return {
    /** Sends nothing more; resolves when the last answer has come. */
    async stop() {
      stopped = true;
      await Promise.race([finished, new Promise(resolve => {
        setTimeout(resolve, 7000);
      })]);
      socket?.destroy();
    },
  };
};
