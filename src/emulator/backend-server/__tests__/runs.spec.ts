/** Guards against duplicate runs being missed, and against repeated runs of idempotent requests being counted as duplicates. */
import test from 'ava';
import {countDuplicateRuns, type Run} from '../runs.js';

const createRun = (change: Partial<Run>): Run => ({
  requestId: 'r1', sending: 1, callPath: '', bodyId: 'b1', service: 'chiuse', requestKind: 'closure', idempotent: false, startedAt: 0, slotMs: 1, end: 'completed', ...change,
});

const cases: Array<[title: string, runs: Run[], count: number]> = [
  ['one run', [createRun({})], 0],
  ['the same body under two request ids', [createRun({}), createRun({requestId: 'r2'})], 1],
  ['a cancelled first run', [createRun({end: 'cancelled'}), createRun({})], 1],
  ['an idempotent request run twice', [createRun({idempotent: true}), createRun({idempotent: true})], 0],
  ['a call that was shed before it ran', [createRun({startedAt: undefined, end: 'shed'}), createRun({})], 0],
  ['two requests', [createRun({}), createRun({bodyId: 'b2'})], 0],
  ['the same body at two services', [createRun({}), createRun({service: 'registro'})], 0],
];

for (const [title, runs, count] of cases) {
  test(`${title}: ${count} duplicate runs`, t => {
    t.is(countDuplicateRuns(runs), count);
  });
}
