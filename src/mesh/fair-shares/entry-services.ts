/** Services that the requests of workspaces go to first. The demand by workspace is counted there, because calls of backend servers name no workspace. */

/** Route of a client request, as far as its first service is concerned. */
export type TargetedRoute = {name: string; targets: ReadonlyArray<{service: string}>};

/** First services of the routes that requests of workspaces use. */
export type EntryServices = {
  /** Records a request of a workspace. */
  record: (route: TargetedRoute) => void;
  /** First services by route. */
  byRoute: () => ReadonlyMap<string, readonly string[]>;
};

/** Time without a request after which a route is removed, in milliseconds. */
const RETENTION_MS = 60_000;

/** Creates the services of no route. */
export const createEntryServices = (now: () => number): EntryServices => {
  const services = new Map<string, readonly string[]>();
  const recordedAt = new Map<string, number>();
  return {
    record({name, targets}) {
      recordedAt.set(name, now());
      if (services.get(name)?.length !== targets.length || !targets.every(({service}, index) => services.get(name)![index] === service)) {
        services.set(name, targets.map(({service}) => service));
      }
    },
    byRoute() {
      for (const [route, at] of recordedAt) {
        if (now() - at > RETENTION_MS) {
          recordedAt.delete(route);
          services.delete(route);
        }
      }

      return services;
    },
  };
};
