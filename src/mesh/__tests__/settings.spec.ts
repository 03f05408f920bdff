/** Guards against limits for clients that are accepted although they cannot work, and against messages without a remedy. */
import test from 'ava';
import {CONNECTION_LIMIT_DEFAULTS} from '../client-limits/limits.js';
import {parseSettings} from '../settings.js';

const createSettings = (clientLimits?: unknown): string => JSON.stringify({
  node: 'h1',
  zone: 'a',
  service: 'sound',
  listen: {
    entry: '127.0.0.1:1', peer: '127.0.0.1:2', announcements: '127.0.0.1:3', readiness: '127.0.0.1:4',
  },
  store: '127.0.0.1:5',
  announcementMs: 1000,
  bounds: {
    drainMs: 2000, graceMs: 4000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 20,
  },
  clientLimits,
});

const invalidCases: Array<{title: string; clientLimits: unknown; field: string}> = [
  {title: 'no connection', clientLimits: {connections: 0}, field: 'clientLimits.connections'},
  {title: 'half a header line', clientLimits: {headerLines: 0.5}, field: 'clientLimits.headerLines'},
  {title: 'a negative number of requests', clientLimits: {pipelinedRequests: -1}, field: 'clientLimits.pipelinedRequests'},
  {title: 'a text in place of a number', clientLimits: {connectionBytes: '1 MiB'}, field: 'clientLimits.connectionBytes'},
  {title: 'no time for progress', clientLimits: {bodyProgressMs: 0}, field: 'clientLimits.bodyProgressMs'},
  {title: 'a limit that does not exist', clientLimits: {sockets: 5}, field: 'clientLimits'},
];

for (const {title, clientLimits, field} of invalidCases) {
  test(`settings with ${title} are rejected with the field and a remedy`, t => {
    const parsed = parseSettings(createSettings(clientLimits));
    t.is(parsed.kind, 'error');
    if (parsed.kind === 'error') {
      t.is(parsed.error.length, 1);
      t.is(parsed.error[0]!.message.slice(0, field.length + 2), `${field}: `);
      t.regex(parsed.error[0]!.message, /correct this field/u);
    }
  });
}

test('each limit for clients is optional', t => {
  t.is(parseSettings(createSettings()).kind, 'ok');
  t.is(parseSettings(createSettings({})).kind, 'ok');
  const parsed = parseSettings(createSettings({connections: 240}));
  t.deepEqual(parsed.kind === 'ok' ? parsed.value.clientLimits : undefined, {connections: 240});
});

test('the defaults admit the longest head of the platform in its shortest lines, and connections of four fifths of a small host fit beside other descriptors', t => {
  t.true(CONNECTION_LIMIT_DEFAULTS.headerLines >= 16_384 / 4);
  t.true(CONNECTION_LIMIT_DEFAULTS.connections < 4100 - 200);
});
