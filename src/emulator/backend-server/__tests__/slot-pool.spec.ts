/** Guards against slots that leak or are granted twice, which would falsify every goodput figure. */
import test from 'ava';
import {createSlotPool} from '../slot-pool.js';

const neverAborted = () => new AbortController().signal;

test('requests beyond the slots wait, and requests beyond the queue get `full`', async t => {
  const slots = createSlotPool(1, 1);
  const first = await slots.acquire(neverAborted());
  const second = slots.acquire(neverAborted());
  t.deepEqual(await slots.acquire(neverAborted()), {kind: 'full'});
  t.deepEqual([slots.running(), slots.waiting()], [1, 1]);
  t.true(first.kind === 'granted');
  if (first.kind === 'granted') {
    first.release();
    first.release();
  }

  t.like(await second, {kind: 'granted'});
  t.deepEqual([slots.running(), slots.waiting()], [1, 0]);
});

test('an aborted request leaves the queue', async t => {
  const slots = createSlotPool(1, 1);
  await slots.acquire(neverAborted());
  const caller = new AbortController();
  const waiting = slots.acquire(caller.signal);
  caller.abort();
  t.deepEqual(await waiting, {kind: 'abandoned'});
  t.is(slots.waiting(), 0);
});
