/** Guards against members that are missing or in use again after changes arrived through peers, out of order or not at all. */
import test from 'ava';
import {createRandom} from '../../../shared/random.js';
import {
  createMemberDirectory, type ListedMember, type MemberChanges, type MemberDirectory,
} from '../member-directory.js';

const listed = (node: string, revision: number, address = `${node}:1`): ListedMember => ({
  member: {
    node, address, zone: 'z', service: 's',
  }, revision,
});

const nodesOf = (directory: MemberDirectory): string[] => directory.members().map(({node}) => node).sort();

const copyChanges = (from: MemberDirectory, to: MemberDirectory): void => {
  to.applyChanges(from.changesSince(to.revision()));
};

test('a peer that asks for changes gets additions, new addresses and removals', t => {
  const reader = createMemberDirectory();
  const peer = createMemberDirectory();
  reader.applySnapshot([listed('a', 1), listed('b', 2)], 2);
  copyChanges(reader, peer);
  reader.applySnapshot([listed('b', 4, 'b:2'), listed('c', 5)], 5);
  t.deepEqual(reader.changesSince(2).listed.map(({member}) => member.node).sort(), ['b', 'c']);
  copyChanges(reader, peer);
  t.deepEqual(nodesOf(peer), ['b', 'c']);
  t.is(peer.entryOf('b')?.member.address, 'b:2');
  t.is(peer.revision(), 5);
});

const orders: Array<{title: string; play: (reader: MemberDirectory, peer: MemberDirectory) => void}> = [
  {
    title: 'an older list after a newer one',
    play(reader, peer) {
      const old = reader.changesSince(0);
      reader.applySnapshot([listed('b', 2)], 3);
      copyChanges(reader, peer);
      peer.applyChanges(old);
    },
  },
  {
    title: 'the same changes twice',
    play(reader, peer) {
      copyChanges(reader, peer);
      reader.applySnapshot([listed('b', 2)], 3);
      const changes = reader.changesSince(2);
      peer.applyChanges(changes);
      peer.applyChanges(changes);
    },
  },
  {
    title: 'changes with a gap before them are ignored until the whole list arrives',
    play(reader, peer) {
      reader.applySnapshot([listed('b', 2)], 3);
      peer.applyChanges({
        since: 2, revision: 3, listed: [listed('a', 3)], removed: [],
      });
      copyChanges(reader, peer);
    },
  },
];

for (const {title, play} of orders) {
  test(`a member that has left is not in use again: ${title}`, t => {
    const reader = createMemberDirectory();
    const peer = createMemberDirectory();
    reader.applySnapshot([listed('a', 1), listed('b', 2)], 2);
    play(reader, peer);
    t.deepEqual(nodesOf(peer), ['b']);
  });
}

test('a greeting adds a member until the store says otherwise', t => {
  const directory = createMemberDirectory();
  directory.learn(listed('a', 0).member);
  directory.applySnapshot([listed('b', 2)], 2);
  t.deepEqual(nodesOf(directory), ['a', 'b']);
  directory.removeUnlisted(() => true);
  t.deepEqual(nodesOf(directory), ['a', 'b']);
  directory.removeUnlisted(() => false);
  t.deepEqual(nodesOf(directory), ['b']);
});

/** Changes after a revision, as a watch of the store returns them; `changed` names the member that changed at each revision, beginning with 1. */
const readChanges = (store: ReadonlyMap<string, ListedMember>, changed: readonly string[], since: number): MemberChanges => {
  const revision = changed.length;
  const names = [...new Set(changed.slice(since))];
  return {
    since, revision, listed: names.flatMap(name => store.get(name) ?? []), removed: names.filter(name => !store.has(name)).map(node => ({node, revision})),
  };
};

test('peers that exchange changes in any order, with losses and restarts, end with the list of the store', t => {
  for (let seed = 1; seed <= 200; seed++) {
    const random = createRandom(seed);
    const pick = (count: number): number => Math.floor(random() * count);
    const store = new Map<string, ListedMember>();
    let revision = 0;
    const changed: string[] = [];
    const directories = Array.from({length: 6}, () => createMemberDirectory());
    for (let step = 0; step < 200; step++) {
      const node = `n${pick(8)}`;
      revision++;
      if (random() < 0.4) {
        store.delete(node);
      } else {
        store.set(node, listed(node, revision, `${node}:${revision}`));
      }

      // The first two directories read the store, by a list or a watch; the others hear of it from a peer.
      changed.push(node);
      const reader = directories[pick(2)]!;
      if (reader.revision() === 0 || random() < 0.1) {
        reader.applySnapshot([...store.values()], revision);
      } else if (random() < 0.8) {
        reader.applyChanges(readChanges(store, changed, reader.revision()));
      }

      copyChanges(directories[pick(6)]!, directories[pick(6)]!);
      if (random() < 0.02) {
        directories[pick(6)] = createMemberDirectory();
      }
    }

    directories[0]!.applySnapshot([...store.values()], revision);
    for (const directory of directories.slice(1)) {
      copyChanges(directories[0]!, directory);
    }

    for (const directory of directories) {
      t.deepEqual(directory.members().map(({address}) => address).sort(), [...store.values()].map(({member}) => member.address).sort(), `seed ${seed}`);
    }
  }
});
