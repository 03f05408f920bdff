/** Messages between the processes of the fleet. */
import type {CallEdge} from './call-graph.js';
import type {RouteOrigin} from './client-routes.js';
import type {Dependency} from './dependencies.js';
import type {CountedCalls} from './retry-budget.js';
import type {RoutingConfiguration} from './routing-configuration.js';
import type {RouteTime} from './service-times.js';

/** Address and place of a process. */
export type Member = {
  node: string;
  /** Address of its peer listener, `ip:port`. */
  address: string;
  zone: string;
};

/** What a backend server can take, as the process beside it sees it. */
export type BackendLoad = {
  running: number;
  queued: number;
  /** Calls that it gets at most at the same time. */
  limit: number;
  /** Recent mean time of a call at the backend server, in milliseconds. */
  serviceMs: number;
  /** The same by route; routes that are missing here keep what was told of them before. */
  routes: RouteTime[];
  /** Calls that arrived in the window of the retry budget. */
  counted: CountedCalls;
};

/** State of the backend server beside a process. */
export type BackendState =
  | {kind: 'absent'}
  | {kind: 'ready' | 'draining'; service: string; instance: string; load: BackendLoad; coldMs: number};

/** Why a call was refused by the process beside the backend server. */
export type DoorRefusal =
  | 'backend-absent'
  | 'backend-draining'
  | 'stopping'
  | 'queue-full'
  | 'queue-time'
  | 'deadline-passed'
  | 'memory-full'
  | 'other-service'
  /** The process there was not heard before the call was sent. */
  | 'peer-silent'
  /** No byte of the call was sent to the backend server. */
  | 'backend-unreachable'
  /** The backend server stated that it did not run the call. */
  | 'backend-refused';

/** How a call ended at the process beside the backend server. */
export type DoorResult =
  /**
   * `framed` tells that the answer states its length; the end of one that does not may be a cut.
   * `failedBelow` tells that a call of the backend server failed while it ran this one, where it has been repeated already;
   * `lackingBelow` names the services for whose lack of room one failed.
   */
  | {kind: 'answered'; status: number; rawHeaders: string[]; framed: boolean; failedBelow: boolean; lackingBelow: string[]}
  /** The call has not run and will not. `arrived` tells that the backend server received it. */
  | {kind: 'refused'; reason: DoorRefusal; arrived: boolean; retryAfterMs: number}
  /** The call was sent and may have run. */
  | {kind: 'lost'; cause: string};

/** A call on its way to a backend server. */
export type CallHead = {
  requestId: string;
  service: string;
  method: string;
  path: string;
  rawHeaders: string[];
  idempotent: boolean;
  /** Whether another backend server has received the call before. */
  isRepeat: boolean;
  priority: number;
  /** Route that selected the service. */
  route: string;
  /** Time that the caller still waits, in milliseconds. */
  remainingMs: number;
  /** Time after which the answer is worth less, in milliseconds. */
  targetMs: number;
};

/** A message; the body of `call` and `result` follows the head. */
export type Message =
  | {type: 'hello'; member: Member; configurationVersion: number}
  | {type: 'welcome'; member: Member; configurationVersion: number; state: BackendState}
  | {type: 'state'; state: BackendState}
  | {type: 'call'; id: number; sentAt: number; call: CallHead}
  | {type: 'cancel'; id: number}
  | {type: 'result'; id: number; result: DoorResult; load: BackendLoad | undefined}
  | {type: 'ping'; sentAt: number; configurationVersion: number; memberCount: number}
  | {type: 'pong'; configurationVersion: number; load: BackendLoad}
  | {type: 'configuration-wanted'}
  | {type: 'configuration'; configuration: RoutingConfiguration}
  | {type: 'members'; members: Member[]}
  /** Load of the backend server, told unasked while calls wait for it. */
  | {type: 'load'; load: BackendLoad}
  | {type: 'route-origins'; origins: RouteOrigin[]}
  | {type: 'dependencies'; dependencies: Dependency[]}
  | {type: 'call-edges'; edges: CallEdge[]};
