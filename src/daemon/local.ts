/** Local listener for the backend server of this host: its announcements and its calls to other services. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CALL_TOKEN_HEADER, DEADLINE_HEADER, HOP_COUNT_MAX} from '../shared/constants.js';
import type {CallContext} from '../shared/call-context.js';
import type {Clock} from '../shared/clock.js';
import {backendServerSchema, type BackendServer} from '../objects/schema.js';
import {findTreatment, type Policy, type Treatment} from '../objects/policy.js';
import {createRequestMessage, RESERVED_PATH_PREFIX, parseRequestTarget} from './entry.js';
import {createEarlyRejector} from './early-rejection.js';
import type {EventLog} from './event-log.js';
import {numberHeader, singleHeader} from './headers.js';
import {
  callerGoneSignal, readJson, writeJson, writeReply,
} from './http-server.js';
import type {Reply} from './message.js';
import type {Metrics} from './metrics.js';
import type {ActiveCall} from './incoming-call.js';
import type {Receiver} from './receiver.js';
import type {ReplayBudget} from './replay-body.js';
import type {Sender} from './sender.js';

/** Options of the local listener's request handler. */
export type LocalOptions = {
  policy: () => Policy;
  clock: Clock;
  sender: Sender;
  receiver: Receiver;
  replayBytesPerCall: number;
  replayBudget: ReplayBudget;
  metrics: Metrics;
  eventLog: EventLog;
  /** Called for each announcement, also when it repeats the one before. */
  onBackendAnnounced: (backendServer: BackendServer) => void;
  /** Called when the backend server withdraws its announcement. */
  onBackendLeaving: () => void;
};

/** Maximum size of an announcement, in bytes. */
const ANNOUNCEMENT_BYTES_MAX = 64 * 1024;

/** Creates the context of a sub-call; it inherits that of its parent. */
const createSubCall = (parent: ActiveCall, treatment: Treatment, remainingMs: number): CallContext => ({
  ...parent.call,
  service: treatment.service,
  requestKind: treatment.requestKind,
  idempotent: treatment.idempotent,
  remainingMs,
  ticket: undefined,
});

/** Creates the request handler of the local listener. */
export const createLocalHandler = (options: LocalOptions) => {
  const rejectEarly = createEarlyRejector(options);

  const handleAnnouncement = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const parsed = backendServerSchema.safeParse(await readJson(request, ANNOUNCEMENT_BYTES_MAX));
    if (!parsed.success) {
      writeJson(response, 400, {error: 'malformed-backend-server', faults: parsed.error.issues.map(issue => ({path: issue.path.join('.'), remedy: issue.message}))});
      return;
    }

    if (!options.policy().treatments.has(parsed.data.spec.service)) {
      options.eventLog.report('unknown-service', `backend server ${parsed.data.name} announced service ${parsed.data.spec.service}, which is not declared; apply a Service of that name`);
    }

    options.onBackendAnnounced(parsed.data);
    writeJson(response, 200, {});
  };

  const handleReservedPath = async (request: IncomingMessage, response: ServerResponse, path: string): Promise<void> => {
    if (path === 'backend-server' && request.method === 'PUT') {
      return handleAnnouncement(request, response);
    }

    if (path === 'backend-server' && request.method === 'DELETE') {
      options.onBackendLeaving();
      writeJson(response, 200, {});
      return;
    }

    writeJson(response, 404, {error: 'not-found', message: 'use PUT or DELETE /.jujubewell/backend-server, or /<service>/<path> for a call'});
  };

  const sendSubCall = async (request: IncomingMessage, response: ServerResponse, parent: ActiveCall): Promise<Reply> => {
    const target = parseRequestTarget(request.url ?? '/');
    const policy = options.policy();
    if (!policy.treatments.has(target.service)) {
      return rejectEarly({reason: 'unknown-service'});
    }

    const treatment = findTreatment(policy, target.service, request.method ?? 'GET', target.path.split('?', 1)[0]!);
    if (treatment === undefined) {
      return rejectEarly({reason: 'unknown-request-kind', service: target.service});
    }

    const remainingMs = parent.deadlineAt - options.clock.now();
    const requestedMs = numberHeader(request.headers, DEADLINE_HEADER) ?? remainingMs;
    const call = createSubCall(parent, treatment, Math.max(0, Math.min(remainingMs, requestedMs, treatment.deadlineMs)));
    if (call.hops >= HOP_COUNT_MAX) {
      return rejectEarly({reason: 'hop-limit', call});
    }

    const message = createRequestMessage(request, response, target.path, {bytes: options.replayBytesPerCall, budget: options.replayBudget});
    options.receiver.subCallStarted(parent.callId, call.service);
    const reply = await options.sender.handle({
      call, message, clientTicket: undefined, parentCallId: parent.callId, signal: AbortSignal.any([callerGoneSignal(response), parent.signal]),
    });
    options.receiver.subCallEnded(parent.callId, call.service, reply);
    message.body.release();
    return reply;
  };

  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = request.url ?? '/';
    if (url.startsWith(RESERVED_PATH_PREFIX)) {
      return handleReservedPath(request, response, url.slice(RESERVED_PATH_PREFIX.length));
    }

    const token = singleHeader(request.headers, CALL_TOKEN_HEADER);
    const parent = token === undefined ? undefined : options.receiver.findActiveCall(token);
    const reply = parent === undefined
      ? rejectEarly({reason: 'unknown-call-token'})
      : await sendSubCall(request, response, parent);
    await writeReply(request, response, reply);
  };
};
