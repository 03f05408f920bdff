/** Guards against shedding a route that does not need the service that lacks room, and against not shedding one that does. */
import test from 'ava';
import {createManualClock} from '../../shared/clock.js';
import {createDependencies, type Dependency} from '../dependencies.js';

const start = () => {
  const clock = createManualClock();
  const learnt: Dependency[] = [];
  const dependencies = createDependencies({
    now: clock.now,
    onLearnt(dependency) {
      learnt.push(dependency);
    },
  });
  return {clock, learnt, dependencies};
};

const cases: Array<{title: string; ends: Array<{times: number; lacking: string[]}>; services: string[]}> = [
  {title: 'requests that end well teach nothing', ends: [{times: 100, lacking: []}], services: []},
  {title: 'two failures are not enough', ends: [{times: 2, lacking: ['s']}], services: []},
  {title: 'three failures close together are', ends: [{times: 3, lacking: ['s']}], services: ['s']},
  {title: 'a failure in fifty by chance is not', ends: Array.from({length: 20}, () => [{times: 49, lacking: []}, {times: 1, lacking: ['s']}]).flat(), services: []},
  {title: 'a failure in eight is', ends: Array.from({length: 20}, () => [{times: 7, lacking: []}, {times: 1, lacking: ['s']}]).flat(), services: ['s']},
  {title: 'each service that lacked room counts', ends: [{times: 5, lacking: ['s', 't']}], services: ['s', 't']},
];

for (const {title, ends, services} of cases) {
  test(title, t => {
    const {learnt, dependencies} = start();
    for (const {times, lacking} of ends) {
      for (let index = 0; index < times; index++) {
        dependencies.note({route: 'r', priority: 1, lacking});
      }
    }

    t.deepEqual(dependencies.servicesOf('r'), services);
    t.deepEqual(dependencies.servicesOf(), services);
    t.deepEqual(dependencies.servicesOf('other'), []);
    t.deepEqual(learnt.map(({service}) => service), services, 'each is told once');
  });
}

test('what another process has learnt is taken over, told to nobody, and forgotten after a minute without a failure', t => {
  const {clock, learnt, dependencies} = start();
  dependencies.merge([{route: 'r', priority: 1, service: 's'}, {route: 'q', priority: 2, service: 's'}]);
  t.deepEqual(dependencies.prioritiesOn('s'), [1, 2]);
  t.deepEqual(learnt, []);
  clock.advance(59_000);
  t.deepEqual(dependencies.servicesOf('r'), ['s']);
  clock.advance(2000);
  t.deepEqual(dependencies.servicesOf('r'), []);
  t.deepEqual(dependencies.list(), []);
});
