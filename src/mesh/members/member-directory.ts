/**
Members of the fleet as the store lists them, with the revision of the store at which each one changed.

A process that does not read the store itself gets the changes after its own revision from a peer, so the traffic grows with the changes and not with the fleet.
*/
import type {Member} from '../message.js';

/** Member with the revision of its entry in the store; 0 when it is known from a greeting only. */
export type ListedMember = {member: Member; revision: number};

/** Changes of the member list after revision `since`, up to and including `revision`. With `since` 0 it is the whole list. */
export type MemberChanges = {since: number; revision: number; listed: ListedMember[]; removed: Array<{node: string; revision: number}>};

/** Member list of one process. */
export type MemberDirectory = {
  /** Applies a whole list that was read from the store. */
  applySnapshot: (listed: readonly ListedMember[], revision: number) => void;
  /** Applies changes from a watch or a peer; changes that begin after the own revision are ignored, because those between are missing. */
  applyChanges: (changes: MemberChanges) => void;
  /** Changes after a revision; the whole list when those are no longer known. */
  changesSince: (revision: number) => MemberChanges;
  /** Adds a member that greeted this process, until the store says otherwise. */
  learn: (member: Member) => void;
  /** Removes members that are not listed in the store and not connected. */
  removeUnlisted: (isConnected: (node: string) => boolean) => void;
  /** Revision of the store that the list reflects; 0 when nothing has been read yet. */
  revision: () => number;
  /** Increases with each change of the members. */
  generation: () => number;
  /** Entry of a member; undefined when it is not listed. */
  entryOf: (node: string) => ListedMember | undefined;
  members: () => Member[];
  /** Members that are listed in the store. */
  listedMembers: () => Member[];
};

/** Removals that are remembered for `changesSince`; a peer that is further behind gets the whole list. */
const REMOVALS_MAX = 1000;

const isSameMember = (a: Member, b: Member): boolean => a.address === b.address && a.zone === b.zone && a.service === b.service;

/** Creates a directory without members. */
export const createMemberDirectory = (): MemberDirectory => {
  const entries = new Map<string, ListedMember>();
  let removals: Array<{node: string; revision: number}> = [];
  /** Removals up to this revision have been dropped. */
  let removalsKnownAfter = 0;
  let revision = 0;
  let generation = 0;

  const put = (listed: ListedMember): void => {
    const known = entries.get(listed.member.node);
    const removedAt = removals.find(({node}) => node === listed.member.node)?.revision ?? 0;
    if (Math.max(known?.revision ?? 0, removedAt) >= listed.revision) {
      return;
    }

    entries.set(listed.member.node, listed);
    removals = removals.filter(({node}) => node !== listed.member.node);
    if (known === undefined || known.revision === 0 || !isSameMember(known.member, listed.member)) {
      generation++;
    }
  };

  const remove = (node: string, removedAt: number): void => {
    const known = entries.get(node);
    if (known !== undefined && known.revision <= removedAt) {
      entries.delete(node);
      generation++;
    }

    removals = [...removals.filter(removal => removal.node !== node), {node, revision: removedAt}];
    if (removals.length > REMOVALS_MAX) {
      removalsKnownAfter = removals[0]!.revision;
      removals = removals.slice(1);
    }
  };

  const applySnapshot = (listed: readonly ListedMember[], listedAt: number): void => {
    if (listedAt < revision) {
      return;
    }

    const names = new Set(listed.map(({member}) => member.node));
    for (const [node, entry] of entries) {
      if (!names.has(node) && entry.revision > 0 && entry.revision <= listedAt) {
        remove(node, listedAt);
      }
    }

    for (const entry of listed) {
      put(entry);
    }

    // A list does not show members that were added and removed since the last one, but a peer may know them.
    revision = listedAt;
    removals = [];
    removalsKnownAfter = listedAt;
  };

  return {
    applySnapshot,
    applyChanges(changes) {
      if (changes.since === 0) {
        applySnapshot(changes.listed, changes.revision);
        return;
      }

      if (changes.since > revision || changes.revision <= revision) {
        return;
      }

      for (const removal of changes.removed) {
        remove(removal.node, removal.revision);
      }

      for (const entry of changes.listed) {
        put(entry);
      }

      revision = changes.revision;
    },
    changesSince(since) {
      const known = since >= removalsKnownAfter ? since : 0;
      const listed = [...entries.values()].filter(entry => entry.revision > known);
      return {
        since: known, revision, listed, removed: known === 0 ? [] : removals.filter(removal => removal.revision > known),
      };
    },
    learn(member) {
      const known = entries.get(member.node);
      if (known === undefined || !isSameMember(known.member, member)) {
        entries.set(member.node, {member, revision: known?.revision ?? 0});
        generation++;
      }
    },
    removeUnlisted(isConnected) {
      for (const [node, entry] of entries) {
        if (entry.revision === 0 && !isConnected(node)) {
          entries.delete(node);
          generation++;
        }
      }
    },
    revision: () => revision,
    generation: () => generation,
    entryOf: node => entries.get(node),
    members: () => [...entries.values()].map(({member}) => member),
    listedMembers: () => [...entries.values()].flatMap(entry => entry.revision > 0 ? [entry.member] : []),
  };
};
