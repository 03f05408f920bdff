/** Coordinators of the own and the other zones, as this process chooses them, and the part of every limit that it owns. */
import type {Reachability} from '../members/store-readers.js';
import type {Member} from '../message.js';
import type {OtherCoordinator} from './borrowing.js';
import {chooseCoordinator, coordinatorOrder, linkedCandidates} from './coordinator-choice.js';
import {createFleetShare} from './fleet-share.js';
import {LISTING_MS} from './times.js';

/** Listed members of the fleet; `generation` increases with each change. */
export type ListedFleet = {generation: () => number; members: () => readonly Member[]};

/** Zones of the fleet with their coordinators. */
export type ZoneCoordinators = {
  /** Applies changes of the listed members. */
  update: () => void;
  isInOwnZone: (node: string) => boolean;
  /** Whether a process has an open link and is not passed over. */
  isUsable: (node: string) => boolean;
  /** Fraction of every limit that one process owns. */
  processShare: () => number;
  /** Fraction of every limit that the listed members of the own zone own. */
  zoneShare: () => number;
  /** Number of zones with listed members. */
  count: () => number;
  /** Fraction of every limit that this process may lend. */
  lendableShare: () => number;
  /** Coordinators of other zones that can be reached. */
  others: () => OtherCoordinator[];
  /** Chooses the coordinator of the own zone; `isLentTo` tells whether the fraction is lent to the current one. */
  choose: (current: string | undefined, isLentTo: boolean) => string | undefined;
  /** Passes over a process that does not answer. */
  passOver: (node: string) => void;
  /** Processes to which links are to be kept. */
  contacts: (reachability: (node: string) => Reachability) => string[];
  /** Records that the entry of this process in the member list is new. */
  recordListed: () => void;
};

/** Options of the coordinators. */
export type ZoneCoordinatorsOptions = {
  self: Pick<Member, 'node' | 'zone'>;
  now: () => number;
  fleet: ListedFleet;
  /** Whether a link to a process is open. */
  isOpen: (node: string) => boolean;
};

/** Time for which a silent coordinator is passed over, in milliseconds. */
const PASSED_OVER_MS = 5000;
/** Time for which a link must have been open before its process takes over from a working coordinator, in milliseconds. */
const STABLE_MS = 3000;
/** Processes of a zone that a link is kept to, and that keep links to other zones: the coordinator and the one that follows it. */
const CANDIDATES = 2;

/** Members of a zone, and the order in which they become its coordinator. */
type Zone = {nodes: ReadonlySet<string>; order: readonly string[]};

const EMPTY_ZONE: Zone = {nodes: new Set(), order: []};

/** Creates the coordinators of a fleet whose members are not known. */
export const createZoneCoordinators = ({self, now, fleet, isOpen}: ZoneCoordinatorsOptions): ZoneCoordinators => {
  const fleetShare = createFleetShare();
  const passedOverUntil = new Map<string, number>();
  /** Times since which the links to members that precede the current coordinator are open. */
  const openSince = new Map<string, number>();
  let zones = new Map<string, Zone>();
  let generation = -1;
  let listedAt = Number.NEGATIVE_INFINITY;

  const ownZone = (): Zone => zones.get(self.zone) ?? EMPTY_ZONE;

  const isUsable = (node: string): boolean => isOpen(node) && (passedOverUntil.get(node) ?? Number.NEGATIVE_INFINITY) <= now();

  const observeLinks = (current: string | undefined, time: number): void => {
    const {order} = ownZone();
    for (const node of order.slice(0, Math.max(0, order.indexOf(current ?? '')))) {
      if (!isOpen(node)) {
        openSince.delete(node);
      } else if (!openSince.has(node)) {
        openSince.set(node, time);
      }
    }

    for (const [node, until] of passedOverUntil) {
      if (until <= time) {
        passedOverUntil.delete(node);
      }
    }
  };

  return {
    update() {
      if (generation === fleet.generation()) {
        return;
      }

      generation = fleet.generation();
      const members = fleet.members();
      fleetShare.update(now(), members.length);
      const nodes = new Map<string, string[]>();
      for (const {node, zone} of members) {
        nodes.set(zone, [...(nodes.get(zone) ?? []), node]);
      }

      zones = new Map([...nodes].map(([zone, inZone]) => [zone, {nodes: new Set(inZone), order: coordinatorOrder(zone, inZone)}]));
    },
    isInOwnZone: node => ownZone().nodes.has(node),
    isUsable,
    processShare: fleetShare.ofProcess,
    zoneShare: () => ownZone().nodes.size * fleetShare.ofProcess(),
    count: () => zones.size,
    lendableShare: () => ownZone().nodes.has(self.node) && now() - listedAt >= LISTING_MS ? fleetShare.ofProcess() : 0,
    others: () => [...zones].flatMap(([zone, {order}]) => {
      const node = zone === self.zone ? undefined : chooseCoordinator(order, '', isUsable);
      return node === undefined ? [] : [{node, members: order.length}];
    }),
    choose(current, isLentTo) {
      const time = now();
      const {order} = ownZone();
      observeLinks(current, time);
      const isKept = current !== undefined && isLentTo && order.includes(current) && (current === self.node || isUsable(current));
      const isStable = (node: string): boolean => time - (openSince.get(node) ?? time) >= STABLE_MS;
      const chosen = chooseCoordinator(order, self.node, node => isUsable(node) && (!isKept || node === current || isStable(node)));
      if (chosen !== current) {
        openSince.clear();
      }

      return chosen;
    },
    passOver(node) {
      passedOverUntil.set(node, now() + PASSED_OVER_MS);
    },
    contacts(reachability) {
      const own = linkedCandidates(ownZone().order, self.node, CANDIDATES, reachability);
      const isCandidate = own.filter(node => reachability(node) !== 'unreachable').length < CANDIDATES;
      const others = [...zones].flatMap(([zone, {order}]) => zone === self.zone || !isCandidate ? [] : linkedCandidates(order, '', CANDIDATES, reachability));
      return [...own, ...others];
    },
    recordListed() {
      listedAt = now();
    },
  };
};
