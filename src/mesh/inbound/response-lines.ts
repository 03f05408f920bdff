/** Checks each line of a response as it was received. The parser skips, joins or shortens lines that it cannot read, so nothing of them can be seen in what it returns. */
import {isHeaderValue} from '../entry/response-head.js';

/** Line of a response before the parser reads it. */
export type ReceivedLine = {
  /** What the parser expects; its own names. */
  expected: string;
  /** Line without its end; one character for each byte. */
  text: string;
};

/** Status 100 to 599. Servers may leave out the blank before an empty reason phrase. */
const STATUS_LINE = /^HTTP\/1\.\d [1-5]\d\d(?: (.*))?$/u;
const CHUNK_SIZE_LINE = /^[\da-f]{1,12}[\t ]*(?:;.*)?$/iu;
/** A field, the continuation of one, or the empty line at the end. */
const FIELD_LINE = /^(?:[^\s:]+:.*|[\t ].*|)$/u;

const isStatusLine = (text: string): boolean => {
  const match = STATUS_LINE.exec(text);
  return match !== null && isHeaderValue(match[1] ?? '');
};

/** Whether HTTP allows a line where it stands. */
export const isResponseLine = ({expected, text}: ReceivedLine): boolean => {
  switch (expected) {
    case 'RESPONSE_LINE': {
      // The parser skips empty lines before a response.
      return text === '' || isStatusLine(text);
    }

    case 'HEADER':
    case 'BODY_CHUNKTRAILERS': {
      return FIELD_LINE.test(text);
    }

    case 'BODY_CHUNKHEAD': {
      return CHUNK_SIZE_LINE.test(text);
    }

    default: {
      return true;
    }
  }
};
