/** One HTTP/1.1 connection to the backend server, with one exchange at a time. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {HTTPParser, type HTTPParserJS} from 'http-parser-js';
import {splitAddress} from '../shared/address.js';
import type {HeldBytes, Reservation} from './held-bytes.js';
import type {HttpDialect} from './http-dialect.js';
import {findHeadFault, isReasonPhrase} from './response-head.js';

// Reads heads with one character for each byte. The parser's default clears the highest bit, which turns bytes of other encodings into control characters.
HTTPParser.encoding = 'latin1';

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
  /** Bound on the response bytes that are held over all connections. */
  heldBytes: HeldBytes;
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
/** Bytes that a response may have besides its body, for heads, informational responses, chunk sizes and trailers. */
const OVERHEAD_MAX_BYTES = 128 * 1024;
/** Further such bytes for each byte of the body; a body in chunks of one byte has five. */
const OVERHEAD_PER_BODY_BYTE = 8;
const FIRST_FINAL_STATUS = 200;

/** Position of the parser, which its type declarations leave out: the incomplete line, and what is expected next. */
type ParserPosition = {line: string; state: string};

/** Response whose end has not been received. */
type PartialResponse = {status: number; rawHeaders: string[]; chunks: Buffer[]; framed: boolean};

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
  /** Response that is complete but not handed over yet, because its last bytes are still being parsed. */
  let completed: PartialResponse | undefined;
  let reservation: Reservation = options.heldBytes.reserve();
  /** Bytes received and body bytes since the request was sent. */
  let receivedBytes = 0;
  let bodyBytes = 0;
  let exchanges = 0;
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
    reservation.release();
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
    reservation.release();
  };

  /** Whether the bytes after the last response belong to none; they may be the beginning of a second copy of it. */
  const hasLeftoverBytes = (): boolean => {
    const {line, state} = parser as unknown as ParserPosition;
    return line !== '' || state !== 'RESPONSE_LINE';
  };

  const handOver = ({status, rawHeaders, chunks, framed}: PartialResponse): void => {
    const exchange = current!;
    const metadata = dialect.readResponse(status, rawHeaders);
    const mayReuse = !closesAfterResponse && !hasLeftoverBytes() && !metadata.closesConnection && socket.writableLength === 0 && !socket.destroyed;
    idleTimeoutMs = metadata.keepAliveMs === undefined ? IDLE_TIMEOUT_DEFAULT_MS : Math.max(0, metadata.keepAliveMs - IDLE_MARGIN_MS);
    idleSince = now();
    current = undefined;
    completed = undefined;
    const body = Buffer.concat(chunks);
    reservation.release();
    if (mayReuse) {
      options.onIdle(connection);
    } else {
      destroy('the backend server does not keep the connection open');
    }

    exchange.onEnd({
      kind: 'answered', status, rawHeaders, body, framed,
    });
  };

  const onComplete = (): void => {
    if (response === undefined || response.status < FIRST_FINAL_STATUS) {
      response = undefined;
      return;
    }

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
      skipMismatchedResponse(requestId);
      return;
    }

    completed = response;
    response = undefined;
  };

  /** Closes the connection to a backend server that sends more than a response may have. */
  const refuseEndless = (reason: string): void => {
    options.onProtocolEvent('answer-too-long', current?.requestId);
    response = undefined;
    destroy(reason);
  };

  /** Closes the connection after a head that cannot be passed on; nothing of its response is kept. */
  const refuseHead = (fault: string): void => {
    options.onProtocolEvent('answer-head-invalid', current?.requestId);
    response = undefined;
    destroy(`the backend server sent an invalid response head: ${fault}`);
  };

  const createParser = (): HTTPParserJS => {
    const responseParser = new HTTPParser(HTTPParser.RESPONSE);
    responseParser[HTTPParser.kOnHeadersComplete] = info => {
      // The rest of a chunk is still parsed after its connection has been given up.
      if (socket.destroyed) {
        return 1;
      }

      const fault = findHeadFault({status: info.statusCode, rawHeaders: info.headers})
        ?? (isReasonPhrase(info.statusMessage) ? undefined : 'its reason phrase contains a control character');
      if (fault !== undefined) {
        refuseHead(fault);
        return 1;
      }

      const framed = isFramed(info.headers);
      response = {
        status: info.statusCode, rawHeaders: info.headers, chunks: [], framed,
      };
      closesAfterResponse ||= !info.shouldKeepAlive;

      // Returning 1 tells the parser that there is no body, whatever the headers say.
      return current?.method === 'HEAD' ? 1 : undefined;
    };

    responseParser[HTTPParser.kOnBody] = (bytes, offset, length) => {
      if (response === undefined) {
        return;
      }

      bodyBytes += length;
      if (!reservation.add(length)) {
        refuseEndless('the response is longer than a process may hold');
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

    receivedBytes += chunk.length;
    const outcome = parser.execute(chunk);
    if (completed !== undefined) {
      handOver(completed);
    } else if (outcome instanceof Error) {
      destroy(`the backend server sent an invalid HTTP response: ${outcome.message}`);
    } else if (receivedBytes - bodyBytes > OVERHEAD_MAX_BYTES + (OVERHEAD_PER_BODY_BYTE * bodyBytes)) {
      refuseEndless('the backend server sends bytes that belong to no response body without end');
    }
  };

  /** A response without a declared length ends when the server closes the connection; a framed one is truncated by it. */
  const onEnd = (): void => {
    if (response !== undefined && !response.framed && current !== undefined) {
      options.onProtocolEvent('unframed-answer', current.requestId);
      closesAfterResponse = true;
      onComplete();
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
      exchanges++;
      receivedBytes = 0;
      bodyBytes = 0;
      reservation = options.heldBytes.reserve();
      if (connected) {
        write(exchange);
      }
    },
    destroy,
    usableUntil: () => idleSince + idleTimeoutMs,
  };
  return connection;
};
