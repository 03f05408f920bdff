/** Guards against a process that starts and learns of the store's objects late, and against requests of processes that are not to read the store. */
import test from 'ava';
import {fail, ok} from '../../shared/result.js';
import {createDecisionLog} from '../decision-log.js';
import {createMemberDirectory} from '../member-directory.js';
import type {ObjectStore} from '../object-store.js';
import {startObjectWatcher} from '../object-watcher.js';

const log = createDecisionLog({
  node: 'n', level: 'error', linesPerSecond: {
    debug: 0, info: 0, warn: 0, error: 0,
  },
});

/** Lets other callbacks run. */
const turn = async (): Promise<void> => new Promise(resolve => {
  setImmediate(resolve);
});

const cases: Array<{title: string; isActive: boolean; lists: number; isWatched: boolean}> = [
  {
    title: 'a process that does not read the store lists it once', isActive: false, lists: 1, isWatched: false,
  },
  {
    title: 'a reader of the store lists it and watches', isActive: true, lists: 1, isWatched: true,
  },
];

for (const {title, isActive, lists, isWatched} of cases) {
  test(title, async t => {
    const calls: string[] = [];
    const changes: string[] = [];
    const store: Pick<ObjectStore, 'list' | 'watch'> = {
      async list() {
        calls.push('list');
        return ok({objects: [{name: 'a', revision: 3, value: 1}], revision: 3});
      },
      async watch() {
        calls.push('watch');
        await turn();
        return ok({events: [], revision: 3});
      },
    };
    const watcher = startObjectWatcher({
      kind: 'k', store: store as ObjectStore, log, random: () => 0, isActive: () => isActive, now: () => performance.now(), onRead: () => undefined, onChange({kind, revision}) {
        changes.push(`${kind} ${revision}`);
      }, sleep: turn,
    });
    for (let turns = 0; turns < 50; turns++) {
      await turn(); // eslint-disable-line no-await-in-loop
    }

    watcher.stop();
    t.deepEqual(changes, ['listed 3']);
    t.is(calls.filter(call => call === 'list').length, lists);
    t.is(calls.includes('watch'), isWatched);
  });
}

test('a store that refuses to continue from each of its own lists gets further ones after growing pauses', async t => {
  let lists = 0;
  const pauses: number[] = [];
  const store: Pick<ObjectStore, 'list' | 'watch'> = {
    async list() {
      lists++;
      return ok({objects: [], revision: 3});
    },
    async watch() {
      await turn();
      return fail({kind: 'history-gone', message: 'gone'});
    },
  };
  const watcher = startObjectWatcher({
    kind: 'k', store: store as ObjectStore, log, random: () => 0.5, isActive: () => true, now: () => performance.now(), onRead: () => undefined, onChange: () => undefined, async sleep(milliseconds) {
      pauses.push(milliseconds);
      await turn();
    },
  });
  for (let turns = 0; turns < 100; turns++) {
    await turn(); // eslint-disable-line no-await-in-loop
  }

  watcher.stop();
  t.true(lists > 2);
  t.true(pauses.filter(milliseconds => milliseconds > 0).length >= lists - 2);
  t.is(Math.max(...pauses), 1000);
});

test('a change that follows watches without events is reported as continuing from the last report', async t => {
  // The revision of the store also grows with changes of other kinds, which a watch of this kind does not show.
  const answers = [{events: [], revision: 5}, {events: [], revision: 9}, {events: [{kind: 'changed' as const, object: {name: 'a', revision: 10, value: 1}}], revision: 10}];
  const watchedFrom: number[] = [];
  const directory = createMemberDirectory();
  const store: Pick<ObjectStore, 'list' | 'watch'> = {
    list: async () => ok({objects: [], revision: 3}),
    async watch(_kind, revision) {
      watchedFrom.push(revision);
      await turn();
      return ok(answers.shift() ?? {events: [], revision: 10});
    },
  };
  const watcher = startObjectWatcher({
    kind: 'k', store: store as ObjectStore, log, random: () => 0, isActive: () => true, now: () => performance.now(), onRead: () => undefined, sleep: turn, onChange(change) {
      if (change.kind === 'listed') {
        directory.applySnapshot([], change.revision);
      } else {
        directory.applyChanges({
          since: change.since, revision: change.revision, removed: [], listed: change.events.map(({object}) => ({
            revision: object.revision, member: {
              node: object.name, address: 'a', zone: 'z', service: 's',
            },
          })),
        });
      }
    },
  });
  for (let turns = 0; turns < 50; turns++) {
    await turn(); // eslint-disable-line no-await-in-loop
  }

  watcher.stop();
  t.deepEqual(watchedFrom.slice(0, 4), [3, 5, 9, 10]);
  t.deepEqual(directory.members().map(({node}) => node), ['a']);
});
