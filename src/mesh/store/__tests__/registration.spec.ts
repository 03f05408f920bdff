/** Guards against a process that stays missing from the member list, or that stands in it with old values, when writes are lost or raced. */
import test from 'ava';
import {fail, ok, type Result} from '../../../shared/result.js';
import {createManualClock} from '../../../shared/clock.js';
import {createDecisionLog} from '../../decision-log.js';
import {createDepartedHosts} from '../../members/departed-hosts.js';
import {decodeDepartures, type Departure} from '../../inbound/departures.js';
import type {ObjectStore, StoredObject, StoreError} from '../object-store.js';
import type {CrashRecord} from '../../inbound/crash-records.js';
import {createRegistration, decodeMember} from '../registration.js';
import {decodeCrashRecords} from '../stored-crash-records.js';
import {createMembers} from '../../members/__tests__/members.js';

const [self] = createMembers(1, 1, ['s']) as [ReturnType<typeof createMembers>[number]];
const OWN_VALUE = {address: self.address, zone: self.zone, service: self.service};

const log = createDecisionLog({
  node: 'n', level: 'error', linesPerSecond: {
    debug: 0, info: 0, warn: 0, error: 0,
  },
});

/** How the store treats the first write; all further ones succeed. */
type FirstWrite = 'done' | 'done-but-unanswered' | 'not-done';

const createStore = (firstWrite: FirstWrite, existing?: StoredObject) => {
  let object = existing;
  let revision = existing?.revision ?? 0;
  let writes = 0;
  const unanswered: StoreError = {kind: 'unreachable', message: 'no response'};
  const put = (value: unknown): Result<StoredObject, StoreError> => {
    writes++;
    if (writes === 1 && firstWrite === 'not-done') {
      return fail(unanswered);
    }

    revision++;
    object = {name: self.node, revision, value};
    return writes === 1 && firstWrite === 'done-but-unanswered' ? fail(unanswered) : ok(object);
  };

  const conflict = (): Result<StoredObject, StoreError> => fail({kind: 'conflict', message: 'conflict', current: object});
  const store: ObjectStore = {
    list: async () => ok({objects: [], revision}),
    create: async (_kind, _name, value) => object === undefined ? put(value) : conflict(),
    replace: async (_kind, _name, value, expected) => object?.revision === expected ? put(value) : conflict(),
    async remove() {
      object = undefined;
      return ok(undefined);
    },
    watch: async () => ok({events: [], revision}),
    close: () => undefined,
  };
  return {
    store, stored: () => object, writes: () => writes, drop() {
      revision++;
      object = undefined;
    }, replace(value: unknown) {
      revision++;
      object = {name: self.node, revision, value};
    }, revision: () => revision,
  };
};

const settle = async (): Promise<void> => new Promise(resolve => {
  setTimeout(resolve, 30);
});

/** Waits for a retry, whose mean delay the random source of the test makes as short as it can be. */
const waitFor = async (condition: () => boolean): Promise<void> => {
  for (let turn = 0; turn < 200 && !condition(); turn++) {
    await settle(); // eslint-disable-line no-await-in-loop
  }
};

const cases: Array<{title: string; firstWrite: FirstWrite; existing?: StoredObject}> = [
  {title: 'a first start', firstWrite: 'done'},
  {title: 'the answer to the write is lost', firstWrite: 'done-but-unanswered'},
  {title: 'the write is lost', firstWrite: 'not-done'},
  {title: 'a restart with the same values', firstWrite: 'done', existing: {name: self.node, revision: 7, value: OWN_VALUE}},
  {title: 'a restart at another address', firstWrite: 'done', existing: {name: self.node, revision: 7, value: {...OWN_VALUE, address: '10.9.9.9:1'}}},
  {title: 'an entry of another format', firstWrite: 'done', existing: {name: self.node, revision: 7, value: 'x'}},
];

for (const {title, firstWrite, existing} of cases) {
  test(`the process is registered with its own values: ${title}`, async t => {
    const fake = createStore(firstWrite, existing);
    const registration = createRegistration({
      self, store: fake.store, log, random: () => 0,
    });
    registration.register();
    await waitFor(() => fake.stored() !== undefined && decodeMember(fake.stored()!)?.address === self.address);
    t.deepEqual(decodeMember(fake.stored()!), self);
    registration.close();
  });
}

