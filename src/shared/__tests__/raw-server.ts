/** Server that writes raw bytes, for responses that Node's HTTP server would not send. */
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {ExecutionContext} from 'ava';

/** Responds to a connection when its first bytes arrive. */
export type RawResponse = (socket: Socket) => void;

/** Starts a server until the end of the test; returns its address, `ip:port`. */
export const startRawServer = async (t: ExecutionContext, respond: RawResponse): Promise<string> => {
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
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Response that writes bytes and keeps the connection open. */
export const writing = (bytes: string): RawResponse => socket => {
  socket.write(bytes, 'latin1');
};

/** Response that writes bytes and ends the connection in order. */
export const ending = (bytes: string): RawResponse => socket => {
  socket.end(bytes, 'latin1');
};

/** Response that writes bytes and resets the connection, at once or after some milliseconds. */
export const resetting = (bytes: string, delayMs = 0): RawResponse => socket => {
  socket.write(bytes, 'latin1');
  if (delayMs === 0) {
    socket.resetAndDestroy();
  } else {
    setTimeout(() => {
      socket.resetAndDestroy();
    }, delayMs);
  }
};
