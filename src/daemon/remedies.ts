/** Rejection reasons with their HTTP status codes and remedies, which are texts that tell the caller what to do. */
import type {InboundRejection} from '../decisions/inbound/inbound.js';
import type {OutboundRejection} from '../decisions/outbound/outbound.js';

/** Reason of a rejection by a listener, before admission control. */
export type EarlyRejectionReason =
  | 'malformed-request'
  | 'no-configuration'
  | 'unknown-service'
  | 'unknown-request-kind'
  | 'malformed-ticket'
  | 'forged-ticket'
  | 'ticket-other-service'
  | 'ticket-required'
  | 'unknown-call-token'
  | 'unauthenticated-peer';

/** Reason for which a process rejects a request. */
export type RejectionReason = EarlyRejectionReason | InboundRejection | OutboundRejection;

type Remedy = {status: number; message: string};

const REMEDIES: Readonly<Record<RejectionReason, Remedy>> = {
  'malformed-request': {status: 400, message: 'the request is malformed; correct the named header and send it again'},
  'no-configuration': {status: 503, message: 'this process has just started and knows no configuration yet; try again after the stated time'},
  'unknown-service': {status: 404, message: 'no service of that name is declared; use the service name as the first path segment'},
  'unknown-request-kind': {status: 404, message: 'no request kind of the service matches the method and path; declare one or correct the path'},
  'malformed-ticket': {status: 400, message: 'the ticket is malformed; repeat it exactly as it was issued'},
  'forged-ticket': {status: 400, message: 'the ticket was not issued by this deployment; ask for a new one'},
  'ticket-other-service': {status: 400, message: 'the ticket was issued for another service; ask for one for this service'},
  'ticket-required': {status: 428, message: 'the request must not run twice; repeat it with the ticket of this response and keep the ticket for every resend'},
  'unknown-call-token': {status: 400, message: 'the call token belongs to no call in flight; repeat the token of the request that is being served'},
  'unauthenticated-peer': {status: 403, message: 'the sender is not a process of this fleet; give all processes the same fleetKey'},
  'backend-lost': {status: 502, message: 'the connection to the backend server was lost; ask again with the same ticket for the outcome'},
  'backend-unreachable': {status: 503, message: 'the backend server did not accept a connection; try again later'},
  'backend-timeout': {status: 504, message: 'the backend server did not respond before the deadline; ask again with the same ticket for the outcome'},
  'response-not-kept': {status: 410, message: 'the request ran, but its response was too large to be kept; read its result from the service'},
  'outcome-unknown': {status: 502, message: 'the request was sent to the backend server and its outcome is unknown; read it from the service before asking for a new ticket'},
  admission: {status: 503, message: 'the service is overloaded and serves more urgent work first; try again after the stated time'},
  'queue-time': {status: 503, message: 'the queue is longer than the request may wait; try again after the stated time'},
  displaced: {status: 503, message: 'more urgent work took the place in the queue; try again after the stated time'},
  deadline: {status: 504, message: 'the deadline cannot be met; allow more time or try again later'},
  'dependency-slow': {status: 503, message: 'a service that this one depends on is slow; try again after the stated time'},
  draining: {status: 503, message: 'the backend server is leaving; try again through any host'},
  'no-backend-server': {status: 503, message: 'no backend server of the service is known here; try again later or through another availability zone'},
  'ticket-missing': {status: 428, message: 'the request must not run twice; ask for a ticket first'},
  'ticket-expired': {status: 410, message: 'the ticket has expired; read the outcome from the service before asking for a new ticket'},
  'ticket-other-incarnation': {status: 410, message: 'the process that the ticket is bound to was replaced; read the outcome from the service before asking for a new ticket'},
  'ticket-cancelled': {status: 409, message: 'the ticket was cancelled and its request will not run; ask for a new ticket'},
  'ledger-full': {status: 503, message: 'too many tickets are open; try again after the stated time'},
  'backend-servers-full': {status: 503, message: 'every backend server has as many calls from this host as it may have; try again after the stated time'},
  'connection-lost': {status: 502, message: 'the connection was lost after the call was sent; ask again with the same ticket for the outcome'},
  'hop-limit': {status: 508, message: 'the chain of calls is too deep; look for a loop between services'},
  'retries-exhausted': {status: 503, message: 'the call failed and may not be retried further; try again after the stated time'},
  'ticket-host-unreachable': {status: 503, message: 'the process that the ticket is bound to cannot be reached; ask again with the same ticket'},
};

/** Returns the status code and remedy of a reason. */
export const remedyFor = (reason: RejectionReason): Remedy => REMEDIES[reason];

/** All rejection reasons of this release. */
export const REJECTION_REASONS: readonly string[] = Object.keys(REMEDIES);

/** Whether a text is a rejection reason of this release. */
export const isRejectionReason = (text: string): text is RejectionReason => Object.hasOwn(REMEDIES, text);
