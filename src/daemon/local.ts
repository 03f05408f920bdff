/** Listener for the backend server of this host: its announcement and its calls to other services. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {CALL_TOKEN_HEADER, DEADLINE_HEADER, HOP_COUNT_MAX} from '../shared/constants.js';
import type {Call} from '../shared/call.js';
import type {Clock} from '../shared/clock.js';
import {backendServerSchema, type BackendServer} from '../objects/schema.js';
import {findTreatment, type Policy, type Treatment} from '../objects/policy.js';
import {messageOf, OWN_PATH_PREFIX, splitTarget} from './entry.js';
import {createEarlyRejection} from './early-rejection.js';
import type {EventLog} from './event-log.js';
import {numberHeader, singleHeader} from './headers.js';
import {
  callerSignal, readJson, writeJson, writeReply,
} from './http-server.js';
import type {Reply} from './message.js';
import type {Metrics} from './metrics.js';
import type {ActiveCall} from './received-call.js';
import type {Receiver} from './receiver.js';
import type {ReplayBudget} from './replay-body.js';
import type {Sender} from './sender.js';

/** Options of the local listener. */
export type LocalOptions = {
  policy: () => Policy;
  clock: Clock;
  sender: Sender;
  receiver: Receiver;
  replayBytesPerCall: number;
  replayBudget: ReplayBudget;
  metrics: Metrics;
  eventLog: EventLog;
  onAnnounced: (backendServer: BackendServer) => void;
  onLeaving: () => void;
};

/** Size limit of an announcement, in bytes. */
const ANNOUNCEMENT_BYTES = 64 * 1024;

const subCall = (parent: ActiveCall, treatment: Treatment, remainingMs: number): Call => ({
  ...parent.call,
  service: treatment.service,
  requestKind: treatment.requestKind,
  idempotent: treatment.idempotent,
  remainingMs,
  ticket: undefined,
});

/** Creates the request handler of the local listener. */
export const createLocal = (options: LocalOptions) => {
  const rejectEarly = createEarlyRejection(options);

  const announce = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const parsed = backendServerSchema.safeParse(await readJson(request, ANNOUNCEMENT_BYTES));
    if (!parsed.success) {
      writeJson(response, 400, {error: 'malformed-backend-server', faults: parsed.error.issues.map(issue => ({path: issue.path.join('.'), remedy: issue.message}))});
      return;
    }

    if (!options.policy().treatments.has(parsed.data.spec.service)) {
      options.eventLog.report('unknown-service', `backend server ${parsed.data.name} announced service ${parsed.data.spec.service}, which is not declared; apply a Service of that name`);
    }

    options.onAnnounced(parsed.data);
    writeJson(response, 200, {});
  };

  const handleOwn = async (request: IncomingMessage, response: ServerResponse, rest: string): Promise<void> => {
    if (rest === 'backend-server' && request.method === 'PUT') {
      return announce(request, response);
    }

    if (rest === 'backend-server' && request.method === 'DELETE') {
      options.onLeaving();
      writeJson(response, 200, {});
      return;
    }

    writeJson(response, 404, {error: 'not-found', message: 'use PUT or DELETE /.jujubewell/backend-server, or /<service>/<path> for a call'});
  };

  const send = async (request: IncomingMessage, response: ServerResponse, parent: ActiveCall): Promise<Reply> => {
    const target = splitTarget(request.url ?? '/');
    const policy = options.policy();
    if (!policy.treatments.has(target.service)) {
      return rejectEarly({reason: 'unknown-service'});
    }

    const treatment = findTreatment(policy, target.service, request.method ?? 'GET', target.path.split('?', 1)[0]!);
    if (treatment === undefined) {
      return rejectEarly({reason: 'unknown-request-kind', service: target.service});
    }

    const left = parent.deadlineAt - options.clock.now();
    const stated = numberHeader(request.headers, DEADLINE_HEADER) ?? left;
    const call = subCall(parent, treatment, Math.max(0, Math.min(left, stated, treatment.deadlineMs)));
    if (call.hops >= HOP_COUNT_MAX) {
      return rejectEarly({reason: 'hop-limit', call});
    }

    const message = messageOf(request, response, target.path, {bytes: options.replayBytesPerCall, budget: options.replayBudget});
    options.receiver.subCallStarted(parent.callId, call.service);
    const reply = await options.sender.handle({
      call, message, clientTicket: undefined, parentCallId: parent.callId, signal: AbortSignal.any([callerSignal(response), parent.signal]),
    });
    options.receiver.subCallEnded(parent.callId, call.service, reply);
    message.body.release();
    return reply;
  };

  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = request.url ?? '/';
    if (url.startsWith(OWN_PATH_PREFIX)) {
      return handleOwn(request, response, url.slice(OWN_PATH_PREFIX.length));
    }

    const token = singleHeader(request.headers, CALL_TOKEN_HEADER);
    const parent = token === undefined ? undefined : options.receiver.activeCall(token);
    const reply = parent === undefined
      ? rejectEarly({reason: 'unknown-call-token'})
      : await send(request, response, parent);
    await writeReply(request, response, reply);
  };
};
