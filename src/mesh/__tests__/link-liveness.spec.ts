/** Guards against a silent connection that is noticed too late, and against pings over links that nobody uses. */
import test from 'ava';
import {createManualClock} from '../../shared/clock.js';
import {createLinkLiveness, type LinkLiveness} from '../link-liveness.js';

const STEP_MS = 20;

/** Plays a link whose other end answers pings until `cutAt`; a call is sent every `callEveryMs`. */
const play = ({durationMs, cutAt, callEveryMs, answersCalls}: {durationMs: number; cutAt: number; callEveryMs: number; answersCalls: boolean}) => {
  const clock = createManualClock();
  const liveness: LinkLiveness = createLinkLiveness(() => clock.now());
  liveness.reset();
  let pings = 0;
  let notLiveAt: number | undefined;
  let silentAt: number | undefined;
  while (clock.now() < durationMs && silentAt === undefined) {
    const answers = clock.now() < cutAt;
    if (clock.now() > 0 && clock.now() % callEveryMs === 0) {
      liveness.used();
      if (answers && answersCalls) {
        liveness.heard();
      }
    }

    if (liveness.pingDue()) {
      pings++;
      liveness.pinged();
      if (answers) {
        liveness.heard();
      }
    }

    clock.advance(STEP_MS);
    notLiveAt ??= liveness.isLive() ? undefined : clock.now();
    silentAt = liveness.isSilent() ? clock.now() : undefined;
  }

  return {pings, notLiveAt, silentAt};
};

const quiet = [
  {
    title: 'a link that is not in use is pinged once a second', callEveryMs: 1_000_000, answersCalls: false, pings: 10,
  },
  {
    title: 'a link whose calls are answered needs no more pings', callEveryMs: 100, answersCalls: true, pings: 10,
  },
  {
    title: 'a link with calls and without answers is pinged four times a second', callEveryMs: 500, answersCalls: false, pings: 40,
  },
];

for (const {title, pings, ...link} of quiet) {
  test(title, t => {
    const played = play({durationMs: 10_000, cutAt: Number.POSITIVE_INFINITY, ...link});
    t.is(played.silentAt, undefined);
    t.true(Math.abs(played.pings - pings) <= pings * 0.1, `${played.pings} pings`);
  });
}

const cuts = [
  {title: 'a link in use', callEveryMs: 100, silentMs: 1050},
  {title: 'a link that is not in use', callEveryMs: 1_000_000, silentMs: 1850},
];

for (const {title, callEveryMs, silentMs} of cuts) {
  test(`${title} is given up in time after a cut`, t => {
    const cutAt = 3100;
    const {notLiveAt, silentAt} = play({
      durationMs: 10_000, cutAt, callEveryMs, answersCalls: true,
    });
    t.true(notLiveAt! - cutAt <= silentMs - 400, `not live after ${notLiveAt! - cutAt} ms`);
    t.true(silentAt! - cutAt <= silentMs, `given up after ${silentAt! - cutAt} ms`);
  });
}

test('a standstill of this process is not taken for silence of the other end', t => {
  const clock = createManualClock();
  const liveness = createLinkLiveness(() => clock.now());
  liveness.pinged();
  clock.advance(5000);
  liveness.reset();
  t.true(liveness.isLive());
  t.false(liveness.isSilent());
});
