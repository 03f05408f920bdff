/** Guards against operators overwriting each other, lost responses that look like failures, and wrong exit codes. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Writable} from 'node:stream';
import test, {type ExecutionContext} from 'ava';
import {createPlatformEmulator} from '../../emulator/platform/emulator.js';
import {configurationSchema, hashObjects} from '../../objects/configuration.js';
import {runCli} from '../cli.js';

const service = (name: string, labels = {}) => ({kind: 'Service', name, labels});
const deadline = (milliseconds: number, name = 'd') => ({kind: 'Rule', name, spec: {type: 'deadline', select: {}, milliseconds}});

const collectOutput = () => {
  const chunks: string[] = [];
  const stream = new Writable({
    write(chunk, _encoding, done) {
      chunks.push(String(chunk));
      done();
    },
  });
  return {stream, text: () => chunks.join('')};
};

const run = async (args: string[], env: Record<string, string> = {}) => {
  const [out, err] = [collectOutput(), collectOutput()];
  const code = await runCli(args, {stdout: out.stream, stderr: err.stream, env});
  return {code, out: out.text(), err: err.text()};
};

const startPlatform = async (t: ExecutionContext) => {
  const emulator = createPlatformEmulator({latencyMs: 0, bookmarkMs: 20});
  const address = await emulator.start();
  const directory = await mkdtemp(path.join(tmpdir(), 'jujubewell-'));
  t.teardown(async () => {
    await emulator.stop();
    await rm(directory, {recursive: true});
  });
  let files = 0;
  const file = async (content: unknown): Promise<string> => {
    files += 1;
    const name = path.join(directory, `${files}.json`);
    await writeFile(name, JSON.stringify(content));
    return name;
  };

  const runAs = async (author: string, ...args: string[]) => run(args, {JUJUBEWELL_PLATFORM: address, JUJUBEWELL_AUTHOR: author});
  const apply = async (author: string, objects: unknown, ...args: string[]) => runAs(author, 'apply', '-f', await file(objects), ...args);
  const readStored = () => configurationSchema.parse(emulator.snapshot().objects[0]?.value);
  const names = () => readStored().objects.map(({name}) => name);
  return {
    emulator, file, runAs, apply, readStored, names,
  };
};

test('apply merges, prune removes, and applying the same objects again writes nothing', async t => {
  const {apply, readStored, names, emulator} = await startPlatform(t);
  t.like(await apply('ada', [service('a'), service('b')]), {code: 0, out: '+ Service/a\n+ Service/b\naccepted as sequence 1\n'});
  t.like(await apply('ada', [service('c')]), {code: 0});
  t.deepEqual(names(), ['a', 'b', 'c']);
  t.like(await apply('ada', [service('c'), service('a', {x: '1'})], '--prune'), {out: '~ Service/a\n    labels.x: nothing -> "1"\n- Service/b\naccepted as sequence 3\n'});
  const writes = emulator.counts().write;
  t.like(await apply('ada', [service('c')]), {code: 0, out: 'nothing to change; the configuration has sequence 3\n'});
  t.is(emulator.counts().write, writes);
  t.is(readStored().hash, hashObjects(readStored().objects));
});

test('an object that another operator changed since the base is a conflict that names the change', async t => {
  const {apply, runAs, file, readStored} = await startPlatform(t);
  await apply('ada', [service('a'), deadline(5)]);
  const {out: exported} = await runAs('bea', 'get', 'Rule', 'd', '--output', 'json');
  t.like(await apply('ada', [deadline(6)], '--base-sequence', '1'), {code: 0});
  const edited = JSON.parse(exported.replace('"milliseconds": 5', '"milliseconds": 7')) as unknown;
  const conflicting = await runAs('bea', 'apply', '-f', await file(edited));
  t.is(conflicting.code, 3);
  t.regex(conflicting.err, /^conflict: 1 object\(s\).*--base-sequence 2`\n {2}Rule\/d: changed by ada at \d{4}-.* in sequence 2\n$/u);
  t.like(await apply('bea', [deadline(7)], '--base-sequence', '2'), {code: 0});
  t.like(readStored(), {sequence: 3, author: 'bea'});
});

const withoutBase: Array<[title: string, author: string, args: string[], code: number]> = [
  ['of the same author', 'ada', [], 0],
  ['of another author', 'bea', [], 3],
  ['of another author with --overwrite', 'bea', ['--overwrite'], 0],
  ['of another author with the current base', 'bea', ['--base-sequence', '1'], 0],
  ['of another author with an older base', 'bea', ['--base-sequence', '0'], 3],
];

for (const [title, author, args, code] of withoutBase) {
  test(`replacing an object ${title} ends with exit code ${code}`, async t => {
    const {apply, readStored} = await startPlatform(t);
    await apply('ada', [service('a')]);
    t.like(await apply(author, [service('a', {x: '1'})], ...args), {code});
    t.is(readStored().sequence, code === 0 ? 2 : 1);
  });
}

test('two operators racing for one object: one wins, the other one gets a conflict; other objects are merged', async t => {
  const {apply, names, readStored} = await startPlatform(t);
  await apply('ada', [service('a')]);
  const same = await Promise.all(['ada', 'bea'].map(async author => apply(author, [service('a', {by: author})], '--base-sequence', '1')));
  t.deepEqual(same.map(({code}) => code).sort((a, b) => a - b), [0, 3]);
  const others = await Promise.all(['p', 'q', 'r', 's'].map(async name => apply(name, [service(name)])));
  t.deepEqual(others.map(({code}) => code), [0, 0, 0, 0]);
  t.deepEqual(names(), ['a', 'p', 'q', 'r', 's']);
  t.is(readStored().sequence, 6);
});

test('apply recovers from a lost response: the change is accepted once', async t => {
  const {emulator, apply, readStored} = await startPlatform(t);
  emulator.setFaults({loseResponses: 1});
  t.like(await apply('ada', [service('a')]), {code: 0, out: '+ Service/a\naccepted as sequence 1\n'});
  t.is(readStored().sequence, 1);
  t.is(emulator.counts().write, 1);
});

test('a platform that is down ends with exit code 4', async t => {
  const {emulator, apply, runAs} = await startPlatform(t);
  emulator.setFaults({outage: 'refuse'});
  t.like(await apply('ada', [service('a')]), {code: 4});
  t.like(await runAs('ada', 'get'), {code: 4});
});

const failingCommands: Array<[title: string, args: string[], code: number, err: RegExp]> = [
  ['an unknown command', ['aply'], 2, /Command not found/u],
  ['an unknown option', ['get', '--outptu', 'json'], 2, /Unsupported option name/u],
  ['an unknown format', ['get', '--output', 'xml'], 2, /use `table` or `json`/u],
  ['an unknown kind', ['get', 'Rul'], 2, /did you mean `Rule`/u],
  ['a missing object', ['describe', 'Rule/dd'], 1, /did you mean `Rule\/d`/u],
  ['a missing file', ['apply', '-f', 'missing.json'], 2, /cannot read the files/u],
  ['no file', ['apply'], 2, /use `-f FILE`/u],
  ['a base that is no number', ['delete', 'Rule/d', '--base-sequence', 'x'], 2, /whole number/u],
  ['no admin address', ['status'], 2, /--admin/u],
  ['a process that is not there', ['explain', 'x', '--admin', '127.0.0.1:9'], 4, /check the admin address/u],
  ['deleting an object that others need', ['delete', 'Service/a'], 2, /there is no such service/u],
  ['no fleet key', ['token', 'g'], 2, /JUJUBEWELL_FLEET_KEY/u],
];

test('wrong usage and invalid input end with exit code 2 and a remedy, failures with 1 and 4', async t => {
  const {apply, runAs} = await startPlatform(t);
  const kind = {
    kind: 'RequestKind', name: 'k', spec: {
      service: 'a', methods: ['GET'], path: '/', idempotent: true,
    },
  };
  await apply('ada', [service('a'), kind, deadline(5)]);
  for (const [title, args, code, err] of failingCommands) {
    // eslint-disable-next-line no-await-in-loop
    const result = await runAs('ada', ...args);
    t.is(result.code, code, title);
    t.regex(result.err, err, title);
  }
});

test('invalid objects are listed and not applied, alone or merged', async t => {
  const {apply, runAs, file, emulator} = await startPlatform(t);
  const wrong = await apply('ada', [{...service('a'), lables: {}}, {kind: 'Service', name: 'A'}]);
  t.is(wrong.code, 2);
  t.regex(wrong.err, /lables: .*did you mean `labels`\?\n.*Service\/A name/u);
  t.is(emulator.counts().write, 0);
  await apply('ada', [service('chiuse')]);
  const kind = await file({
    kind: 'RequestKind', name: 'k', spec: {
      service: 'chiuse', methods: ['GET'], path: '/', idempotent: true,
    },
  });
  t.like(await run(['validate', '-f', kind]), {code: 2});
  t.like(await runAs('ada', 'validate', '-f', kind, '--merged'), {code: 0});
});

test('watch shows a change, and describe shows its effect', async t => {
  const {apply, runAs, emulator, file} = await startPlatform(t);
  await apply('ada', [service('a')]);
  const watching = runAs('eve', 'watch', '--count', '1');
  while (emulator.openWatches() === 0) {
    // eslint-disable-next-line no-await-in-loop
    await new Promise(resolve => {
      setTimeout(resolve, 5);
    });
  }

  await runAs('bea', 'apply', '-f', await file([deadline(7), {
    kind: 'RequestKind', name: 'k', spec: {
      service: 'a', methods: ['GET'], path: '/', idempotent: true,
    },
  }]));
  const watched = await watching;
  t.is(watched.code, 0);
  t.regex(watched.out, /^sequence 2 by bea at .*\n {2}\+ RequestKind\/k\n {2}\+ Rule\/d\n$/u);
  const described = await runAs('ada', 'describe', 'RequestKind/k', '--output', 'json');
  t.like(JSON.parse(described.out), {lastChange: {author: 'bea', sequence: 2}, treatments: [{deadlineMs: 7}]});
});

/** Starts an admin listener that reports a sequence in force. */
const startAdmin = async (t: ExecutionContext, sequence: number): Promise<string> => {
  const server = createServer((request, response) => {
    const found = ['/status', '/events?after=4', '/drain', '/explain/h-1'].includes(request.url ?? '');
    response.writeHead(found ? 200 : 404).end(JSON.stringify({
      host: 'h', inFlight: 0, fleet: {sequence, zone: {members: [{}, {}]}}, events: [{
        id: 5, at: 0, kind: 'ejected', cause: 'three failures',
      }],
    }));
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

test('a platform that is behind the sequence in force is changed only with --overwrite, and the sequence then grows beyond it', async t => {
  const {apply, readStored} = await startPlatform(t);
  await apply('ada', [service('a')]);
  const admin = await startAdmin(t, 41);
  const refused = await apply('ada', [service('b')], '--admin', admin);
  t.is(refused.code, 3);
  t.regex(refused.err, /holds sequence 1 but sequence 41 is in force/u);
  t.like(await apply('ada', [service('b')], '--admin', admin, '--overwrite'), {code: 0});
  t.is(readStored().sequence, 42);
});

test('commands for processes show what the admin listener answers', async t => {
  const admin = await startAdmin(t, 3);
  const env = {JUJUBEWELL_ADMIN: admin};
  t.regex((await run(['status'], env)).out, /SEQUENCE\n127.* h +.* 0 +2 +3\n$/u); // eslint-disable-line unicorn/no-await-expression-member
  t.regex((await run(['events', '--after', '4'], env)).out, /5 .*ejected +three failures/u); // eslint-disable-line unicorn/no-await-expression-member
  t.like(await run(['drain', '--wait'], env), {code: 0});
  t.like(await run(['explain', 'h-1'], env), {code: 0});
  t.like(await run(['explain', 'h-2'], env), {code: 1});
});

test('a client group header has the message authentication code that processes check', async t => {
  // Computed with: printf 'group:crews' | openssl dgst -sha256 -hmac test-key -binary | base64
  t.like(await run(['token', 'crews'], {JUJUBEWELL_FLEET_KEY: 'test-key'}), {code: 0, out: 'jujubewell-group: crews.J90IrjtbqMy6_fWQR2yg0x\n'});
});

test('the completion script is valid bash that knows all commands', async t => {
  const {out} = await run(['completion', 'bash']);
  for (const command of ['apply', 'drain', 'token', 'watch']) {
    t.regex(out, new RegExp(`^ {4}${command}\\) words="-o --output`, 'mu'));
  }

  t.like(await run(['completion', 'fish']), {code: 2});
});
