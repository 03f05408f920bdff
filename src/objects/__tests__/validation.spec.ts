/** Guards against configurations that are accepted although they do not mean what the operator wrote. */
import {randomBytes} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import test from 'ava';
import {
  decodeConfiguration, emptyConfiguration, encodeConfiguration, hashObjects, sortObjects,
} from '../configuration.js';
import {formatDiagnostic} from '../diagnostic.js';
import {renderReference} from '../reference.js';
import type {DeclaredObject} from '../schema.js';
import {checkObjects, CONFIGURATION_MAX_BYTES, validateObjects} from '../validation.js';

const service = (name: string, labels = {}) => ({kind: 'Service', name, labels});
const requestKind = (name: string, spec = {}, labels = {}) => ({
  kind: 'RequestKind', name, labels, spec: {
    service: 'chiuse', methods: ['GET'], path: '/a', idempotent: true, ...spec,
  },
});
const rule = (name: string, spec: object) => ({kind: 'Rule', name, spec});
const priority = (name: string, more = {}) => ({name, select: {}, ...more});

const chiuse = service('chiuse', {tier: 'core'});
const kind = requestKind('book', {}, {work: 'urgent'});
const deadline = (select: object) => [chiuse, kind, rule('d', {type: 'deadline', milliseconds: 5, select})];

const invalidInputs: Array<[title: string, input: unknown, texts: RegExp[]]> = [
  ['an unknown field', [{...chiuse, lables: {}}], [/^error: Service\/chiuse lables: there is no such field \(found \{\}\); did you mean `labels`\?$/u]],
  ['an unknown nested field', deadline({service: {}}), [/^error: Rule\/d spec\.select\.service: .*did you mean `services`/u]],
  ['an unknown kind', [{kind: 'Servce', name: 'a'}], [/^error: Servce\/a kind: the value is not allowed \(found "Servce"\); did you mean `Service`\?$/u]],
  ['an unknown rule type', [rule('r', {type: 'deadlin'})], [/spec\.type: .*did you mean `deadline`/u]],
  ['several errors in one object', [requestKind('b', {methods: ['get'], path: 'a*b', idempotent: 'yes'})], [
    /spec\.methods\[0\]: .*\(found "get"\); did you mean `GET`/u, /spec\.path: .*\(found "a\*b"\); start with/u, /spec\.idempotent: .*type boolean/u,
  ]],
  ['a missing field', [{kind: 'Service'}], [/^error: object 1 name: the field is missing \(found nothing\); add it/u]],
  ['an input that is no object', 'text', [/^error: object 1: .*\(found "text"\); use a value of type object$/u]],
  ['a number out of range', [rule('d', {type: 'deadline', milliseconds: 0, select: {}})], [/spec\.milliseconds: .*\(found 0\); use at least 1/u]],
  ['a declared backend server', [{kind: 'BackendServer', name: 'b'}], [/announce themselves/u]],
  ['a duplicate name', [chiuse, chiuse], [/^error: Service\/chiuse name: another object/u]],
  ['a missing service', [chiuse, requestKind('b', {service: 'chuse'})], [/^error: RequestKind\/b spec\.service: .*did you mean `chiuse`/u]],
  ['a label that no object has', deadline({services: {labels: {tier: 'cor'}}}), [/^warning: Rule\/d spec\.select\.services\.labels\.tier: .*did you mean `tier=core`/u]],
  ['selectors that match nothing together', [...deadline({services: {labels: {tier: 'edge'}}, requestKinds: {labels: {work: 'urgent'}}}), service('x', {tier: 'edge'})], [
    /^warning: Rule\/d spec\.select: nothing/u,
  ]],
  ['a deadline for backend servers', deadline({backendServers: {}}), [/^error: Rule\/d spec\.select\.backendServers: a deadline applies/u]],
  ['a drain of request kinds', [chiuse, kind, rule('d', {type: 'drain', milliseconds: 5, select: {requestKinds: {}}})], [/^error: .*a drain applies to whole/u]],
  ['a request kind that never matches', [chiuse, requestKind('a', {path: '/a*'}), requestKind('b', {path: '/ab'})], [/^error: RequestKind\/b spec\.path: it never matches: `a`/u]],
  ['request kinds that overlap in part', [chiuse, requestKind('a', {path: '/ab'}), requestKind('b', {path: '/a*'})], [/^warning: RequestKind\/b spec\.path: `a` \(GET \/ab\)/u]],
  ['request kinds with other methods', [chiuse, requestKind('a'), requestKind('b', {methods: ['POST']})], []],
  ['request kinds of the same path in other services', [chiuse, service('s'), requestKind('a'), requestKind('b', {service: 's'})], []],
  ['two priority rules', [chiuse, kind, ...['p', 'q'].map(name => rule(name, {type: 'priority', priorities: [priority('x')]}))], [/^error: Rule\/q spec\.type: `p` states/u]],
  ['priorities of one name and a reserved one', [chiuse, kind, rule('p', {type: 'priority', priorities: [priority('x'), priority('x'), priority('default')]})], [
    /priorities\[1\]\.name: another priority/u, /priorities\[2\]\.name: the name is reserved/u,
  ]],
  ['wrong minimum shares', [chiuse, kind, rule('p', {type: 'priority', priorities: [priority('x', {minimumShare: 0.6}), priority('y', {minimumShare: 0.6})]})], [
    /priorities\[0\]\.minimumShare: the highest/u, /spec\.priorities: .*more than 1/u,
  ]],
  ['a client group listed twice', [chiuse, kind, rule('s', {type: 'share', select: {}, groups: [{name: 'g'}, {name: 'h'}, {name: 'g'}]})], [
    /^error: Rule\/s spec\.groups\[2\]\.name: .*\(found "g"\)/u,
  ]],
];

