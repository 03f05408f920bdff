/**
Preloaded module that silences open connections of a program on demand.

On SIGUSR2, every connection that was accepted on one of the ports in `SILENT_PORTS` stays open but carries no more
data in either direction, as when a device on the network path loses its connection state. Connections accepted
later work.
*/
import {Server, type Socket} from 'node:net';
import process from 'node:process';

type SocketHandle = {readStop: () => number; readStart: () => number};
type SocketInternals = {_handle: SocketHandle | null; _write: (...parameters: unknown[]) => void; _writev: unknown};

const ports = new Set((process.env.SILENT_PORTS ?? '').split(',').map(Number));
const sockets = new Set<Socket>();

const ignoreWrite = () => {}; // eslint-disable-line @typescript-eslint/no-empty-function

const silenceConnection = (socket: Socket) => {
  const internals = socket as unknown as SocketInternals;
  // Writes never reach the kernel and never complete. The HTTP parser reads from the handle directly, so reading is stopped there.
  internals._write = ignoreWrite;
  internals._writev = undefined;
  if (internals._handle !== null) {
    internals._handle.readStop();
    internals._handle.readStart = () => 0;
  }
};

type Emit = (this: Server, event: string | symbol, ...parameters: unknown[]) => boolean;

const prototype = Server.prototype as unknown as {emit: Emit};
const {emit: originalEmit} = prototype;
prototype.emit = function (event, ...parameters) {
  if (event === 'connection') {
    const socket = parameters[0] as Socket;
    if (ports.has(socket.localPort ?? 0)) {
      sockets.add(socket);
      socket.once('close', () => {
        sockets.delete(socket);
      });
    }
  }

  return originalEmit.call(this, event, ...parameters);
};

process.on('SIGUSR2', () => {
  for (const socket of sockets) {
    silenceConnection(socket);
  }
});
