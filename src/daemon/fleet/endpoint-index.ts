/** Computes incremental endpoint changes from complete endpoint lists of single hosts and zones. */
import type {Endpoint} from '../../decisions/outbound/outbound.js';

/** Difference between two states of the endpoints that calls can be sent to. */
export type EndpointChange = {
  changed: readonly Endpoint[];
  /** Must be removed before `changed` is added. */
  removed: ReadonlyArray<{service: string; host: string}>;
  /** Addresses of all endpoints. A live view that also reflects later changes. */
  addresses: {has: (address: string) => boolean};
};

/** Endpoints of one source: a host of the own zone, or the summary of another zone. */
export type EndpointGroup = {source: string; endpoints: readonly Endpoint[]};

/** All current endpoints, indexed by their source. */
export type EndpointIndex = {
  /** Replaces the endpoints of each source and returns the difference; of several groups with the same source the last one applies. */
  update: (groups: readonly EndpointGroup[]) => EndpointChange;
};

const endpointKeyOf = ({service, host}: {service: string; host: string}): string => `${service}/${host}`;

const isSameEndpoint = (a: Endpoint, b: Endpoint): boolean =>
  (Object.keys(b) as Array<keyof Endpoint>).every(field => a[field] === b[field]);

/** Creates an empty index. Each pair of service and host belongs to the source that listed it last. */
export const createEndpointIndex = (): EndpointIndex => {
  const entries = new Map<string, {source: string; endpoint: Endpoint}>();
  const keysBySource = new Map<string, Set<string>>();
  const addresses = new Map<string, number>();

  const adjustAddressCount = (address: string, difference: number): void => {
    const count = (addresses.get(address) ?? 0) + difference;
    if (count === 0) {
      addresses.delete(address);
    } else {
      addresses.set(address, count);
    }
  };

  const addEndpoint = (source: string, endpoint: Endpoint): boolean => {
    const key = endpointKeyOf(endpoint);
    const previous = entries.get(key);
    entries.set(key, {source, endpoint});
    adjustAddressCount(endpoint.address, 1);
    if (previous === undefined) {
      return true;
    }

    adjustAddressCount(previous.endpoint.address, -1);
    return !isSameEndpoint(previous.endpoint, endpoint);
  };

  const removeEndpoint = (source: string, key: string): Endpoint | undefined => {
    const previous = entries.get(key);
    if (previous?.source !== source) {
      return undefined;
    }

    entries.delete(key);
    adjustAddressCount(previous.endpoint.address, -1);
    return previous.endpoint;
  };

  const replaceGroup = ({source, endpoints}: EndpointGroup) => {
    const keys = new Set(endpoints.map(endpoint => endpointKeyOf(endpoint)));
    const removed = [...keysBySource.get(source) ?? []]
      .filter(key => !keys.has(key))
      .map(key => removeEndpoint(source, key))
      .filter(endpoint => endpoint !== undefined);
    if (keys.size === 0) {
      keysBySource.delete(source);
    } else {
      keysBySource.set(source, keys);
    }

    return {removed, changed: endpoints.filter(endpoint => addEndpoint(source, endpoint))};
  };

  return {
    update(groups) {
      // The receiver applies all removals before all additions, so two groups of the same source cannot be applied one after the other.
      const latest = new Map(groups.map(group => [group.source, group]));
      const differences = [...latest.values()].map(group => replaceGroup(group));
      const changed = differences.flatMap(difference => difference.changed);
      const removed = differences.flatMap(difference => difference.removed).map(({service, host}) => ({service, host}));
      return {changed, removed, addresses};
    },
  };
};
