/** Messages between the processes of the fleet, as they travel in the frames of `frame.ts`. */
import type {CallEdge} from './call-graph.js';
import type {RouteOrigin} from './client-routes.js';
import type {Dependency} from './dependencies.js';
import type {CountedCalls} from './retry-budget.js';
import type {RoutingConfiguration} from './routing-configuration.js';
import type {RouteServiceTime} from './service-times.js';

/** Identity, address and availability zone of a process of the fleet. */
export type Member = {
  node: string;
  /** Address of its peer listener, `ip:port`. */
  address: string;
  zone: string;
};

/** Load and capacity of a backend server, measured by the process on its host. */
export type BackendLoad = {
  /** Calls that the backend server is running. */
  running: number;
  /** Calls that wait for a slot. */
  queued: number;
  /** Maximum number of concurrent calls. */
  limit: number;
  /** Recent mean service time over all routes, in milliseconds. */
  serviceMs: number;
  /** Recent mean service time by route; a route that is missing keeps its last reported value. */
  routes: RouteServiceTime[];
  /** Calls that arrived within the retry budget window. */
  counted: CountedCalls;
};

/** State of the backend server on the host of a process. `coldMs` is the time for which it is still warming up. */
export type BackendState =
  | {kind: 'absent'}
  | {kind: 'ready' | 'draining'; service: string; instance: string; load: BackendLoad; coldMs: number};

/** Reason why a call was refused before the backend server ran it. */
export type RefusalReason =
  | 'backend-absent'
  | 'backend-draining'
  | 'stopping'
  | 'queue-full'
  | 'queue-time'
  | 'deadline-passed'
  | 'memory-full'
  | 'other-service'
  /** The process on the backend server's host did not answer a liveness check, so the call was not sent. */
  | 'peer-silent'
  /** Connecting failed; no byte of the call was sent to the backend server. */
  | 'backend-unreachable'
  /** The backend server replied that it did not run the call. */
  | 'backend-refused';

/** Result of a call, reported by the process on the host of the backend server. */
export type CallResult =
  /**
   * `framed`: the response states its length. Without a length, a truncated response looks complete.
   * `failedBelow`: a call from the backend server's host failed while this one ran. That call has already been retried there, so this one is not retried.
   * `lackingBelow`: the downstream services that lacked capacity for such a call.
   */
  | {kind: 'answered'; status: number; rawHeaders: string[]; framed: boolean; failedBelow: boolean; lackingBelow: string[]}
  /** The call has not run and will not. `arrived`: the backend server received it. */
  | {kind: 'refused'; reason: RefusalReason; arrived: boolean; retryAfterMs: number}
  /** The call was sent and may have run. */
  | {kind: 'lost'; cause: string};

/** Metadata of a call; the body follows it in the frame. */
export type CallHeader = {
  requestId: string;
  service: string;
  method: string;
  path: string;
  rawHeaders: string[];
  idempotent: boolean;
  /** Whether the call is a retry, so that another backend server may already have received it. */
  isRepeat: boolean;
  priority: number;
  /** Route that selected the service. */
  route: string;
  /** Time until the deadline of the caller, in milliseconds. */
  remainingMs: number;
  /** Time that is left until the target latency of the route is exceeded, in milliseconds. */
  targetMs: number;
};

/** Message over a link; the body of a `call` or `result` follows it in the frame. */
export type Message =
  | {type: 'hello'; member: Member; configurationVersion: number}
  | {type: 'welcome'; member: Member; configurationVersion: number; state: BackendState}
  | {type: 'state'; state: BackendState}
  | {type: 'call'; id: number; sentAt: number; call: CallHeader}
  | {type: 'cancel'; id: number}
  | {type: 'result'; id: number; result: CallResult; load: BackendLoad | undefined}
  | {type: 'ping'; sentAt: number; configurationVersion: number; memberCount: number}
  | {type: 'pong'; configurationVersion: number; load: BackendLoad}
  | {type: 'configuration-wanted'}
  | {type: 'configuration'; configuration: RoutingConfiguration}
  | {type: 'members'; members: Member[]}
  /** Load of the backend server, sent unrequested while calls are queued. */
  | {type: 'load'; load: BackendLoad}
  | {type: 'route-origins'; origins: RouteOrigin[]}
  | {type: 'dependencies'; dependencies: Dependency[]}
  | {type: 'call-edges'; edges: CallEdge[]};
