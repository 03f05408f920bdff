/** Which member of a zone grants its permits: the first reachable one in an order that all processes compute alike. */
import {rendezvousOrder} from '../../shared/hash.js';
import type {Reachability} from '../members/store-readers.js';

/** Members of a zone in the order in which they become its coordinator. */
export const coordinatorOrder = (zone: string, nodes: readonly string[]): string[] => rendezvousOrder(`rate-limits/${zone}`, nodes);

/** First of the members that is this process or can be used; undefined when there is none. */
export const chooseCoordinator = (order: readonly string[], self: string, isUsable: (node: string) => boolean): string | undefined =>
  order.find(node => node === self || isUsable(node));

/** Members that a link is kept to: up to the `count`-th that may be reachable, and none after this process. */
export const linkedCandidates = (order: readonly string[], self: string, count: number, reachability: (node: string) => Reachability): string[] => {
  const own = order.indexOf(self);
  const before = own === -1 ? order : order.slice(0, own);
  const reachable = before.flatMap((node, index) => reachability(node) === 'unreachable' ? [] : [index]);
  return before.slice(0, (reachable[count - 1] ?? before.length - 1) + 1);
};
