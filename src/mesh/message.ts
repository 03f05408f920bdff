/** Messages between the processes of the fleet, as they travel in the frames of `frame.ts`. */
import type {CrashRecord} from './inbound/crash-records.js';
import type {LearntRoutes} from './entry/learnt-routes.js';
import type {MemberChanges} from './members/member-directory.js';
import type {CountedCalls} from './entry/retry-budget.js';
import type {ReportedDemand} from './fair-shares/demand-tracker.js';
import type {RouteServiceTime} from './inbound/service-times.js';

/** Identity, address, availability zone and service of a process of the fleet. */
export type Member = {
  node: string;
  /** Address of its peer listener, `ip:port`. */
  address: string;
  zone: string;
  /** Service of the backend server on its host. */
  service: string;
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
  /** Recent demand by workspace. Missing without calls of workspaces and from processes of earlier versions; a report without it leaves the last one in force. */
  workspaces?: ReportedDemand;
};

/** State of the backend server on the host of a process. `coldMs` is the time for which it is still warming up. */
export type BackendState =
  | {kind: 'absent'}
  | {kind: 'ready' | 'draining'; service: string; instance: string; load: BackendLoad; coldMs: number};

/** What the backend server with this instance id and start time has stated about itself, in responses and announcements. */
export type BackendRecord = {
  instance: string;
  /** Start of the backend server, in milliseconds since the Unix epoch. */
  startedAt: number;
  /** Whether it leaves or has left. */
  isLeaving: boolean;
  /** Calls per second that it takes; undefined when it names no limit. */
  ratePerSecond: number | undefined;
};

/** Reason why a call was refused before the backend server ran it. */
export type RefusalReason =
  | 'backend-absent'
  | 'backend-draining'
  | 'stopping'
  | 'queue-full'
  /** The wait would be too long at the rate that the backend server has named as its limit. */
  | 'rate-limit'
  | 'queue-time'
  | 'deadline-passed'
  /** The request is blamed for crashes of backend servers, and is not run now. */
  | 'crash-suspect'
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
  /** Workspace of the request; missing for calls of backend servers, and without workspaces in the configuration. */
  workspace?: string;
  /** Share that admission control admitted of requests like this one; missing without a workspace, and when it admitted all. */
  admittedShare?: number;
  /** Part of the requests of the workspace that were no retries of clients; missing without a workspace, and when all were new. */
  freshShare?: number;
  /** Route that selected the service. */
  route: string;
  /** Time until the deadline of the caller, in milliseconds. */
  remainingMs: number;
  /** Time that is left until the target latency of the route is exceeded, in milliseconds. */
  targetMs: number;
  /** Crashes that the sender knows the request to be blamed for; undefined when it knows of none. */
  crashRecord: CrashRecord | undefined;
  /** Whether the request runs although it is blocked, to find out whether it still crashes the backend server. */
  isTrial: boolean;
};

/** Reading of the store by the process `reader`; `incarnation` differs with each of its starts, and `sequence` increases with each of its readings. */
export type ReportedReading = {reader: string; incarnation: string; sequence: number; ageMs: number};

/** What a process knows, so that a peer can ask for what is newer; 0 for nothing. */
export type KnownVersions = {
  configuration: number;
  /** Revision of the member list. */
  members: number;
  /** Last reading of the configuration in the store, by this process or by one that it heard of, whose result it has; undefined when there was none. */
  reading: ReportedReading | undefined;
  /** Time since this process itself last read the configuration in the store, in milliseconds; undefined when it never did. */
  ownReadingAgeMs: number | undefined;
};

/** Permits that a process asks for, for one workspace; `returned` are unused ones of earlier answers. */
export type PermitAsk = {workspace: string; wanted: number; returned: number};

/** Permits that a coordinator grants, usable for `lifetimeMs` after the poll was sent; `retryAfterMs` is the time until more are expected. */
export type PermitGrant = {workspace: string; permits: number; lifetimeMs: number; retryAfterMs: number};

/** Capabilities of this version, stated in `hello` and `welcome`. `body-grants`: long bodies of calls wait for a grant. */
export const CAPABILITIES = ['body-grants'] as const;

/** Message over a link; the body of a `call`, `body`, `result` or `configuration` follows it in the frame. */
export type Message =
  /** `record`: what the sender knows of the receiver's backend server. `capabilities` is missing from processes of earlier versions; that of a `hello` is not read by this version, because calls are sent only by the process that opened the link. */
  | {type: 'hello'; member: Member; known: KnownVersions; record: BackendRecord | undefined; capabilities?: readonly string[]}
  /** `record`: what the sender knows of its own backend server. */
  | {type: 'welcome'; member: Member; known: KnownVersions; state: BackendState; record: BackendRecord | undefined; capabilities?: readonly string[]}
  | {type: 'state'; state: BackendState; record: BackendRecord | undefined}
  /** `bodyBytes`: length of a long body, which follows in a `body` message after its grant; sent only to processes with the capability `body-grants`. */
  | {type: 'call'; id: number; sentAt: number; call: CallHeader; bodyBytes?: number}
  /** Grants the body of a call. */
  | {type: 'grant'; id: number}
  /** The body of a call, which follows in the frame; sent once, after its grant. */
  | {type: 'body'; id: number}
  | {type: 'cancel'; id: number}
  | {type: 'result'; id: number; result: CallResult; load: BackendLoad | undefined}
  | {type: 'ping'; sentAt: number; known: KnownVersions}
  | {type: 'pong'; known: KnownVersions; load: BackendLoad}
  /** Tells a peer of a new version at once; over an accepted link as well. */
  | {type: 'known'; known: KnownVersions}
  | {type: 'configuration-wanted'}
  /** The body is the configuration in JSON, which is the same for all peers. `known` is missing from processes of earlier versions of this program. */
  | {type: 'configuration'; version: number; known: KnownVersions | undefined}
  | {type: 'members-wanted'; since: number}
  | {type: 'members'; changes: MemberChanges}
  /** Load of the backend server, sent unrequested while calls are queued. */
  | {type: 'load'; load: BackendLoad}
  | {type: 'learnt'; learnt: LearntRoutes}
  /** Requests that are blamed for crashes of backend servers, or cleared of them. */
  | {type: 'crashes'; records: CrashRecord[]}
  /** Poll of a coordinator of rate limits. `exchange` increases with each poll of the sender; `loan` is the part of all limits that it lends, with the last clock that it has from the coordinator. */
  | {type: 'permits-wanted'; exchange: number; loan: {fraction: number; echoedClock: number | undefined} | undefined; asks: PermitAsk[]}
  /** Answer to a poll, with the clock of the coordinator in milliseconds. */
  | {type: 'permits'; exchange: number; clock: number; grants: PermitGrant[]};
