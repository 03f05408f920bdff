/** Guards against shedding a route that does not need the service that lacks room, and against not shedding one that does. */
import test from 'ava';
import {createManualClock} from '../../shared/clock.js';
import {createDependencies, type Dependency} from '../dependencies.js';

const createDependenciesAndClock = () => {
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

const cases: Array<{title: string; outcomes: Array<{times: number; overloadedServices: string[]}>; services: string[]}> = [
  {title: 'requests that end well teach nothing', outcomes: [{times: 100, overloadedServices: []}], services: []},
  {title: 'two failures are not enough', outcomes: [{times: 2, overloadedServices: ['s']}], services: []},
  {title: 'three failures close together are', outcomes: [{times: 3, overloadedServices: ['s']}], services: ['s']},
  {title: 'a failure in fifty by chance is not', outcomes: Array.from({length: 20}, () => [{times: 49, overloadedServices: []}, {times: 1, overloadedServices: ['s']}]).flat(), services: []},
  {title: 'a failure in eight is', outcomes: Array.from({length: 20}, () => [{times: 7, overloadedServices: []}, {times: 1, overloadedServices: ['s']}]).flat(), services: ['s']},
  {title: 'each service that lacked room counts', outcomes: [{times: 5, overloadedServices: ['s', 't']}], services: ['s', 't']},
];

for (const {title, outcomes, services} of cases) {
  test(title, t => {
    const {learnt, dependencies} = createDependenciesAndClock();
    for (const {times, overloadedServices} of outcomes) {
      for (let index = 0; index < times; index++) {
        dependencies.recordOutcome({route: 'r', priority: 1, overloadedServices});
      }
    }

    t.deepEqual(dependencies.servicesOf('r'), services);
    t.deepEqual(dependencies.servicesOf(), services);
    t.deepEqual(dependencies.servicesOf('other'), []);
    t.deepEqual(learnt.map(({service}) => service), services, 'each is told once');
  });
}

test('what another process has learnt is taken over, told to nobody, and forgotten after a minute without a failure', t => {
  const {clock, learnt, dependencies} = createDependenciesAndClock();
  dependencies.merge([{route: 'r', priority: 1, service: 's'}, {route: 'q', priority: 2, service: 's'}]);
  t.deepEqual(dependencies.dependentPriorities('s'), [1, 2]);
  t.deepEqual(learnt, []);
  clock.advance(59_000);
  t.deepEqual(dependencies.servicesOf('r'), ['s']);
  clock.advance(2000);
  t.deepEqual(dependencies.servicesOf('r'), []);
  t.deepEqual(dependencies.list(), []);
});
