/** Guards against rules that apply to the wrong requests, or in another order than that of their names. */
import test from 'ava';
import {compilePolicy, findTreatment} from '../policy.js';
import type {DeclaredObject, Rule} from '../schema.js';
import {validateObjects} from '../validation.js';

const compile = (rules: ReadonlyArray<Pick<Rule, 'name'> & {spec: object}>, backendLabels?: Record<string, string>) => {
  const objects = validateObjects([
    {kind: 'Service', name: 'chiuse', labels: {tier: 'core'}},
    {kind: 'Service', name: 'statusrog', labels: {tier: 'edge'}},
    {
      kind: 'RequestKind', name: 'booking', labels: {work: 'urgent', crew: 'a'}, spec: {
        service: 'chiuse', methods: ['POST'], path: '/closures', idempotent: false,
      },
    },
    {
      kind: 'RequestKind', name: 'status', labels: {work: 'read'}, spec: {
        service: 'statusrog', methods: ['GET', 'HEAD'], path: '/channels/*', idempotent: true,
      },
    },
    ...rules.map(rule => ({kind: 'Rule', ...rule})),
  ]);
  return compilePolicy(objects.kind === 'ok' ? objects.value : [], backendLabels);
};

const deadline = (name: string, milliseconds: number, select: object) => ({name, spec: {type: 'deadline', milliseconds, select}});
const byService = (tier: string) => ({services: {labels: {tier}}});
const byRequestKind = (labels: Record<string, string>) => ({requestKinds: {labels}});

const deadlines: Array<[title: string, rules: Array<ReturnType<typeof deadline>>, booking: number, status: number]> = [
  ['no rule', [], 5000, 5000],
  ['a rule without selectors', [deadline('a', 1, {})], 1, 1],
  ['the first in order of name, whatever the order of the input', [deadline('b', 2, {}), deadline('a', 1, byService('core'))], 1, 2],
  ['a general rule that comes first', [deadline('a', 1, {}), deadline('b', 2, byService('core'))], 1, 1],
  ['all labels of a selector', [deadline('a', 1, byRequestKind({work: 'urgent', crew: 'a'})), deadline('b', 2, byRequestKind({work: 'urgent', crew: 'b'}))], 1, 5000],
  ['one label that differs', [deadline('a', 1, byRequestKind({work: 'urgent', crew: 'b'}))], 5000, 5000],
  ['service and request kind together', [deadline('a', 1, {...byService('core'), ...byRequestKind({work: 'read'})})], 5000, 5000],
];

for (const [title, rules, booking, status] of deadlines) {
  test(`deadlines by ${title}`, t => {
    const policy = compile(rules);
    t.deepEqual([
      findTreatment(policy, 'chiuse', 'POST', '/closures')?.deadlineMs,
      findTreatment(policy, 'statusrog', 'GET', '/channels/7')?.deadlineMs,
    ], [booking, status]);
  });
}

test('the first priority that selects work decides, and unselected work comes last', t => {
  const priorities = [
    {name: 'urgent', select: byRequestKind({work: 'urgent'})},
    {name: 'core', select: byService('core'), minimumShare: 0.2},
  ];
  const policy = compile([{name: 'p', spec: {type: 'priority', priorities}}]);
  t.like(findTreatment(policy, 'chiuse', 'POST', '/closures'), {priority: 0, priorityName: 'urgent'});
  t.like(findTreatment(policy, 'statusrog', 'HEAD', '/channels/'), {priority: 2, priorityName: 'default'});
  t.deepEqual([policy.priorityCount, policy.minimumShares], [3, [0, 0.2, 0]]);
});

const limit = {
  name: 'a', spec: {
    type: 'limit', concurrency: 3, queueMs: 50, select: {backendServers: {labels: {size: 'small'}}},
  },
};
const drain = {name: 'b', spec: {type: 'drain', milliseconds: 7, select: {backendServers: {labels: {size: 'small'}}}}};

const limits: Array<[labels: Record<string, string> | undefined, concurrency: number | undefined, queueMs: number | undefined, drainMs: number]> = [
  [{size: 'small'}, 3, 50, 7],
  [{size: 'large'}, undefined, undefined, 30_000],
  [undefined, undefined, undefined, 30_000],
];

for (const [labels, concurrency, queueMs, drainMs] of limits) {
  test(`limits and drain of a backend server with the labels ${JSON.stringify(labels)}`, t => {
    const policy = compile([limit, drain], labels);
    t.like(findTreatment(policy, 'chiuse', 'POST', '/closures'), {concurrency, queueMs});
    t.is(policy.drainMs.get('chiuse'), drainMs);
  });
}

const requests: Array<[service: string, method: string, path: string, found: string | undefined]> = [
  ['chiuse', 'POST', '/closures', 'booking'],
  ['chiuse', 'POST', '/closures/1', undefined],
  ['chiuse', 'GET', '/closures', undefined],
  ['statusrog', 'GET', '/channels/1/gates', 'status'],
  ['statusrog', 'GET', '/channels', undefined],
  ['archives', 'GET', '/channels/1', undefined],
];

for (const [service, method, path, found] of requests) {
  test(`${method} /${service}${path} is ${found ?? 'not declared'}`, t => {
    t.is(findTreatment(compile([]), service, method, path)?.requestKind, found);
  });
}

test('objects given to the compiler keep their order', t => {
  const objects: DeclaredObject[] = ['b', 'a'].map(name => ({
    kind: 'Service', name, labels: {}, spec: {},
  }));
  compilePolicy(objects);
  t.deepEqual(objects.map(({name}) => name), ['b', 'a']);
});
