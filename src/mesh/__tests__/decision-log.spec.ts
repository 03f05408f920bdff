/** Guards against logs that slow the calls down: the volume is bounded, a reader that stops reading stops nothing, and what is left out is counted. */
import test from 'ava';
import {createDecisionLog} from '../decision-log.js';

const lineLimits = {
  debug: 5, info: 10, warn: 10, error: 10,
};

test('ten thousand failing requests in a second stay inside the bound, and the loss is told', t => {
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

test('a reader that does not read drops lines instead of holding them', t => {
  const lines: string[] = [];
  const log = createDecisionLog({
    node: 'n', level: 'info', linesPerSecond: {...lineLimits, info: 1000}, wallClock: () => 1, sink: line => lines.push(line) * 600_000,
  });
  for (let index = 0; index < 100; index++) {
    log.write('info', 'x');
  }

  t.is(lines.length, 2);
});

test('severities below the level are left out', t => {
  const lines: string[] = [];
  const log = createDecisionLog({
    node: 'n', level: 'warn', linesPerSecond: lineLimits, sink: line => lines.push(line) * 0,
  });
  log.write('info', 'a');
  log.write('warn', 'b');
  t.deepEqual(lines.map(line => (JSON.parse(line) as {event: string}).event), ['b']);
});
