/** Members for tests. */
import type {Member} from '../../message.js';

/** Creates members with the services in turn, spread evenly over the zones. */
export const createMembers = (count: number, zones: number, services: readonly string[]): Member[] =>
  Array.from({length: count}, (_, index) => ({
    node: `host-${index}`,
    address: `10.0.${Math.floor(index / 250)}.${index % 250}:1`,
    zone: `zone-${index % zones}`,
    service: services[Math.floor(index / zones) % services.length]!,
  }));
