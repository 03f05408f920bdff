/** Runs the outbound decision logic and performs its actions: sends calls to backend servers and returns their replies. */
import {Buffer} from 'node:buffer';
import {
  FRACTION_HEADER, GAVE_UP_HEADER, LOAD_HEADER, OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_HEADER, RETRY_BUDGET_HEADER,
} from '../shared/constants.js';
import type {CallContext} from '../shared/call-context.js';
import type {Clock} from '../shared/clock.js';
import type {Random} from '../shared/random.js';
import {issueTicket, readTicket, type Ticket} from '../shared/ticket.js';
import type {Policy} from '../objects/policy.js';
import {
  chooseTicketEndpoint, createOutboundState, decideOutbound, type AttemptResult, type Endpoint, type OutboundAction, type OutboundEvent,
} from '../decisions/outbound/outbound.js';
import type {EventLog} from './event-log.js';
import type {EndpointChange} from './fleet/endpoint-index.js';
import {numberHeader, singleHeader} from './headers.js';
import {
  callerGoneReply, rejectionReply, type TransportResult, type RequestMessage, type Reply,
} from './message.js';
import type {Metrics} from './metrics.js';
import type {PeerTransports} from './peer-transports.js';
import {remedyFor} from './remedies.js';
import type {Receiver} from './receiver.js';

/** Call to be sent to a backend server of its service. */
export type OutgoingCall = {
  call: CallContext;
  message: RequestMessage;
  /** Content of the ticket that the client sent. */
  clientTicket: Ticket | undefined;
  /** Call at the backend server of this host that made this sub-call. */
  parentCallId?: string;
  /** Aborts when the caller has gone. */
  signal: AbortSignal;
};

/** Call at the backend server of this host; its sub-calls share its retry budget. */
export type ParentCall = {callId: string; kind: string; retryBudget: number; remainingMs: number};

/** Unused retry budget of a call, and whether the retries of one of its sub-calls were given up. */
export type ParentCallResult = {retryBudget: number; gaveUp: boolean};

/** Outbound side of a process: sends the calls of clients and of its own backend server. */
export type Sender = {
  /** Sends a call, with retries; the reply may be a rejection. */
  handle: (call: OutgoingCall) => Promise<Reply>;
  /** Issues a ticket bound to a backend server of the service; undefined when no backend server is known. */
  issueTicket: (treatment: {service: string; priority: number}) => string | undefined;
  /** Opens the retry budget that the sub-calls of a call share. */
  openParentCall: (parent: ParentCall) => void;
  /** Closes that budget and returns what the response of the call reports. */
  closeParentCall: (callId: string) => ParentCallResult;
  /** Updates the changed endpoints and closes connections to addresses that no endpoint uses any more. */
  updateEndpoints: (change: EndpointChange) => void;
  setPolicy: (policy: Policy) => void;
  /** Runs the time-based decisions. */
  tick: () => void;
  /** Number of calls that have no reply yet. */
  inFlight: () => number;
};

/** Options of a sender. */
export type SenderOptions = {
  host: string;
  zone: string;
  incarnation: string;
  fleetKey: string;
  ticketLifetimeMs: number;
  policy: Policy;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  eventLog: EventLog;
  receiver: Receiver;
  peers: PeerTransports;
};

/** Slots and connections of an endpoint that is known only from a ticket, which states neither. */
const TICKET_ENDPOINT_SLOTS = 16;

/** Attempt of a pending call, and its reply once that has arrived. */
type RunningAttempt = {abort: AbortController; reply: Reply | undefined};

/** Call that has no reply yet. */
type PendingCall = OutgoingCall & {
  callId: string;
  arrivedAt: number;
  resolve: (reply: Reply) => void;
  attempts: Map<string, RunningAttempt>;
  /** Tickets that this process issued for the call, by host and incarnation. */
  issuedTickets: Map<string, string>;
  onCallerGone: () => void;
};

/** Converts a transport result to the form of the decision logic; feedback is read from the headers of the reply. */
const toAttemptResult = (result: TransportResult, call: CallContext, durationMs: number): AttemptResult => {
  if (result.kind !== 'replied') {
    return {kind: result.kind};
  }

  const {headers, status} = result.reply;
  const feedback = {
    fraction: numberHeader(headers, FRACTION_HEADER) ?? 1,
    load: numberHeader(headers, LOAD_HEADER) ?? 0,
    retryBudget: Math.min(call.retryBudget, numberHeader(headers, RETRY_BUDGET_HEADER) ?? 0),
    gaveUp: singleHeader(headers, GAVE_UP_HEADER) !== undefined,
  };
  const reason = singleHeader(headers, REASON_HEADER);
  const outcome = singleHeader(headers, OUTCOME_HEADER);
  return reason === undefined
    ? {
      kind: 'responded', status, durationMs, ...feedback,
    }
    : {
      kind: 'rejected', reason, outcome: outcome === 'not-run' ? 'not-run' : 'unknown', retryAfterMs: numberHeader(headers, RETRY_AFTER_HEADER) ?? 0, ...feedback,
    };
};