test('an entry that the store has lost is written again, but not for a list that is older than the last write', async t => {
  const fake = createStore('done');
  const registration = createRegistration({
    self, store: fake.store, log, random: () => 0,
  });
  registration.register();
  await waitFor(() => fake.stored() !== undefined);
  registration.reconcile(undefined, fake.revision() - 1);
  await settle();
  t.is(fake.writes(), 1);
  fake.drop();
  registration.reconcile(undefined, fake.revision());
  await waitFor(() => fake.stored() !== undefined);
  t.deepEqual(decodeMember(fake.stored()!), self);
  registration.close();
});

test('after the host has been removed, a late list does not register it again', async t => {
  const fake = createStore('done');
  const registration = createRegistration({
    self, store: fake.store, log, random: () => 0,
  });
  registration.register();
  await waitFor(() => fake.stored() !== undefined);
  await registration.unregister();
  registration.reconcile(undefined, fake.revision() + 1);
  await settle();
  t.is(fake.stored(), undefined);
});

const crashRecord = {content: 'deadly', blamed: [{id: 'b/1', at: 1}], cleared: []};
const otherRecord = {content: 'other', blamed: [{id: 'b/2', at: 2}], cleared: []};

const recordCases: Array<{title: string; firstWrite: FirstWrite; kept: unknown[]; set?: unknown[]; expected: unknown[]}> = [
  {
    title: 'those found out while the first write is under way are written', firstWrite: 'done', kept: [], set: [crashRecord], expected: [crashRecord],
  },
  {
    title: 'those found out are written when the answer to the first write is lost', firstWrite: 'done-but-unanswered', kept: [], set: [crashRecord], expected: [crashRecord],
  },
  {
    title: 'those of an earlier life stay after a restart', firstWrite: 'done', kept: [crashRecord], expected: [crashRecord],
  },
  {
    title: 'those of an earlier life stay after a restart with a lost write', firstWrite: 'not-done', kept: [crashRecord], expected: [crashRecord],
  },
  {
    title: 'those found out after a restart replace those of an earlier life', firstWrite: 'done', kept: [crashRecord], set: [otherRecord], expected: [otherRecord],
  },
  {
    title: 'those that no longer hold are removed', firstWrite: 'done', kept: [crashRecord], set: [], expected: [],
  },
];

for (const {title, firstWrite, kept, set, expected} of recordCases) {
  test(`records of blocked requests: ${title}`, async t => {
    const existing = kept.length === 0 ? undefined : {name: self.node, revision: 7, value: {...OWN_VALUE, crashRecords: kept}};
    const {store, stored} = createStore(firstWrite, existing);
    const registration = createRegistration({
      self, store, log, random: () => 0,
    });
    t.teardown(registration.close);
    registration.register();
    if (set !== undefined) {
      registration.setCrashRecords(set as CrashRecord[]);
    }

    const hasExpected = (): boolean => JSON.stringify(decodeCrashRecords(stored()?.value)) === JSON.stringify(expected);
    await settle();
    await waitFor(hasExpected);
    t.true(hasExpected());
    t.deepEqual(decodeMember(stored()!), self);
  });
}

const departed: Departure = {kind: 'start', instance: 'i1', startedAt: 1000};
const earlier: Departure = {kind: 'start', instance: 'i0', startedAt: 500};

/** Departures that are set while the first write is under way, or after it. */
const keptCases: Array<{title: string; firstWrite: FirstWrite; existing?: StoredObject; isLater?: boolean; expected: Departure[]}> = [
  {title: 'on a first start', firstWrite: 'done', expected: [departed]},
  {
    title: 'after the first write', firstWrite: 'done', isLater: true, expected: [departed],
  },
  {title: 'when the answer to the write is lost', firstWrite: 'done-but-unanswered', expected: [departed]},
  {title: 'when the write is lost', firstWrite: 'not-done', expected: [departed]},
  {
    title: 'beside those of an earlier start', firstWrite: 'done', existing: {name: self.node, revision: 7, value: {...OWN_VALUE, departures: [earlier]}}, expected: [earlier, departed],
  },
];

