/** Guards against corrupted messages when frames arrive in chunks that differ from those in which they were sent. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createFrameReader, createFrameWriter, type Frame} from '../frame.js';
import type {Message} from '../../message.js';

const messages: Message[] = [
  {type: 'cancel', id: 7},
  {type: 'configuration-wanted'},
  {
    type: 'members',
    changes: {
      since: 0,
      revision: 4,
      listed: [{
        member: {
          node: 'à', address: '127.0.0.1:1', zone: 'z', service: 's',
        }, revision: 3,
      }],
      removed: [],
    },
  },
];

const sizes = [1, 2, 7, 8, 9, 64, 100_000];

for (const size of sizes) {
  test(`frames are decoded from chunks of ${size} bytes`, t => {
    const body = Buffer.from('body with \r\n and more');
    const writer = createFrameWriter();
    const bytes = Buffer.concat(messages.map((message, index) => writer.encode(message, index === 1 ? body : undefined)));
    const frames: Frame[] = [];
    const reader = createFrameReader(frame => {
      frames.push({message: frame.message, body: Buffer.from(frame.body)});
    });
    for (let start = 0; start < bytes.length; start += size) {
      reader.push(bytes.subarray(start, start + size));
    }

    t.deepEqual(frames.map(({message}) => message), messages);
    t.deepEqual(frames.map(frame => frame.body.toString()), ['', body.toString(), '']);
  });
}

for (const size of [1000, 4099, 65_536, 300_000]) {
  test(`long frames between short ones are decoded from chunks of ${size} bytes, with their head sent apart or not`, t => {
    const bodies = [Buffer.alloc(100_000, 'first '), Buffer.alloc(5), Buffer.alloc(70_000, 'second ')];
    const writer = createFrameWriter();
    const message: Message = {type: 'cancel', id: 7};
    const bytes = Buffer.concat(bodies.flatMap((body, index) => index === 0 ? [writer.encodeHead(message, body.length), body] : [writer.encode(message, body)]));
    const frames: Frame[] = [];
    const reader = createFrameReader(frame => {
      frames.push({message: frame.message, body: Buffer.from(frame.body)});
    });
    for (let start = 0; start < bytes.length; start += size) {
      reader.push(bytes.subarray(start, start + size));
    }

    t.deepEqual(frames.map(frame => frame.message), bodies.map(() => message));
    t.true(frames.every(({body}, index) => body.equals(bodies[index]!)));
  });
}

test('field names are sent once per connection', t => {
  const writer = createFrameWriter();
  const [first, second] = [writer.encode({type: 'cancel', id: 1}), writer.encode({type: 'cancel', id: 2})];
  t.true(second.length < first.length);
  t.false(second.includes('type'));
});

test('data of another protocol is an error instead of an endless wait', t => {
  const reader = createFrameReader(() => undefined);
  t.throws(() => {
    reader.push(Buffer.from('GET / HTTP/1.1\r\n\r\n'));
  }, {message: /outside of the protocol/u});
});
