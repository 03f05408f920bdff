/** Guards against calls with an unknown outcome because they were sent over a connection that was already silent, against one bad result that ends a link, and against a demand that is lost with the next report. */
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import {LONG_BODY_BYTES} from '../../body-buffer.js';
import {createDecisionLog} from '../../decision-log.js';
import {createFrameReader, createFrameWriter, type Frame} from '../frame.js';
import type {ReportedDemand} from '../../fair-shares/demand-tracker.js';
import {
  CAPABILITIES, type BackendState, type CallHeader, type CallResult, type KnownVersions, type Message,
} from '../../message.js';
import type {PeerCallResult} from '../../flow-control/outgoing-calls.js';
import {createPeerLink, type PeerLink} from '../peer-link.js';

const log = createDecisionLog({
  node: 'n', level: 'error', linesPerSecond: {
    debug: 0, info: 0, warn: 0, error: 0,
  },
});

const known: KnownVersions = {
  configuration: 0, members: 0, reading: undefined, ownReadingAgeMs: undefined,
};

const createCall = (idempotent: boolean): CallHeader => ({
  requestId: 'r', service: 's', method: 'GET', path: '/', rawHeaders: [], idempotent, isRepeat: false, priority: 0, route: 'r', remainingMs: 1000, targetMs: 1000, crashRecord: undefined, isTrial: false,
});

const ABSENT: BackendState = {kind: 'absent'};

