/** One HTTP/1.1 connection to the backend server, with one exchange at a time. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {splitAddress} from '../../shared/address.js';
import {LONG_BODY_BYTES} from '../body-buffer.js';
import type {HeldBytes} from '../held-bytes.js';
import type {HttpDialect} from '../entry/http-dialect.js';
import type {TurnQueue} from '../turn-queue.js';
import type {GatedResponse, ResponseGate} from './response-gate.js';
import {createResponseParser, type ParsedResponse, type ResponseFault} from './response-parser.js';

/** How an exchange ended. */
export type ExchangeResult =
  /** A response arrived. `framed`: it declares its length or is chunked; without either, its end may be a truncation. */
  | {kind: 'answered'; status: number; rawHeaders: string[]; body: Buffer; framed: boolean}
  /** No byte of the request was sent. */
  | {kind: 'not-sent'; cause: string}
  /** The connection closed before the response was complete; the request may have run. */
  | {kind: 'lost'; cause: string};

/** One request and the callback for its result. */
export type Exchange = {
  requestId: string;
  method: string;
  path: string;
  rawHeaders: string[];
  body: Buffer;
  onEnd: (result: ExchangeResult) => void;
};

/** A connection to the backend server. */
export type BackendConnection = {
  /** Sends a request; it waits for the connection to open if necessary. */
  send: (exchange: Exchange) => void;
  /** Closes the connection; its exchange ends as lost, or as not sent if the connection never opened. */
  destroy: (cause: string) => void;
  /** Time until which the idle connection may be reused, in milliseconds of the clock. */
  usableUntil: () => number;
};

/** Options of a connection. */
export type BackendConnectionOptions = {
  address: string;
  dialect: HttpDialect;
  now: () => number;
  /** Bound on the memory that responses hold over all connections. */
  heldBytes: HeldBytes;
  /** Parses long responses in small pieces, over all connections. */
  parseQueue: TurnQueue;
  /** Long responses wait here for others. */
  gate: ResponseGate;
  /** Called when the connection can be reused. */
  onIdle: (connection: BackendConnection) => void;
  onClosed: (connection: BackendConnection) => void;
  /** Called when the backend server violates the protocol. */
  onProtocolEvent: (event: string, requestId: string | undefined) => void;
};

/** Connect timeout within the host, in milliseconds; the operating system would wait for minutes. */
const CONNECT_TIMEOUT_MS = 1000;
/** Idle timeout when the backend server states none, in milliseconds. */
const IDLE_TIMEOUT_DEFAULT_MS = 4000;
/** How long before the backend server's idle timeout a connection is given up, in milliseconds: a request sent while the server closes it may be lost. */
const IDLE_MARGIN_MS = 1500;
/** Longest body that is written as text together with its head, in bytes; it costs less than a copy into a buffer. */
const TEXT_BODY_MAX_BYTES = 4096;
/** Longest read, in bytes. */
const READ_BYTES = 16 * 1024;
/** Bytes that are parsed at once. */
const PARSE_SLICE_BYTES = 8 * 1024;
/** Pieces of a response body that are parsed as they arrive; further ones wait for a turn of the event loop, because parsing a read of one-byte chunks takes several milliseconds. */
const PIECES_AT_ONCE = 1000;

const serializeHead = ({method, path, rawHeaders, body}: Exchange): string => {
  let text = `${method} ${path} HTTP/1.1\r\n`;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    text += `${rawHeaders[index]!}: ${rawHeaders[index + 1]!}\r\n`;
  }

  if (body.length > 0 || (method !== 'GET' && method !== 'HEAD')) {
    text += `Content-Length: ${body.length}\r\n`;
  }

  return `${text}\r\n`;
};

