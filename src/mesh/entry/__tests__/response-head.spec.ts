/** Guards against heads that Node refuses to write, which ended the process that passed them on, and against refusing heads that are sound. */
import {ServerResponse, IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import test from 'ava';
import {findHeadFault} from '../response-head.js';

const ALL_BYTES = Array.from({length: 256}, (_, code) => String.fromCodePoint(code));

/** Whether Node's HTTP server writes a head. */
const canWrite = (status: number, rawHeaders: string[]): boolean => {
  const response = new ServerResponse(new IncomingMessage(new Socket()));
  try {
    response.writeHead(status, rawHeaders);
    return true;
  } catch {
    return false;
  }
};

const cases: Array<{title: string; status?: number; rawHeaders?: string[]; sound: boolean}> = [
  {title: 'an ordinary head', rawHeaders: ['Content-Type', 'text/plain'], sound: true},
  {title: 'a value in UTF-8, one character for each byte', rawHeaders: ['X-Motif', '\u00C3\u0089cole'], sound: true},
  {title: 'a value in Latin-1', rawHeaders: ['X-Motif', '\u00C9cole'], sound: true},
  {title: 'an empty value', rawHeaders: ['X-Empty', ''], sound: true},
  {title: 'a tab in a value', rawHeaders: ['X-Tab', 'a\tb'], sound: true},
  {title: 'a control character in a value', rawHeaders: ['Content-Type', 'text/\u0001lain'], sound: false},
  {title: 'a line feed in a value', rawHeaders: ['X-Split', 'a\nX-Other: b'], sound: false},
  {title: 'a character that is no byte', rawHeaders: ['X-Wide', '\u2013'], sound: false},
  {title: 'a control character in a name', rawHeaders: ['Content\u0001Type', 'text/plain'], sound: false},
  {title: 'an empty name', rawHeaders: ['', 'x'], sound: false},
  {title: 'the lowest status', status: 100, sound: true},
  {title: 'the highest status', status: 599, sound: true},
  {title: 'a status below the range', status: 99, sound: false},
  {title: 'a status above the range', status: 600, sound: false},
  {title: 'a status that is no number', status: Number.NaN, sound: false},
];

for (const {title, status = 200, rawHeaders = [], sound} of cases) {
  test(`${title} is ${sound ? 'passed on' : 'refused'}`, t => {
    t.is(findHeadFault({status, rawHeaders}) === undefined, sound);
  });
}

test('every byte in a name or a value that is accepted can be written by Node', t => {
  for (const byte of ALL_BYTES) {
    for (const rawHeaders of [['X-Value', `a${byte}b`], [`X${byte}Name`, 'a']]) {
      t.is(findHeadFault({status: 200, rawHeaders}) === undefined, canWrite(200, rawHeaders), `for ${JSON.stringify(rawHeaders)}`);
    }
  }
});
