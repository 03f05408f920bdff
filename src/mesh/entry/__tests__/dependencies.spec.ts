/** Guards against rejecting requests of a route that does not depend on the overloaded service, and against admitting those of one that does. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
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
  {title: 'successful requests add no dependency', outcomes: [{times: 100, overloadedServices: []}], services: []},
  {title: 'two failures are not enough', outcomes: [{times: 2, overloadedServices: ['s']}], services: []},
  {title: 'three failures in a row are enough', outcomes: [{times: 3, overloadedServices: ['s']}], services: ['s']},
  {title: 'one failure in fifty requests is not enough', outcomes: Array.from({length: 20}, () => [{times: 49, overloadedServices: []}, {times: 1, overloadedServices: ['s']}]).flat(), services: []},
  {title: 'one failure in eight requests is enough', outcomes: Array.from({length: 20}, () => [{times: 7, overloadedServices: []}, {times: 1, overloadedServices: ['s']}]).flat(), services: ['s']},
  {title: 'each overloaded service counts', outcomes: [{times: 5, overloadedServices: ['s', 't']}], services: ['s', 't']},
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
    t.deepEqual(learnt.map(({service}) => service), services, 'each dependency is reported once');
  });
}

test('dependencies of another process are added without being reported, and expire after a minute without a failure', t => {
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
