/**
Measured deployments: those of docs/design.md, section 1.5, with service times and rates scaled to one machine.

Slots, backend servers and connections are as stated there. Service times of about 500 ms limit the
capacity of each service to some hundred requests per second, which 10 cores can carry for all
processes together. Latency between zones is not emulated.
*/
import type {BackendServerSettingsInput} from '../emulator/backend-server/settings.js';

/** Request kind that the backend servers of a service serve. */
export type DeployedRequestKind = BackendServerSettingsInput['requestKinds'][number];

/** Service of a deployment with the number and size of its backend servers. */
export type DeployedService = {
  name: string;
  backendServers: number;
  /** Slots of each backend server. */
  slots: number;
  /** Connections that each backend server accepts. */
  connections: number;
  requestKinds: DeployedRequestKind[];
};

/** Requests of one kind that clients send under normal load. */
export type OfferedRequestKind = {
  kind: string;
  service: string;
  method: 'GET' | 'POST' | 'PUT';
  path: string;
  idempotent: boolean;
  /** Priority that the rules in `playground/` assign; 0 is the most urgent. */
  priority: number;
  /** Deadline that clients set. It is shorter than the rules allow, because a run is short. */
  deadlineMs: number;
  ratePerSecond: number;
  bodyBytes: number;
};

/** Client group with its share of the arrivals and the weight that the rules in `playground/` assign. */
export type OfferedClientGroup = {name: string; share: number; weight: number};

/** Services of a deployment with the load and the client groups of normal operation. */
export type MeasuredDeployment = {
  /** Also the directory of its declared objects in `playground/`. */
  name: string;
  services: DeployedService[];
  offered: OfferedRequestKind[];
  groups: OfferedClientGroup[];
};

const READ_DEADLINE_MS = 3000;
const UPLOAD_DEADLINE_MS = 6000;
const URGENT_DEADLINE_MS = 5000;

const read = (kind: string, service: string, path: string, ratePerSecond: number): OfferedRequestKind => ({
  kind, service, method: 'GET', path, idempotent: true, priority: 2, deadlineMs: READ_DEADLINE_MS, ratePerSecond, bodyBytes: 0,
});

const upload = (kind: string, service: string, path: string, ratePerSecond: number): OfferedRequestKind => ({
  kind, service, method: 'PUT', path, idempotent: true, priority: 1, deadlineMs: UPLOAD_DEADLINE_MS, ratePerSecond, bodyBytes: 50_000,
});

const urgent = (kind: string, service: string, path: string, ratePerSecond: number): OfferedRequestKind => ({
  kind, service, method: 'POST', path, idempotent: false, priority: 0, deadlineMs: URGENT_DEADLINE_MS, ratePerSecond, bodyBytes: 500,
});