/** Opens a connection; a request may be sent before it is established. */
export const createBackendConnection = (options: BackendConnectionOptions): BackendConnection => {
  const {dialect, now} = options;
  const {host, port} = splitAddress(options.address);
  let current: Exchange | undefined;
  /** Response that is complete but not handed over yet, because its last bytes are still being parsed. */
  let completed: ParsedResponse | undefined;
  /** Bytes that have been received and not parsed yet. */
  let unparsed: Buffer = Buffer.alloc(0);
  let exchanges = 0;
  let idleSince = now();
  let idleTimeoutMs = IDLE_TIMEOUT_DEFAULT_MS;
  let connected = false;
  let closed = false;
  let closesAfterResponse = false;
  let cause: string | undefined;
  let gated: GatedResponse | undefined;
  const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);
  const socket: Socket = connect({
    host,
    port,
    noDelay: true,
    // One buffer for all reads leaves no garbage. Its content is parsed before the next read, which waits while the socket is paused.
    onread: {
      buffer: readBuffer,
      callback(bytes) {
        onData(readBuffer.subarray(0, bytes));
        return true;
      },
    },
  });

  const leaveGate = (): void => {
    gated?.end();
    gated = undefined;
  };

  /** Whether the current response is long and has to wait for others. */
  const mustWait = (): boolean => {
    if (gated === undefined && parser.bodyBytes() > LONG_BODY_BYTES) {
      gated = options.gate.enter(parseReceived);
    }

    return gated?.mayRead() === false;
  };

  const finish = (result: ExchangeResult): void => {
    const exchange = current;
    current = undefined;
    parser.release();
    leaveGate();
    exchange?.onEnd(result);
  };

  const destroy = (reason: string): void => {
    cause ??= reason;
    socket.destroy();
  };

  const handOver = ({status, rawHeaders, body, framed}: ParsedResponse): void => {
    const exchange = current!;
    const metadata = dialect.readResponse(status, rawHeaders);
    // Bytes after the response belong to none; they may be the beginning of a second copy of it.
    const hasLeftoverBytes = unparsed.length > 0 || parser.hasPartialResponse();
    const mayReuse = !closesAfterResponse && !hasLeftoverBytes && !metadata.closesConnection && socket.writableLength === 0 && !socket.destroyed;
    idleTimeoutMs = metadata.keepAliveMs === undefined ? IDLE_TIMEOUT_DEFAULT_MS : Math.max(0, metadata.keepAliveMs - IDLE_MARGIN_MS);
    idleSince = now();
    current = undefined;
    completed = undefined;
    const bytes = body.toBuffer();
    parser.release();
    leaveGate();
    if (mayReuse) {
      options.onIdle(connection);
    } else {
      destroy('the backend server does not keep the connection open');
    }

    exchange.onEnd({
      kind: 'answered', status, rawHeaders, body: bytes, framed,
    });
  };

  const onResponse = (response: ParsedResponse): void => {
    closesAfterResponse ||= !response.keepsConnection;
    if (current === undefined || completed !== undefined) {
      closesAfterResponse = true;
      return;
    }

    const {requestId, isAuthentic} = dialect.readResponse(response.status, response.rawHeaders);
    if (!isAuthentic) {
      options.onProtocolEvent('answer-not-genuine', current.requestId);
      destroy('the backend server sent a success response without proof of its origin');
      return;
    }

    if (requestId === undefined && exchanges > 1) {
      // It may be a second copy of an earlier response on this connection.
      options.onProtocolEvent('answer-without-id', current.requestId);
      destroy('the backend server sent a response without a request id on a connection that was used before');
      return;
    }

    if (requestId !== undefined && requestId !== current.requestId) {
      // A late response to another request; the awaited one follows on the same connection.
      options.onProtocolEvent('foreign-answer-skipped', requestId);
      parser.release();
      return;
    }

    completed = response;
  };

  const parser = createResponseParser({heldBytes: options.heldBytes, onResponse});

  const closeForFault = ({kind, message}: ResponseFault): void => {
    switch (kind) {
      case 'head-invalid': {
        options.onProtocolEvent('answer-head-invalid', current?.requestId);
        break;
      }

      case 'too-long': {
        options.onProtocolEvent('answer-too-long', current?.requestId);
        break;
      }

      case 'not-http': {
        break;
      }
    }

    destroy(message);
  };

  /**
  Reads on in the next turn of the event loop, so that the end of the connection is read by itself. libuv reports a hang-up that it finds together with data as a regular end, even if the connection was reset; a read that returns no data returns the reset.
  */
  const readInNextTurn = (): void => {
    socket.pause();
    setImmediate(() => {
      if (!socket.destroyed && !mustWait()) {
        socket.resume();
      }
    });
  };

  /** Parses received bytes until a response is complete or has to wait for its next turn. */
  const parseReceived = (): void => {
    while (unparsed.length > 0 && !socket.destroyed) {
      if (mustWait()) {
        socket.pause();
        return;
      }

      const slice = unparsed.subarray(0, PARSE_SLICE_BYTES);
      unparsed = unparsed.subarray(slice.length);
      const fault = parser.parse(slice);
      if (completed !== undefined) {
        handOver(completed);
        return;
      }

      if (fault !== undefined) {
        closeForFault(fault);
        return;
      }

      if (parser.pieces() > PIECES_AT_ONCE) {
        socket.pause();
        options.parseQueue.add(parseReceived);
        return;
      }
    }

    if (mustWait()) {
      socket.pause();
    } else if (parser.awaitsEndOfConnection()) {
      readInNextTurn();
    } else {
      socket.resume();
    }
  };

  const onData = (chunk: Buffer): void => {
    if (current === undefined) {
      destroy('the backend server sent data while no request was pending');
      return;
    }

    unparsed = chunk;
    parseReceived();
  };

  /** A response without a declared length ends when the server closes the connection; a framed one is truncated by it. */
  const onEnd = (): void => {
    if (socket.writableLength > 0 && parser.awaitsEndOfConnection()) {
      // The server may still read the rest of the request. If it has closed the connection instead, sending the rest fails, and the response is not known to be whole.
      socket.once('finish', onEnd);
      return;
    }

    const requestId = current?.requestId;
    if (requestId !== undefined && parser.endOfConnection()) {
      options.onProtocolEvent('unframed-answer', requestId);
      closesAfterResponse = true;
      if (completed !== undefined) {
        handOver(completed);
      }
    }

    destroy('the backend server closed the connection');
  };

  const connectTimer = setTimeout(() => {
    if (!connected) {
      destroy(`the connection was not established within ${CONNECT_TIMEOUT_MS} ms`);
    }
  }, CONNECT_TIMEOUT_MS);

  socket.on('connect', () => {
    connected = true;
    clearTimeout(connectTimer);
    if (current !== undefined) {
      write(current);
    }
  });
  socket.on('end', onEnd);
  socket.on('error', error => {
    cause ??= error.message;
  });
  socket.on('close', () => {
    clearTimeout(connectTimer);
    closed = true;
    unparsed = Buffer.alloc(0);
    options.onClosed(connection);
    finish(connected
      ? {kind: 'lost', cause: cause ?? 'the connection closed'}
      : {kind: 'not-sent', cause: cause ?? 'the connection could not be opened'});
  });

  const write = (exchange: Exchange): void => {
    const head = serializeHead(exchange);
    if (exchange.body.length > LONG_BODY_BYTES) {
      // A long body is sent without a copy of it.
      socket.cork();
      socket.write(head, 'latin1');
      socket.write(exchange.body);
      socket.uncork();
    } else if (exchange.body.length > TEXT_BODY_MAX_BYTES) {
      socket.write(Buffer.concat([Buffer.from(head, 'latin1'), exchange.body]));
    } else {
      // Latin1 maps each byte to one character and back.
      socket.write(head + exchange.body.toString('latin1'), 'latin1');
    }
  };

  const connection: BackendConnection = {
    send(exchange) {
      if (closed || socket.destroyed) {
        exchange.onEnd({kind: 'not-sent', cause: 'the connection is closed'});
        return;
      }

      current = exchange;
      exchanges++;
      parser.begin({isHead: exchange.method === 'HEAD'});
      if (connected) {
        write(exchange);
      }
    },
    destroy,
    usableUntil: () => idleSince + idleTimeoutMs,
  };
  return connection;
};
