/** Entry listener for clients: validates a request, adds the call context and passes the call to the sender. */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  DEADLINE_HEADER, GROUP_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER, REQUEST_ID_MAX_LENGTH, TICKET_HEADER,
} from '../shared/constants.js';
import type {CallContext} from '../shared/call-context.js';
import {admissionHash} from '../shared/hash.js';
import {createIdSource} from '../shared/ids.js';
import {readTicket, type Ticket} from '../shared/ticket.js';
import {findTreatment, type Policy, type Treatment} from '../objects/policy.js';
import {createEarlyRejector, type EarlyRejection} from './early-rejection.js';
import type {EventLog} from './event-log.js';
import {
  forwardedRequestHeaders, numberHeader, singleHeader, type Headers,
} from './headers.js';
import {callerGoneSignal, writeJson, writeReply} from './http-server.js';
import type {RequestMessage, Reply} from './message.js';
import type {Metrics} from './metrics.js';
import {createReplayBody, type ReplayBudget} from './replay-body.js';
import type {RejectionReason} from './remedies.js';
import type {Sender} from './sender.js';

/** Path prefix that is reserved for requests to this process itself. */
export const RESERVED_PATH_PREFIX = '/.jujubewell/';

/** Client group of a request without a group header. */
const DEFAULT_GROUP = 'default';
const nextRequestId = createIdSource(12);
/** Length of a truncated message authentication code, in base64url characters. */
const GROUP_MAC_LENGTH = 22;

/** Options of the entry listener's request handler. */
export type EntryOptions = {
  fleetKey: string;
  policy: () => Policy;
  /** Whether a configuration is in effect; before that, the process does not know which services exist. */
  isConfigured: () => boolean;
  sender: Sender;
  replayBytesPerCall: number;
  replayBudget: ReplayBudget;
  metrics: Metrics;
  eventLog: EventLog;
  /** Handles requests below the `tickets/` path. */
  handleTicketRequest: (request: IncomingMessage, response: ServerResponse, rest: string) => Promise<void>;
};

/** Request target, split into the service and the path with query. */
export type RequestTarget = {service: string; path: string};

/** Splits a request target into its first segment, the service, and the remaining path. */
export const parseRequestTarget = (url: string): RequestTarget => {
  const end = url.slice(1).search(/[/?]/u);
  if (end === -1) {
    return {service: url.slice(1), path: '/'};
  }

  const rest = url.slice(end + 1);
  return {service: url.slice(1, end + 1), path: rest.startsWith('/') ? rest : `/${rest}`};
};

const withoutQuery = (path: string): string => path.split('?', 1)[0]!;

/** Computes the message authentication code of a client group. */
export const groupMac = (group: string, fleetKey: string): string =>
  createHmac('sha256', fleetKey).update(`group:${group}`).digest('base64url').slice(0, GROUP_MAC_LENGTH);

/** Reads the client group; undefined when its message authentication code is not valid. */
const readGroup = (headers: Headers, fleetKey: string): string | undefined => {
  const text = singleHeader(headers, GROUP_HEADER);
  if (text === undefined) {
    return DEFAULT_GROUP;
  }

  const [group, mac] = text.split('.') as [string, string | undefined];
  const expected = groupMac(group, fleetKey);
  return mac?.length === expected.length && timingSafeEqual(Buffer.from(mac), Buffer.from(expected)) ? group : undefined;
};

/** Reads the request id or creates one; undefined when it is malformed. */
const readRequestId = (headers: Headers): string | undefined => {
  const text = singleHeader(headers, REQUEST_ID_HEADER);
  if (text === undefined) {
    return nextRequestId();
  }

  return text.length <= REQUEST_ID_MAX_LENGTH && /^[\w.:-]+$/u.test(text) ? text : undefined;
};

/** Whether a request has a body, according to its framing headers. */
export const hasBody = (headers: Headers): boolean =>
  headers['transfer-encoding'] !== undefined || (headers['content-length'] !== undefined && headers['content-length'] !== '0');

/** Creates the message to forward for a request; its body may still be arriving. */
export const createRequestMessage = (request: IncomingMessage, response: ServerResponse, path: string, limits: {bytes: number; budget: ReplayBudget}): RequestMessage => ({
  method: request.method ?? 'GET',
  path,
  headers: forwardedRequestHeaders(request.headers),
  body: createReplayBody({
    source: request,
    hasBody: hasBody(request.headers),
    limit: limits.bytes,
    budget: limits.budget,
    onFirstOpen() {
      if (request.headers.expect !== undefined) {
        response.writeContinue();
      }
    },
  }),
});

/** Request that passed all checks. */
type CheckedRequest = {call: CallContext; clientTicket: Ticket | undefined};
const earlyRejection = (reason: RejectionReason, detail?: string): EarlyRejection => (detail === undefined ? {reason} : {reason, detail});

