/** Roles of a zone's members. They need no lease: the platform takes conditional writes only, so two holders do no harm. */
import {rendezvousOrder} from '../../shared/hash.js';
import {ROLE_START_DELAY_MS, WATCHER_COUNT} from './constants.js';
import type {FleetState, RolesState} from './state.js';

/** Creates the state of a process without a role. */
export const createRolesState = (): RolesState => ({
  holders: [], roleStartAt: undefined, watching: false, nextWatchAt: 0, nextReadAt: 0,
});

/** Whether this process watches the platform. */
export const isWatcher = (state: FleetState): boolean => state.roles.holders.includes(state.self.host);

/** Whether this process speaks with other zones. */
export const isRelay = (state: FleetState): boolean => isWatcher(state);

/** Whether this process writes the status of the zone and publishes its summary. */
export const isAggregator = (state: FleetState): boolean => state.roles.holders[0] === state.self.host;

/** Chooses the holders among members held for alive; a suspected one is replaced before it is held for dead. */
export const chooseWatchers = (state: FleetState): void => {
  const others = [...state.membership.members.values()].map(member => member.record);
  const hosts = [state.self, ...others].filter(record => record.state === 'alive').map(record => record.host);
  state.roles.holders = rendezvousOrder(`watch/${state.self.zone}`, hosts).slice(0, WATCHER_COUNT);
};

/** Takes the roles of a process that knows no other one, once others had time to answer. */
export const tickRoles = (state: FleetState, now: number): void => {
  const {roles} = state;
  roles.roleStartAt ??= now + (state.contacts.length === 0 ? 0 : ROLE_START_DELAY_MS);
  if (roles.holders.length === 0 && now >= roles.roleStartAt) {
    chooseWatchers(state);
  }
};
