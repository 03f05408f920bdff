/** Checks each line of a response as it was received. The parser skips, joins or shortens lines that it cannot read, so nothing of them can be seen in what it returns. */
import {isHeaderName, isHeaderValue} from '../entry/response-head.js';

/** What the parser expects when it takes a line; its own names. */
export type ExpectedLine = 'RESPONSE_LINE' | 'HEADER' | 'BODY_CHUNKHEAD' | 'BODY_CHUNKEMPTYLINE' | 'BODY_CHUNKTRAILERS';

/** Line of a response before the parser reads it. */
export type ReceivedLine = {
  expected: ExpectedLine;
  /** Line without its end; one character for each byte. */
  text: string;
  /** Whether a field of the same head or trailer section stands before it. */
  followsField: boolean;
};

/** Status 100 to 599. Servers may leave out the blank before an empty reason phrase. */
const STATUS_LINE = /^HTTP\/1\.\d [1-5]\d\d(?: (.*))?$/u;
const STATUS_LINE_BEGINNING = 'HTTP/1.';
const CHUNK_SIZE_LINE = /^[\da-f]{1,12}[\t ]*(?:;.*)?$/iu;
/** A line with a colon may just as well be a field whose name begins with a blank, and one without text the end of the head, so neither continues a field. */
const CONTINUATION = /^[\t ]+[^\t :][^:]*$/u;

const isStatusLine = (text: string): boolean => {
  const match = STATUS_LINE.exec(text);
  return match !== null && isHeaderValue(match[1] ?? '');
};

const isField = (text: string): boolean => {
  const colon = text.indexOf(':');
  return isHeaderName(text.slice(0, Math.max(0, colon))) && isHeaderValue(text.slice(colon + 1));
};

const isFieldLine = ({text, followsField}: ReceivedLine): boolean =>
  text === '' || isField(text) || (followsField && CONTINUATION.test(text) && isHeaderValue(text));

/** Whether HTTP allows a line where it stands. */
export const isResponseLine = (line: ReceivedLine): boolean => {
  const {expected, text} = line;
  switch (expected) {
    case 'RESPONSE_LINE': {
      // The parser skips empty lines before a response.
      return text === '' || isStatusLine(text);
    }

    case 'HEADER':
    case 'BODY_CHUNKTRAILERS': {
      return isFieldLine(line);
    }

    case 'BODY_CHUNKHEAD': {
      return CHUNK_SIZE_LINE.test(text) && isHeaderValue(text);
    }

    case 'BODY_CHUNKEMPTYLINE': {
      return text === '';
    }
  }
};

/** Whether a status line may begin with a text, so that it is worth waiting for the rest. */
export const mayBeginStatusLine = (text: string): boolean =>
  text === '\r' || text.startsWith(STATUS_LINE_BEGINNING) || STATUS_LINE_BEGINNING.startsWith(text);
