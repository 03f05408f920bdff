/** A request that is forwarded to a backend server, and how it can end. */
import type {Buffer} from 'node:buffer';
import type {CallRank} from './retry-budget.js';
import type {Route, Workspace} from './routing-configuration.js';

/** Why the caller gets an error of this process instead of a response of a backend server. */
export type FailureReason =
  /** No backend server of the service is known and accepting calls. */
  | 'no-backend-server'
  /** Backend servers refused the call, and no further one is tried. */
  | 'no-room'
  | 'deadline'
  /** Rejected by admission control: a service that the route depends on is overloaded. */
  | 'no-room-below'
  | 'attempts-spent'
  | 'retry-budget-spent'
  /** The request is blamed for crashes of backend servers. */
  | 'crash-suspect'
  | 'outcome-unknown'
  /** A defect of this program, which the log shows as `internal-error`. */
  | 'internal-error';

/** Final outcome of a request; `lackingBelow` names the overloaded services that made calls of the backend server fail. */
export type RequestOutcome =
  | {kind: 'answered'; status: number; rawHeaders: string[]; body: Buffer; framed: boolean; lackingBelow: string[]}
  /** The request did not run and will not. */
  | {kind: 'not-run'; reason: FailureReason; retryAfterMs: number}
  /** The request may have run. */
  | {kind: 'unknown'; reason: FailureReason; timedOut: boolean};

/** A request of a caller, with the route and service chosen for it. */
export type ForwardedRequest = {
  requestId: string;
  route: Route;
  service: string;
  /** Undefined for calls of backend servers, and without workspaces in the configuration. */
  workspace: Workspace | undefined;
  /** Rank by the workspace and the route; lower numbers are more urgent. */
  priority: number;
  /** Whether other calls to the service are more urgent. */
  rank: CallRank;
  method: string;
  path: string;
  rawHeaders: string[];
  body: Buffer;
  /** Whether the client seems to be retrying the request. */
  isClientRetry: boolean;
  /** Version of the configuration that contains the route. */
  configurationVersion: number;
  /** Time at which the request arrived, in milliseconds of the clock. */
  arrivedAt: number;
  /** Latest time of the final outcome, in milliseconds of the clock. */
  deadlineAt: number;
};

/** Handle of a request in progress; `cancel` ends it without an outcome, and returns whether it ended it before any call was sent, so that it has not run. */
export type RequestHandle = {cancel: () => boolean};
