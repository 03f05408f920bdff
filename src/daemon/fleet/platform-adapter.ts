/** Performs the fleet's reads, watches and writes on the platform. */
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, decodeConfiguration, encodeConfiguration, type Configuration,
} from '../../objects/configuration.js';
import type {FleetEvent, PlatformView, ZoneStatus} from '../../decisions/fleet/fleet.js';
import type {
  PlatformClient, PlatformFault, PlatformObject, WatchEvent,
} from '../../platform/client.js';
import {READ_TIMEOUT_MS} from './constants.js';

/** Platform object kind of zone statuses; the name is the zone. */
export const ZONE_STATUS_KIND = 'ZoneStatus';

/** Link to the platform; results arrive as events of the fleet decision. */
export type PlatformLink = {
  watch: (read: boolean) => void;
  stopWatching: () => void;
  writeConfiguration: (configuration: Configuration, expectedVersion: number | undefined) => Promise<void>;
  writeStatus: (status: ZoneStatus) => Promise<void>;
};

/** Options of a platform link. */
export type PlatformLinkOptions = {
  platform: PlatformClient;
  now: () => number;
  onEvent: (event: FleetEvent) => void;
};

const failureOf = (message: string): FleetEvent => ({kind: 'configuration-failed', message});

/** Event for an object. One that cannot be read is a failure: it may be of a later release and must not be written over. */
const viewOf = (by: PlatformView['by'], object: PlatformObject | undefined): FleetEvent => {
  if (object === undefined) {
    return {kind: 'configuration-read', view: {by, configuration: undefined, version: undefined}};
  }

  const decoded = decodeConfiguration(object.value);
  return decoded.kind === 'ok'
    ? {kind: 'configuration-read', view: {by, configuration: decoded.value, version: object.version}}
    : failureOf(decoded.error.message);
};

const viewOfFault = (by: PlatformView['by'], fault: PlatformFault): FleetEvent => {
  switch (fault.kind) {
    case 'not-found': {
      return viewOf(by, undefined);
    }

    case 'conflict': {
      return viewOf(by, fault.current);
    }

    case 'unreachable':
    case 'timed-out':
    case 'too-large':
    case 'rejected': {
      return failureOf(fault.message);
    }
  }
};

/** Creates a link to the platform. */
export const createPlatformLink = ({platform, now, onEvent}: PlatformLinkOptions): PlatformLink => {
  let watch: {close: () => void} | undefined;
  let watching = false;
  let lastVersion = 0;
  let readingUntil = 0;
  let statusVersion: number | undefined;

  const onWatch = (event: WatchEvent): void => {
    switch (event.kind) {
      case 'changed': {
        if (event.object.name === CONFIGURATION_NAME && event.object.version > lastVersion) {
          lastVersion = event.object.version;
          onEvent(viewOf('watch', event.object));
        }

        break;
      }

      case 'deleted': {
        onEvent(failureOf('the configuration was deleted from the platform'));
        break;
      }

      case 'broken': {
        onEvent(failureOf(event.message));
        break;
      }
    }
  };

  const open = (): void => {
    const previous = watch;
    let isCurrent = true;
    const opened = platform.watch(CONFIGURATION_KIND, lastVersion, event => {
      if (isCurrent) {
        onWatch(event);
      }
    });
    watch = {
      close() {
        isCurrent = false;
        opened.close();
      },
    };
    // The earlier watch closes after the new one is open, so that no change falls between them.
    previous?.close();
  };

  const readAndOpen = async (): Promise<void> => {
    readingUntil = now() + READ_TIMEOUT_MS;
    const result = await platform.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
    readingUntil = 0;
    if (!watching) {
      return;
    }

    const event = result.kind === 'ok' ? viewOf('read', result.value) : viewOfFault('read', result.error);
    if (result.kind === 'ok' || result.error.kind === 'not-found') {
      lastVersion = result.kind === 'ok' ? result.value.version : 0;
      open();
    }

    onEvent(event);
  };

  return {
    watch(read) {
      watching = true;
      if (now() < readingUntil) {
        return;
      }

      if (read) {
        void readAndOpen();
      } else {
        open();
      }
    },
    stopWatching() {
      watching = false;
      watch?.close();
      watch = undefined;
    },
    async writeConfiguration(configuration, expectedVersion) {
      const result = await platform.write({
        kind: CONFIGURATION_KIND, name: CONFIGURATION_NAME, value: encodeConfiguration(configuration), expectedVersion,
      });
      onEvent(result.kind === 'ok' ? viewOf('write', result.value) : viewOfFault('write', result.error));
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
