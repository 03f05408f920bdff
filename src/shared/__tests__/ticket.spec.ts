/** Guards against tickets that can be forged or altered, which would let a request run at a second process. */
import test from 'ava';
import {issueTicket, readTicket} from '../ticket.js';

const KEY = 'test-key';
const binding = {
  service: 'chiuse', host: 'c1.north', incarnation: 'i 1', address: '127.0.0.1:7001', expiresAt: 1000,
};

test('a ticket reads back as it was issued', t => {
  const read = readTicket(issueTicket(binding, KEY), KEY);
  t.is(read.kind, 'ok');
  t.like(read, {value: binding});
});

const invalidTickets: Array<[title: string, change: (ticket: string) => string, kind: string]> = [
  ['another host', ticket => ticket.replace('c1%2Enorth', 'c2%2Enorth'), 'forged-ticket'],
  ['a later expiry', ticket => ticket.replace('.1000.', '.9999.'), 'forged-ticket'],
  ['a cut message authentication code', ticket => ticket.slice(0, -1), 'forged-ticket'],
  ['a missing part', ticket => ticket.split('.').slice(1).join('.'), 'malformed-ticket'],
  ['no content', () => '', 'malformed-ticket'],
];

for (const [title, change, kind] of invalidTickets) {
  test(`a ticket with ${title} is rejected`, t => {
    t.like(readTicket(change(issueTicket(binding, KEY)), KEY), {kind: 'error', error: {kind}});
  });
}
