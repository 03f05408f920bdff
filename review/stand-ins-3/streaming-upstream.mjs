/* eslint-disable n/prefer-global/buffer, n/prefer-global/process */
// An upstream in a process of its own, which can crash. It sends each answer in pieces, some of them without a length. Parameters: slots, pieces, bytes of a piece, milliseconds between two, share of answers without a length.
import {createServer} from 'node:http';

const [slots, pieces, pieceBytes, gapMs, unframedShare] = process.argv.slice(2).map(Number);
let instance;
let unframedUntil = 0;
let running = 0;
process.on('message', message => {
  instance = message.instance ?? instance;
  unframedUntil = message.unframedForMs === undefined ? unframedUntil : performance.now() + message.unframedForMs;
});

const server = createServer({keepAliveTimeout: 10_000}, (request, response) => {
  const id = request.headers['x-request-id'];
  request.resume();
  request.on('end', () => {
    if (request.headers['x-expected-instance'] !== instance) {
      response.writeHead(421, {'X-Instance-Id': instance ?? '', 'X-Request-Id': id, 'Content-Length': 0});
      response.end();
      return;
    }

    if (running >= slots) {
      response.writeHead(503, {'X-Not-Executed': '1', 'X-Request-Id': id, 'Content-Length': 0});
      response.end();
      return;
    }

    running++;
    const isFramed = performance.now() >= unframedUntil || Math.random() >= unframedShare;
    process.send({event: 'begins', id, isFramed});
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {'X-Request-Id': id, 'X-Response-Seal': `seal-${id}`, ...(isFramed ? {'Content-Length': pieces * pieceBytes} : {Connection: 'close'})});
    let sent = 0;
    const timer = setInterval(() => {
      response.write(Buffer.alloc(pieceBytes, 97 + (sent % 26)));
      sent++;
      if (sent === pieces) {
        clearInterval(timer);
        response.end();
      }
    }, gapMs);
    response.on('close', () => {
      clearInterval(timer);
      running--;
      process.send({event: response.writableFinished ? 'whole' : 'broken', id});
    });
  });
});
server.listen(0, '127.0.0.1', () => {
  process.send({event: 'listening', port: server.address().port});
});
