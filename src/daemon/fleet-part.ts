/** Connects the fleet agent to the endpoints, configuration, event log and metrics of a process. */
import type {Clock} from '../shared/clock.js';
import type {Random} from '../shared/random.js';
import {endpointOf, type FleetReport} from '../decisions/fleet/fleet.js';
import type {Configuration} from '../objects/configuration.js';
import type {BackendServer} from '../objects/schema.js';
import type {PlatformClient} from '../platform/client.js';
import type {EventLog} from './event-log.js';
import {createEndpointIndex, type EndpointChange, type EndpointGroup} from './fleet/endpoint-index.js';
import {createFleetAgent, type FleetCounterEvent, type MembersChange} from './fleet/fleet-agent.js';
import type {FleetRequestHandler} from './fleet/transport.js';
import type {Metrics} from './metrics.js';
import type {Settings} from './settings.js';

/** Part of a process that exchanges members and configurations with the fleet. */
export type FleetPart = {
  start: () => Promise<void>;
  /** Announces to the fleet that this process leaves, then stops. */
  stop: () => Promise<void>;
  /** Handles control messages; false when the request is not one. */
  handle: FleetRequestHandler;
  /** Announces the backend server of this host to the fleet; undefined when it has none. */
  setBackendServer: (backendServer: BackendServer | undefined) => void;
  /** Announces to the fleet that this process is draining. */
  setDraining: () => void;
  /** Whether a configuration is in effect. */
  ready: () => boolean;
  /** Fields of the fleet in the status of the process. */
  status: () => Record<string, unknown>;
};

/** Options of the fleet part. */
export type FleetPartOptions = {
  settings: Settings;
  incarnation: string;
  platform: PlatformClient;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  eventLog: EventLog;
  onEndpoints: (change: EndpointChange) => void;
  onConfiguration: (configuration: Configuration) => void;
};

const formatReport = (report: FleetReport): string => {
  const {kind, ...fields} = report;
  const details = Object.entries(fields).map(([name, value]) => `${name} ${String(value)}`).join(', ');
  return `${kind}: ${details}`;
};

/** Creates a function that counts control messages in the metrics. */
const createMessageCounter = (metrics: Metrics) => (count: FleetCounterEvent) => {
  switch (count.counter) {
    case 'message-received': {
      metrics.countMessage('in', count.kind, count.bytes);
      break;
    }

    case 'message-sent': {
      metrics.countMessage('out', count.kind, count.bytes);
      break;
    }

    case 'message-failed': {
      metrics.countMessage('out', count.reason, 0);
      break;
    }

    case 'message-rejected': {
      metrics.countMessage('in', count.reason, 0);
      break;
    }
  }
};

/** Creates the fleet part of a process. */
export const createFleetPart = (options: FleetPartOptions): FleetPart => {
  const {settings, metrics} = options;
  const fleet = createFleetAgent({
    host: settings.host,
    zone: settings.zone,
    address: settings.peer,
    incarnation: options.incarnation,
    contacts: settings.contacts,
    fleetKey: settings.fleetKey,
    platform: options.platform,
    clock: options.clock,
    random: options.random,
    onReport(report) {
      options.eventLog.report(report.kind, formatReport(report));
    },
    onCount: createMessageCounter(metrics),
  });
  const endpointIndex = createEndpointIndex();

  const endpointGroupsOf = ({changed, removed, zones}: MembersChange): EndpointGroup[] => [
    ...removed.map(host => ({source: `host ${host}`, endpoints: []})),
    ...changed.map(record => ({source: `host ${record.host}`, endpoints: [endpointOf(record)].filter(endpoint => endpoint !== undefined)})),
    ...zones.map(zone => ({source: `zone ${zone}`, endpoints: fleet.endpointsOfZone(zone)})),
  ];

  fleet.onMembersChanged(change => {
    options.onEndpoints(endpointIndex.update(endpointGroupsOf(change)));
    metrics.setGauge('members', fleet.members().length);
  });
  let isConfigured = false;
  fleet.onConfiguration(configuration => {
    options.onConfiguration(configuration);
    isConfigured = true;
  });

  return {
    async start() {
      fleet.start();
    },
    async stop() {
      await fleet.leave();
      await fleet.stop();
    },
    handle: fleet.handler,
    setBackendServer(backendServer) {
      fleet.setBackendServer(backendServer && {
        service: backendServer.spec.service,
        slots: backendServer.spec.slots,
        connections: backendServer.spec.connections,
        coldStartMs: backendServer.spec.coldStartMs,
        labels: backendServer.labels,
        draining: false,
      });
    },
    setDraining() {
      fleet.setDraining();
    },
    ready: () => isConfigured,
    status: () => ({...fleet.status(), backendServers: fleet.endpoints().length}),
  };
};
