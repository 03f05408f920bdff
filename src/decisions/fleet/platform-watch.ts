/** Watch on the platform's configuration, held by the watchers of a zone. */
import type {Random} from '../../shared/random.js';
import {PLATFORM_RETRY_DELAY_MS, PLATFORM_READ_INTERVAL_MS, WATCH_RENEWAL_INTERVAL_MS} from './constants.js';
import {forgetPlatformPosition} from './configuration.js';
import {isWatcher} from './roles.js';
import {report} from './sending.js';
import type {FleetAction, FleetState} from './state.js';

const jitter = (milliseconds: number, random: Random): number => milliseconds * (0.9 + (random() * 0.2));

/** Opens, renews or stops the watch. */
export const tickWatch = (state: FleetState, now: number, random: Random): FleetAction[] => {
  const {roles} = state;
  if (!isWatcher(state)) {
    const wasWatching = roles.watching;
    roles.watching = false;
    roles.nextReadAt = 0;
    roles.nextWatchAt = 0;
    state.configuration.platformPosition = undefined;
    return wasWatching ? [{kind: 'stop-watching'}] : [];
  }

  if (now < roles.nextWatchAt) {
    return [];
  }

  const read = !roles.watching || now >= roles.nextReadAt || state.configuration.platformPosition === undefined;
  roles.watching = true;
  roles.nextWatchAt = now + jitter(WATCH_RENEWAL_INTERVAL_MS, random);
  roles.nextReadAt = read ? now + jitter(PLATFORM_READ_INTERVAL_MS, random) : roles.nextReadAt;
  return [{kind: 'watch-platform', read}];
};

/** Forgets the platform's version and schedules a full read after a read, watch or write of the platform failed. */
export const handlePlatformFailure = (state: FleetState, message: string, now: number, random: Random): FleetAction[] => {
  forgetPlatformPosition(state);
  state.roles.nextReadAt = 0;
  state.roles.nextWatchAt = now + jitter(PLATFORM_RETRY_DELAY_MS, random);
  return [report({kind: 'platform-failed', message})];
};