const start = async (t: ExecutionContext, answers: (message: Message) => Message | undefined, state: BackendState = ABSENT, capabilities?: readonly string[]) => {
  const clock = createManualClock();
  const received: Message[] = [];
  const peer: {answersHello: boolean; socket: Socket | undefined} = {answersHello: true, socket: undefined};
  const server = createServer((socket: Socket) => {
    peer.socket = socket;
    const writer = createFrameWriter();
    const reader = createFrameReader(({message}: Frame) => {
      received.push(message);
      const answer = message.type === 'hello' && peer.answersHello
        ? {
          type: 'welcome' as const, member: {
            node: 'p', address: 'p', zone: 'z', service: 's',
          }, known, state, record: undefined, capabilities,
        }
        : answers(message);
      if (answer !== undefined) {
        socket.write(writer.encode(answer));
      }
    });
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      reader.push(chunk);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const link: PeerLink = createPeerLink({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    now: clock.now,
    log,
    createHello: () => ({
      type: 'hello', member: {
        node: 'n', address: 'n', zone: 'z', service: 's',
      }, known, record: undefined,
    }),
    createPing: () => ({type: 'ping', sentAt: 0, known}),
    onMessage() {
      received.length += 0;
    },
  });
  t.teardown(() => {
    link.close();
    server.close();
  });
  link.tick();
  await waitUntil(() => link.isOpen());
  return {
    link, received, clock, peer,
  };
};

const sleepBriefly = async () => new Promise(resolve => {
  setTimeout(resolve, 5);
});

/** Waits in real time; the manual clock of the link does not advance meanwhile. */
const waitUntil = async (condition: () => boolean) => {
  for (let turns = 0; turns < 2000 && !condition(); turns++) {
    await sleepBriefly(); // eslint-disable-line no-await-in-loop
  }
};

const sendNothing = () => undefined;

const answerPing = (message: Message): Message | undefined => message.type === 'ping'
  ? {
    type: 'pong', known, load: {
      running: 0, queued: 0, limit: 1, serviceMs: 1, routes: [], counted: {requests: 0, repeats: 0},
    },
  }
  : undefined;

const cases: Array<{title: string; answers: (message: Message) => Message | undefined; idempotent: boolean; sent: boolean; result: string}> = [
  {
    title: 'a non-idempotent call is not sent to a silent peer', answers: sendNothing, idempotent: false, sent: false, result: 'refused',
  },
  {
    title: 'an idempotent call is sent at once and lost when the connection times out', answers: sendNothing, idempotent: true, sent: true, result: 'lost',
  },
  {
    title: 'a non-idempotent call is sent once the peer answers a ping', answers: answerPing, idempotent: false, sent: true, result: 'pending',
  },
];

for (const {title, answers, idempotent, sent, result} of cases) {
  test(title, async t => {
    const {link, received, clock} = await start(t, answers);
    clock.advance(50);
    const results: PeerCallResult[] = [];
    link.call(createCall(idempotent), Buffer.alloc(0), outcome => {
      results.push(outcome);
    });
    await waitUntil(() => received.some(({type}) => type === (sent ? 'call' : 'ping')));
    if (result !== 'pending') {
      clock.advance(result === 'lost' ? 1500 : 200);
      link.tick();
    }

    t.is(received.some(({type}) => type === 'call'), sent);
    t.is(results.length, result === 'pending' ? 0 : 1);
    t.is(results.length === 0 ? 'pending' : results[0]?.result.kind ?? 'lost', result);
  });
}

const LONG_BODY = Buffer.alloc(LONG_BODY_BYTES + 1);

const capabilityCases: Array<{title: string; capabilities: readonly string[] | undefined; expected: string[]}> = [
  {title: 'a long body is sent with its call to a process that states no capabilities', capabilities: undefined, expected: ['call']},
  {title: 'a long body is sent with its call to a process with other capabilities', capabilities: ['of-a-later-version'], expected: ['call']},
  {title: 'a long body is sent after its grant to a process that grants bodies', capabilities: CAPABILITIES, expected: ['call', 'body']},
];

// Guards against bodies that wait for a grant of a process of an earlier version, which never comes.
for (const {title, capabilities, expected} of capabilityCases) {
  test(title, async t => {
    const answer = (message: Message): Message | undefined => {
      if (message.type === 'call' && message.bodyBytes !== undefined) {
        return {type: 'grant', id: message.id};
      }

      return message.type === 'call' || message.type === 'body'
        ? {
          type: 'result', id: message.id, result: answered([]), load: undefined,
        }
        : undefined;
    };

    const {link, received} = await start(t, answer, ABSENT, capabilities);
    const results: PeerCallResult[] = [];
    link.call(createCall(true), LONG_BODY, outcome => {
      results.push(outcome);
    });
    await waitUntil(() => results.length === 1);
    t.is(results[0]?.result.kind, 'answered');
    t.deepEqual(received.map(({type}) => type).filter(type => type === 'call' || type === 'body'), expected);
  });
}

// Guards against a call that a process of an earlier version, started at the same address, runs without its body.
test('a long body is sent with its call to a reconnected process that has not stated its capabilities', async t => {
  const {link, received, clock, peer} = await start(t, () => undefined, ABSENT, CAPABILITIES);
  peer.answersHello = false;
  peer.socket?.destroy();
  await waitUntil(() => !link.isOpen());
  clock.advance(1000);
  link.tick();
  await waitUntil(() => received.filter(({type}) => type === 'hello').length === 2);
  link.call(createCall(true), LONG_BODY, () => undefined);
  await waitUntil(() => received.some(({type}) => type === 'call'));
  t.deepEqual(received.filter(message => message.type === 'call').map(({bodyBytes}) => bodyBytes), [undefined]);
});

const answered = (rawHeaders: string[], status = 200): CallResult => ({
  kind: 'answered', status, rawHeaders, framed: true, failedBelow: false, lackingBelow: [],
});

const unusableResults: Array<{title: string; result: CallResult; onResult?: () => void; expected: string[]}> = [
  {title: 'a result whose head cannot be passed on', result: answered(['Content-Type', 'text/\u0001lain']), expected: ['lost', 'answered']},
  {title: 'a result with a status that HTTP does not have', result: answered([], 1000), expected: ['lost', 'answered']},
  {title: 'a result with the status 000', result: answered([], 0), expected: ['lost', 'answered']},
  {title: 'a result with a blank in a name', result: answered(['X Other', '1']), expected: ['lost', 'answered']},
  {title: 'a result with a control character in a name', result: answered(['X\u0001Other', '1']), expected: ['lost', 'answered']},
  {
    title: 'a result whose handling throws',
    result: answered(['Content-Type', 'text/plain']),
    onResult() {
      throw new Error('a defect');
    },
    expected: ['answered', 'answered'],
  },
];

// Guards against one bad result that costs the link, and with it all other calls.
for (const {title, result, onResult, expected} of unusableResults) {
  test(`${title} ends its call only`, async t => {
    let calls = 0;
    const {link} = await start(t, message => {
      if (message.type !== 'call') {
        return undefined;
      }

      calls++;
      return {
        type: 'result', id: message.id, result: calls === 1 ? result : answered(['X-Motif', 'É']), load: undefined,
      };
    });
    const results: PeerCallResult[] = [];
    link.call(createCall(true), Buffer.alloc(0), outcome => {
      results.push(outcome);
      onResult?.();
    });
    link.call(createCall(true), Buffer.alloc(0), outcome => {
      results.push(outcome);
    });
    await waitUntil(() => results.length === 2);
    t.deepEqual(results.map(outcome => outcome?.result.kind ?? 'link lost'), expected);
    t.true(link.isOpen());
  });
}

const answeredWithoutLength: CallResult = {
  kind: 'answered', status: 200, rawHeaders: [], framed: false, failedBelow: false, lackingBelow: [],
};

const linkEnds: Array<{title: string; end: (socket: Socket) => void}> = [
  {
    title: 'is reset',
    end(socket) {
      socket.resetAndDestroy();
    },
  },
  {
    title: 'ends',
    end(socket) {
      socket.end();
    },
  },
];

// Guards against a part of a response that looks whole; a link has no messages that end with it.
for (const {title, end} of linkEnds) {
  for (const bodyBytes of [10, 2 * LONG_BODY_BYTES]) {
    test(`a result whose last byte is missing when the link ${title} ends its call as lost, with a body of ${bodyBytes} bytes`, async t => {
      const {link, peer} = await start(t, message => {
        if (message.type === 'call') {
          const frame = createFrameWriter().encode({
            type: 'result', id: message.id, result: answeredWithoutLength, load: undefined,
          }, Buffer.alloc(bodyBytes));
          peer.socket!.write(frame.subarray(0, -1));
          end(peer.socket!);
        }

        return undefined;
      });
      const results: PeerCallResult[] = [];
      link.call(createCall(true), Buffer.alloc(0), outcome => {
        results.push(outcome);
      });
      await waitUntil(() => results.length === 1);
      t.deepEqual(results, [undefined]);
      t.false(link.isOpen());
    });
  }
}

test('a load report without the demand by workspace keeps the last one, whose age grows', async t => {
  const workspaces: ReportedDemand = {heaviest: [{workspace: 'w', total: 100, fresh: 90}], others: {total: 5, fresh: 5, count: 2}};
  let calls = 0;
  const {link, clock} = await start(t, message => {
    if (message.type !== 'call') {
      return undefined;
    }

    calls++;
    return {
      type: 'result', id: message.id, result: answered([]), load: {
        running: calls, queued: 0, limit: 9, serviceMs: 1, routes: [], counted: {requests: 0, repeats: 0}, ...(calls === 1 ? {workspaces} : {}),
      },
    };
  }, {
    kind: 'ready', service: 's', instance: 'i', coldMs: 0, load: {
      running: 0, queued: 0, limit: 9, serviceMs: 1, routes: [], counted: {requests: 0, repeats: 0},
    },
  });
  t.is(link.demandAgeMs(), Number.POSITIVE_INFINITY);
  for (const count of [1, 2]) {
    let ended = false;
    link.call(createCall(true), Buffer.alloc(0), () => {
      ended = true;
    });
    await waitUntil(() => ended); // eslint-disable-line no-await-in-loop
    const state = link.state();
    t.is(state.kind === 'absent' ? undefined : state.load.running, count);
    t.deepEqual(state.kind === 'absent' ? undefined : state.load.workspaces, workspaces);
    t.is(link.demandAgeMs(), count === 1 ? 0 : 300);
    clock.advance(300);
  }
});
