/** Guards against invalid settings that are accepted, problems that are reported one at a time, and a fleet key in the output. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {loadSettings, parseSettings, type SettingsError} from '../settings.js';

const FLEET_KEY = 'a-secret-of-the-fleet-0123456789';

const validSettings = {
  host: 'c1', zone: 'north', entry: '127.0.0.1:7101', peer: '127.0.0.1:7102', local: '127.0.0.1:7103', admin: '127.0.0.1:7104', platform: 'http://127.0.0.1:7100', fleetKey: FLEET_KEY,
};

const errorsOf = (input: unknown): SettingsError[] => {
  const parsed = parseSettings(input);
  return parsed.kind === 'error' ? parsed.error : [];
};

const without = (key: keyof typeof validSettings): Record<string, unknown> => Object.fromEntries(Object.entries(validSettings).filter(([name]) => name !== key));

type Case = [title: string, input: unknown, path: string, found: string, remedy: RegExp];

const cases: Case[] = [
  ['a missing field', without('host'), 'host', 'nothing', /string/u],
  ['a host name with capitals', {...validSettings, host: 'C1'}, 'host', '"C1"', /lower-case letters/u],
  ['a zone that is not a string', {...validSettings, zone: 7}, 'zone', '7', /string/u],
  ['an address without a port', {...validSettings, entry: '127.0.0.1'}, 'entry', '"127.0.0.1"', /address and a port/u],
  ['a host name as an address', {...validSettings, peer: 'localhost:7102'}, 'peer', '"localhost:7102"', /IPv4/u],
  ['a platform that is not a URL', {...validSettings, platform: 'here'}, 'platform', '"here"', /URL/u],
  ['a platform URL with another protocol', {...validSettings, platform: 'ftp://127.0.0.1'}, 'platform', '"ftp://127.0.0.1"', /URL/u],
  ['a contact that is not an address', {...validSettings, contacts: ['127.0.0.1:1', 'c2']}, 'contacts.1', '"c2"', /IPv4/u],
  ['a limit below its range', {...validSettings, limits: {ticketLifetimeMs: 0}}, 'limits.ticketLifetimeMs', '0', />=1000/u],
  ['a limit above its range', {...validSettings, limits: {peerConnections: 10_001}}, 'limits.peerConnections', '10001', /<=10000/u],
  ['a fraction of a millisecond', {...validSettings, stopTimeoutMs: 1.5}, 'stopTimeoutMs', '1.5', /int/u],
  ['an unknown log level', {...validSettings, log: {level: 'all'}}, 'log.level', '"all"', /"error"\|"warn"\|"info"\|"debug"/u],
  ['an unknown field of a section', {...validSettings, log: {levels: 'info'}}, 'log', 'an object with the fields levels', /levels/u],
  ['an unknown field', {...validSettings, hosts: 1}, '(file)', 'an object with the fields host, zone, entry, peer, local, admin, platform, fleetKey, hosts', /hosts/u],
  ['a list instead of an object', [], '(file)', 'a list with 0 entries', /object/u],
  ['null', null, '(file)', 'null', /object/u],
  ['a short fleet key', {...validSettings, fleetKey: 'short'}, 'fleetKey', 'a secret value', /at least 16/u],
];

test('valid settings are accepted and get their defaults', t => {
  t.deepEqual(errorsOf(validSettings), []);
  const parsed = parseSettings(validSettings);
  t.like(parsed, {
    kind: 'ok', value: {
      contacts: [], stopTimeoutMs: 30_000, limits: {ticketLifetimeMs: 120_000}, log: {level: 'info', format: 'json'},
    },
  });
});

for (const [title, input, errorPath, found, remedy] of cases) {
  test(`${title} is reported with path, found value and remedy`, t => {
    const errors = errorsOf(input);
    t.is(errors.length, 1);
    t.like(errors[0], {path: errorPath, found});
    t.regex(errors[0]!.remedy, remedy);
  });
}

test('every problem is listed, not only the first', t => {
  t.deepEqual(errorsOf({
    ...validSettings, host: 'C1', entry: 'x', limits: {replayBytes: -1},
  }).map(error => error.path).sort(), ['entry', 'host', 'limits.replayBytes']);
});

test('a missing file is reported as one problem with its cause', t => {
  const loaded = loadSettings('/nowhere/settings.json');
  t.like(loaded, {kind: 'error', error: [{path: '(file)', remedy: 'name a readable JSON file as the first argument'}]});
  t.regex(loaded.kind === 'error' ? loaded.error[0]!.found : '', /ENOENT/u);
});

const secrets: Array<[title: string, input: unknown]> = [
  ['is too short', {...validSettings, fleetKey: 'tiny-secret'}],
  ['is a list', {...validSettings, fleetKey: ['tiny-secret']}],
  ['stands beside an unknown field', {fleetKey: 'tiny-secret-0123456789', ...without('fleetKey'), fleetkey: 1}],
  ['stands beside other problems', {...validSettings, fleetKey: 'tiny-secret-0123456789', host: 'C1'}],
  ['is in a list of settings', [{fleetKey: 'tiny-secret-0123456789'}]],
  ['is under a misspelt name', {fleetkey: 'tiny-secret-0123456789', ...without('fleetKey')}],
];

for (const [title, input] of secrets) {
  test(`no problem shows the fleet key when it ${title}`, t => {
    const errors = errorsOf(input);
    t.true(errors.length > 0);
    t.notRegex(JSON.stringify(errors), /tiny-secret/u);
  });
}

const writeSettings = async (t: ExecutionContext, content: string): Promise<string> => {
  const directory = await mkdtemp(path.join(tmpdir(), 'jujubewell-'));
  t.teardown(async () => rm(directory, {recursive: true}));
  const file = path.join(directory, 'settings.json');
  await writeFile(file, content);
  return file;
};

for (const content of ['{"fleetKey": "tiny-secret" oops}', '{"fleetKey": tiny-secret-0123456789}', '{"fleetKey": "tiny-secret']) {
  test(`the error for ${content} does not quote the file, which holds the fleet key`, async t => {
    const loaded = loadSettings(await writeSettings(t, content));
    t.is(loaded.kind, 'error');
    t.regex(JSON.stringify(loaded), /not valid JSON/u);
    t.notRegex(JSON.stringify(loaded), /tiny-s/u);
  });
}

/** Preloaded module that writes a line to standard error when the process starts to listen. */
const LISTEN_HOOK = [
  'import net from \'node:net\';',
  'const {listen} = net.Server.prototype;',
  String.raw`net.Server.prototype.listen = function (...args) { process.stderr.write('LISTENS\n'); return listen.apply(this, args); };`,
].join('\n');

