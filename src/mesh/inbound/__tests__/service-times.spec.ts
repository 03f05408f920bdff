/** Guards against choosing a backend server by the service times of other routes, which say nothing about the call to be sent. */
import test from 'ava';
import {createServiceTimes} from '../service-times.js';

test('routes have separate means, and the first calls of a route set its mean immediately', t => {
  const times = createServiceTimes();
  times.record('quick', 10);
  times.record('slow', 300);
  times.record('quick', 20);
  t.deepEqual(times.byRoute('quick'), [{route: 'quick', serviceMs: 15}]);
  t.deepEqual(times.byRoute('slow'), [{route: 'slow', serviceMs: 300}]);
  t.deepEqual(times.byRoute('other'), []);
  t.is(times.byRoute().length, 2);
});

test('a mean follows a change within sixty calls', t => {
  const times = createServiceTimes();
  for (let index = 0; index < 200; index++) {
    times.record('r', 40);
  }

  for (let index = 0; index < 60; index++) {
    times.record('r', 400);
  }

  t.true(times.byRoute('r')[0]!.serviceMs > 350);
  t.true(times.mean() > 350);
});

test('a reset removes all samples, and the number of routes is limited', t => {
  const times = createServiceTimes();
  for (let index = 0; index < 500; index++) {
    times.record(`r${index}`, 10);
  }

  t.true(times.byRoute().length <= 100);
  t.is(times.byRoute('r499').length, 1);
  times.reset();
  t.deepEqual(times.byRoute(), []);
});
