/** Guards against a watch that misses a change, reports a change twice or waits forever on a silent connection. */
import {PassThrough} from 'node:stream';
import {setImmediate as yieldToEventLoop} from 'node:timers/promises';
import test from 'ava';
import {fail, ok} from '../../shared/result.js';
import type {WatchEvent} from '../client.js';
import {createManualTimers} from '../timers.js';
import {startWatch} from '../watch.js';

const SILENCE_TIMEOUT_MS = 1000;

const change = (version: number): string =>
  `${JSON.stringify({
    type: 'changed', version, object: {
      kind: 'A', name: 'a', version, value: version,
    },
  })}\n`;
const bookmark = (version: number): string => `${JSON.stringify({type: 'bookmark', version})}\n`;

const startTestWatch = (openLimit = Number.POSITIVE_INFINITY) => {
  const timers = createManualTimers();
  const opened: Array<{after: number; stream: PassThrough}> = [];
  const events: WatchEvent[] = [];
  const watch = startWatch({
    kind: 'A',
    afterVersion: 5,
    silenceTimeoutMs: SILENCE_TIMEOUT_MS,
    timers,
    random: () => 0.5,
    async openStream(_kind, after) {
      if (opened.length >= openLimit) {
        return fail({kind: 'rejected', message: 'gone'});
      }

      const stream = new PassThrough();
      opened.push({after, stream});
      return ok({
        chunks: stream,
        destroy() {
          stream.destroy();
        },
      });
    },
    onEvent(event) {
      events.push(event);
    },
  });
  const advance = async (milliseconds: number): Promise<void> => {
    timers.advance(milliseconds);
    await yieldToEventLoop();
    await yieldToEventLoop();
  };

  const send = async (text: string): Promise<void> => {
    opened.at(-1)!.stream.write(text);
    await yieldToEventLoop();
    await yieldToEventLoop();
  };

  const versions = (): number[] => events.flatMap(event => event.kind === 'changed' ? [event.object.version] : []);
  return {
    watch, opened, events, advance, send, versions,
  };
};

test('a silent stream is closed and resumed after the last version, including versions of bookmarks', async t => {
  const {opened, events, advance, send, versions} = startTestWatch();
  await advance(0);
  await send(change(6) + bookmark(9));
  await advance(SILENCE_TIMEOUT_MS - 1);
  t.is(opened.length, 1);
  await advance(1);
  t.true(opened[0]!.stream.destroyed);
  await advance(500);
  t.deepEqual(opened.map(({after}) => after), [5, 9]);
  await send(change(9) + change(10));
  t.deepEqual(versions(), [6, 10]);
  t.true(events.every(({kind}) => kind === 'changed'));
});

test('a line that arrives in chunks, each before the silence timeout, keeps the stream open', async t => {
  const {opened, advance, send, versions} = startTestWatch();
  await advance(0);
  const line = change(6);
  for (const text of [bookmark(5), line.slice(0, 10), line.slice(10), bookmark(6)]) {
    // eslint-disable-next-line no-await-in-loop
    await send(text);
    // eslint-disable-next-line no-await-in-loop
    await advance(SILENCE_TIMEOUT_MS / 2);
  }

  t.is(opened.length, 1);
  t.deepEqual(versions(), [6]);
});

const brokenWatches: Array<[title: string, openLimit: number, sentText: string, message: RegExp]> = [
  ['that is silent from the start', Infinity, '', /silent for 1000 ms/u],
  ['that sends other content', Infinity, '<html>\n', /not part of a watch/u],
  ['that cannot be resumed', 1, bookmark(6), /gone/u],
];

for (const [title, openLimit, sentText, message] of brokenWatches) {
  test(`a watch ${title} is reported as broken once`, async t => {
    const {events, advance, send} = startTestWatch(openLimit);
    await advance(0);
    await send(sentText);
    await advance(SILENCE_TIMEOUT_MS);
    await advance(500);
    t.is(events.length, 1);
    const [event] = events;
    t.regex(event?.kind === 'broken' ? event.message : '', message);
  });
}

test('a closed watch reports nothing more', async t => {
  const {watch, opened, events, advance, send} = startTestWatch();
  await advance(0);
  await send(bookmark(6));
  watch.close();
  await advance(SILENCE_TIMEOUT_MS * 2);
  t.deepEqual([opened.length, events], [1, []]);
});
