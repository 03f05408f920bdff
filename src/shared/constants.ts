/** Header names and limits used throughout jujubewell. */

/** Header that carries the context of a call between two jujubewelld processes. */
export const CALL_HEADER = 'jujubewell-call';

/** Header that a backend server copies to its calls to other services. */
export const CALL_TOKEN_HEADER = 'jujubewell-call-token';

/** Header with a request id chosen by the client. */
export const REQUEST_ID_HEADER = 'jujubewell-request-id';

/** Header with the remaining time of a call, in milliseconds. */
export const DEADLINE_HEADER = 'jujubewell-deadline-ms';

/** Header with the ticket of a non-idempotent request. */
export const TICKET_HEADER = 'jujubewell-ticket';

/** Header with the client group and its message authentication code. */
export const GROUP_HEADER = 'jujubewell-group';

/** Response header with the admitted fraction, from 0 to 1. */
export const FRACTION_HEADER = 'jujubewell-fraction';

/** Response header with the unused part of the retry budget. */
export const RETRY_BUDGET_HEADER = 'jujubewell-retry-budget';

/** Header that marks a failure that a downstream hop no longer retries, so that no upstream hop retries it either. */
export const GAVE_UP_HEADER = 'jujubewell-gave-up';

/** Header that states whether the request was run: `run`, `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'jujubewell-outcome';

/** Header with the reason of a rejection. */
export const REASON_HEADER = 'jujubewell-reason';

/** Header with an id whose details `jujubewell explain` prints. */
export const EXPLAIN_HEADER = 'jujubewell-explain';

/** Header with the load of a backend server, as calls in flight over its concurrency limit. */
export const LOAD_HEADER = 'jujubewell-load';

/** Header that authenticates a process as a member of the fleet. */
export const PEER_HEADER = 'jujubewell-peer';

/** Header with the time after which to try again, in milliseconds. */
export const RETRY_AFTER_HEADER = 'jujubewell-retry-after-ms';

/** Prefix of all jujubewell headers; those sent by clients are removed unless they are validated. */
export const HEADER_PREFIX = 'jujubewell-';

/** Length limit of a request id chosen by a client, in characters. */
export const REQUEST_ID_MAX_LENGTH = 64;

/** Maximum length of a call chain, in hops. The stated target is 13; the rest is headroom. */
export const HOP_COUNT_MAX = 16;

/** Lower bound of the admitted fraction: an overloaded service still receives a few requests, so that it is still measured. */
export const FRACTION_FLOOR = 0.01;
