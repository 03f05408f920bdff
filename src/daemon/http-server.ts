/** HTTP listeners: start, graceful stop, and writing of replies with backpressure. */
import {Buffer} from 'node:buffer';
import {
  createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {splitAddress} from '../shared/address.js';
import type {Reply} from './message.js';

/** HTTP server on one address. */
export type Listener = {
  start: () => Promise<void>;
  /** Stops accepting connections and closes idle ones; resolves when exchanges in flight have ended. */
  stop: () => Promise<void>;
  /** Closes each connection after its next response, so that callers reconnect to another process. */
  disableKeepAlive: () => void;
  /** Number of open connections. */
  connections: () => number;
};

/** Options of a listener. */
export type ListenerOptions = {
  /** `ip:port`. */
  address: string;
  /** Connections beyond this number are closed at once. */
  maxConnections: number;
  handle: (request: IncomingMessage, response: ServerResponse) => void;
};

/** Maximum size of request headers, in bytes. */
const HEADER_BYTES_MAX = 16 * 1024;
/** Timeout for receiving the headers of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Timeout for receiving a whole request, in milliseconds; long enough for uploads of tens of MB over slow links. */
const REQUEST_TIMEOUT_MS = 600_000;
/** Idle time after which a connection is closed, in milliseconds; jujubewelld closes its own idle connections earlier. */
const KEEP_ALIVE_TIMEOUT_MS = 15_000;
/** Maximum size of a body that is still read after an early reply, in bytes; for a larger one the connection is closed. */
const UNREAD_BODY_BYTES_MAX = 64 * 1024;

const rawErrorResponse = (status: string) => `HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;

/** Answers requests that cannot be parsed with a 4xx status. */
const rejectMalformedRequests = (server: Server) => {
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (socket.writable) {
      socket.end(rawErrorResponse(error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'));
    }
  });
};

const createHttpServer = (options: ListenerOptions, isKeepAliveDisabled: () => boolean): Server => {
  const server = createServer({maxHeaderSize: HEADER_BYTES_MAX}, (request, response) => {
    if (isKeepAliveDisabled()) {
      response.setHeader('connection', 'close');
    }

    options.handle(request, response);
  });
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  server.maxConnections = options.maxConnections;
  // Handles the request without sending `100 Continue`; a client that waits for it does not send the body of a rejected upload.
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    server.emit('request', request, response);
  });
  rejectMalformedRequests(server);
  return server;
};

/** Creates a listener; it opens its port on `start`. */
export const createListener = (options: ListenerOptions): Listener => {
  let keepAliveDisabled = false;
  const server = createHttpServer(options, () => keepAliveDisabled);
  let openConnections = 0;
  server.on('connection', socket => {
    openConnections++;
    socket.setNoDelay(true);
    socket.once('close', () => {
      openConnections--;
    });
  });

  return {
    async start() {
      const {host, port} = splitAddress(options.address);
      return new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen({
          host, port, backlog: 1024,
        }, () => {
          server.off('error', reject);
          resolve();
        });
      });
    },
    async stop() {
      keepAliveDisabled = true;
      return new Promise(resolve => {
        server.close(() => {
          resolve();
        });
        server.closeIdleConnections();
      });
    },
    disableKeepAlive() {
      keepAliveDisabled = true;
    },
    connections: () => openConnections,
  };
};

/** Returns a signal that aborts when the caller closes its connection before the response is complete. */
export const callerGoneSignal = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) {
      controller.abort();
    }
  });
  return controller.signal;
};

const closeConnectionOnUnreadBody = (request: IncomingMessage, response: ServerResponse) => {
  const length = Number(request.headers['content-length'] ?? (request.headers['transfer-encoding'] === undefined ? 0 : Infinity));
  if (!request.complete && length > UNREAD_BODY_BYTES_MAX) {
    response.setHeader('connection', 'close');
  }
};

/** Writes a reply. If its body fails midway, the connection is destroyed, so that a truncated response cannot look complete. */
export const writeReply = async (request: IncomingMessage, response: ServerResponse, reply: Reply): Promise<void> => {
  if (response.destroyed || response.headersSent) {
    return;
  }

  closeConnectionOnUnreadBody(request, response);
  const headers = Object.entries(reply.headers).filter((header): header is [string, string | string[]] => header[1] !== undefined);
  response.writeHead(reply.status, Object.fromEntries(headers));
  if (Buffer.isBuffer(reply.body)) {
    response.end(reply.body);
    return;
  }

  try {
    await pipeline(reply.body, response);
  } catch {
    response.destroy();
  }
};

/** Writes a response with a JSON body. */
export const writeJson = (response: ServerResponse, status: number, value: unknown): void => {
  const body = Buffer.from(`${JSON.stringify(value)}\n`);
  response.writeHead(status, {'content-type': 'application/json', 'content-length': String(body.length)});
  response.end(body);
};

/** Reads a JSON body of limited size; undefined when it is larger or not valid JSON. */
export const readJson = async (request: IncomingMessage, limit: number): Promise<unknown> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > limit) {
      return undefined;
    }

    chunks.push(chunk);
  }

  try {
    return JSON.parse(Buffer.concat(chunks).toString());
  } catch {
    return undefined;
  }
};
