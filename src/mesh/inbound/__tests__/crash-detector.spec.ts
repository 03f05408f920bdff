/** Guards against taking a lost connection for a crash of the backend server, and against blaming a part of the calls that a crash has ended. */
import test from 'ava';
import {createCrashDetector, type ProbeResult} from '../crash-detector.js';

const backend = (startedAt: number) => ({
  instance: 'i', service: 's', address: '127.0.0.1:1', slots: 1, state: 'ready' as const, sequence: 1, startedAt, coldMs: 0,
});

const turn = async (): Promise<void> => new Promise(resolve => {
  setImmediate(resolve);
});

const cases: Array<{title: string; result: ProbeResult; crashes: string[][]}> = [
  {title: 'refuses connections has crashed', result: 'refuses', crashes: [['a', 'b', 'late']]},
  {title: 'accepts connections has not crashed', result: 'accepts', crashes: []},
  {title: 'does not answer is not known to have crashed', result: 'unknown', crashes: []},
];

for (const {title, result, crashes} of cases) {
  test(`a backend server that loses connections and ${title}; each call is released once, after the crash is recorded`, async t => {
    const seen: string[][] = [];
    const released: string[] = [];
    let probes = 0;
    const detector = createCrashDetector<string>({
      onCrash(_, calls) {
        t.deepEqual(released, []);
        seen.push([...calls]);
      },
      async probe() {
        probes++;
        await turn();
        return result;
      },
      sleep: turn,
    });
    const lose = (call: string): void => {
      detector.recordLoss({
        call, backend: backend(1), release() {
          released.push(call);
        },
      });
    };

    lose('a');
    lose('b');
    await turn();
    if (result === 'refuses') {
      lose('late');
    }

    await turn();
    await turn();
    t.deepEqual(seen, crashes);
    t.deepEqual(released, result === 'refuses' ? ['a', 'b', 'late'] : ['a', 'b']);
    t.is(probes, 1);
  });
}

test('losses at two starts of a backend server are told apart', async t => {
  const seen: Array<[number, readonly string[]]> = [];
  const detector = createCrashDetector<string>({
    onCrash({startedAt}, calls) {
      seen.push([startedAt, calls]);
    },
    probe: async () => 'refuses',
    sleep: turn,
  });
  for (const [call, startedAt] of [['a', 1], ['b', 2]] as const) {
    detector.recordLoss({call, backend: backend(startedAt), release: () => undefined});
  }

  await turn();
  await turn();
  t.deepEqual(seen, [[1, ['a']], [2, ['b']]]);
});
