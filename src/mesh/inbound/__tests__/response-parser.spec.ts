/** Guards against a response that is taken as an answer although one of its bytes was replaced by a control character. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createHeldBytes} from '../../held-bytes.js';
import {createResponseParser} from '../response-parser.js';

const TAB = 9;
const CONTROL_BYTES = [...Array.from({length: 32}, (_, byte) => byte), 127].filter(byte => byte !== TAB);
const BODY = 'whole';
/** Length of the pieces in which a response arrives, in bytes; lines are split between them. */
const PIECE_BYTES = 7;

/** Body of a response whose connection ends in order after its last byte; undefined when it is no answer. */
const parse = (bytes: Buffer): string | undefined => {
  let body: string | undefined;
  const parser = createResponseParser({
    heldBytes: createHeldBytes({totalMax: 1_000_000}),
    onResponse(response) {
      body ??= response.body.toBuffer().toString();
    },
  });
  parser.begin({isHead: false});
  const pieces = Array.from({length: Math.ceil(bytes.length / PIECE_BYTES)}, (_, index) => bytes.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES));
  if (pieces.some(piece => body === undefined && parser.parse(piece) !== undefined)) {
    return undefined;
  }

  parser.endOfConnection();
  return body;
};

const responses: Array<{title: string; text: string}> = [
  {title: 'with a length', text: `HTTP/1.1 200 OK\r\nX-Motif: a\r\nX-Folded: a\r\n b\r\nContent-Length: 5\r\n\r\n${BODY}`},
  {title: 'in chunks', text: `HTTP/1.1 200 OK\r\nX-Motif: a\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\n${BODY}\r\n0\r\nX-After: 1\r\n\r\n`},
  {title: 'without a length', text: `HTTP/1.1 503 Busy\r\nX-Motif: a\r\n\r\n${BODY}`},
  {title: 'behind an informational one', text: `HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n${BODY}`},
];

for (const {title, text} of responses) {
  test(`a response ${title} is no answer with a control byte in the place of any of its bytes`, t => {
    t.is(parse(Buffer.from(text)), BODY);
    const bodyStart = text.indexOf(BODY);
    const places = [...text].map((_, index) => index).filter(index => index < bodyStart || index >= bodyStart + BODY.length);
    for (const place of places) {
      for (const byte of CONTROL_BYTES.filter(other => other !== text.codePointAt(place))) {
        const bytes = Buffer.from(text);
        bytes[place] = byte;
        t.is(parse(bytes), undefined, `byte ${place} replaced by ${byte}`);
      }
    }
  });
}
