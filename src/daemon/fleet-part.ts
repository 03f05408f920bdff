/** Knows the other processes and the configuration in effect. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {request as httpRequest} from 'undici';
import {z} from 'zod';
import type {Clock} from '../shared/clock.js';
import type {Random} from '../shared/random.js';
import {
  CONFIGURATION_KIND, CONFIGURATION_NAME, configurationSchema, emptyConfiguration, type Configuration,
} from '../objects/configuration.js';
import {backendServerSchema, type BackendServer} from '../objects/schema.js';
import type {Endpoint} from '../decisions/outbound/outbound.js';
import type {PlatformClient} from '../platform/client.js';
import type {EventLog} from './event-log.js';
import {writeJson} from './http-server.js';
import type {Metrics} from './metrics.js';
import type {Settings} from './settings.js';

/** Fleet part of a process. */
export type FleetPart = {
  start: () => Promise<void>;
  stop: () => Promise<void>;
  /** Takes control messages; false when the path is none of its own. */
  handle: (request: IncomingMessage, response: ServerResponse) => boolean;
  setBackendServer: (backendServer: BackendServer | undefined) => void;
  setDraining: () => void;
  endpointOf: (host: string) => Endpoint | undefined;
  /** Whether a configuration is in effect. */
  ready: () => boolean;
  status: () => unknown;
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
  onEndpoints: (endpoints: readonly Endpoint[]) => void;
  onConfiguration: (configuration: Configuration) => void;
};

const memberSchema = z.object({
  host: z.string(), zone: z.string(), incarnation: z.string(), address: z.string(), draining: z.boolean(), backendServer: backendServerSchema.nullable(),
});

type Member = z.infer<typeof memberSchema>;

const MEMBER_PATH = '/.jujubewell/member';
const POLL_MS = 1000;

const toEndpoint = (member: Member): Endpoint | undefined => (member.backendServer === null
  ? undefined
  : {
    host: member.host,
    zone: member.zone,
    incarnation: member.incarnation,
    service: member.backendServer.spec.service,
    address: member.address,
    slots: member.backendServer.spec.slots,
    connections: member.backendServer.spec.connections,
    draining: member.draining,
    coldStartMs: member.backendServer.spec.coldStartMs,
  });

/** Creates the fleet part. */
export const createFleetPart = (options: FleetPartOptions): FleetPart => {
  const {settings} = options;
  const self: Member = {
    host: settings.host, zone: settings.zone, incarnation: options.incarnation, address: settings.peer, draining: false, backendServer: null,
  };
  const members = new Map<string, Member>();
  let configuration = emptyConfiguration;
  let timer: NodeJS.Timeout | undefined;

  const endpoints = (): Endpoint[] => [self, ...members.values()]
    .map(member => toEndpoint(member))
    .filter(endpoint => endpoint !== undefined);

  const publish = () => {
    options.onEndpoints(endpoints());
    options.metrics.setGauge('members', members.size + 1);
  };

  const pollMember = async (contact: string) => {
    try {
      const response = await httpRequest(`http://${contact}${MEMBER_PATH}`, {headersTimeout: POLL_MS, bodyTimeout: POLL_MS});
      members.set(contact, memberSchema.parse(await response.body.json()));
    } catch {
      members.delete(contact);
    }
  };

  const pollConfiguration = async () => {
    const read = await options.platform.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
    const parsed = read.kind === 'ok' ? configurationSchema.safeParse(read.value.value) : undefined;
    if (parsed?.success && parsed.data.sequence > configuration.sequence) {
      configuration = parsed.data;
      options.onConfiguration(configuration);
    }
  };

  const poll = async () => {
    await Promise.all([pollConfiguration(), ...settings.contacts.filter(contact => contact !== settings.peer).map(async contact => pollMember(contact))]);
    publish();
  };

  return {
    async start() {
      timer = setInterval(() => {
        void poll();
      }, POLL_MS);
      void poll();
    },
    async stop() {
      clearInterval(timer);
    },
    handle(request, response) {
      if (request.url !== MEMBER_PATH) {
        return false;
      }

      writeJson(response, 200, self);
      return true;
    },
    setBackendServer(backendServer) {
      self.backendServer = backendServer ?? null;
      publish();
    },
    setDraining() {
      self.draining = true;
      publish();
    },
    endpointOf: host => endpoints().find(endpoint => endpoint.host === host),
    ready: () => configuration.sequence > 0,
    status: () => ({members: members.size + 1, backendServers: endpoints().length, sequence: configuration.sequence}),
  };
};
