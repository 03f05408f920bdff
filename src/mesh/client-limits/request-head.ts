/** Size of the head of a request, on the wire and in memory. */
import type {IncomingMessage} from 'node:http';

type Head = Pick<IncomingMessage, 'rawHeaders' | 'method' | 'url'>;

/** Memory of a request and its response beside header lines, in bytes. */
const REQUEST_BYTES = 4 * 1024;
/** Memory of a header line beside its text, in the lists of the parser, of the forwarded request and of the call, in bytes. */
const HEADER_LINE_BYTES = 144;

/** Bytes of the header lines on the wire, with the shortest separators: a colon and a line end. */
export const headBytes = ({rawHeaders}: Pick<Head, 'rawHeaders'>): number => {
  let bytes = 0;
  for (const text of rawHeaders) {
    bytes += text.length;
  }

  return bytes + (3 * rawHeaders.length / 2);
};

/** Memory that a request takes before its body, in bytes. */
export const headCost = (head: Pick<Head, 'rawHeaders'>): number => REQUEST_BYTES + (HEADER_LINE_BYTES * head.rawHeaders.length / 2) + headBytes(head);
