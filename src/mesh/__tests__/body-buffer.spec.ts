/** Guards against bodies that are put together wrongly, hold more than is reserved for them, or exceed their bounds. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {createBodyBuffer, type AppendOutcome} from '../body-buffer.js';
import {createHeldBytes} from '../held-bytes.js';
import {createTurnQueue} from '../turn-queue.js';

const pattern = (length: number): Buffer => Buffer.from(Array.from({length}, (_, index) => index % 251));

const split = (bytes: Buffer, size: number): Buffer[] =>
  Array.from({length: Math.ceil(bytes.length / size)}, (_, index) => bytes.subarray(index * size, (index + 1) * size));

const sizes: Array<{title: string; length: number; piece: number}> = [
  {title: 'no bytes', length: 0, piece: 1},
  {title: 'one piece', length: 5000, piece: 5000},
  {title: 'pieces of one byte', length: 70_000, piece: 1},
  {title: 'pieces that cross the ends of blocks', length: 3_000_000, piece: 4099},
  {title: 'pieces that are longer than a block', length: 5_000_000, piece: 1_500_000},
];

for (const {title, length, piece} of sizes) {
  test(`a body of ${title} is returned unchanged, and little more than its length is reserved`, t => {
    const heldBytes = createHeldBytes({totalMax: 100_000_000});
    const reservation = heldBytes.reserve();
    const body = createBodyBuffer({reservation, lengthMax: 10_000_000});
    const sent = pattern(length);
    t.true(split(sent, piece).every(bytes => body.append(bytes) === 'appended'));
    t.true(body.toBuffer().equals(sent));
    t.true(heldBytes.total() >= length && heldBytes.total() <= (1.25 * length) + 2048, `${heldBytes.total()} bytes are reserved`);
    reservation.release();
    t.is(heldBytes.total(), 0);
  });
}

const statedLengths: Array<{title: string; stated: number}> = [
  {title: 'its length', stated: 300_000},
  {title: 'less than its length', stated: 100_000},
  {title: 'more than its length', stated: 400_000},
  {title: 'more than may be held', stated: 2_000_000},
];

for (const {title, stated} of statedLengths) {
  test(`a body whose sender states ${title} is returned unchanged`, t => {
    const heldBytes = createHeldBytes({totalMax: 1_000_000});
    const reservation = heldBytes.reserve();
    const body = createBodyBuffer({reservation, lengthMax: 3_000_000, statedLength: stated});
    const sent = pattern(300_000);
    t.true(split(sent, 8192).every(bytes => body.append(bytes) === 'appended'));
    t.true(body.toBuffer().equals(sent));
    reservation.release();
    t.is(heldBytes.total(), 0);
  });
}

const bounds: Array<{title: string; lengthMax: number; totalMax: number; length: number; expected: AppendOutcome}> = [
  {
    title: 'a body of the longest length, where no more is left', lengthMax: 100_000, totalMax: 100_000, length: 100_000, expected: 'appended',
  },
  {
    title: 'a body that is one byte longer', lengthMax: 100_000, totalMax: 1_000_000, length: 100_001, expected: 'too-long',
  },
  {
    title: 'a body for which the process has no memory', lengthMax: 100_000, totalMax: 50_000, length: 100_000, expected: 'memory-full',
  },
];

for (const {title, lengthMax, totalMax, length, expected} of bounds) {
  test(`${title} is ${expected}`, t => {
    const heldBytes = createHeldBytes({totalMax});
    const body = createBodyBuffer({reservation: heldBytes.reserve(), lengthMax});
    const outcomes = split(pattern(length), 997).map(piece => body.append(piece));
    t.is(outcomes.find(outcome => outcome !== 'appended') ?? 'appended', expected);
    t.true(heldBytes.total() <= totalMax);
  });
}

test('one task runs in each turn of the event loop, in their order', async t => {
  const queue = createTurnQueue();
  const ran: string[] = [];
  queue.add(() => {
    ran.push('a');
    queue.add(() => {
      ran.push('c');
    });
  });
  queue.add(() => {
    ran.push('b');
  });
  const seen: string[] = [];
  for (let turns = 0; turns < 4; turns++) {
    // eslint-disable-next-line no-await-in-loop
    await new Promise<void>(resolve => {
      setImmediate(resolve);
    });
    seen.push(ran.join(''));
  }

  t.deepEqual(seen, ['a', 'ab', 'abc', 'abc']);
});
