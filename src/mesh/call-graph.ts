/**
Learns which routes the runs of a route call.

A call of the backend server does not say for which of its runs it is made. While runs of one route only are under way, it can only be for one of those.
*/

/** Runs of `caller` make calls to `called`; both are names of routes. */
export type CallEdge = {caller: string; called: string};

/** Graph of routes. */
export type CallGraph = {
  /** Takes in that a request for a route arrived at this host while runs of some routes were under way. */
  observe: (running: ReadonlySet<string>, called: string) => void;
  /** Takes in what another process has learnt. */
  merge: (edges: readonly CallEdge[]) => void;
  /** Routes that are called for a route, directly or further down. Routes of clients are left out: their requests arrive beside the runs, not for them. */
  below: (route: string, isClientRoute: (route: string) => boolean) => Set<string>;
  list: () => CallEdge[];
};

/** Observations after which an edge counts; routes that are hardly used say little of what a surge will need. */
const OBSERVATIONS_MIN = 8;
/** Part of the observations of a called route that an edge needs: a run may just have been cancelled while its call was on its way. */
const OBSERVATION_SHARE_MIN = 0.1;
/** Routes of which calls are counted; more are not looked at. */
const ROUTES_MAX = 10_000;

/** Creates an empty graph. `onLearnt` is called with each edge that this process has learnt by itself. */
export const createCallGraph = (onLearnt: (edge: CallEdge) => void): CallGraph => {
  /** Observations by called route, then by caller. */
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
    merge(learnt) {
      for (const edge of learnt) {
        addEdge(edge);
      }
    },
    below(route, isClientRoute) {
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
    list: () => [...edges].flatMap(([caller, known]) => [...known].map(called => ({caller, called}))),
  };
};
