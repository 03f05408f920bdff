/** One HTTP/1.1 connection to the backend server, with one exchange at a time. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {HTTPParser, type HTTPParserJS} from 'http-parser-js';
import {splitAddress} from '../shared/address.js';
import type {HttpDialect} from './http-dialect.js';

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
/** Longest response that is buffered, in bytes. */
const RESPONSE_MAX_BYTES = 64 * 1024 * 1024;
const FIRST_FINAL_STATUS = 200;

/** Response whose end has not been received. */
type PartialResponse = {status: number; rawHeaders: string[]; chunks: Buffer[]; bytes: number; framed: boolean};

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

const isFramed = (rawHeaders: readonly string[]): boolean =>
  rawHeaders.some((name, index) => index % 2 === 0 && /^(?:content-length|transfer-encoding)$/iu.test(name));

/** Opens a connection; a request may be sent before it is established. */
export const createBackendConnection = (options: BackendConnectionOptions): BackendConnection => {
  const {dialect, now} = options;
  const {host, port} = splitAddress(options.address);
  let current: Exchange | undefined;
  let response: PartialResponse | undefined;
  let idleSince = now();
  let idleTimeoutMs = IDLE_TIMEOUT_DEFAULT_MS;
  let connected = false;
  let closed = false;
  let closesAfterResponse = false;
  let cause: string | undefined;
  const socket: Socket = connect({host, port, noDelay: true});
  let parser: HTTPParserJS;

  const finish = (result: ExchangeResult): void => {
    const exchange = current;
    current = undefined;
    response = undefined;
    exchange?.onEnd(result);
  };

  const destroy = (reason: string): void => {
    cause ??= reason;
    socket.destroy();
  };

  /** Skips a late response to another request; the awaited one follows on the same connection. */
  const skipMismatchedResponse = (requestId: string | undefined): void => {
    options.onProtocolEvent('foreign-answer-skipped', requestId);
    response = undefined;
  };

  const complete = (): void => {
    const exchange = current!;
    const {status, rawHeaders, chunks, framed} = response!;
    const metadata = dialect.readResponse(status, rawHeaders);
    const mayReuse = !closesAfterResponse && !metadata.closesConnection && socket.writableLength === 0 && !socket.destroyed;
    idleTimeoutMs = metadata.keepAliveMs === undefined ? IDLE_TIMEOUT_DEFAULT_MS : Math.max(0, metadata.keepAliveMs - IDLE_MARGIN_MS);
    idleSince = now();
    current = undefined;
    response = undefined;
    if (mayReuse) {
      options.onIdle(connection);
    } else {
      destroy('the backend server does not keep the connection open');
    }

    exchange.onEnd({
      kind: 'answered', status, rawHeaders, body: Buffer.concat(chunks), framed,
    });
  };

  const onComplete = (): void => {
    if (response === undefined || response.status < FIRST_FINAL_STATUS) {
      response = undefined;
      return;
    }

    if (current === undefined) {
      destroy('the backend server sent a response while no request was pending');
      return;
    }

    const {requestId, isAuthentic} = dialect.readResponse(response.status, response.rawHeaders);
    if (!isAuthentic) {
      options.onProtocolEvent('answer-not-genuine', current.requestId);
      destroy('the backend server sent a success response without proof of its origin');
      return;
    }

    if (requestId !== undefined && requestId !== current.requestId) {
      skipMismatchedResponse(requestId);
      return;
    }

    complete();
  };

  const createParser = (): HTTPParserJS => {
    const responseParser = new HTTPParser(HTTPParser.RESPONSE);
    responseParser[HTTPParser.kOnHeadersComplete] = info => {
      const framed = isFramed(info.headers);
      response = {
        status: info.statusCode, rawHeaders: info.headers, chunks: [], bytes: 0, framed,
      };
      closesAfterResponse = !info.shouldKeepAlive;
      if (current === undefined) {
        destroy('the backend server sent a response while no request was pending');
      }

      // Returning 1 tells the parser that there is no body, whatever the headers say.
      return current?.method === 'HEAD' ? 1 : undefined;
    };

    responseParser[HTTPParser.kOnBody] = (bytes, offset, length) => {
      if (response === undefined) {
        return;
      }

      response.bytes += length;
      if (response.bytes > RESPONSE_MAX_BYTES) {
        destroy(`the response exceeds ${RESPONSE_MAX_BYTES} bytes`);
        return;
      }

      response.chunks.push(Buffer.from(bytes.subarray(offset, offset + length)));
    };

    responseParser[HTTPParser.kOnMessageComplete] = onComplete;
    return responseParser;
  };

  parser = createParser();

  const onData = (chunk: Buffer): void => {
    if (current === undefined) {
      destroy('the backend server sent data while no request was pending');
      return;
    }

    const outcome = parser.execute(chunk);
    if (outcome instanceof Error) {
      destroy(`the backend server sent an invalid HTTP response: ${outcome.message}`);
    }
  };

  /** A response without a declared length ends when the server closes the connection; a framed one is truncated by it. */
  const onEnd = (): void => {
    if (response !== undefined && !response.framed && current !== undefined) {
      options.onProtocolEvent('unframed-answer', current.requestId);
      closesAfterResponse = true;
      onComplete();
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
  socket.on('data', onData);
  socket.on('end', onEnd);
  socket.on('error', error => {
    cause ??= error.message;
  });
  socket.on('close', () => {
    clearTimeout(connectTimer);
    closed = true;
    parser = undefined as unknown as HTTPParserJS;
    options.onClosed(connection);
    finish(connected
      ? {kind: 'lost', cause: cause ?? 'the connection closed'}
      : {kind: 'not-sent', cause: cause ?? 'the connection could not be opened'});
  });

  const write = (exchange: Exchange): void => {
    socket.write(exchange.body.length === 0 ? serializeHead(exchange) : Buffer.concat([Buffer.from(serializeHead(exchange), 'latin1'), exchange.body]), 'latin1');
  };

  const connection: BackendConnection = {
    send(exchange) {
      if (closed || socket.destroyed) {
        exchange.onEnd({kind: 'not-sent', cause: 'the connection is closed'});
        return;
      }

      current = exchange;
      if (connected) {
        write(exchange);
      }
    },
    destroy,
    usableUntil: () => idleSince + idleTimeoutMs,
  };
  return connection;
};
