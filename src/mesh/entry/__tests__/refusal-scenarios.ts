/** Loads that the rules for the refusal level are compared by. */
import {ARRIVALS_MS, FAULT_TO_MS, type RefusalScenario} from './refusal-simulation.js';

const OSCILLATION_MS = 13_000;
const oscillate = (level: number, share: number) => (at: number): number => level * (1 + (share * Math.sin(2 * Math.PI * at / OSCILLATION_MS)));
/** Demand that leaves room, before and after the loads that end. */
const CALM = 0.6;
/** Demand `inside` a time, and `outside` of it. */
const during = ([fromMs, toMs]: [number, number], inside: number, outside: number) => (at: number): number => at >= fromMs && at < toMs ? inside : outside;

/** The loads that the rules are compared by. */
export const REFUSAL_SCENARIOS: ReadonlyArray<{title: string; scenario: RefusalScenario}> = [
  {title: 'even load', scenario: {demandAt: () => CALM, calmFromMs: 0}},
  {title: 'steady overload of 1.3', scenario: {demandAt: during([3000, 25_000], 1.3, CALM), calmFromMs: 25_000}},
  {title: 'steady overload of 2.5', scenario: {demandAt: during([3000, 25_000], 2.5, CALM), calmFromMs: 25_000}},
  {title: 'oscillation around 0.85', scenario: {demandAt: oscillate(0.85, 0.55), calmFromMs: ARRIVALS_MS}},
  {title: 'oscillation around 1.1', scenario: {demandAt: oscillate(1.1, 0.55), calmFromMs: ARRIVALS_MS}},
  {title: 'groups', scenario: {demandAt: () => 0.7, calmFromMs: 30_000, groups: {everyMs: 5000, workMs: 1000, untilMs: 30_001}}},
  {title: 'surge of 1.7 for 3 s', scenario: {demandAt: during([6000, 9000], 1.7 * 0.85, 0.85), calmFromMs: 9000}},
  {title: 'surge of 1.7 for 3 s, full', scenario: {demandAt: during([6000, 9000], 1.7, 0.85), calmFromMs: 9000}},
  {
    title: 'a third of the backend servers five times slower', scenario: {
      demandAt: during([3000, 25_000], 0.8, CALM), calmFromMs: 25_000, backends: 6, slownessOf: index => index % 3 === 0 ? 5 : 1,
    },
  },
  {title: 'a service that comes back', scenario: {demandAt: () => 0.8, calmFromMs: 13_000, absence: {fromMs: 8000, toMs: 13_000}}},
  {title: 'oscillation, calls of 100 ms', scenario: {demandAt: oscillate(1.1, 0.55), calmFromMs: ARRIVALS_MS, serviceMs: 100}},
  {title: 'surge, calls of 10 ms', scenario: {demandAt: during([6000, 9000], 1.7, 0.85), calmFromMs: 9000, serviceMs: 10}},
  {
    title: 'oscillation, few urgent requests', scenario: {
      demandAt: oscillate(1.1, 0.55), calmFromMs: ARRIVALS_MS, routes: [{priority: 0, share: 0.1}, {priority: 2, share: 0.9}],
    },
  },
  {
    title: 'oscillation, three priorities', scenario: {
      demandAt: oscillate(1.1, 0.55), calmFromMs: ARRIVALS_MS, routes: [{priority: 0, share: 0.4}, {priority: 1, share: 0.3}, {priority: 2, share: 0.3}],
    },
  },
  {
    title: 'oscillation, three priorities in order', scenario: {
      demandAt: oscillate(1.1, 0.55), calmFromMs: ARRIVALS_MS, refusesInOrder: true, routes: [{priority: 0, share: 0.4}, {priority: 1, share: 0.3}, {priority: 2, share: 0.3}],
    },
  },
  {
    title: 'surge, few urgent requests in order', scenario: {
      demandAt: during([6000, 9000], 1.7, 0.85), calmFromMs: 9000, refusesInOrder: true, routes: [{priority: 0, share: 0.1}, {priority: 2, share: 0.9}],
    },
  },
  {
    title: 'surge, many urgent requests in order', scenario: {
      demandAt: during([6000, 9000], 1.7, 0.85), calmFromMs: 9000, refusesInOrder: true, routes: [{priority: 0, share: 0.9}, {priority: 2, share: 0.1}],
    },
  },
  {title: 'even load of 0.95', scenario: {demandAt: () => 0.95, calmFromMs: 0}},
  {title: 'even load of 0.9, calls of 300 ms', scenario: {demandAt: () => 0.9, calmFromMs: 0, serviceMs: 300}},
  {
    title: 'even load of 0.8, a third slower', scenario: {
      demandAt: () => 0.6, calmFromMs: 0, backends: 6, slownessOf: index => index % 3 === 0 ? 5 : 1,
    },
  },
  {title: 'reports that stop', scenario: {demandAt: during([7000, 11_000], 1.5, 0.85), calmFromMs: FAULT_TO_MS, reportFault: 'stopped'}},
  {title: 'reports that arrive twice', scenario: {demandAt: during([7000, 11_000], 1.5, 0.85), calmFromMs: FAULT_TO_MS, reportFault: 'twice'}},
  {title: 'reports that arrive late', scenario: {demandAt: during([7000, 11_000], 1.5, 0.85), calmFromMs: FAULT_TO_MS, reportFault: 'late'}},
  {title: 'a zone that is cut off', scenario: {demandAt: during([7000, 11_000], 1.5, 0.85), calmFromMs: FAULT_TO_MS, cutZone: 1}},
  {title: 'all processes restart in an overload', scenario: {demandAt: during([3000, 25_000], 1.5, CALM), calmFromMs: 25_000, restartAtMs: 10_000}},
];
