/** Performs the platform actions of the fleet decision logic: reads, watches and writes. */
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, decodeConfiguration, encodeConfiguration, type Configuration,
} from '../../objects/configuration.js';
import type {FleetEvent, PlatformView, ZoneStatus} from '../../decisions/fleet/fleet.js';
import type {
  PlatformClient, PlatformError, PlatformObject, WatchEvent,
} from '../../platform/client.js';
import {PENDING_READ_TIMEOUT_MS} from './constants.js';

/** Platform object kind of zone statuses; the object name is the zone. */
export const ZONE_STATUS_KIND = 'ZoneStatus';

/** Performs platform operations and reports their results as events of the fleet decision logic. */
export type PlatformAdapter = {
  /** Opens the watch of the configuration or replaces it with a new one, optionally after reading the configuration. */
  watch: (readFirst: boolean) => void;
  stopWatching: () => void;
  writeConfiguration: (configuration: Configuration, expectedVersion: number | undefined) => Promise<void>;
  writeStatus: (status: ZoneStatus) => Promise<void>;
};

/** Options of a platform adapter. */
export type PlatformAdapterOptions = {
  platform: PlatformClient;
  now: () => number;
  onEvent: (event: FleetEvent) => void;
};

const toFailureEvent = (message: string): FleetEvent => ({kind: 'configuration-failed', message});

/** Converts an object to an event. One that cannot be decoded is a failure: it may come from a later release and must not be overwritten. */
const toReadEvent = (by: PlatformView['by'], object: PlatformObject | undefined): FleetEvent => {
  if (object === undefined) {
    return {kind: 'configuration-read', view: {by, configuration: undefined, version: undefined}};
  }

  const decoded = decodeConfiguration(object.value);
  return decoded.kind === 'ok'
    ? {kind: 'configuration-read', view: {by, configuration: decoded.value, version: object.version}}
    : toFailureEvent(decoded.error.message);
};

/** Converts an error to an event. `not-found` and `conflict` are not failures, because they show the state of the object. */
const toErrorEvent = (by: PlatformView['by'], error: PlatformError): FleetEvent => {
  switch (error.kind) {
    case 'not-found': {
      return toReadEvent(by, undefined);
    }

    case 'conflict': {
      return toReadEvent(by, error.current);
    }

    case 'unreachable':
    case 'timed-out':
    case 'too-large':
    case 'rejected': {
      return toFailureEvent(error.message);
    }
  }
};

/** Creates a platform adapter. */
export const createPlatformAdapter = ({platform, now, onEvent}: PlatformAdapterOptions): PlatformAdapter => {
  let currentWatch: {close: () => void} | undefined;
  let isWatching = false;
  let lastVersion = 0;
  let readDeadline = 0;
  let statusVersion: number | undefined;

  const handleWatchEvent = (event: WatchEvent): void => {
    switch (event.kind) {
      case 'changed': {
        if (event.object.name === CONFIGURATION_NAME && event.object.version > lastVersion) {
          lastVersion = event.object.version;
          onEvent(toReadEvent('watch', event.object));
        }

        break;
      }

      case 'deleted': {
        onEvent(toFailureEvent('the configuration was deleted from the platform'));
        break;
      }

      case 'broken': {
        onEvent(toFailureEvent(event.message));
        break;
      }
    }
  };

  const openWatch = (): void => {
    const previous = currentWatch;
    let isCurrent = true;
    const openedWatch = platform.watch(CONFIGURATION_KIND, lastVersion, event => {
      if (isCurrent) {
        handleWatchEvent(event);
      }
    });
    currentWatch = {
      close() {
        isCurrent = false;
        openedWatch.close();
      },
    };
    // The previous watch is closed only after the new one has been opened, so that no change is missed in between.
    previous?.close();
  };

  const readAndOpenWatch = async (): Promise<void> => {
    readDeadline = now() + PENDING_READ_TIMEOUT_MS;
    const result = await platform.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
    readDeadline = 0;
    if (!isWatching) {
      return;
    }

    const event = result.kind === 'ok' ? toReadEvent('read', result.value) : toErrorEvent('read', result.error);
    if (result.kind === 'ok' || result.error.kind === 'not-found') {
      lastVersion = result.kind === 'ok' ? result.value.version : 0;
      openWatch();
    }

    onEvent(event);
  };

  return {
    watch(readFirst) {
      isWatching = true;
      if (now() < readDeadline) {
        return;
      }

      if (readFirst) {
        void readAndOpenWatch();
      } else {
        openWatch();
      }
    },
    stopWatching() {
      isWatching = false;
      currentWatch?.close();
      currentWatch = undefined;
    },
    async writeConfiguration(configuration, expectedVersion) {
      const result = await platform.write({
        kind: CONFIGURATION_KIND, name: CONFIGURATION_NAME, value: encodeConfiguration(configuration), expectedVersion,
      });
      onEvent(result.kind === 'ok' ? toReadEvent('write', result.value) : toErrorEvent('write', result.error));
    },
    async writeStatus(status) {
      const result = await platform.write({
        kind: ZONE_STATUS_KIND, name: status.zone, value: status, expectedVersion: statusVersion,
      });
      if (result.kind === 'ok') {
        statusVersion = result.value.version;
        onEvent({kind: 'status-written'});
        return;
      }

      statusVersion = result.error.kind === 'conflict' ? result.error.current?.version : statusVersion;
      onEvent({kind: 'status-failed', message: result.error.message});
    },
  };
};
