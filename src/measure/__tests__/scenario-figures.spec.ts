/** Guards against scenario figures that make a system look better than it is, with hand-written records. */
import test from 'ava';
import type {Run} from '../../emulator/backend-server/runs.js';
import type {RequestRecord} from '../../load/results.js';
import {simulateIdealScheduler, slotDemandOf, type Conditions} from '../ideal-scheduler.js';
import {deployments} from '../deployments.js';
import {
  computeFigures, countFalseNotRun, retriesPerRequestMax, wastedWorkRatio, type ScenarioRecords,
} from '../scenario-figures.js';
import {parseScenario} from '../scenario.js';

const deployment = deployments.get('rogge-nord')!;
const conditions: Conditions = {
  slots: service => deployment.services.filter(({name}) => name === service).map(({backendServers, slots}) => backendServers * slots)[0]!,
  slowness: () => 1,
};

const record = (change: Partial<RequestRecord>): RequestRecord => ({
  id: 'r1', kind: 'closure-booking', priority: 0, group: 'crews', idempotent: false, scheduledMs: 2500, startLateMs: 0, finishedMs: 2600, completed: true,
  sendings: 1, resends: 0, notRunAtMs: [], lastOutcome: 'none', lastReason: 'none', truncated: 0, swapped: 0, cut: 0, ...change,
});

const run = (change: Partial<Run>): Run => ({
  requestId: 'r1', sending: 1, callPath: '', bodyId: 'r1', service: 'chiuse', requestKind: 'closure-booking', idempotent: false, startedAt: 1000, slotMs: 100, end: 'completed', ...change,
});

const retryCases: Array<[title: string, runs: Run[], retries: number]> = [
  ['a call and its sub-call', [run({}), run({callPath: '0'})], 0],
  ['a resend by the client', [run({}), run({sending: 2})], 0],
  ['a retry at the root and one below', [run({}), run({}), run({callPath: '0'}), run({callPath: '0'}), run({callPath: '0'})], 2],
  ['a repeated tree after a retry at the root', [run({}), run({}), run({callPath: '0'}), run({callPath: '0'})], 1],
  ['a retry of a call that was shed', [run({startedAt: undefined, end: 'shed'}), run({})], 1],
  ['two requests', [run({}), run({}), run({requestId: 'r2'}), run({requestId: 'r2'})], 1],
];

for (const [title, runs, retries] of retryCases) {
  test(`${title}: ${retries} retries`, t => {
    t.is(retriesPerRequestMax(runs), retries);
  });
}

const notRunCases: Array<[title: string, request: Partial<RequestRecord>, runs: Run[], count: number]> = [
  ['rejected after it had begun', {notRunAtMs: [600]}, [run({})], 1],
  ['rejected and run later', {notRunAtMs: [400]}, [run({})], 0],
  ['rejected and never run', {notRunAtMs: [600]}, [], 0],
  ['idempotent', {notRunAtMs: [600], idempotent: true}, [run({idempotent: true})], 0],
  ['shed by the backend server', {notRunAtMs: [600]}, [run({startedAt: undefined, end: 'shed'})], 0],
];

for (const [title, request, runs, count] of notRunCases) {
  test(`a request that was ${title}: ${count} false rejections`, t => {
    t.is(countFalseNotRun({requests: [record(request)], runs, startedAt: 500}), count);
  });
}

test('slot time of failed requests and of repeated runs is wasted', t => {
  const runs = [run({}), run({}), run({requestId: 'r2'}), run({end: 'cancelled'})];
  t.is(wastedWorkRatio([record({}), record({id: 'r2', completed: false})], runs), 0.75);
});

test('a slot is held while a sub-call runs', t => {
  const booking = deployment.offered.find(({kind}) => kind === 'closure-booking')!;
  const demand = slotDemandOf(deployment, booking);
  const [chiuse, registro] = ['chiuse', 'registro'].map(name => demand.get(name)!);
  t.true(registro! > 0 && chiuse! > registro!);
  t.is(slotDemandOf(deployment, booking, service => service === 'registro' ? 2 : 1).get('chiuse'), chiuse! + registro!);
});

test('the ideal scheduler serves urgent work first and never more than is offered or than the slots allow', t => {
  const cohort = (kind: string, offered: number) => ({
    kind, group: 'crews', step: 0, offered,
  });
  const served = simulateIdealScheduler(deployment, [cohort('channel-status', 100_000), cohort('closure-booking', 10), cohort('closure-list', 100_000)], conditions);
  t.is(Math.round(served[1]!.served), 10);
  for (const [index, service] of [[0, 'statusrog'], [2, 'registro']] as const) {
    const {kind, deadlineMs} = deployment.offered.find(offered => offered.kind === served[index]!.kind)!;
    const needed = slotDemandOf(deployment, deployment.offered.find(offered => offered.kind === kind)!).get(service)!;
    t.true(served[index]!.served > 0 && served[index]!.served * needed <= conditions.slots(service, 0) * (deadlineMs + 100));
  }
});

const scenario = parseScenario({
  name: 'x', title: 'x', deployment: 'rogge-nord', durationMs: 8000, trigger: {fromMs: 2000, toMs: 4000}, flood: {kinds: ['channel-status']},
  events: [{
    kind: 'rate', fromMs: 2000, toMs: 4000, factor: 2,
  }],
}, 'x.json');

/** Records of one booking and one status request every 25 ms; `fails` selects those that do not complete. */
const createRecords = (fails: (request: RequestRecord) => boolean): ScenarioRecords => {
  const requests = Array.from({length: 320}, (_, index) => index * 25).flatMap(scheduledMs => [
    record({id: `b${scheduledMs}`, scheduledMs, finishedMs: scheduledMs + 100}),
    record({
      id: `s${scheduledMs}`, kind: 'channel-status', priority: 2, idempotent: true, scheduledMs, finishedMs: scheduledMs + 100,
    }),
  ]).map(request => ({...request, completed: !fails(request)}));
  return {
    deployment, scenario, conditions, startedAt: 0, requests, runs: [],
  };
};

const within = (fromMs: number, toMs: number) => ({scheduledMs}: RequestRecord) => scheduledMs >= fromMs && scheduledMs < toMs;

const figureCases: Array<[title: string, fails: (request: RequestRecord) => boolean, expected: Record<string, unknown>]> = [
  ['everything completes', () => false, {recoverySeconds: 0, recovered: true, otherWorkRatio: 1}],
  ['failures last a second longer than the trigger', within(2000, 5000), {
    recoverySeconds: 1, recovered: true, otherWorkRatio: 0, goodputRatio: 0,
  }],
  ['failures never end', within(2000, 8000), {recoverySeconds: 4, recovered: false}],
  ['only the flood fails', request => request.kind === 'channel-status' && within(2000, 4000)(request), {recoverySeconds: 0, otherWorkRatio: 1}],
  ['failures before the trigger', within(0, 1000), {otherWorkRatio: 1}],
];

for (const [title, fails, expected] of figureCases) {
  test(`figures when ${title}`, t => {
    const figures = computeFigures(createRecords(fails));
    t.like({...figures, otherWorkRatio: Math.round(figures.otherWorkRatio! * 1000) / 1000}, expected);
  });
}

test('ranks report each priority separately', t => {
  const {ranks, goodputRatio} = computeFigures(createRecords(request => request.kind === 'channel-status' && within(2000, 4000)(request)));
  t.deepEqual(ranks.map(({priority, successRatio}) => [priority, successRatio]), [[0, 1], [1, 1], [2, 0]]);
  t.true(goodputRatio > 0 && goodputRatio < 1);
});
