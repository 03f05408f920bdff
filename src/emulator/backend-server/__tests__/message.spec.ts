/** Guards against truncated or altered responses being counted as whole. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {checkMessage, encodeMessage, type MessageCheck} from '../message.js';

const message = encodeMessage('r1', 'chiuse', 50);

const cases: Array<[title: string, body: Buffer, kind: MessageCheck['kind']]> = [
  ['as sent', message, 'whole'],
  ['cut in the payload', message.subarray(0, -1), 'truncated'],
  ['cut in the head', message.subarray(0, 10), 'truncated'],
  ['without content', Buffer.alloc(0), 'truncated'],
  ['with another payload', Buffer.concat([message.subarray(0, -1), Buffer.from('#')]), 'truncated'],
  ['with another id in its head', Buffer.from(message.toString().replace('"id":"r1"', '"id":"r2"')), 'truncated'],
];

for (const [title, body, kind] of cases) {
  test(`a message ${title} is ${kind}`, t => {
    t.is(checkMessage(body).kind, kind);
  });
}