/** Key of the process incarnation that runs an endpoint. */
const incarnationKey = ({host, incarnation}: Endpoint): string => `${host}/${incarnation}`;

/** Builds an endpoint from the content of a ticket, for a host that this process may not know. */
const endpointFromTicket = (ticket: Ticket): Endpoint => ({
  host: ticket.host,
  zone: '',
  incarnation: ticket.incarnation,
  service: ticket.service,
  address: ticket.address,
  slots: TICKET_ENDPOINT_SLOTS,
  connections: TICKET_ENDPOINT_SLOTS,
  draining: false,
  coldStartMs: 0,
});

/** Destroys the body of a streamed reply that is not forwarded. */
const discardBody = (reply: Reply | undefined) => {
  if (reply !== undefined && !Buffer.isBuffer(reply.body)) {
    reply.body.destroy();
  }
};

/** Creates a sender without endpoints. */
export const createSender = (options: SenderOptions): Sender => {
  const {
    clock, metrics, eventLog, receiver, peers,
  } = options;
  const state = createOutboundState({host: options.host, zone: options.zone, policy: options.policy});
  const pendingCalls = new Map<string, PendingCall>();
  let callCount = 0;
  let parentCallResult: ParentCallResult = {retryBudget: 0, gaveUp: false};

  const issueTicketFor = (endpoint: Endpoint): string => issueTicket({
    service: endpoint.service,
    host: endpoint.host,
    incarnation: endpoint.incarnation,
    address: endpoint.address,
    expiresAt: Date.now() + options.ticketLifetimeMs,
  }, options.fleetKey);

  /** Reads the content of a ticket. */
  const ticketContent = (ticket: string): Ticket | undefined => {
    const read = readTicket(ticket, options.fleetKey);
    return read.kind === 'ok' ? read.value : undefined;
  };

  const settle = (pending: PendingCall, reply: Reply) => {
    pendingCalls.delete(pending.callId);
    pending.signal.removeEventListener('abort', pending.onCallerGone);
    metrics.countCall('outbound', reply.status, pending.call);
    metrics.recordLatency('outbound', pending.call, clock.now() - pending.arrivedAt);
    pending.resolve(reply);
  };

  /** Returns the ticket of the call for an endpoint. Attempts at the same incarnation share one, so that the call runs there at most once. */
  const reuseOrIssueTicket = (pending: PendingCall, endpoint: Endpoint): string => {
    const key = incarnationKey(endpoint);
    const ticket = pending.issuedTickets.get(key) ?? issueTicketFor(endpoint);
    pending.issuedTickets.set(key, ticket);
    return ticket;
  };

  const sendAttempt = async (pending: PendingCall, action: Extract<OutboundAction, {kind: 'attempt'}>) => {
    const {endpoint, attemptId} = action;
    const running: RunningAttempt = {abort: new AbortController(), reply: undefined};
    pending.attempts.set(attemptId, running);
    const ticket = pending.call.idempotent ? undefined : pending.call.ticket ?? reuseOrIssueTicket(pending, endpoint);
    const call: CallContext = {
      ...pending.call,
      attemptId: `${options.incarnation}.${attemptId}`,
      fraction: action.fraction,
      retryBudget: action.retryBudget,
      remainingMs: action.timeoutMs,
      hops: pending.call.hops + 1,
      ...(ticket !== undefined && {ticket}),
    };
    const startedAt = clock.now();
    const transportResult = endpoint.host === options.host && endpoint.incarnation === options.incarnation
      ? {
        kind: 'replied' as const,
        reply: await receiver.handle({
          call,
          message: pending.message,
          ticket: ticket === undefined ? undefined : ticketContent(ticket),
          signal: running.abort.signal,
        }),
      }
      : await peers.send({
        endpoint, call, message: pending.message, timeoutMs: action.timeoutMs, newConnection: action.newConnection, signal: running.abort.signal,
      });
    running.reply = transportResult.kind === 'replied' ? transportResult.reply : undefined;
    if (!pendingCalls.has(pending.callId)) {
      discardBody(running.reply);
      return;
    }

    const result = toAttemptResult(transportResult, call, clock.now() - startedAt);
    if (result.kind === 'rejected' && result.outcome === 'not-run') {
      // The rejecting process has cancelled the ticket; a retry there needs a new one.
      pending.issuedTickets.delete(incarnationKey(endpoint));
    }

    handleEvent({
      kind: 'attempt-ended', callId: pending.callId, attemptId, sendNumber: action.sendNumber, result, replayable: pending.message.body.replayable(),
    });
  };

  const reject = (pending: PendingCall, action: Extract<OutboundAction, {kind: 'reject'}>) => {
    const {call} = pending;
    const {status, message} = remedyFor(action.reason);
    const {outcome} = action;
    metrics.countRejection(action.reason, 'outbound', call);
    const explainId = eventLog.recordRejection({
      part: 'outbound',
      requestId: call.requestId,
      service: call.service,
      requestKind: call.requestKind,
      priority: call.priority,
      group: call.group,
      reason: action.reason,
      outcome,
      fraction: action.fraction,
      remedy: message,
    });
    settle(pending, rejectionReply({
      status, reason: action.reason, outcome, explainId, message, retryAfterMs: action.retryAfterMs, fraction: action.fraction, retryBudget: 0,
    }));
  };

  /** Returns the reply of one attempt to the caller and aborts the other attempts. */
  const forwardReply = (pending: PendingCall, action: Extract<OutboundAction, {kind: 'forward'}>) => {
    const reply = pending.attempts.get(action.attemptId)?.reply;
    if (reply === undefined) {
      return;
    }

    for (const [attemptId, other] of pending.attempts) {
      if (attemptId !== action.attemptId) {
        other.abort.abort();
        discardBody(other.reply);
      }
    }

    settle(pending, {
      ...reply,
      headers: {
        ...reply.headers, [FRACTION_HEADER]: String(action.fraction), [RETRY_BUDGET_HEADER]: String(action.retryBudget), [OUTCOME_HEADER]: action.outcome,
      },
    });
  };

  const performAction = (action: OutboundAction) => {
    if (action.kind === 'retry-counted') {
      metrics.countRetry(action.reason, action);
      return;
    }

    if (action.kind === 'report') {
      eventLog.report('outbound', action.cause);
      return;
    }

    if (action.kind === 'parent-left') {
      parentCallResult = {retryBudget: action.retryBudget, gaveUp: action.gaveUp};
      return;
    }

    if (action.kind === 'wake') {
      setTimeout(handleEvent, Math.max(0, action.wakeAt - clock.now()), {kind: 'tick'} satisfies OutboundEvent);
      return;
    }

    const pending = pendingCalls.get(action.callId);
    if (pending === undefined) {
      return;
    }

    switch (action.kind) {
      case 'attempt': {
        void sendAttempt(pending, action);
        break;
      }

      case 'reject': {
        reject(pending, action);
        break;
      }

      case 'forward': {
        forwardReply(pending, action);
        break;
      }

      case 'cancel-attempt': {
        pending.attempts.get(action.attemptId)?.abort.abort();
        break;
      }
    }
  };

  /** Passes an event to the decision logic and performs the actions that it returns. */
  const handleEvent = (event: OutboundEvent) => {
    const actions = decideOutbound(state, event, clock.now(), options.random);
    for (const action of actions) {
      performAction(action);
    }
  };

  return {
    handle: async outgoing => new Promise(resolve => {
      callCount++;
      const callId = callCount.toString(36);
      const onCallerGone = () => {
        handleEvent({kind: 'caller-gone', callId});
        settle(pending, callerGoneReply);
      };

      const pending: PendingCall = {
        ...outgoing, callId, arrivedAt: clock.now(), resolve, attempts: new Map(), issuedTickets: new Map(), onCallerGone,
      };
      pendingCalls.set(callId, pending);
      outgoing.signal.addEventListener('abort', onCallerGone, {once: true});
      handleEvent({
        kind: 'call-arrived',
        callId,
        call: outgoing.call,
        ...(outgoing.parentCallId !== undefined && {parentCallId: outgoing.parentCallId}),
        ...(outgoing.clientTicket !== undefined && {
          boundHost: outgoing.clientTicket.host,
          boundIncarnation: outgoing.clientTicket.incarnation,
          boundEndpoint: endpointFromTicket(outgoing.clientTicket),
        }),
      });
    }),
    issueTicket(treatment) {
      const endpoint = chooseTicketEndpoint(state, treatment, clock.now(), options.random);
      return endpoint === undefined ? undefined : issueTicketFor(endpoint);
    },
    openParentCall(parent) {
      handleEvent({
        kind: 'parent-opened', parentCallId: parent.callId, parentKind: parent.kind, retryBudget: parent.retryBudget, remainingMs: parent.remainingMs,
      });
    },
    closeParentCall(callId) {
      handleEvent({kind: 'parent-closed', parentCallId: callId});
      return parentCallResult;
    },
    updateEndpoints({changed, removed, addresses}) {
      handleEvent({kind: 'endpoints-updated', changed, removed});
      peers.closeUnused(addresses);
    },
    setPolicy(policy) {
      handleEvent({kind: 'policy-changed', policy});
    },
    tick() {
      handleEvent({kind: 'tick'});
    },
    inFlight: () => pendingCalls.size,
  };
};
