/** Guards against urgent routes that lose their rank because their workspace has a priority, and against workspaces whose priority has no effect. */
import test from 'ava';
import type {Workspace} from '../../entry/routing-configuration.js';
import {createRequestPriorities} from '../request-priorities.js';

const workspaceOf = (priority: number | undefined): Workspace => ({
  name: `w${priority}`, keyDigests: [], priority, ratePerS: undefined, burst: 0,
});

/** A request: priority of its workspace, `unranked` for a workspace without one, `none` without a workspace; and priority of its route. */
type Sender = number | 'unranked' | 'none';

const ROUTES = [{priority: 0}, {priority: 1}, {priority: 2}];

const cases: Array<{title: string; workspaces: Array<number | undefined>; order: Array<[Sender, number]>}> = [
  {title: 'without workspaces, routes decide', workspaces: [], order: [['none', 0], ['none', 1], ['none', 2]]},
  {title: 'workspaces come first, then routes', workspaces: [1, 0, 1], order: [[0, 0], [0, 2], [1, 0], [1, 1], [1, 2]]},
  {title: 'calls of backend servers rank with the least urgent workspaces, by their routes', workspaces: [0, 1], order: [[0, 2], ['none', 0], [1, 1], ['none', 2]]},
  {title: 'workspaces without a priority come after those with one', workspaces: [5, undefined], order: [[5, 2], ['unranked', 0], ['none', 1], ['unranked', 2]]},
];

for (const {title, workspaces, order} of cases) {
  test(title, t => {
    const priorities = createRequestPriorities(ROUTES, workspaces.map(priority => workspaceOf(priority)));
    const found = order.map(([sender, routePriority]) => priorities.of(sender === 'none' ? undefined : workspaceOf(sender === 'unranked' ? undefined : sender), routePriority));
    t.deepEqual(found, found.toSorted((a, b) => a - b));
    t.is(new Set(found).size, found.length);
  });
}

for (const {title, workspaces} of [{title: 'no workspaces', workspaces: []}, {title: 'workspaces of one priority', workspaces: [3, 3]}, {title: 'workspaces without a priority', workspaces: [undefined]}]) {
  test(`with ${title}, requests have the priorities of their routes`, t => {
    const stated = workspaces.map(priority => workspaceOf(priority));
    const priorities = createRequestPriorities(ROUTES, stated);
    t.deepEqual(ROUTES.map(({priority}) => priorities.of(stated[0], priority)), [0, 1, 2]);
    t.deepEqual(priorities.all([1, 2]), [1, 2]);
  });
}

// Admission control counts how many less urgent priorities there are.
test('the priorities of routes count once for each priority of workspaces', t => {
  t.deepEqual(createRequestPriorities(ROUTES, [workspaceOf(0), workspaceOf(7)]).all([0, 2]), [0, 2, 3, 5]);
});
