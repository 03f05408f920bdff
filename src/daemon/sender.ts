/** Performs the outbound decisions: sends calls to backend servers and passes their replies back. */
import {Buffer} from 'node:buffer';
import {
  FRACTION_HEADER, GAVE_UP_HEADER, LOAD_HEADER, OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_HEADER, RETRY_BUDGET_HEADER,
} from '../shared/constants.js';
import type {Call} from '../shared/call.js';
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
  callerGoneReply, rejectionReply, type Attempt, type Message, type Reply,
} from './message.js';
import type {Metrics} from './metrics.js';
import type {PeerTransports} from './peer-transports.js';
import {remedyFor} from './remedies.js';
import type {Receiver} from './receiver.js';

/** Call that leaves this process. */
export type SentCall = {
  call: Call;
  message: Message;
  /** Content of a ticket that the client brought. */
  clientTicket: Ticket | undefined;
  /** Call of this host's backend server that the sub-call belongs to. */
  parentCallId?: string;
  /** Ends when the caller has gone. */
  signal: AbortSignal;
};

/** Call at the backend server of this host, whose sub-calls share its retry budget. */
export type ParentCall = {callId: string; kind: string; retryBudget: number; remainingMs: number};

/** Unused retry budget of a call, and whether a sub-call of it was given up on. */
export type ParentRest = {retryBudget: number; gaveUp: boolean};