for (const [title, input, patterns] of invalidInputs) {
  test(`${title} gives ${patterns.length} diagnostics`, t => {
    const texts = checkObjects(input).diagnostics.map(diagnostic => formatDiagnostic(diagnostic));
    t.is(texts.length, patterns.length, `found: ${texts.join('; ')}`);
    for (const [index, pattern] of patterns.entries()) {
      t.regex(texts[index]!, pattern);
    }

    t.is(validateObjects(input).kind, texts.some(text => text.startsWith('error')) ? 'error' : 'ok');
  });
}

// Random text does not compress, so that the stored size stays close to the text size.
const servicesWithDescription = (bytes: number) => Array.from({length: 3000}, (_, index) => ({
  ...service(`s${index}`), spec: {description: randomBytes(bytes).toString('base64')},
}));

test('a configuration beyond the size limit of the platform is an error', t => {
  t.is(validateObjects(servicesWithDescription(30)).kind, 'ok');
  t.like(validateObjects(servicesWithDescription(360)), {kind: 'error', error: [{object: 'configuration', path: ''}]});
});

test('the configuration of the target fleet fits into a value and reads back unchanged', t => {
  const declared = Array.from({length: 2900}, (_, index) => [
    service(`service-${index}`, {tier: 'core'}),
    ...['read', 'write', 'upload'].map(name => requestKind(`service-${index}-${name}`, {service: `service-${index}`, path: `/${name}/*`})),
  ]).flat();
  const valid = validateObjects(declared);
  const objects = sortObjects(valid.kind === 'ok' ? valid.value : []);
  const configuration = {...emptyConfiguration, objects, hash: hashObjects(objects)};
  const stored = JSON.stringify(encodeConfiguration(configuration));
  t.true(JSON.stringify(configuration).length > CONFIGURATION_MAX_BYTES);
  t.true(stored.length < CONFIGURATION_MAX_BYTES / 4);
  t.deepEqual(decodeConfiguration(JSON.parse(stored)), {kind: 'ok', value: configuration});
});

test('a configuration whose hash does not match its objects is rejected', t => {
  t.like(decodeConfiguration({...emptyConfiguration, objects: [chiuse]}), {kind: 'error', error: {kind: 'malformed-configuration'}});
  t.like(decodeConfiguration({...emptyConfiguration, packedObjects: 'x'}), {kind: 'error'});
});

test('the hash does not depend on the order of objects and keys', t => {
  const a = {
    kind: 'Service', name: 'a', labels: {x: '1', y: '2'}, spec: {},
  } as const;
  const b = {...a, name: 'b', labels: {y: '2', x: '1'}};
  const reordered: DeclaredObject = {
    spec: {}, name: 'a', labels: {y: '2', x: '1'}, kind: 'Service',
  };
  t.is(hashObjects([a, b]), hashObjects([b, {
    spec: {}, name: 'a', labels: {y: '2', x: '1'}, kind: 'Service',
  }]));
  t.not(hashObjects([a]), hashObjects([b]));
});

test('docs/reference.md is up to date; run `npm run docs` otherwise', async t => {
  t.is(await readFile(new URL('../../../docs/reference.md', import.meta.url), 'utf8'), renderReference());
});
