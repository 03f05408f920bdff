/** Guards against links that pile up, and against calls that wait for a member which cannot be reached. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import {createLinkTable} from '../link-table.js';
import type {BackendState, Member} from '../../message.js';
import type {PeerLink} from '../peer-link.js';
import type {Reachability} from '../../members/store-readers.js';
import {createMembers} from '../../members/__tests__/members.js';

const READY: BackendState = {
  kind: 'ready', service: 's', instance: 'i', coldMs: 0, load: {
    running: 0, queued: 0, limit: 1, serviceMs: 1, routes: [], counted: {requests: 0, repeats: 0},
  },
};

type FakeLink = {member: Member; link: PeerLink; open: boolean; idle: boolean; closed: boolean; changedAt: number; state: BackendState};

const createTable = () => {
  const clock = createManualClock();
  const created: FakeLink[] = [];
  const table = createLinkTable({
    now: clock.now,
    createLink(member) {
      const fake: FakeLink = {
        member, open: false, idle: true, closed: false, changedAt: clock.now(), state: {kind: 'absent'}, link: undefined as unknown as PeerLink,
      };
      const ignore = (): void => undefined;
      fake.link = {
        address: member.address, member: () => member, state: () => fake.state, isLive: () => fake.open, isOpen: () => fake.open, isIdle: () => fake.idle, changedAt: () => fake.changedAt,
        demandAgeMs: () => 0,
        sentSinceReport: () => 0, call: () => ({cancel: ignore}), send: ignore, tick: ignore, resetLiveness: ignore, close() {
          fake.closed = true;
        },
      };
      created.push(fake);
      return fake.link;
    },
  });
  const advance = (milliseconds: number): void => {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      clock.advance(100);
      table.tick();
    }
  };

  return {table, created, advance};
};

const [first, second] = createMembers(2, 1, ['s']) as [Member, Member];

test('a link that is no longer wanted is closed after a while, but not while a call is running', t => {
  const {table, created, advance} = createTable();
  table.setWanted([first, second]);
  created[0]!.idle = false;
  table.setWanted([]);
  advance(3000);
  t.false(created.some(({closed}) => closed));
  advance(3000);
  t.deepEqual(created.map(({closed}) => closed), [false, true]);
  created[0]!.idle = true;
  advance(200);
  t.true(created[0]!.closed);
});

test('a link that is wanted again in time stays open', t => {
  const {table, created, advance} = createTable();
  table.setWanted([first]);
  table.setWanted([]);
  advance(3000);
  table.setWanted([first]);
  advance(10_000);
  t.is(created.length, 1);
  t.false(created[0]!.closed);
});

test('a member that starts again at another address gets a new link', t => {
  const {table, created} = createTable();
  table.setWanted([first]);
  table.setWanted([{...first, address: '10.9.9.9:1'}]);
  t.true(created[0]!.closed);
  t.is(created[1]!.member.address, '10.9.9.9:1');
});

const usable: Array<{title: string; open: boolean; state: BackendState; afterMs: number; isUsable: boolean; reachability: Reachability}> = [
  {
    title: 'one that is being connected', open: false, state: {kind: 'absent'}, afterMs: 1000, isUsable: true, reachability: 'connecting',
  },
  {
    title: 'one that could not be connected', open: false, state: {kind: 'absent'}, afterMs: 3000, isUsable: false, reachability: 'unreachable',
  },
  {
    title: 'one without a backend server', open: true, state: {kind: 'absent'}, afterMs: 3000, isUsable: false, reachability: 'open',
  },
  {
    title: 'one that is ready', open: true, state: READY, afterMs: 3000, isUsable: true, reachability: 'open',
  },
];

for (const {title, open, state, afterMs, isUsable, reachability} of usable) {
  test(`a member is passed over when it cannot serve: ${title}`, t => {
    const {table, created, advance} = createTable();
    table.setWanted([first]);
    Object.assign(created[0]!, {open, state});
    advance(afterMs);
    t.is(table.isUsable(first), isUsable);
    t.is(table.reachability(first.node), reachability);
  });
}

test('a member that was passed over is tried again later, and at once when it is ready', t => {
  const {table, created, advance} = createTable();
  table.setWanted([first]);
  advance(3000);
  t.false(table.isUsable(first));
  Object.assign(created[0]!, {open: true, state: READY});
  advance(100);
  t.true(table.isUsable(first));
});