const startMain = (t: ExecutionContext, file: string) => {
  const main = fileURLToPath(new URL('../main.ts', import.meta.url));
  const child = spawn(process.execPath, ['--import=tsx', '--import', `data:text/javascript,${encodeURIComponent(LISTEN_HOOK)}`, main, file], {stdio: ['ignore', 'pipe', 'pipe']});
  t.teardown(() => {
    child.kill('SIGKILL');
  });
  return child;
};

test('with invalid settings jujubewelld exits with code 2, prints every problem and never listens', async t => {
  const child = startMain(t, await writeSettings(t, JSON.stringify({...validSettings, zone: 'North', admin: '7104'})));
  const [out, errors, [code]] = await Promise.all([text(child.stdout), text(child.stderr), once(child, 'close') as Promise<[number]>]);
  t.is(code, 2);
  t.is(out, '');
  t.regex(errors, /^the settings are not valid:\n/u);
  t.regex(errors, / {2}zone: found "North"; /u);
  t.regex(errors, / {2}admin: found "7104"; /u);
  t.notRegex(errors, /LISTENS/u);
  t.false(errors.includes(FLEET_KEY));
});

test('with valid settings jujubewelld listens, which shows that the previous test would detect it', async t => {
  const anyPort = '127.0.0.1:0';
  const child = startMain(t, await writeSettings(t, JSON.stringify({
    ...validSettings, entry: anyPort, peer: anyPort, local: anyPort, admin: anyPort, platform: 'http://127.0.0.1:9',
  })));
  const [chunk] = await once(child.stderr, 'data') as [Uint8Array];
  t.regex(String(chunk), /LISTENS/u);
});
