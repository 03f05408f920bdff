/** Guards against statements of a backend server that are forgotten, or applied to its successor, when records of several processes are combined. */
import test from 'ava';
import {createBackendRecords, mergeRecord} from '../backend-records.js';
import type {BackendRecord} from '../../message.js';

const record = (changes: Partial<BackendRecord> = {}): BackendRecord => ({
  instance: 'i1', startedAt: 1000, isLeaving: false, ratePerSecond: undefined, ...changes,
});

const leaving = record({isLeaving: true});
const limited = record({ratePerSecond: 10});
const restarted = record({startedAt: 2000});
const replaced = record({instance: 'i2', startedAt: 2000});

const mergeCases: Array<{title: string; known: BackendRecord | undefined; reported: BackendRecord; expected: BackendRecord}> = [
  {
    title: 'the first report is taken', known: undefined, reported: limited, expected: limited,
  },
  {
    title: 'a leaving is not revoked by a process that does not know of it', known: leaving, reported: record(), expected: leaving,
  },
  {
    title: 'a leaving is taken over', known: limited, reported: leaving, expected: leaving,
  },
  {
    title: 'a limit is the one that was reported last', known: limited, reported: record({ratePerSecond: 5}), expected: record({ratePerSecond: 5}),
  },
  {
    title: 'a limit is lifted', known: limited, reported: record(), expected: record(),
  },
  {
    title: 'a backend server that has started again with its id begins anew', known: leaving, reported: restarted, expected: restarted,
  },
  {
    title: 'a successor begins anew', known: leaving, reported: replaced, expected: replaced,
  },
  {
    title: 'a report on an earlier start changes nothing', known: replaced, reported: leaving, expected: replaced,
  },
];

for (const {title, known, reported, expected} of mergeCases) {
  test(title, t => {
    t.deepEqual(mergeRecord(known, reported), expected);
  });
}

test('records without a statement are dropped, and the number of the others is bounded', t => {
  const records = createBackendRecords();
  records.put('plain', record());
  t.is(records.of('plain'), undefined);
  records.put('limited', limited);
  records.put('limited', record());
  t.is(records.of('limited'), undefined);
  for (let node = 0; node < 5000; node++) {
    records.put(`n${node}`, leaving);
  }

  t.is(Array.from({length: 5000}, (_, node) => records.of(`n${node}`)).filter(known => known !== undefined).length, 1000);
  t.deepEqual(records.of('n4999'), leaving);
});
