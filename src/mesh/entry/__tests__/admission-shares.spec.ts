/** Guards against a decision that changes for requests without workspaces, and against shares that rest on nothing. */
import test from 'ava';
import {createManualClock} from '../../../shared/clock.js';
import {createRandom} from '../../../shared/random.js';
import type {LogFields} from '../../decision-log.js';
import type {ServiceDemand} from '../../fair-shares/service-demand.js';
import {createAdmissionController} from '../admission.js';
import type {ServiceLoad} from '../refusal-levels.js';
import {createDependencies} from '../dependencies.js';

const OVERLOADED: ServiceLoad = {
  backends: 2, running: 50, queued: 75, limit: 50,
};
const HALF_IDLE: ServiceLoad = {
  backends: 2, running: 25, queued: 0, limit: 50,
};
const ROUTE = {name: 'r', targets: [{service: 'first', weight: 1}]};

const demand = (heavy: number, others: number, count: number): ServiceDemand => ({
  named: new Map([['heavy', {total: heavy, fresh: heavy}]]), others: {mean: {total: others, fresh: others}, count}, ageMs: 10,
});

const createScenario = (workspaceDemand: (service: string) => ServiceDemand | undefined) => {
  const clock = createManualClock();
  const counted: string[] = [];
  const lines: Array<{event: string; fields: LogFields | undefined}> = [];
  const state = {load: HALF_IDLE, firstLoad: HALF_IDLE, demand: workspaceDemand};
  const dependencies = createDependencies({now: clock.now, onLearnt: () => undefined});
  dependencies.merge([{route: 'r', priority: 1, service: 'below'}, {route: 'urgent', priority: 0, service: 'below'}]);
  const admission = createAdmissionController({
    now: clock.now,
    log: {
      write(_level, event, fields) {
        lines.push({event, fields});
      },
      count(family, label) {
        counted.push(`${family} ${label}`);
      },
    },
    dependencies,
    serviceLoad: service => service === 'below' ? state.load : state.firstLoad,
    workspaceDemand: service => state.demand(service),
  });
  const advance = (milliseconds: number): void => {
    for (let passed = 0; passed < milliseconds; passed += 100) {
      clock.advance(100);
      admission.update();
    }
  };

  const request = (name: string | undefined, isClientRetry = false, priority = 1, route = ROUTE) => ({
    route, priority, workspace: name === undefined ? undefined : {name}, isClientRetry,
  });

  return {
    admission, advance, request, state, counted, lines, dependencies,
  };
};

const random = () => 0.5;

test('requests without a workspace are decided with the same draws, whether or not there are workspaces', t => {
  const decide = (withWorkspaces: boolean): {decisions: boolean[]; next: number} => {
    const {admission, advance, request, state} = createScenario(() => withWorkspaces ? demand(9000, 100, 10) : undefined);
    state.load = OVERLOADED;
    if (withWorkspaces) {
      admission.admit(request('heavy'), random);
    }

    const draws = createRandom(7);
    const decisions = Array.from({length: 300}, (_, index) => {
      if (index % 20 === 0) {
        advance(100);
      }

      return admission.admit(request(undefined, index % 3 === 0), draws);
    });
    return {decisions, next: draws()};
  };

  const without = decide(false);
  t.deepEqual(decide(true), without);
  t.true(without.decisions.includes(false) && without.decisions.includes(true));
});

const shareCases: Array<{title: string; demandOf: (service: string) => ServiceDemand | undefined; heavy: [number, number]; light: [number, number]}> = [
  {
    title: 'the heaviest workspace bears the refusals', demandOf: service => service === 'first' ? demand(9000, 100, 10) : undefined, heavy: [0.2, 0.8], light: [1, 1],
  },
  {
    title: 'without recent reports, all are refused alike', demandOf: () => undefined, heavy: [0.3, 0.5], light: [0.3, 0.5],
  },
  {
    title: 'with equal demands, all are refused alike', demandOf: service => service === 'first' ? demand(100, 100, 10) : undefined, heavy: [0.3, 0.7], light: [0.3, 0.7],
  },
];

for (const {title, demandOf, heavy, light} of shareCases) {
  test(title, t => {
    const {admission, advance, request, state} = createScenario(demandOf);
    admission.admit(request('heavy'), random);
    state.load = OVERLOADED;
    advance(1000);
    for (const [name, [low, high]] of [['heavy', heavy], ['light', light]] as const) {
      const share = admission.admittedShare(request(name));
      t.true(share >= low && share <= high, `${name} ${share}`);
    }
  });
}

