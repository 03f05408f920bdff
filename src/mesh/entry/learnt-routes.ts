/** What processes learn of the routes, collected so that many items travel in one message. */
import type {CallEdge, CallGraph} from './call-graph.js';
import type {ClientRoutes, RouteOrigin} from './client-routes.js';
import type {Dependencies, Dependency} from './dependencies.js';

/** Items that were learnt by one or more processes. */
export type LearntRoutes = {origins: RouteOrigin[]; edges: CallEdge[]; dependencies: Dependency[]};

/** Spreads learnt items: what is new here is passed on once. */
export type LearntRouteSpread = {
  addOrigin: (origin: RouteOrigin) => void;
  addEdge: (edge: CallEdge) => void;
  addDependency: (dependency: Dependency) => void;
  /** Merges items of a peer; those that are new here are passed on. */
  merge: (learnt: LearntRoutes) => void;
  /** Items to be sent to all peers now, or undefined when there are none or the last ones were sent recently. */
  takeDue: () => LearntRoutes | undefined;
  /** Everything that is known, for a new peer. */
  all: () => LearntRoutes;
};

/** Options of the spread. */
export type LearntRouteSpreadOptions = {
  now: () => number;
  clientRoutes: Pick<ClientRoutes, 'merge' | 'list'>;
  callGraph: Pick<CallGraph, 'merge' | 'list'>;
  dependencies: Pick<Dependencies, 'merge' | 'list'>;
};

/** Shortest interval between two messages with learnt items, in milliseconds; during it, items are collected. */
const SEND_INTERVAL_MS = 300;

const emptyItems = (): LearntRoutes => ({origins: [], edges: [], dependencies: []});

/** Creates a spread without collected items. */
export const createLearntRouteSpread = ({now, clientRoutes, callGraph, dependencies}: LearntRouteSpreadOptions): LearntRouteSpread => {
  let collected = emptyItems();
  let sentAt = Number.NEGATIVE_INFINITY;
  return {
    addOrigin(origin) {
      collected.origins.push(origin);
    },
    addEdge(edge) {
      collected.edges.push(edge);
    },
    addDependency(dependency) {
      collected.dependencies.push(dependency);
    },
    merge(learnt) {
      collected.origins.push(...clientRoutes.merge(learnt.origins));
      collected.edges.push(...callGraph.merge(learnt.edges));
      collected.dependencies.push(...dependencies.merge(learnt.dependencies));
    },
    takeDue() {
      const isEmpty = Object.values(collected).every(items => items.length === 0);
      if (isEmpty || now() - sentAt < SEND_INTERVAL_MS) {
        return undefined;
      }

      sentAt = now();
      const due = collected;
      collected = emptyItems();
      return due;
    },
    all: () => ({origins: clientRoutes.list(), edges: callGraph.list(), dependencies: dependencies.list()}),
  };
};