const buildCall = (treatment: Treatment, headers: Headers, context: {requestId: string; group: string; deadlineMs: number; fleetKey: string}): CallContext => ({
  requestId: context.requestId,
  attemptId: context.requestId,
  service: treatment.service,
  requestKind: treatment.requestKind,
  rootKind: `${treatment.service}/${treatment.requestKind}`,
  priority: treatment.priority,
  group: context.group,
  admissionHash: admissionHash(context.requestId, context.fleetKey),
  fraction: 1,
  retryBudget: treatment.retryBudget,
  remainingMs: context.deadlineMs,
  hops: 0,
  idempotent: treatment.idempotent,
  ...(treatment.idempotent ? {} : {ticket: singleHeader(headers, TICKET_HEADER)!}),
});

/** Creates the request handler of the entry listener. */
export const createEntryHandler = (options: EntryOptions) => {
  const {fleetKey, sender} = options;
  const rejectEarly = createEarlyRejector(options);

  /** Reads the ticket of a non-idempotent request; a request without one is rejected with a new ticket. */
  const checkTicket = (treatment: Treatment, headers: Headers): Ticket | EarlyRejection | undefined => {
    if (treatment.idempotent) {
      return undefined;
    }

    const text = singleHeader(headers, TICKET_HEADER);
    if (text === undefined) {
      const ticket = sender.issueTicket(treatment);
      return ticket === undefined ? earlyRejection('no-backend-server') : {reason: 'ticket-required', headers: {[TICKET_HEADER]: ticket}};
    }

    const read = readTicket(text, fleetKey);
    if (read.kind === 'error') {
      return earlyRejection(read.error.kind);
    }

    return read.value.service === treatment.service ? read.value : earlyRejection('ticket-other-service');
  };

  const checkRequest = (request: IncomingMessage, target: RequestTarget): CheckedRequest | EarlyRejection => {
    if (!options.isConfigured()) {
      return earlyRejection('no-configuration');
    }

    const policy = options.policy();
    if (!policy.treatments.has(target.service)) {
      return earlyRejection('unknown-service');
    }

    const treatment = findTreatment(policy, target.service, request.method ?? 'GET', withoutQuery(target.path));
    if (treatment === undefined) {
      return earlyRejection('unknown-request-kind');
    }

    const requestId = readRequestId(request.headers);
    if (requestId === undefined) {
      return earlyRejection('malformed-request', `${REQUEST_ID_HEADER}: use at most ${REQUEST_ID_MAX_LENGTH} letters, digits and the characters _ . : -`);
    }

    const group = readGroup(request.headers, fleetKey);
    if (group === undefined) {
      return earlyRejection('malformed-request', `${GROUP_HEADER}: mint the value with \`jujubewell token\``);
    }

    const ticket = checkTicket(treatment, request.headers);
    if (ticket !== undefined && 'reason' in ticket) {
      return ticket;
    }

    const requestedDeadlineMs = numberHeader(request.headers, DEADLINE_HEADER);
    const deadlineMs = requestedDeadlineMs === undefined || requestedDeadlineMs <= 0 ? treatment.deadlineMs : Math.min(requestedDeadlineMs, treatment.deadlineMs);
    const call = buildCall(treatment, request.headers, {
      requestId, group, deadlineMs, fleetKey,
    });
    return {call, clientTicket: ticket};
  };

  /** A `not-run` rejection invalidates the ticket of the client, so the response carries a new one for the next try. */
  const replacementTicket = ({call, clientTicket}: CheckedRequest, reply: Reply): Headers => {
    const isVoid = clientTicket !== undefined && reply.headers[OUTCOME_HEADER] === 'not-run';
    const ticket = isVoid ? sender.issueTicket(call) : undefined;
    return ticket === undefined ? {} : {[TICKET_HEADER]: ticket};
  };

  const handleReservedPath = async (request: IncomingMessage, response: ServerResponse, path: string): Promise<void> => {
    if (path.startsWith('tickets/')) {
      return options.handleTicketRequest(request, response, path.slice('tickets/'.length));
    }

    writeJson(response, 404, {error: 'not-found', message: 'clients use /<service>/<path> or /.jujubewell/tickets/<service>'});
  };

  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = request.url ?? '/';
    if (url.startsWith(RESERVED_PATH_PREFIX)) {
      return handleReservedPath(request, response, url.slice(RESERVED_PATH_PREFIX.length));
    }

    const target = parseRequestTarget(url);
    const checked = checkRequest(request, target);
    if ('reason' in checked) {
      return writeReply(request, response, rejectEarly({...checked, ...(options.policy().treatments.has(target.service) && {service: target.service})}));
    }

    const message = createRequestMessage(request, response, target.path, {bytes: options.replayBytesPerCall, budget: options.replayBudget});
    const reply = await sender.handle({...checked, message, signal: callerGoneSignal(response)});
    const headers = {...reply.headers, [REQUEST_ID_HEADER]: checked.call.requestId, ...replacementTicket(checked, reply)};
    await writeReply(request, response, {...reply, headers});
    message.body.release();
  };
};
