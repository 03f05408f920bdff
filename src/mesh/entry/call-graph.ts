/**
Learns the call graph: which routes the backend server calls while it handles a call of a route.

A call of the backend server does not state on behalf of which running call it is made. While only calls of a single route are running, it must be for one of them.
*/

/** Handling a call of route `caller` makes calls of route `called`. */
export type CallEdge = {caller: string; called: string};

/** Call graph of the routes. */
export type CallGraph = {
  /** Records that a request for route `called` arrived at this host while calls of the routes in `running` were running. */
  observe: (running: ReadonlySet<string>, called: string) => void;
  /** Adds edges learnt by another process and returns those that were not known; `onLearnt` is not called. */
  merge: (edges: readonly CallEdge[]) => CallEdge[];
  /** Routes that a route calls, directly or transitively. Client routes are left out: their requests arrive during running calls by coincidence. */
  calledRoutes: (route: string, isClientRoute: (route: string) => boolean) => Set<string>;
  /** All edges. */
  list: () => CallEdge[];
};

/** Observations after which an edge counts; rarely used routes say little about what a surge of requests will need. */
const OBSERVATIONS_MIN = 8;
/** Share of the observations of a called route that an edge needs: the call that made it may just have been cancelled, so that another route seems to be its caller. */
const OBSERVATION_SHARE_MIN = 0.1;
/** Maximum number of tracked routes; further ones are ignored. */
const ROUTES_MAX = 10_000;

/** Creates an empty graph. `onLearnt` is called with each new edge that this process derived from its observations. */
export const createCallGraph = (onLearnt: (edge: CallEdge) => void): CallGraph => {
  /** Observations by called route and caller. */
  const observationCounts = new Map<string, Map<string, number>>();
  const edges = new Map<string, Set<string>>();

  const addEdge = ({caller, called}: CallEdge): boolean => {
    const calledRoutes = edges.get(caller) ?? new Set<string>();
    if (calledRoutes.has(called) || edges.size >= ROUTES_MAX) {
      return false;
    }

    edges.set(caller, calledRoutes);
    calledRoutes.add(called);
    return true;
  };

  const countObservation = (edge: CallEdge): void => {
    const callers = observationCounts.get(edge.called) ?? new Map<string, number>();
    if (callers.size === 0 && observationCounts.size >= ROUTES_MAX) {
      return;
    }

    observationCounts.set(edge.called, callers);
    const observations = (callers.get(edge.caller) ?? 0) + 1;
    callers.set(edge.caller, observations);
    const total = [...callers.values()].reduce((sum, times) => sum + times, 0);
    if (observations >= OBSERVATIONS_MIN && observations >= total * OBSERVATION_SHARE_MIN && addEdge(edge)) {
      onLearnt(edge);
    }
  };

  return {
    observe(running, called) {
      const [caller] = running;
      if (running.size === 1 && caller !== called) {
        countObservation({caller: caller!, called});
      }
    },
    merge: reported => reported.filter(edge => addEdge(edge)),
    calledRoutes(route, isClientRoute) {
      const reached = new Set<string>();
      const pending = [route];
      for (let current = pending.pop(); current !== undefined; current = pending.pop()) {
        for (const called of edges.get(current) ?? []) {
          if (!reached.has(called) && !isClientRoute(called)) {
            reached.add(called);
            pending.push(called);
          }
        }
      }

      return reached;
    },
    list: () => [...edges].flatMap(([caller, calledRoutes]) => [...calledRoutes].map(called => ({caller, called}))),
  };
};
