/** Guards against truncated or reordered bodies on a replay, unbounded memory use, and budget that is not returned. */
import {Buffer} from 'node:buffer';
import {PassThrough, type Readable} from 'node:stream';
import test from 'ava';
import {
  createReplayBody, createReplayBudget, emptyBody, readAll, type ReplayBudget,
} from '../replay-body.js';

const ANY = 1_000_000;

const setUp = (options: {limit?: number; budget?: ReplayBudget} = {}) => {
  const source = new PassThrough();
  const budget = options.budget ?? createReplayBudget(ANY);
  let firstOpens = 0;
  const body = createReplayBody({
    source, hasBody: true, limit: options.limit ?? ANY, budget, onFirstOpen() {
      firstOpens++;
    },
  });
  return {
    source, budget, body, firstOpens: () => firstOpens,
  };
};

const textOf = async (stream: Readable | undefined): Promise<string> => (await readAll(stream!, ANY))!.toString();

/** Bytes that can still be reserved from a budget, up to `size`. */
const availableIn = (budget: ReplayBudget, size: number): number => {
  const left = Array.from({length: size + 1}, (_, index) => size - index).find(bytes => budget.reserve(bytes)) ?? 0;
  budget.release(left);
  return left;
};

const settle = async () => new Promise(resolve => {
  setImmediate(resolve);
});

test('a body that was sent completely can be sent again completely', async t => {
  const {source, body, firstOpens} = setUp();
  t.true(body.replayable());
  const first = textOf(body.open());
  source.write('one ');
  source.end('two');
  t.is(await first, 'one two');
  t.true(body.consumed());
  t.true(body.replayable());
  t.is(await textOf(body.open()), 'one two');
  t.is(firstOpens(), 1);
});

test('a body that is reopened while it arrives has no missing and no repeated bytes', async t => {
  const {source, body} = setUp();
  const first = body.open()!;
  first.on('error', () => undefined);
  first.resume();
  source.write('one ');
  await settle();
  const second = textOf(body.open());
  t.true(first.destroyed);
  source.end('two');
  t.is(await second, 'one two');
});

test('nothing is read before the first open, so that a client that waits for 100 Continue does not send its body needlessly', async t => {
  const {source, body, firstOpens} = setUp();
  source.write('one');
  await settle();
  t.is(firstOpens(), 0);
  t.is(source.readableLength, 3);
  t.true(body.replayable());
});

const bounds: Array<[title: string, limit: number, budget: number, replayable: boolean]> = [
  ['exactly the limit per call', 10, ANY, true],
  ['one byte beyond the limit per call', 9, ANY, false],
  ['exactly the budget of the process', ANY, 10, true],
  ['one byte beyond the budget of the process', ANY, 9, false],
];

for (const [title, limit, budgetBytes, replayable] of bounds) {
  test(`a body of ${title} is ${replayable ? '' : 'not '}replayable, arrives complete and returns its budget`, async t => {
    const budget = createReplayBudget(budgetBytes);
    const {source, body} = setUp({limit, budget});
    const text = textOf(body.open());
    source.write('12345');
    source.end('67890');
    t.is(await text, '1234567890');
    t.is(body.replayable(), replayable);
    t.is(availableIn(budget, 10), replayable ? Math.min(10, budgetBytes - 10) : Math.min(10, budgetBytes));
    body.release();
    body.release();
    t.is(availableIn(budget, 20), Math.min(20, budgetBytes));
    t.false(body.replayable());
  });
}

test('calls share the budget, and a released body makes its bytes available', async t => {
  const budget = createReplayBudget(5);
  const [a, b, c] = [setUp({budget}), setUp({budget}), setUp({budget})];
  for (const {source, body} of [a, b]) {
    const text = textOf(body.open());
    source.end('12345');
    await text; // eslint-disable-line no-await-in-loop
  }

  t.deepEqual([a.body.replayable(), b.body.replayable()], [true, false]);
  a.body.release();
  const text = textOf(c.body.open());
  c.source.end('12345');
  await text;
  t.true(c.body.replayable());
});

test('a client that closes early fails the open stream, which must not end like a complete body', async t => {
  const {source, body} = setUp();
  const text = textOf(body.open());
  source.write('one');
  await settle();
  source.destroy();
  await t.throwsAsync(text, {message: /closed the connection before the request body was complete/u});
  t.false(body.replayable());
  t.false(body.consumed());
  await t.throwsAsync(textOf(body.open()), {message: /closed the connection/u});
});

test('an error of the source fails the open stream', async t => {
  const {source, body} = setUp();
  const text = textOf(body.open());
  source.destroy(new Error('reset'));
  await t.throwsAsync(text, {message: 'reset'});
  t.false(body.replayable());
});

test('opening a body whose client has already closed fails', async t => {
  const {source, body} = setUp();
  source.write('one');
  source.destroy();
  await settle();
  const stream = body.open()!;
  const failed = new Promise<boolean | undefined>(resolve => {
    stream.on('error', () => {
      resolve(true);
    });
    stream.on('end', () => {
      resolve(false);
    });
    // A stream that neither fails nor ends would leave the call waiting for its deadline.
    setImmediate(() => {
      setImmediate(resolve, undefined);
    });
  });
  stream.resume();
  t.is(await failed, true);
});

test('a slow reader pauses the client', async t => {
  const {source, body} = setUp({limit: 0});
  const stream = body.open()!;
  for (let chunk = 0; chunk < 8; chunk++) {
    source.write(Buffer.alloc(64 * 1024));
  }

  await settle();
  t.true(source.isPaused());
  source.end();
  t.is((await readAll(stream, ANY))!.length, 8 * 64 * 1024);
});

test('a request without a body does not wait for one', t => {
  const body = createReplayBody({
    source: new PassThrough(), hasBody: false, limit: 1, budget: createReplayBudget(1),
  });
  t.is(body, emptyBody);
  t.is(body.open(), undefined);
  t.true(body.replayable());
});

const reads: Array<[limit: number, expected: string | undefined]> = [[4, undefined], [5, '12345']];
for (const [limit, expected] of reads) {
  test(`reading 5 bytes with a limit of ${limit} returns ${expected ?? 'nothing'}`, async t => {
    const source = new PassThrough();
    source.end('12345');
    const read = await readAll(source, limit);
    t.is(read?.toString(), expected);
  });
}
