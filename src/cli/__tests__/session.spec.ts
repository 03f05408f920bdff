/** Guards against commands that work with the platform alone but fail with running processes, in the session that docs/cli.md shows. */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough} from 'node:stream';
import {text} from 'node:stream/consumers';
import test from 'ava';
import {request} from 'undici';
import {waitUntil, startDeployment} from '../../daemon/__tests__/deployment.js';
import type {DeclaredObject} from '../../objects/schema.js';
import {runCli} from '../cli.js';

const deadline = (milliseconds: number): DeclaredObject => ({
  kind: 'Rule', name: 'deadline-reads', labels: {}, spec: {type: 'deadline', select: {}, milliseconds},
});

const objects: DeclaredObject[] = [
  {
    kind: 'Service', name: 'statusrog', labels: {}, spec: {},
  },
  {
    kind: 'RequestKind', name: 'channel-status', labels: {}, spec: {
      service: 'statusrog', methods: ['GET'], path: '/channels*', idempotent: true,
    },
  },
  deadline(3000),
];

test('the documented session of two operators works against a running process', async t => {
  const deployment = await startDeployment(objects, [{
    service: 'statusrog',
    handle(_incoming, response) {
      response.end('open');
    },
  }]);
  const directory = await mkdtemp(path.join(tmpdir(), 'jujubewell-'));
  t.teardown(async () => {
    await deployment.stop();
    await rm(directory, {recursive: true});
  });
  const [host] = deployment.hosts;
  const run = async (author: string, ...args: string[]) => {
    const [stdout, stderr] = [new PassThrough(), new PassThrough()];
    const env = {JUJUBEWELL_PLATFORM: deployment.platform, JUJUBEWELL_ADMIN: host!.settings.admin, JUJUBEWELL_AUTHOR: author};
    const code = await runCli(args, {stdout, stderr, env});
    stdout.end();
    stderr.end();
    return {code, out: await text(stdout), errors: await text(stderr)};
  };

  const write = async (name: string, content: unknown) => {
    const file = path.join(directory, name);
    await writeFile(file, JSON.stringify(content));
    return file;
  };

  const sequence = () => (host!.node.status() as {fleet: {sequence: number}}).fleet.sequence;
  const [adaFile, beaFile] = [await write('a.json', deadline(2500)), await write('b.json', deadline(4000))];

  t.like(await run('ada', 'apply', '-f', adaFile, '--base-sequence', '1'), {code: 0, out: '~ Rule/deadline-reads\n    spec.milliseconds: 3000 -> 2500\naccepted as sequence 2\n'});
  const conflicting = await run('bea', 'apply', '-f', beaFile, '--base-sequence', '1');
  t.is(conflicting.code, 3);
  t.regex(conflicting.errors, /Rule\/deadline-reads: changed by ada at .* in sequence 2/u);
  t.like(await run('bea', 'apply', '-f', beaFile, '--base-sequence', '2'), {code: 0});
  await waitUntil(() => sequence() === 3);

  const described = await run('bea', 'describe', 'RequestKind/channel-status');
  t.regex(described.out, /statusrog\/channel-status .*4000 ms/u);
  const running = await run('bea', 'status');
  t.regex(running.out, /running +statusrog +0 +1 +3/u);

  const rejected = await request(`http://${host!.entry}/statusrog/nowhere`);
  await rejected.body.dump();
  const explained = await run('bea', 'explain', String(rejected.headers['jujubewell-explain']));
  t.like(explained, {code: 0, errors: ''});
  t.regex(explained.out, /reason: unknown-request-kind\noutcome: not-run/u);

  t.like(await run('bea', 'drain', '--wait'), {code: 0, out: `${host!.settings.admin} has no call in flight\n`});
  const leaving = await run('bea', 'status');
  t.regex(leaving.out, / leaving /u);
  const events = await run('bea', 'events');
  t.regex(events.out, /configuration 3 by bea is in effect[^]*drain-started/u);
});