const roggeNord: MeasuredDeployment = {
  name: 'rogge-nord',
  services: [
    {
      name: 'statusrog', backendServers: 4, slots: 40, connections: 330, requestKinds: [
        {
          name: 'channel-status', methods: ['GET'], path: '/channels*', idempotent: true, serviceTime: {meanMs: 800}, responseBytes: 2000,
        },
      ],
    },
    {
      name: 'chiuse', backendServers: 3, slots: 50, connections: 410, requestKinds: [
        {
          name: 'closure-booking', methods: ['POST'], path: '/closures', idempotent: false, serviceTime: {meanMs: 480}, steps: [[{service: 'registro', method: 'PUT', path: '/records/closure'}]],
        },
        {
          name: 'closure-list', methods: ['GET'], path: '/closures*', idempotent: true, serviceTime: {meanMs: 400}, steps: [[{service: 'registro', method: 'GET', path: '/records/closures'}]],
        },
      ],
    },
    {
      name: 'fotoargine', backendServers: 3, slots: 50, connections: 410, requestKinds: [
        {
          name: 'photo-upload', methods: ['PUT'], path: '/photos/*', idempotent: true, serviceTime: {meanMs: 800}, steps: [[{service: 'registro', method: 'PUT', path: '/records/photo'}]],
        },
        {
          name: 'photo-view', methods: ['GET'], path: '/photos/*', idempotent: true, serviceTime: {meanMs: 400}, responseBytes: 20_000,
        },
      ],
    },
    {
      name: 'registro', backendServers: 3, slots: 13, connections: 180, requestKinds: [
        {
          name: 'record-read', methods: ['GET'], path: '/records*', idempotent: true, serviceTime: {meanMs: 240},
        },
        {
          name: 'record-write', methods: ['PUT'], path: '/records/*', idempotent: true, serviceTime: {meanMs: 320},
        },
      ],
    },
  ],
  offered: [
    read('channel-status', 'statusrog', '/channels', 62.5),
    read('closure-list', 'chiuse', '/closures', 15),
    upload('photo-upload', 'fotoargine', '/photos/*', 12.5),
    urgent('closure-booking', 'chiuse', '/closures', 20),
  ],
  groups: [{name: 'foremen', share: 1, weight: 3}, {name: 'crews', share: 1, weight: 2}, {name: 'clerks', share: 1, weight: 1}],
};

const plaquesBleues: MeasuredDeployment = {
  name: 'plaques-bleues',
  services: [
    {
      name: 'archives', backendServers: 5, slots: 40, connections: 350, requestKinds: [
        {
          name: 'archive-browse', methods: ['GET'], path: '/nominations*', idempotent: true, serviceTime: {meanMs: 1000}, responseBytes: 4000,
        },
      ],
    },
    {
      name: 'filings', backendServers: 4, slots: 50, connections: 420, requestKinds: [
        {
          name: 'filing', methods: ['POST'], path: '/nominations', idempotent: false, serviceTime: {meanMs: 800}, steps: [[{service: 'endorsements', method: 'GET', path: '/endorsements'}]],
        },
        {
          name: 'filing-list', methods: ['GET'], path: '/nominations*', idempotent: true, serviceTime: {meanMs: 400}, steps: [[{service: 'endorsements', method: 'GET', path: '/endorsements'}]],
        },
      ],
    },
    {
      name: 'scans', backendServers: 3, slots: 70, connections: 530, requestKinds: [
        {
          name: 'scan-upload', methods: ['PUT'], path: '/scans/*', idempotent: true, serviceTime: {meanMs: 1000}, steps: [[{service: 'filings', method: 'GET', path: '/nominations'}]],
        },
        {
          name: 'scan-view', methods: ['GET'], path: '/scans/*', idempotent: true, serviceTime: {meanMs: 400}, responseBytes: 20_000,
        },
      ],
    },
    {
      name: 'endorsements', backendServers: 3, slots: 20, connections: 230, requestKinds: [
        {
          name: 'endorsement', methods: ['POST'], path: '/endorsements', idempotent: false, serviceTime: {meanMs: 480},
        },
        {
          name: 'endorsement-list', methods: ['GET'], path: '/endorsements*', idempotent: true, serviceTime: {meanMs: 240},
        },
      ],
    },
  ],
  offered: [
    read('archive-browse', 'archives', '/nominations', 62.5),
    read('filing-list', 'filings', '/nominations', 15),
    upload('scan-upload', 'scans', '/scans/*', 10),
    urgent('filing', 'filings', '/nominations', 17.5),
    urgent('endorsement', 'endorsements', '/endorsements', 20),
  ],
  groups: ['societe-casbah-alger', 'societe-medina-fes', 'societe-carthage', 'societe-oasis-ghadames', 'societe-adrar', 'societe-kairouan']
    .map(name => ({name, share: 1, weight: 1})),
};

/** Measured deployments by name. */
export const deployments: ReadonlyMap<string, MeasuredDeployment> = new Map([roggeNord, plaquesBleues].map(deployment => [deployment.name, deployment]));
