/** Guards against logging that slows down calls: the rate is bounded, a slow reader does not block, and dropped lines are counted. */
import test from 'ava';
import {createDecisionLog} from '../decision-log.js';

const lineLimits = {
  debug: 5, info: 10, warn: 10, error: 10,
};

test('the line rate stays within its bound for 10,000 failing requests per second, and the dropped lines are reported', t => {
  let now = 10_000;
  const lines: string[] = [];
  const log = createDecisionLog({
    node: 'n', level: 'info', linesPerSecond: lineLimits, wallClock: () => now, sink: line => lines.push(line) * 0,
  });
  for (let index = 0; index < 10_000; index++) {
    log.write('info', 'request-ended', {request: String(index)});
  }

  t.is(lines.length, 10);
  now += 1000;
  log.write('error', 'start-failed');
  t.is(lines.length, 12);
  const dropReport = JSON.parse(lines[10]!) as {event: string; lines: number};
  t.deepEqual([dropReport.event, dropReport.lines], ['log-lines-dropped', 9990]);
  t.is(log.counters().get('log_lines_dropped')?.get('info'), 9990);
});

test('lines for a reader that does not read are dropped instead of buffered', t => {
  const lines: string[] = [];
  const log = createDecisionLog({
    node: 'n', level: 'info', linesPerSecond: {...lineLimits, info: 1000}, wallClock: () => 1, sink: line => lines.push(line) * 600_000,
  });
  for (let index = 0; index < 100; index++) {
    log.write('info', 'x');
  }

  t.is(lines.length, 2);
});

test('lines below the configured level are not written', t => {
  const lines: string[] = [];
  const log = createDecisionLog({
    node: 'n', level: 'warn', linesPerSecond: lineLimits, sink: line => lines.push(line) * 0,
  });
  log.write('info', 'a');
  log.write('warn', 'b');
  t.deepEqual(lines.map(line => (JSON.parse(line) as {event: string}).event), ['b']);
});
