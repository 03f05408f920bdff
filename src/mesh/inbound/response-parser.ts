/** Parses the responses on one connection to the backend server, and bounds what an incomplete response may hold and how much work it may cause. */
import type {Buffer} from 'node:buffer';
import {HTTPParser} from 'http-parser-js';
import {FIRST_FINAL_STATUS} from '../../shared/http-status.js';
import {createBodyBuffer, type BodyBuffer} from '../body-buffer.js';
import type {HeldBytes, Reservation} from '../held-bytes.js';
import {readFraming} from './response-framing.js';
import {isResponseLine, mayBeginStatusLine, type ExpectedLine} from './response-lines.js';

// Reads heads with one character for each byte. The parser's default clears the highest bit, which turns bytes of other encodings into control characters.
HTTPParser.encoding = 'latin1';

/** Response of which the head has been received. `framed`: its end is known without that of the connection, which may be a truncation. */
export type ParsedResponse = {status: number; rawHeaders: string[]; body: BodyBuffer; framed: boolean; keepsConnection: boolean};

/** Why a connection cannot be used any more. */
export type ResponseFault = {kind: 'head-invalid' | 'too-long' | 'not-http'; message: string};

/** Parser of one connection. After a fault, nothing more is parsed or handed over. */
export type ResponseParser = {
  /** Starts to count for the response to a request that is being sent. */
  begin: (request: {isHead: boolean}) => void;
  /** Parses bytes; returns the fault that they have. */
  parse: (bytes: Buffer) => ResponseFault | undefined;
  /** Pieces in which the body of the current response has arrived; each takes about the same time to parse, whatever its length. */
  pieces: () => number;
  /** Bytes of the body of the current response so far. */
  bodyBytes: () => number;
  /** Whether the head of a response has arrived whose body ends with the connection. */
  awaitsEndOfConnection: () => boolean;
  /** Hands over a response that the end of the connection completes; returns whether there was one. */
  endOfConnection: () => boolean;
  /** Whether bytes of a further response have arrived. */
  hasPartialResponse: () => boolean;
  /** Releases what the current response holds. */
  release: () => void;
};

/** Options of the parser. */
export type ResponseParserOptions = {
  heldBytes: HeldBytes;
  /** Called with each complete response, and with the bytes of its body if it has one; informational responses are left out. */
  onResponse: (response: ParsedResponse) => void;
};

/** Longest response body, in bytes. */
const BODY_MAX_BYTES = 16 * 1024 * 1024;
/** Bytes that a response may have besides its body, for heads, informational responses, chunk sizes and trailers. */
const OVERHEAD_MAX_BYTES = 128 * 1024;
/** Further such bytes for each byte of the body; a body in chunks of one byte has five. */
const OVERHEAD_PER_BODY_BYTE = 8;
/** Pieces that a response body may arrive in. Parsing that many takes about a second of processor time. */
const PIECES_MAX = 1024 * 1024;
/** Bytes of the body for each piece beyond `PIECES_MAX`. */
const BODY_BYTES_PER_FURTHER_PIECE = 64;
/** Longest line of a head, a chunk size or a trailer, in bytes. */
const LINE_MAX_BYTES = 64 * 1024;
/** Carriage return and line feed. The parser takes a line feed alone as well, but a response with one in the place of the other would end its head there. */
const LINE_END_BYTES = 2;
/** Header and trailer lines of a response; Node's server reads as many of a request. */
const FIELDS_MAX = 2000;
/** Memory of a string besides its characters, in bytes. */
const STRING_OVERHEAD_BYTES = 32;

/** Parts of the parser that its type declarations leave out: the incomplete line, what is expected next, the headers and trailers so far, how far the received bytes have been read, and the function that takes the next complete line. */
type ParserState = {line: string; state: ExpectedLine | 'BODY_RAW' | 'BODY_SIZED' | 'BODY_CHUNK'; info: {headers: string[]}; trailers: string[]; offset: number; consumeLine: () => string | undefined};

const headBytes = (rawHeaders: readonly string[]): number => {
  let bytes = 0;
  for (const text of rawHeaders) {
    bytes += text.length + STRING_OVERHEAD_BYTES;
  }

  return bytes;
};

/** Tells the parser that a response has no body, whatever its headers say. */
const SKIP_BODY = 1;

const isHeadLine = (expected: ExpectedLine): boolean => expected === 'RESPONSE_LINE' || expected === 'HEADER';

