/**
Deterministic subsetting: which backend servers of a service a process links to.

The callers and the backend servers of a zone are each arranged on a ring. A caller takes the consecutive backend servers that begin at its own position,
so each backend server gets about the same number of callers, and a new member moves few links. The number of links does not grow with the fleet.
*/
import {hash32} from '../../shared/hash.js';
import type {Member} from '../message.js';

/** Members of one service in one zone, or all members of a zone, in ring order. */
export type Ring = readonly Member[];

/** Rings of the fleet. */
export type Rings = {
  /** All members of a zone. */
  callers: (zone: string) => Ring;
  /** Members of a service, by zone. */
  backends: (service: string) => ReadonlyMap<string, Ring>;
  services: () => ReadonlySet<string>;
};

/** Links per service that a process aims at, when the service has as many backend servers. */
const LINKS_PER_SERVICE = 12;
/** Largest part of them in the own zone; the rest is shared among the other zones. */
const OWN_ZONE_LINKS_MAX = 8;

const ringOrder = (members: readonly Member[]): Ring =>
  members
    .map(member => ({member, hash: hash32(member.node)}))
    .sort((a, b) => a.hash - b.hash || (a.member.node < b.member.node ? -1 : 1))
    .map(({member}) => member);

const groupBy = (members: readonly Member[], keyOf: (member: Member) => string): Map<string, Member[]> => {
  const groups = new Map<string, Member[]>();
  for (const member of members) {
    const group = groups.get(keyOf(member)) ?? [];
    groups.set(keyOf(member), group);
    group.push(member);
  }

  return groups;
};

const orderGroups = (groups: ReadonlyMap<string, readonly Member[]>): Map<string, Ring> =>
  new Map([...groups].map(([key, members]) => [key, ringOrder(members)]));

/** Arranges the members of the fleet on rings. */
export const createRings = (members: readonly Member[]): Rings => {
  const byZone = orderGroups(groupBy(members, ({zone}) => zone));
  const byService = new Map([...groupBy(members, ({service}) => service)].map(([service, group]) => [service, orderGroups(groupBy(group, ({zone}) => zone))]));
  const services = new Set(byService.keys());
  return {
    callers: zone => byZone.get(zone) ?? [],
    backends: service => byService.get(service) ?? new Map<string, Ring>(),
    services: () => services,
  };
};

/** Number of links into each zone: the own zone first, and at least one into each other zone. */
const linksByZone = (backends: ReadonlyMap<string, Ring>, ownZone: string, rank: number, callerCount: number): Map<string, number> => {
  const otherZones = [...backends.keys()].filter(zone => zone !== ownZone).sort();
  const own = Math.min(backends.get(ownZone)?.length ?? 0, OWN_ZONE_LINKS_MAX);
  const left = LINKS_PER_SERVICE - own;
  return new Map([...backends].map(([zone, ring]) => {
    const index = (otherZones.indexOf(zone) + rank) % otherZones.length;
    const aimed = zone === ownZone ? own : Math.max(1, Math.floor(left / otherZones.length) + (index < left % otherZones.length ? 1 : 0));
    // With few callers, each takes more, so that every backend server has at least one.
    return [zone, Math.min(ring.length, Math.max(aimed, Math.ceil(ring.length / Math.max(1, callerCount))))];
  }));
};

/** Backend servers that follow a position on a ring. */
const takeFrom = (ring: Ring, position: number, count: number): Member[] => {
  const start = Math.floor(position * ring.length);
  return [...ring.slice(start), ...ring.slice(0, start)].slice(0, count);
};

/** Rings without some of their members. */
const filterRings = (rings: ReadonlyMap<string, Ring>, isKept: (member: Member) => boolean): Map<string, Ring> =>
  new Map([...rings].map(([zone, ring]): [string, Ring] => [zone, ring.filter(member => isKept(member))]).filter(([, ring]) => ring.length > 0));

/** Members that `self` links to for calls to a service. Members that are not usable, because they could not be reached or have no backend server, are replaced while others are left. */
export const chooseSubset = (rings: Rings, self: Member, service: string, isUsable: (member: Member) => boolean): Member[] => {
  const callers = rings.callers(self.zone);
  const rank = Math.max(0, callers.findIndex(({node}) => node === self.node));
  const position = rank / Math.max(1, callers.length);
  const others = filterRings(rings.backends(service), ({node}) => node !== self.node);
  const usable = filterRings(others, isUsable);
  const backends = usable.size > 0 ? usable : others;
  const counts = linksByZone(backends, self.zone, rank, callers.length);
  return [...backends].flatMap(([zone, ring]) => takeFrom(ring, position, counts.get(zone)!));
};
