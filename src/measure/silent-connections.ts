/**
Module to load before a program: lets the connections open into some of its listeners go silent.

On SIGUSR2, every connection that was accepted on one of the ports in `SILENT_PORTS` stays open but passes no byte
either way any more, as when a network path loses its state. Connections accepted later work.
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
  // Writes never reach the system and never complete; the parser reads from the handle, so reading stops there.
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
