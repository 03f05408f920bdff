/** Guards against a demo report that hides a failure: a host without the configuration, lost requests or duplicate runs. */
import test from 'ava';
import {summarise, type RequestRecord} from '../../load/results.js';
import type {SystemResult} from '../../measure/run-scenario.js';
import {formatConfiguration, formatResult} from '../report.js';

const createRecord = (change: Partial<RequestRecord>): RequestRecord => ({
  id: 'l0-1', kind: 'closure-booking', priority: 0, group: 'foremen', idempotent: false, scheduledMs: 0, startLateMs: 0, finishedMs: 250,
  completed: true, sendings: 1, resends: 0, notRunAtMs: [], lastOutcome: 'run', lastReason: '', truncated: 0, swapped: 0, cut: 0, ...change,
});

const createResult = (change: Partial<SystemResult>): SystemResult => ({
  goodputRatio: 0.97, recoverySeconds: 0.5, recovered: true, ranks: [], otherWorkRatio: 1, retriesPerRequestMax: 0, duplicateRuns: 0, falseNotRun: 0,
  notRunAnswers: 0, truncatedAnswers: 0, cutRequests: 0, wastedWorkRatio: 0, kinds: [], priorities: [], offered: 0, maxStartLateMs: 0,
  processorSeconds: {system: 0, backendServers: 0}, unexpectedEnds: [], ...change,
});

const check = {accepted: 1, hosts: [{host: 'chiuse-0', sequence: 1}]};

const configurations: Array<[title: string, check: Parameters<typeof formatConfiguration>[0], expected: RegExp]> = [
  ['all hosts have the configuration', {accepted: 2, hosts: [{host: 'a', sequence: 2}, {host: 'b', sequence: 2}]}, /sequence 2 is in effect on all 2 hosts/u],
  ['a host has an older configuration', {accepted: 2, hosts: [{host: 'a', sequence: 2}, {host: 'b', sequence: 1}]}, /not in effect on 1 of 2 hosts \(b: sequence 1\)/u],
  ['a host does not respond', {accepted: 2, hosts: [{host: 'a', sequence: undefined}]}, /not in effect on 1 of 1 hosts \(a: no answer\)/u],
  ['the platform does not respond', {accepted: undefined, hosts: [{host: 'a', sequence: 2}]}, /the platform did not answer/u],
];

for (const [title, input, expected] of configurations) {
  test(`the configuration line is correct if ${title}`, t => {
    t.regex(formatConfiguration(input), expected);
  });
}

test('the table lists rejections by reason and outcome, and counts other failures separately', t => {
  const rejected = createRecord({completed: false, lastReason: 'admission', lastOutcome: 'not-run'});
  const timedOut = createRecord({completed: false, lastReason: 'timed-out', lastOutcome: 'none'});
  const priorities = [summarise('0', [createRecord({}), timedOut, rejected, createRecord({})])];
  const text = formatResult(createResult({priorities}), [{priority: 0, name: 'bookings'}], check);
  t.regex(text, /0 bookings +4 +2 \(50\.0 %\) +250 ms +1 +1 admission \(not-run\)/u);
});

test('the report shows duplicate runs, false `not-run` rejections and processes that ended unexpectedly', t => {
  const text = formatResult(createResult({
    duplicateRuns: 3, falseNotRun: 2, recovered: false, unexpectedEnds: ['jujubewelld chiuse-0'],
  }), [], check);
  t.regex(text, /duplicate runs of non-idempotent requests: 3/u);
  t.regex(text, /requests that had run: 2/u);
  t.regex(text, /not within the run/u);
  t.regex(text, /ended unexpectedly: jujubewelld chiuse-0/u);
});

test('figures from a machine that was too busy are marked as invalid', t => {
  t.regex(formatResult(createResult({maxStartLateMs: 251}), [], check), /do not count/u);
  t.notRegex(formatResult(createResult({maxStartLateMs: 250}), [], check), /do not count/u);
});
