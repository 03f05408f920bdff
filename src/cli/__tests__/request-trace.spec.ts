/** Guards against traces that suggest a wrong cause: lines out of order, of other requests, or lost because another line was truncated. */
import test from 'ava';
import {readTrace, renderTrace} from '../request-trace.js';

const line = (time: string, node: string, event: string, fields: Record<string, unknown> = {}): string =>
  JSON.stringify({
    time: `2026-05-01T10:00:${time}Z`, level: 'info', node, event, request: 'r1', ...fields,
  });

const refused = [
  line('00.000', 'entry', 'request-sent', {to: 'door', sends: 1}),
  line('00.010', 'door', 'door-refused', {reason: 'queue-full', queued: 80, limit: 25}),
  line('00.020', 'entry', 'request-ended', {outcome: 'not-run', reason: 'no-room'}),
];

const killed = [
  line('00.000', 'entry', 'request-sent', {to: 'door', sends: 1}),
  line('00.300', 'entry', 'request-ended', {outcome: 'unknown', reason: 'outcome-unknown'}),
];

const drained = [
  line('00.000', 'entry', 'request-sent', {to: 'door', sends: 1}),
  line('00.001', 'door', 'door-refused', {reason: 'backend-draining'}),
  line('00.004', 'entry', 'request-ended', {outcome: 'not-run', reason: 'no-backend-server'}),
];

const cases: Array<{title: string; texts: string[]; events: string[]; cause: RegExp}> = [
  {
    title: 'a request refused because the queue is full', texts: [refused.join('\n')], events: ['request-sent', 'door-refused', 'request-ended'], cause: /queue-full queued=80 limit=25/u,
  },
  {
    title: 'a request whose outcome is unknown because its process was killed', texts: [killed.join('\n')], events: ['request-sent', 'request-ended'], cause: /outcome-unknown/u,
  },
  {
    title: 'a request sent to a draining backend server', texts: [drained.join('\n')], events: ['request-sent', 'door-refused', 'request-ended'], cause: /backend-draining/u,
  },
  {
    title: 'log files in another order, one per process', texts: [refused[1]!, `${refused[0]!}\n${refused[2]!}`], events: ['request-sent', 'door-refused', 'request-ended'], cause: /no-room/u,
  },
  {
    title: 'a host clock two seconds behind',
    texts: [`${refused[0]!}\n${refused[2]!}`, refused[1]!.replace('10:00:00.010', '09:59:58.010')],
    events: ['request-sent', 'door-refused', 'request-ended'],
    cause: /queue-full/u,
  },
  {
    title: 'lines with a prefix added by a log collector',
    texts: [refused.map(text => `  12.5 host-1 ${text}`).join('\n')],
    events: ['request-sent', 'door-refused', 'request-ended'],
    cause: /queue-full/u,
  },
];

test('a request that is held back because of crashes shows each crash that its content is blamed for, and no others', t => {
  const crash = (time: string, id: string, content: string): string => JSON.stringify({
    time: `2026-05-01T09:59:${time}Z`, level: 'warn', node: 'door', event: 'backend-crashed', crash: id, running: 2, blamed: [{request: 'r0', content}, {request: 'r9', content: 'other'}],
  });
  const trace = readTrace('r1', [[
    crash('10.000', 'i1/1', 'deadly'),
    crash('20.000', 'i2/1', 'deadly'),
    crash('30.000', 'i3/1', 'another'),
    line('00.000', 'entry', 'request-held-back', {content: 'deadly', crashes: 3}),
    line('00.001', 'entry', 'request-ended', {outcome: 'not-run', reason: 'crash-suspect'}),
  ].join('\n')]);
  t.deepEqual(trace.lines.map(({event}) => event), ['backend-crashed', 'backend-crashed', 'request-held-back', 'request-ended']);
  t.notRegex(renderTrace(trace), /other/u);
});

for (const {title, texts, events, cause} of cases) {
  test(title, t => {
    const trace = readTrace('r1', texts);
    t.deepEqual(trace.lines.map(({event}) => event), events);
    t.regex(renderTrace(trace), cause);
  });
}

test('truncated lines are skipped and counted, and lines of other requests are left out', t => {
  const trace = readTrace('r1', [`${refused[0]!}\n${refused[1]!.slice(0, 30)}\nnot a line\n${refused[2]!.replace('r1', 'r2')}`]);
  t.is(trace.lines.length, 1);
  t.is(trace.unreadable, 2);
  t.regex(renderTrace(trace), /2 unreadable lines/u);
});
