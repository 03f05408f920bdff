/** State of the local backend server, derived from its announcements. Outdated announcements are ignored. */

/** Announcement of a backend server about itself. */
export type Announcement = {
  instance: string;
  service: string;
  /** `ip:port` on this host. */
  address: string;
  /** Maximum number of concurrent calls. */
  slots: number;
  state: 'ready' | 'draining';
  /** Increases with each announcement; starts again when the backend server restarts. */
  sequence: number;
  /** Start time of the backend server, in milliseconds since the Unix epoch. */
  startedAt: number;
  /** Remaining warm-up time, in milliseconds. */
  coldMs: number;
};

/** Backend server of this host as this process knows it; `left` is one that has deregistered. Times are clock readings in milliseconds. */
export type LocalBackend =
  | {kind: 'none'}
  | {kind: 'announced'; announcement: Announcement; receivedAt: number; drainingSince: number | undefined}
  | {kind: 'left'; instance: string; startedAt: number; leftAt: number; previous: Announcement};

/** Effect of an announcement on the known state. */
export type AnnouncementChange = 'new-instance' | 'draining' | 'refreshed' | 'outdated';

const startTimeOf = (local: LocalBackend): number => {
  switch (local.kind) {
    case 'none': {
      return Number.NEGATIVE_INFINITY;
    }

    case 'announced': {
      return local.announcement.startedAt;
    }

    case 'left': {
      return local.startedAt;
    }
  }
};

/**
Applies an announcement. One that is older than the known state changes nothing: it may have been delayed in transit, and its sender may be gone.
A drain is never reverted until the backend server restarts.
*/
export const applyAnnouncement = (local: LocalBackend, announcement: Announcement, now: number): {local: LocalBackend; change: AnnouncementChange} => {
  if (announcement.startedAt < startTimeOf(local)) {
    return {local, change: 'outdated'};
  }

  const drainingSince = announcement.state === 'draining' ? now : undefined;
  if (announcement.startedAt > startTimeOf(local) || local.kind === 'none') {
    return {
      local: {
        kind: 'announced', announcement, receivedAt: now, drainingSince,
      },
      change: 'new-instance',
    };
  }

  if (local.kind === 'left' || announcement.sequence <= local.announcement.sequence) {
    return {local, change: 'outdated'};
  }

  const startsDraining = drainingSince !== undefined && local.drainingSince === undefined;
  return {
    local: {
      kind: 'announced',
      announcement: {...announcement, state: local.drainingSince === undefined ? announcement.state : 'draining'},
      receivedAt: now,
      drainingSince: local.drainingSince ?? drainingSince,
    },
    change: startsDraining ? 'draining' : 'refreshed',
  };
};

/** Applies a response in which the backend server states that it leaves; it binds like an announcement of the drain. */
export const applyLeaving = (local: LocalBackend, now: number): LocalBackend =>
  local.kind === 'announced' && local.drainingSince === undefined ? {...local, drainingSince: now} : local;

/** Applies the deregistration of an instance. It changes nothing unless the instance is the announced one. */
export const applyDeparture = (local: LocalBackend, instance: string, now: number): LocalBackend => {
  if (local.kind !== 'announced' || local.announcement.instance !== instance) {
    return local;
  }

  return {
    kind: 'left', instance, startedAt: local.announcement.startedAt, leftAt: now, previous: local.announcement,
  };
};
