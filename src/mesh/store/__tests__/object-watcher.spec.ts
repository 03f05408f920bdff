/** Guards against a process that starts and learns of the store's objects late, and against requests of processes that are not to read the store. */
import test from 'ava';
import {fail, ok} from '../../../shared/result.js';
import {createDecisionLog} from '../../decision-log.js';
import {createMemberDirectory} from '../../members/member-directory.js';
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

/** Response to a watch: `afterMs` until this process reads it, with a change or without. */
type WatchResponse = {afterMs: number; isChanged: boolean};

const readingCases: Array<{title: string; responses: WatchResponse[]; readAt: number[]; waits: number[]}> = [
  {
    title: 'nothing changes: each reading is as old as the end of its wait', responses: [{afterMs: 910, isChanged: false}, {afterMs: 910, isChanged: false}], readAt: [0, 900, 1800], waits: [900, 890],
  },
  {
    title: 'a change is dated by its request, and the next watch is shorter', responses: [{afterMs: 300, isChanged: true}, {afterMs: 600, isChanged: false}], readAt: [0, 0, 900], waits: [900, 600],
  },
  {
    title: 'a response that is read late, after a suspension, is no newer', responses: [{afterMs: 5000, isChanged: false}], readAt: [0, 900], waits: [900],
  },
  {
    title: 'a change that is read late, after a suspension, is no newer', responses: [{afterMs: 5000, isChanged: true}], readAt: [0, 0], waits: [900],
  },
];

for (const {title, responses, readAt, waits} of readingCases) {
  test(`readings of the store: ${title}`, async t => {
    let time = 0;
    const left = [...responses];
    const unanswered: unknown[] = [];
    const seenReadAt: number[] = [];
    const seenWaits: number[] = [];
    const store: Pick<ObjectStore, 'list' | 'watch'> = {
      list: async () => ok({objects: [], revision: 3}),
      async watch(_kind, revision, waitMs) {
        const response = left.shift();
        if (response === undefined) {
          return new Promise(resolve => {
            unanswered.push(resolve);
          });
        }

        seenWaits.push(waitMs);
        time += response.afterMs;
        return ok({events: response.isChanged ? [{kind: 'changed' as const, object: {name: 'a', revision: revision + 1, value: 1}}] : [], revision: revision + 1});
      },
    };
    const watcher = startObjectWatcher({
      kind: 'k', store: store as ObjectStore, log, random: () => 0, now: () => time, watchMs: 900, isActive: () => true, sleep: turn, onChange: () => undefined, onRead(at) {
        seenReadAt.push(at);
      },
    });
    for (let turns = 0; turns < 20; turns++) {
      await turn(); // eslint-disable-line no-await-in-loop
    }

    watcher.stop();
    t.deepEqual(seenReadAt, readAt);
    t.deepEqual(seenWaits, waits);
  });
}
