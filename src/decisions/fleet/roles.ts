/** Roles of a zone's members. They need no lease: writes to the platform are conditional, so two processes with the same role do no harm. */
import {rendezvousOrder} from '../../shared/hash.js';
import {ROLE_START_DELAY_MS, WATCHER_COUNT} from './constants.js';
import type {FleetState, RolesState} from './state.js';

/** Creates the state of a process without a role. */
export const createRolesState = (): RolesState => ({
  watchers: [], roleStartAt: undefined, watching: false, nextWatchAt: 0, nextReadAt: 0,
});

/** Whether this process watches the platform. */
export const isWatcher = (state: FleetState): boolean => state.roles.watchers.includes(state.self.host);

/** Whether this process exchanges summaries with other zones. */
export const isRelay = (state: FleetState): boolean => isWatcher(state);

/** Whether this process writes the status of the zone and publishes its summary. */
export const isAggregator = (state: FleetState): boolean => state.roles.watchers[0] === state.self.host;

/** Chooses the watchers among the alive members by rendezvous hashing; a suspected one is replaced before it is declared dead. */
export const chooseWatchers = (state: FleetState): void => {
  const others = [...state.membership.members.values()].map(member => member.record);
  const hosts = [state.self, ...others].filter(record => record.state === 'alive').map(record => record.host);
  state.roles.watchers = rendezvousOrder(`watch/${state.self.zone}`, hosts).slice(0, WATCHER_COUNT);
};

/** Assigns the roles in a process that knows no other one, after other processes had time to answer. */
export const tickRoles = (state: FleetState, now: number): void => {
  const {roles} = state;
  roles.roleStartAt ??= now + (state.contacts.length === 0 ? 0 : ROLE_START_DELAY_MS);
  if (roles.watchers.length === 0 && now >= roles.roleStartAt) {
    chooseWatchers(state);
  }
};