/** Creates a parser; `begin` is called before the first response. */
export const createResponseParser = ({heldBytes, onResponse}: ResponseParserOptions): ResponseParser => {
  const parser = new HTTPParser(HTTPParser.RESPONSE);
  const state = parser as unknown as ParserState;
  let reservation: Reservation = heldBytes.reserve();
  let response: ParsedResponse | undefined;
  let fault: ResponseFault | undefined;
  let isHead = false;
  let pieces = 0;
  let receivedBytes = 0;
  let bodyBytes = 0;

  const release = (): void => {
    response = undefined;
    reservation.release();
  };

  const refuse = (kind: ResponseFault['kind'], message: string): void => {
    fault ??= {kind, message};
    release();
  };

  const finish = (): void => {
    const finished = response;
    response = undefined;
    if (finished === undefined) {
      return;
    }

    if (finished.status < FIRST_FINAL_STATUS) {
      reservation.release();
    } else {
      onResponse(finished);
    }
  };

  /** Finds lines and fields that grow without end. */
  const checkFraming = (): void => {
    const fields = (state.info.headers.length + state.trailers.length) / 2;
    if (state.line.length > LINE_MAX_BYTES || fields > FIELDS_MAX || receivedBytes - bodyBytes > OVERHEAD_MAX_BYTES + (OVERHEAD_PER_BODY_BYTE * bodyBytes)) {
      refuse('too-long', 'the backend server sends bytes that belong to no response body without end');
    }
  };

  /** Finds bytes that no end of a line makes a response, so that a caller does not wait for it. */
  const checkStatusLine = (): void => {
    if (state.state === 'RESPONSE_LINE' && !mayBeginStatusLine(state.line)) {
      refuse('not-http', `the backend server sent bytes that begin no response: ${JSON.stringify(state.line.slice(0, 80))}`);
    }
  };

  /** Fields of the section that is being received, the head or the trailers. */
  const sectionFields = (): string[] => state.state === 'BODY_CHUNKTRAILERS' ? state.trailers : state.info.headers;

  const consumeLine = state.consumeLine.bind(state);
  // The parser takes a line in the states that expect one.
  state.consumeLine = () => {
    const expected = state.state as ExpectedLine;
    const receivedChars = state.line.length - state.offset;
    const text = consumeLine();
    if (text === undefined) {
      return undefined;
    }

    const endBytes = receivedChars + state.offset - text.length;
    if (endBytes !== LINE_END_BYTES || !isResponseLine({expected, text, followsField: sectionFields().length > 0})) {
      const message = `the backend server sent an invalid line: ${JSON.stringify(text.slice(0, 80))}`;
      refuse(isHeadLine(expected) ? 'head-invalid' : 'not-http', message);
      throw new Error(message);
    }

    return text;
  };

  parser[HTTPParser.kOnHeadersComplete] = info => {
    if (fault !== undefined) {
      return SKIP_BODY;
    }

    const framing = readFraming({
      isHead, status: info.statusCode, versionMinor: info.versionMinor, rawHeaders: info.headers,
    });
    if (framing.kind === 'invalid') {
      refuse('head-invalid', `the backend server sent an invalid response head: ${framing.message}`);
      return SKIP_BODY;
    }

    if (!reservation.add(headBytes(info.headers))) {
      refuse('too-long', 'the head of the response exceeds the memory that a process may hold');
      return SKIP_BODY;
    }

    response = {
      status: info.statusCode,
      rawHeaders: info.headers,
      body: createBodyBuffer({reservation, lengthMax: BODY_MAX_BYTES, statedLength: framing.kind === 'length' ? framing.bytes : undefined}),
      framed: framing.kind !== 'connection',
      keepsConnection: info.shouldKeepAlive,
    };
    return framing.kind === 'bodiless' ? SKIP_BODY : undefined;
  };

  parser[HTTPParser.kOnBody] = (bytes, offset, length) => {
    if (response === undefined) {
      return;
    }

    pieces++;
    bodyBytes += length;
    const outcome = response.body.append(length === bytes.length ? bytes : bytes.subarray(offset, offset + length));
    if (outcome !== 'appended') {
      refuse('too-long', 'the response is longer than a process may hold');
    } else if (pieces > PIECES_MAX + (bodyBytes / BODY_BYTES_PER_FURTHER_PIECE)) {
      refuse('too-long', 'the response consists of too many small chunks; the backend server must send longer ones');
    }
  };

  parser[HTTPParser.kOnMessageComplete] = finish;

  const awaitsEndOfConnection = (): boolean => response !== undefined && !response.framed;

  return {
    begin(request) {
      isHead = request.isHead;
      pieces = 0;
      receivedBytes = 0;
      bodyBytes = 0;
      reservation = heldBytes.reserve();
    },
    parse(bytes) {
      receivedBytes += bytes.length;
      const outcome = parser.execute(bytes);
      if (outcome instanceof Error) {
        refuse('not-http', `the backend server sent an invalid HTTP response: ${outcome.message}`);
      } else {
        checkFraming();
        checkStatusLine();
      }

      return fault;
    },
    pieces: () => pieces,
    bodyBytes: () => bodyBytes,
    awaitsEndOfConnection,
    endOfConnection() {
      if (!awaitsEndOfConnection()) {
        return false;
      }

      finish();
      return true;
    },
    hasPartialResponse: () => state.line !== '' || state.state !== 'RESPONSE_LINE',
    release,
  };
};
