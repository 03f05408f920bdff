/** Guards against an account that closes the wrong connection, keeps memory of closed ones, or refuses what fits. */
import test from 'ava';
import {createConnectionAccount, type ConnectionPart, type EvictionReason} from '../connection-account.js';

const KIB = 1024;
const MIB = 1024 * KIB;

type Connection = {name: string; bytes: number; isForwarding?: boolean; isAnswered?: boolean};

/** Opens connections one after the other; `evicted` lists those that the account has closed. */
const openAll = (heldBytesMax: number, connections: number, opened: readonly Connection[]) => {
  const evicted: Array<{name: string; reason: EvictionReason}> = [];
  const account = createConnectionAccount({
    heldBytesMax, limits: {connections}, log: {count: () => undefined, write: () => undefined},
  });
  const parts = opened.map(({name, bytes, isForwarding = false, isAnswered = false}): ConnectionPart => {
    const part = account.open({
      isForwarding: () => isForwarding,
      isAnswered: () => isAnswered,
      evict(reason) {
        evicted.push({name, reason});
      },
    });
    part.reserve().add(bytes);
    return part;
  });
  return {
    account, parts, evicted: () => evicted.map(({name}) => name), reasons: () => evicted.map(({reason}) => reason),
  };
};

const fullCases: Array<{title: string; connections: Connection[]; expected: string[]}> = [
  {
    title: 'the one that holds most',
    connections: [{name: 'small', bytes: MIB}, {name: 'large', bytes: 5 * MIB}, {name: 'new', bytes: 3 * MIB}],
    expected: ['large'],
  },
  {
    title: 'one without a request that is being forwarded, even if another holds more',
    connections: [{name: 'forwarding', bytes: 5 * MIB, isForwarding: true}, {name: 'open body', bytes: 2 * MIB}, {name: 'new', bytes: 1.5 * MIB}],
    expected: ['open body'],
  },
  {
    title: 'one whose request is being forwarded, if no other holds anything',
    connections: [{name: 'less', bytes: 3 * MIB, isForwarding: true}, {name: 'most', bytes: 5 * MIB, isForwarding: true}, {name: 'new', bytes: 2 * MIB, isForwarding: true}],
    expected: ['most'],
  },
  {
    title: 'several, until there is room',
    connections: [{name: 'first', bytes: 2 * MIB}, {name: 'second', bytes: 2 * MIB}, {name: 'third', bytes: 3 * MIB, isForwarding: true}, {name: 'new', bytes: 5 * MIB, isForwarding: true}],
    expected: ['first', 'second'],
  },
  {
    title: 'none while there is room',
    connections: [{name: 'first', bytes: 4 * MIB}, {name: 'new', bytes: 4 * MIB}],
    expected: [],
  },
];

for (const {title, connections, expected} of fullCases) {
  test(`a full account closes ${title}`, t => {
    const {account, evicted} = openAll(8 * MIB, 100, connections);
    t.deepEqual(evicted(), expected);
    const bytes = connections.filter(({name}) => !expected.includes(name)).reduce((sum, connection) => sum + connection.bytes, 0);
    t.is(account.heldBytes(), bytes);
  });
}

test('many small requests are admitted while one connection holds most of the account', t => {
  const ordinary = Array.from({length: 50}, (_, index): Connection => ({name: `ordinary ${index}`, bytes: 16 * KIB}));
  const {evicted} = openAll(8 * MIB, 100, [{name: 'large', bytes: 7.9 * MIB}, ...ordinary]);
  t.deepEqual(evicted(), ['large']);
});

test('a body of the length of the account is admitted with its overhead while the others hold next to nothing', t => {
  const {evicted, parts} = openAll(64 * MIB, 100, [{name: 'ordinary', bytes: 16 * KIB, isForwarding: true}, {name: 'body', bytes: 64 * MIB}]);
  t.true(parts[1]!.reserve().add(MIB));
  t.deepEqual(evicted(), []);
  t.false(parts[1]!.reserve().add(2 * MIB));
  t.deepEqual(evicted(), ['body']);
});

const crowdCases: Array<{title: string; connections: Connection[]; expected: string}> = [
  {title: 'the oldest that has had no response', connections: [{name: 'kept alive', bytes: 0, isAnswered: true}, {name: 'silent', bytes: 0}, {name: 'later', bytes: 0}], expected: 'silent'},
  {title: 'the oldest, if all have had a response', connections: [{name: 'oldest', bytes: 0, isAnswered: true}, {name: 'later', bytes: 0, isAnswered: true}, {name: 'last', bytes: 0, isAnswered: true}], expected: 'oldest'},
  {title: 'one that holds nothing, if all others forward requests', connections: [{name: 'forwarding', bytes: MIB, isForwarding: true}, {name: 'idle', bytes: 0, isAnswered: true}, {name: 'other', bytes: MIB, isForwarding: true}], expected: 'idle'},
];

for (const {title, connections, expected} of crowdCases) {
  test(`a connection beyond the limit closes ${title}`, t => {
    const {account, evicted, reasons} = openAll(8 * MIB, connections.length, [...connections, {name: 'new', bytes: 0}]);
    t.deepEqual(evicted(), [expected]);
    t.deepEqual(reasons(), ['too-many-connections']);
    t.is(account.connectionCount(), connections.length);
  });
}

test('what a connection holds is released once, with the request or with the connection', t => {
  const {account, parts} = openAll(8 * MIB, 100, [{name: 'first', bytes: MIB}]);
  const reservation = parts[0]!.reserve();
  t.true(reservation.add(MIB));
  reservation.release();
  reservation.release();
  t.is(account.heldBytes(), MIB);
  t.true(reservation.add(MIB));
  parts[0]!.close();
  parts[0]!.close();
  reservation.release();
  t.is(account.heldBytes(), 0);
  t.is(account.connectionCount(), 0);
  t.false(reservation.add(1));
});
