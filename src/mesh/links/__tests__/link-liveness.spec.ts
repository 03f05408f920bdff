/** Guards against late detection of a silent connection, and against frequent pings over idle links. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import {createLinkLiveness, type LinkLiveness} from '../link-liveness.js';

const STEP_MS = 20;

/** Simulates a link whose peer answers pings until `cutAt`, with a call every `callEveryMs`. */
const simulate = ({durationMs, cutAt, callEveryMs, answersCalls}: {durationMs: number; cutAt: number; callEveryMs: number; answersCalls: boolean}) => {
  const clock = createManualClock();
  const liveness: LinkLiveness = createLinkLiveness(() => clock.now());
  liveness.reset();
  let pings = 0;
  let notLiveAt: number | undefined;
  let timedOutAt: number | undefined;
  while (clock.now() < durationMs && timedOutAt === undefined) {
    const answers = clock.now() < cutAt;
    if (clock.now() > 0 && clock.now() % callEveryMs === 0) {
      liveness.recordCall();
      if (answers && answersCalls) {
        liveness.recordReceived();
      }
    }

    if (liveness.isPingDue()) {
      pings++;
      liveness.recordPing();
      if (answers) {
        liveness.recordReceived();
      }
    }

    clock.advance(STEP_MS);
    notLiveAt ??= liveness.isLive() ? undefined : clock.now();
    timedOutAt = liveness.isTimedOut() ? clock.now() : undefined;
  }

  return {pings, notLiveAt, timedOutAt};
};

const pingCases = [
  {
    title: 'an idle link is pinged once per second', callEveryMs: 1_000_000, answersCalls: false, pings: 10,
  },
  {
    title: 'an active link whose calls are answered needs no additional pings', callEveryMs: 100, answersCalls: true, pings: 10,
  },
  {
    title: 'an active link without responses is pinged four times per second', callEveryMs: 500, answersCalls: false, pings: 40,
  },
];

for (const {title, pings, ...link} of pingCases) {
  test(title, t => {
    const result = simulate({durationMs: 10_000, cutAt: Number.POSITIVE_INFINITY, ...link});
    t.is(result.timedOutAt, undefined);
    t.true(Math.abs(result.pings - pings) <= pings * 0.1, `${result.pings} pings`);
  });
}

const cutCases = [
  {title: 'an active link', callEveryMs: 100, timeoutMs: 1050},
  {title: 'an idle link', callEveryMs: 1_000_000, timeoutMs: 1850},
];

for (const {title, callEveryMs, timeoutMs} of cutCases) {
  test(`${title} is closed in time after its connection was cut`, t => {
    const cutAt = 3100;
    const {notLiveAt, timedOutAt} = simulate({
      durationMs: 10_000, cutAt, callEveryMs, answersCalls: true,
    });
    t.true(notLiveAt! - cutAt <= timeoutMs - 400, `not live after ${notLiveAt! - cutAt} ms`);
    t.true(timedOutAt! - cutAt <= timeoutMs, `closed after ${timedOutAt! - cutAt} ms`);
  });
}

test('a suspension of this process does not count as silence of the peer', t => {
  const clock = createManualClock();
  const liveness = createLinkLiveness(() => clock.now());
  liveness.recordPing();
  clock.advance(5000);
  liveness.reset();
  t.true(liveness.isLive());
  t.false(liveness.isTimedOut());
});
