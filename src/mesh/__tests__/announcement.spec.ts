/** Guards against a late announcement that revives a backend server which is leaving, has left, or has been replaced at its address. */
import test from 'ava';
import {
  takeAnnouncement, takeLeave, type Announcement, type LocalBackend,
} from '../announcement.js';

const announcement = (changes: Partial<Announcement>): Announcement => ({
  instance: 'i1', service: 's', address: '127.0.0.1:1', slots: 4, state: 'ready', sequence: 1, startedAt: 1000, coldMs: 0, ...changes,
});

type Step = {announce: Partial<Announcement>} | {leave: string};
const cases: Array<{title: string; steps: Step[]; kind: LocalBackend['kind']; draining?: boolean; instance?: string; sequence?: number}> = [
  {
    title: 'the first one is taken', steps: [{announce: {}}], kind: 'announced', draining: false,
  },
  {
    title: 'an older sequence changes nothing', steps: [{announce: {sequence: 5, state: 'draining'}}, {announce: {sequence: 4}}], kind: 'announced', draining: true, sequence: 5,
  },
  {
    title: 'a drain is not taken back by a later ready', steps: [{announce: {state: 'draining'}}, {announce: {sequence: 2}}], kind: 'announced', draining: true, sequence: 2,
  },
  {title: 'one that left is not revived', steps: [{announce: {}}, {leave: 'i1'}, {announce: {sequence: 9}}], kind: 'left'},
  {
    title: 'a later start under the same id counts anew', steps: [{announce: {sequence: 9, state: 'draining'}}, {announce: {sequence: 1, startedAt: 2000}}], kind: 'announced', draining: false, sequence: 1,
  },
  {
    title: 'a later start after a leave counts', steps: [{announce: {}}, {leave: 'i1'}, {announce: {startedAt: 2000, instance: 'i2'}}], kind: 'announced', draining: false, instance: 'i2',
  },
  {
    title: 'an earlier start changes nothing', steps: [{announce: {startedAt: 2000, instance: 'i2'}}, {announce: {sequence: 99}}], kind: 'announced', draining: false, instance: 'i2',
  },
  {
    title: 'the leave of another instance changes nothing', steps: [{announce: {}}, {leave: 'i0'}], kind: 'announced', draining: false,
  },
];

for (const {title, steps, kind, draining, instance, sequence} of cases) {
  test(title, t => {
    let local: LocalBackend = {kind: 'none'};
    for (const [index, step] of steps.entries()) {
      local = 'announce' in step ? takeAnnouncement(local, announcement(step.announce), index).local : takeLeave(local, step.leave, index);
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