// Guards against a confirmation that precedes the write, and one that is never given.
for (const {title, firstWrite, existing, isLater = false, expected} of keptCases) {
  test(`departures count as kept once the store holds them: ${title}`, async t => {
    const fake = createStore(firstWrite, existing);
    const registration = createRegistration({
      self, store: fake.store, log, random: () => 0,
    });
    registration.register();
    if (isLater) {
      await registration.whenKept();
      await settle();
    }

    registration.setDepartures([departed]);
    await registration.whenKept();
    t.deepEqual(decodeDepartures(fake.stored()?.value), expected);
    t.deepEqual(decodeMember(fake.stored()!), self);
    registration.close();
  });
}

test('departures of an earlier start are reported once, and not written again', async t => {
  const restored: Departure[][] = [];
  const fake = createStore('done', {name: self.node, revision: 7, value: {...OWN_VALUE, departures: [earlier]}});
  const registration = createRegistration({
    self, store: fake.store, log, random: () => 0, onRestored(departures) {
      restored.push(departures);
    },
  });
  registration.register();
  await waitFor(() => restored.length > 0);
  await settle();
  t.deepEqual(restored, [[earlier]]);
  t.is(fake.writes(), 0);
  registration.close();
});

test('departures of an earlier start are not overwritten when the first write is not answered and the list shows another address', async t => {
  const fake = createStore('done', {name: self.node, revision: 7, value: {...OWN_VALUE, address: '10.9.9.9:1', departures: [earlier]}});
  const registration = createRegistration({
    self, store: fake.store, log, random: () => 0,
  });
  registration.reconcile({member: {...self, address: '10.9.9.9:1'}, revision: 7}, 7);
  await waitFor(() => decodeMember(fake.stored()!)?.address === self.address);
  t.deepEqual(decodeDepartures(fake.stored()!.value), [earlier]);
  registration.close();
});

test('a host that is removed leaves its departures, without being a member', async t => {
  const fake = createStore('done');
  const registration = createRegistration({
    self, store: fake.store, log, random: () => 0,
  });
  registration.register();
  registration.setDepartures([departed]);
  await registration.unregister();
  t.is(decodeMember(fake.stored()!), undefined);
  t.deepEqual(decodeDepartures(fake.stored()!.value), [departed]);
});

test('departures that a restored store lacks are written again', async t => {
  const fake = createStore('done');
  const registration = createRegistration({
    self, store: fake.store, log, random: () => 0,
  });
  registration.register();
  registration.setDepartures([departed]);
  await registration.whenKept();
  fake.replace(OWN_VALUE);
  registration.reconcile({member: self, revision: fake.revision()}, fake.revision());
  await waitFor(() => decodeDepartures(fake.stored()?.value).length > 0);
  t.deepEqual(decodeDepartures(fake.stored()!.value), [departed]);
  registration.close();
});

// Guards against objects of removed hosts that are deleted too soon, or never.
test('the object of a removed host is deleted after a while, unless it has changed', t => {
  const clock = createManualClock();
  const removed: string[] = [];
  const hosts = createDepartedHosts({
    now: clock.now, random: () => 0, log, store: {
      async remove(_kind, name, revision) {
        removed.push(`${name} at ${revision}`);
        return ok(undefined);
      },
    },
  });
  const objects = new Map<string, StoredObject>([
    ['gone', {name: 'gone', revision: 3, value: {departures: [departed]}}],
    ['back', {name: 'back', revision: 4, value: {departures: [departed]}}],
    ['member', {name: 'member', revision: 5, value: {...OWN_VALUE, departures: [departed]}}],
    ['foreign', {name: 'foreign', revision: 6, value: 'x'}],
  ]);
  hosts.apply({kind: 'listed', objects, revision: 6});
  clock.advance(30_000);
  hosts.tick();
  t.deepEqual(removed, []);
  objects.set('back', {name: 'back', revision: 7, value: OWN_VALUE});
  hosts.apply({kind: 'listed', objects, revision: 7});
  clock.advance(30_000);
  hosts.tick();
  hosts.tick();
  t.deepEqual(removed, ['gone at 3']);
});
