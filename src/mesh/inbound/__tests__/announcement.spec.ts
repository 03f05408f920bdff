/** Guards against a delayed announcement that brings back a backend server which is draining, has left, or has been replaced at its address. */
import test from 'ava';
import {
  applyAnnouncement, applyDeparture, type Announcement, type LocalBackend,
} from '../announcement.js';

const announcement = (changes: Partial<Announcement>): Announcement => ({
  instance: 'i1', service: 's', address: '127.0.0.1:1', slots: 4, state: 'ready', sequence: 1, startedAt: 1000, coldMs: 0, ...changes,
});

type Step = {announce: Partial<Announcement>} | {leave: string};
const cases: Array<{title: string; steps: Step[]; kind: LocalBackend['kind']; draining?: boolean; instance?: string; sequence?: number}> = [
  {
    title: 'the first announcement is applied', steps: [{announce: {}}], kind: 'announced', draining: false,
  },
  {
    title: 'an older sequence is ignored', steps: [{announce: {sequence: 5, state: 'draining'}}, {announce: {sequence: 4}}], kind: 'announced', draining: true, sequence: 5,
  },
  {
    title: 'a drain is not reverted by a later ready state', steps: [{announce: {state: 'draining'}}, {announce: {sequence: 2}}], kind: 'announced', draining: true, sequence: 2,
  },
  {title: 'an instance that has left does not come back', steps: [{announce: {}}, {leave: 'i1'}, {announce: {sequence: 9}}], kind: 'left'},
  {
    title: 'a restart with the same id is applied', steps: [{announce: {sequence: 9, state: 'draining'}}, {announce: {sequence: 1, startedAt: 2000}}], kind: 'announced', draining: false, sequence: 1,
  },
  {
    title: 'a later start after a departure is applied', steps: [{announce: {}}, {leave: 'i1'}, {announce: {startedAt: 2000, instance: 'i2'}}], kind: 'announced', draining: false, instance: 'i2',
  },
  {
    title: 'an earlier start time is ignored', steps: [{announce: {startedAt: 2000, instance: 'i2'}}, {announce: {sequence: 99}}], kind: 'announced', draining: false, instance: 'i2',
  },
  {
    title: 'the departure of another instance is ignored', steps: [{announce: {}}, {leave: 'i0'}], kind: 'announced', draining: false,
  },
];

for (const {title, steps, kind, draining, instance, sequence} of cases) {
  test(title, t => {
    let local: LocalBackend = {kind: 'none'};
    for (const [index, step] of steps.entries()) {
      local = 'announce' in step ? applyAnnouncement(local, announcement(step.announce), index).local : applyDeparture(local, step.leave, index);
    }

    t.is(local.kind, kind);
    if (local.kind === 'announced') {
      t.is(local.drainingSince !== undefined, draining ?? false);
      t.is(local.announcement.state, draining ? 'draining' : 'ready');
      t.is(local.announcement.instance, instance ?? 'i1');
      t.is(local.announcement.sequence, sequence ?? 1);
    }
  });
}