/** Outbound side of a process. */
export type Sender = {
  handle: (sent: SentCall) => Promise<Reply>;
  /** Issues a ticket bound to a backend server of the service; undefined when none is known. */
  issueTicket: (treatment: {service: string; priority: number}) => string | undefined;
  /** Opens the retry budget that the sub-calls of a call share. */
  openParent: (parent: ParentCall) => void;
  /** Closes it and tells what its response carries. */
  closeParent: (callId: string) => ParentRest;
  /** Changes some endpoints and closes connections to addresses that no endpoint has any more. */
  updateEndpoints: (change: EndpointChange) => void;
  setPolicy: (policy: Policy) => void;
  tick: () => void;
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

/** Calls in flight to a host that is known only by a ticket. */
const UNKNOWN_HOST_CALLS = 16;

type RunningAttempt = {abort: AbortController; reply: Reply | undefined};

type Exchange = SentCall & {
  callId: string;
  arrivedAt: number;
  resolve: (reply: Reply) => void;
  attempts: Map<string, RunningAttempt>;
  /** Tickets issued by this process for a sub-call, by host. */
  ownTickets: Map<string, string>;
  onGone: () => void;
};

const resultOf = (attempt: Attempt, call: Call, durationMs: number): AttemptResult => {
  if (attempt.kind !== 'replied') {
    return {kind: attempt.kind};
  }

  const {headers, status} = attempt.reply;
  const facts = {
    fraction: numberHeader(headers, FRACTION_HEADER) ?? 1,
    load: numberHeader(headers, LOAD_HEADER) ?? 0,
    retryBudget: Math.min(call.retryBudget, numberHeader(headers, RETRY_BUDGET_HEADER) ?? 0),
    gaveUp: singleHeader(headers, GAVE_UP_HEADER) !== undefined,
  };
  const reason = singleHeader(headers, REASON_HEADER);
  const outcome = singleHeader(headers, OUTCOME_HEADER);
  return reason === undefined
    ? {
      kind: 'responded', status, durationMs, ...facts,
    }
    : {
      kind: 'rejected', reason, outcome: outcome === 'not-run' ? 'not-run' : 'unknown', retryAfterMs: numberHeader(headers, RETRY_AFTER_HEADER) ?? 0, ...facts,
    };
};

/** Process incarnation that a ticket is bound to. */
const ticketKey = ({host, incarnation}: Endpoint): string => `${host}/${incarnation}`;

/** Endpoint by a ticket's content alone; its slots and connections are not known here. */
const endpointOfTicket = (ticket: Ticket): Endpoint => ({
  host: ticket.host,
  zone: '',
  incarnation: ticket.incarnation,
  service: ticket.service,
  address: ticket.address,
  slots: UNKNOWN_HOST_CALLS,
  connections: UNKNOWN_HOST_CALLS,
  draining: false,
  coldStartMs: 0,
});

const discard = (reply: Reply | undefined) => {
  if (reply !== undefined && !Buffer.isBuffer(reply.body)) {
    reply.body.destroy();
  }
};

/** Creates the outbound side of a process. */
export const createSender = (options: SenderOptions): Sender => {
  const {
    clock, metrics, eventLog, receiver, peers,
  } = options;
  const state = createOutboundState({host: options.host, zone: options.zone, policy: options.policy});
  const exchanges = new Map<string, Exchange>();
  let callCount = 0;
  let parentRest: ParentRest = {retryBudget: 0, gaveUp: false};

  const ticketFor = (endpoint: Endpoint): string => issueTicket({
    service: endpoint.service,
    host: endpoint.host,
    incarnation: endpoint.incarnation,
    address: endpoint.address,
    expiresAt: Date.now() + options.ticketLifetimeMs,
  }, options.fleetKey);

  /** Content of a ticket that was issued or checked by this process. */
  const ticketContent = (ticket: string): Ticket | undefined => {
    const read = readTicket(ticket, options.fleetKey);
    return read.kind === 'ok' ? read.value : undefined;
  };

  const settle = (exchange: Exchange, reply: Reply) => {
    exchanges.delete(exchange.callId);
    exchange.signal.removeEventListener('abort', exchange.onGone);
    metrics.countCall('outbound', reply.status, exchange.call);
    metrics.recordLatency('outbound', exchange.call, clock.now() - exchange.arrivedAt);
    exchange.resolve(reply);
  };

  const ownTicket = (exchange: Exchange, endpoint: Endpoint): string => {
    const key = ticketKey(endpoint);
    const ticket = exchange.ownTickets.get(key) ?? ticketFor(endpoint);
    exchange.ownTickets.set(key, ticket);
    return ticket;
  };

  const attempt = async (exchange: Exchange, action: Extract<OutboundAction, {kind: 'attempt'}>) => {
    const {endpoint, attemptId} = action;
    const running: RunningAttempt = {abort: new AbortController(), reply: undefined};
    exchange.attempts.set(attemptId, running);
    const ticket = exchange.call.idempotent ? undefined : exchange.call.ticket ?? ownTicket(exchange, endpoint);
    const call: Call = {
      ...exchange.call,
      attemptId: `${options.incarnation}.${attemptId}`,
      fraction: action.fraction,
      retryBudget: action.retryBudget,
      remainingMs: action.timeoutMs,
      hops: exchange.call.hops + 1,
      ...(ticket !== undefined && {ticket}),
    };
    const startedAt = clock.now();
    const ended = endpoint.host === options.host && endpoint.incarnation === options.incarnation
      ? {
        kind: 'replied' as const,
        reply: await receiver.handle({
          call,
          message: exchange.message,
          ticket: ticket === undefined ? undefined : ticketContent(ticket),
          signal: running.abort.signal,
        }),
      }
      : await peers.send({
        endpoint, call, message: exchange.message, timeoutMs: action.timeoutMs, newConnection: action.newConnection, signal: running.abort.signal,
      });
    running.reply = ended.kind === 'replied' ? ended.reply : undefined;
    if (!exchanges.has(exchange.callId)) {
      discard(running.reply);
      return;
    }

    const result = resultOf(ended, call, clock.now() - startedAt);
    if (result.kind === 'rejected' && result.outcome === 'not-run') {
      // The process that it is bound to has cancelled the ticket; a retry there needs another one.
      exchange.ownTickets.delete(ticketKey(endpoint));
    }

    apply({
      kind: 'attempt-ended', callId: exchange.callId, attemptId, ask: action.ask, result, replayable: exchange.message.body.replayable(),
    });
  };

  const reject = (exchange: Exchange, action: Extract<OutboundAction, {kind: 'reject'}>) => {
    const {call} = exchange;
    const {status, message} = remedyFor(action.reason);
    const {outcome} = action;
    metrics.countRejection(action.reason, 'outbound', call);
    const explainId = eventLog.explain({
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
    settle(exchange, rejectionReply({
      status, reason: action.reason, outcome, explainId, message, retryAfterMs: action.retryAfterMs, fraction: action.fraction, retryBudget: 0,
    }));
  };

  const forward = (exchange: Exchange, action: Extract<OutboundAction, {kind: 'forward'}>) => {
    const reply = exchange.attempts.get(action.attemptId)?.reply;
    if (reply === undefined) {
      return;
    }

    for (const [attemptId, other] of exchange.attempts) {
      if (attemptId !== action.attemptId) {
        other.abort.abort();
        discard(other.reply);
      }
    }

    settle(exchange, {
      ...reply,
      headers: {
        ...reply.headers, [FRACTION_HEADER]: String(action.fraction), [RETRY_BUDGET_HEADER]: String(action.retryBudget), [OUTCOME_HEADER]: action.outcome,
      },
    });
  };

  const perform = (action: OutboundAction) => {
    if (action.kind === 'retry-counted') {
      metrics.countRetry(action.reason, action);
      return;
    }

    if (action.kind === 'report') {
      eventLog.report('outbound', action.cause);
      return;
    }

    if (action.kind === 'parent-left') {
      parentRest = {retryBudget: action.retryBudget, gaveUp: action.gaveUp};
      return;
    }

    if (action.kind === 'wake') {
      setTimeout(apply, Math.max(0, action.wakeAt - clock.now()), {kind: 'tick'} satisfies OutboundEvent);
      return;
    }

    const exchange = exchanges.get(action.callId);
    if (exchange === undefined) {
      return;
    }

    switch (action.kind) {
      case 'attempt': {
        void attempt(exchange, action);
        break;
      }

      case 'reject': {
        reject(exchange, action);
        break;
      }

      case 'forward': {
        forward(exchange, action);
        break;
      }

      case 'cancel-attempt': {
        exchange.attempts.get(action.attemptId)?.abort.abort();
        break;
      }
    }
  };

  const apply = (event: OutboundEvent) => {
    const actions = decideOutbound(state, event, clock.now(), options.random);
    for (const action of actions) {
      perform(action);
    }
  };

  return {
    handle: async sent => new Promise(resolve => {
      callCount++;
      const callId = callCount.toString(36);
      const onGone = () => {
        apply({kind: 'caller-gone', callId});
        settle(exchange, callerGoneReply);
      };

      const exchange: Exchange = {
        ...sent, callId, arrivedAt: clock.now(), resolve, attempts: new Map(), ownTickets: new Map(), onGone,
      };
      exchanges.set(callId, exchange);
      sent.signal.addEventListener('abort', onGone, {once: true});
      apply({
        kind: 'call-arrived',
        callId,
        call: sent.call,
        ...(sent.parentCallId !== undefined && {parentCallId: sent.parentCallId}),
        ...(sent.clientTicket !== undefined && {
          boundHost: sent.clientTicket.host,
          boundIncarnation: sent.clientTicket.incarnation,
          boundEndpoint: endpointOfTicket(sent.clientTicket),
        }),
      });
    }),
    issueTicket(treatment) {
      const endpoint = chooseTicketEndpoint(state, treatment, clock.now(), options.random);
      return endpoint === undefined ? undefined : ticketFor(endpoint);
    },
    openParent(parent) {
      apply({
        kind: 'parent-opened', parentCallId: parent.callId, parentKind: parent.kind, retryBudget: parent.retryBudget, remainingMs: parent.remainingMs,
      });
    },
    closeParent(callId) {
      apply({kind: 'parent-closed', parentCallId: callId});
      return parentRest;
    },
    updateEndpoints({changed, removed, addresses}) {
      apply({kind: 'endpoints-updated', changed, removed});
      peers.retain(addresses);
    },
    setPolicy(policy) {
      apply({kind: 'policy-changed', policy});
    },
    tick() {
      apply({kind: 'tick'});
    },
    inFlight: () => exchanges.size,
  };
};
