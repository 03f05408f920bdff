/** Guards against parts that stay down, restart loops without a delay, and a process that runs without a required part. */
import test from 'ava';
import {createSupervisor, type Part} from '../supervisor.js';

type Scheduled = {delayMs: number; run: () => void; cancelled: boolean};

const setUp = (parts: Array<{name: string; required?: boolean; failingStarts?: number}>, random = () => 1) => {
  const calls: string[] = [];
  const reports: string[] = [];
  const scheduled: Scheduled[] = [];
  const failures = new Map<string, (error: Error) => void>();
  const supervisor = createSupervisor({
    random,
    report(kind, cause) {
      reports.push(`${kind}: ${cause}`);
    },
    schedule(delayMs, run) {
      const restart: Scheduled = {delayMs, run, cancelled: false};
      scheduled.push(restart);
      return () => {
        restart.cancelled = true;
      };
    },
    parts: parts.map(({name, required = false, failingStarts = 0}): Part => {
      let starts = 0;
      return {
        name,
        required,
        async start(onFailure) {
          starts++;
          calls.push(`start ${name}`);
          failures.set(name, onFailure);
          if (starts <= failingStarts) {
            throw new Error(`${name} cannot start`);
          }
        },
        async stop() {
          calls.push(`stop ${name}`);
        },
      };
    }),
  });
  /** Runs the newest scheduled restart and lets its promises settle. */
  const runRestart = async () => {
    scheduled.at(-1)!.run();
    await new Promise(resolve => {
      setImmediate(resolve);
    });
  };

  return {
    supervisor, calls, reports, scheduled, runRestart,
    fail(name: string) {
      failures.get(name)!(new Error(`${name} broke`));
    },
  };
};

test('parts start in order and stop in reverse order, so that each stops before those it uses', async t => {
  const {supervisor, calls} = setUp([{name: 'a'}, {name: 'b', required: true}, {name: 'c'}]);
  await supervisor.start();
  t.deepEqual(supervisor.states().map(({state}) => state), ['running', 'running', 'running']);
  await supervisor.stop();
  t.deepEqual(calls, ['start a', 'start b', 'start c', 'stop c', 'stop b', 'stop a']);
  t.deepEqual(supervisor.states().map(({state}) => state), ['stopped', 'stopped', 'stopped']);
});

test('a required part that cannot start fails the start, and the started parts are stopped', async t => {
  const {supervisor, calls, scheduled} = setUp([{name: 'a'}, {name: 'b', required: true, failingStarts: 1}, {name: 'c'}]);
  await t.throwsAsync(supervisor.start(), {message: 'b cannot start'});
  t.deepEqual(calls, ['start a', 'start b', 'stop a']);
  t.is(scheduled.length, 0);
});

test('an optional part that cannot start is started later, and the others start at once', async t => {
  const {supervisor, calls, reports, runRestart} = setUp([{name: 'a', failingStarts: 1}, {name: 'b', required: true}]);
  await supervisor.start();
  t.deepEqual(supervisor.states().map(({state}) => state), ['restarting', 'running']);
  await runRestart();
  t.deepEqual(calls, ['start a', 'start b', 'stop a', 'start a']);
  t.like(supervisor.states()[0], {state: 'running', failures: 1, lastError: 'a cannot start'});
  t.deepEqual(reports, ['part-failed: a failed: a cannot start; it is restarted in 200 ms', 'part-restarted: a runs again after 1 failures']);
});

test('the restart delay doubles with each failure up to its maximum', async t => {
  const {supervisor, scheduled, runRestart} = setUp([{name: 'a', failingStarts: 20}]);
  await supervisor.start();
  for (let restart = 0; restart < 8; restart++) {
    await runRestart(); // eslint-disable-line no-await-in-loop
  }

  t.deepEqual(scheduled.map(({delayMs}) => delayMs), [200, 400, 800, 1600, 3200, 6400, 10_000, 10_000, 10_000]);
});

test('restart delays have jitter, so that the parts of many processes do not restart together', async t => {
  const {supervisor, scheduled} = setUp([{name: 'a', failingStarts: 1}], () => 0);
  await supervisor.start();
  t.deepEqual(scheduled.map(({delayMs}) => delayMs), [100]);
});

test('a part that fails after its start is restarted, once per failure', async t => {
  const {
    supervisor, calls, scheduled, fail, runRestart,
  } = setUp([{name: 'a'}]);
  await supervisor.start();
  fail('a');
  fail('a');
  t.is(scheduled.length, 1);
  await runRestart();
  t.deepEqual(calls, ['start a', 'stop a', 'start a']);
  fail('a');
  t.is(scheduled.length, 2);
});

test('no part restarts after the supervisor has stopped', async t => {
  const {
    supervisor, calls, scheduled, fail,
  } = setUp([{name: 'a', failingStarts: 1}, {name: 'b'}]);
  await supervisor.start();
  await supervisor.stop();
  fail('b');
  t.deepEqual(scheduled.map(({cancelled}) => cancelled), [true]);
  t.deepEqual(calls, ['start a', 'start b', 'stop b']);
});