test('within a workspace, less urgent requests are refused first', t => {
  const {admission, advance, request, state} = createScenario(service => service === 'first' ? demand(9000, 100, 10) : undefined);
  const urgentRoute = {...ROUTE, name: 'urgent'};
  const mix = (): void => {
    for (let count = 0; count < 100; count++) {
      admission.admit(request('heavy', false, 0, urgentRoute), random);
      admission.admit(request('heavy', false, 1), random);
    }
  };

  mix();
  state.load = OVERLOADED;
  advance(800);
  mix();
  const [urgent, other] = [admission.admittedShare(request('heavy', false, 0, urgentRoute)), admission.admittedShare(request('heavy'))];
  t.true(urgent > other + 0.05, `${urgent} and ${other}`);
});

test('a retry has the probability of a new request where capacity is divided, and as today without reports', t => {
  for (const [demandOf, isFavoured] of [[() => demand(9000, 100, 10), false], [() => undefined, true]] as const) {
    const {admission, advance, request, state} = createScenario(demandOf);
    admission.admit(request('heavy'), random);
    state.load = OVERLOADED;
    advance(1000);
    const share = admission.admittedShare(request('heavy'));
    t.is(admission.admit(request('heavy', true), () => share + 0.01), isFavoured);
    t.false(admission.admit(request('heavy', false), () => share + 0.01));
  }
});

test('the first service counts for requests of workspaces only', t => {
  const {admission, advance, request, state} = createScenario(() => demand(9000, 100, 10));
  const independent = {...ROUTE, name: 'independent', targets: [{service: 'below', weight: 1}]};
  admission.admit(request('heavy', false, 1, independent), random);
  state.load = OVERLOADED;
  advance(1000);
  t.true(admission.admittedShare(request('heavy', false, 1, independent)) < 1);
  t.is(admission.admittedShare(request(undefined, false, 1, independent)), 1);
});

test('a first service whose backend servers are not known yet refuses nothing', t => {
  const {admission, advance, request, state} = createScenario(() => undefined);
  const independent = {...ROUTE, name: 'independent'};
  admission.admit(request('heavy', false, 1, independent), random);
  state.firstLoad = {
    backends: 0, running: 0, queued: 0, limit: 0,
  };
  advance(2000);
  t.is(admission.admittedShare(request('heavy', false, 1, independent)), 1);
});

test('refusals are counted by workspace with a bound, and a change of the shares is logged once', t => {
  const {admission, advance, request, state, counted, lines} = createScenario(() => demand(9000, 100, 10));
  admission.admit(request('heavy'), random);
  state.load = OVERLOADED;
  advance(1000);
  for (let index = 0; index < 150; index++) {
    admission.admit(request(`w${index}`), () => 1);
  }

  t.is(new Set(counted).size, 101);
  t.is(counted.filter(label => label === 'workspace_refusals other').length, 50);
  state.load = {
    backends: 2, running: 50, queued: 15, limit: 50,
  };
  const shareLines = () => lines.filter(({event}) => event === 'workspace-shares-changed');
  advance(2000);
  const before = shareLines().length;
  t.true(before >= 1 && before <= 4, `${before} lines`);
  advance(5000);
  t.is(shareLines().length, before);
  t.like(shareLines().at(-1)!.fields, {service: 'below', othersShare: 1, ageMs: 10});
});

test('calls tell what was admitted of requests like theirs', t => {
  const {admission, advance, request, state} = createScenario(() => demand(9000, 100, 10));
  admission.admit(request('heavy'), random);
  t.deepEqual(admission.callOrigin(request('heavy')), {workspace: 'heavy'});
  t.deepEqual(admission.callOrigin(request(undefined)), {});
  state.load = OVERLOADED;
  advance(1000);
  for (let count = 0; count < 100; count++) {
    admission.admit(request('heavy', count % 2 === 0), random);
  }

  const origin = admission.callOrigin(request('heavy'));
  t.is(origin.admittedShare, admission.admittedShare(request('heavy')));
  t.true(Math.abs(origin.freshShare! - 0.5) < 0.05, `fresh share ${origin.freshShare}`);
});

test('a workspace is told when to return, other requests are not', t => {
  const {admission} = createScenario(() => undefined);
  t.is(admission.retryAfterMs(undefined, 1000), undefined);
  t.true(admission.retryAfterMs({name: 'w'}, 900)! <= 300);
});

test('an overload by the most urgent of many ranks is refused as well', t => {
  const {admission, advance, request, state, dependencies} = createScenario(() => demand(9000, 100, 10));
  dependencies.merge(Array.from({length: 12}, (_, rank) => ({route: `rank ${rank}`, priority: rank, service: 'below'})));
  const mix = (): void => {
    for (let count = 0; count < 500; count++) {
      admission.admit(request('heavy', false, 0), random);
    }
  };

  mix();
  state.load = OVERLOADED;
  advance(500);
  mix();
  advance(20_000);
  const share = admission.admittedShare(request('heavy', false, 0));
  t.true(share < 0.5, `${share} is admitted after 20 s of overload`);
});
