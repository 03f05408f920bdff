/** Performs the inbound decisions: passes calls to the backend server of this host. */
import {Buffer} from 'node:buffer';
import {
  CALL_TOKEN_HEADER, DEADLINE_HEADER, FRACTION_HEADER, GAVE_UP_HEADER, LOAD_HEADER, OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER, RETRY_BUDGET_HEADER,
} from '../shared/constants.js';
import type {Call} from '../shared/call.js';
import type {Clock} from '../shared/clock.js';
import {createIdSource} from '../shared/ids.js';
import type {Random} from '../shared/random.js';
import type {Ticket} from '../shared/ticket.js';
import type {BackendServer} from '../objects/schema.js';
import type {Policy} from '../objects/policy.js';
import {
  createInboundState, decideInbound, inboundLoad, responseFraction, type InboundAction, type InboundEvent,
} from '../decisions/inbound/inbound.js';
import {allowedCalls} from '../decisions/inbound/concurrency-limit.js';
import type {EventLog} from './event-log.js';
import {numberHeader} from './headers.js';
import {
  outcomeOf, type ActiveCall, type ReceivedCall, type TicketAsk, type TicketState,
} from './received-call.js';
import {
  callerGoneReply, rejectionReply, type Attempt, type Reply,
} from './message.js';
import type {Metrics} from './metrics.js';
import {remedyFor, type RejectionReason} from './remedies.js';
import type {ParentRest, Sender} from './sender.js';
import {createTransport, type Transport} from './transport.js';

/** Inbound side of a process. */
export type Receiver = {
  /** Passes a call to the backend server; the reply may be a rejection. */
  handle: (request: ReceivedCall) => Promise<Reply>;
  /** Tells the state of a ticket; `cancel` also voids one that has not been used. */
  askTicket: (ask: TicketAsk, ticket: string, content: Ticket) => TicketState;
  announce: (backendServer: BackendServer) => void;
  backendLeft: () => void;
  /** Rejects new work and resolves when all calls in flight have ended. */
  drain: () => Promise<void>;
  activeCall: (token: string) => ActiveCall | undefined;
  subCallStarted: (callId: string, service: string) => void;
  subCallEnded: (callId: string, service: string, reply: Reply) => void;
  setPolicy: (policy: Policy) => void;
  tick: () => void;
  inFlight: () => number;
  close: () => Promise<void>;
};

/** Options of a receiver. */
export type ReceiverOptions = {
  incarnation: string;
  policy: Policy;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  eventLog: EventLog;
  /** Retry budgets that sub-calls share. */
  openParent: Sender['openParent'];
  closeParent: Sender['closeParent'];
};

type Entry = ReceivedCall & {
  callId: string;
  token: string;
  arrivedAt: number;
  resolve: (reply: Reply) => void;
  abort: AbortController;
  onGone: () => void;
  settled: boolean;
  /** Retry budget that the call has not used. */
  retryBudget: number;
};

type Cause = {reason: RejectionReason; outcome: 'run' | 'not-run' | 'unknown'; retryAfterMs: number; fraction: number};

const NOT_KEPT: Cause = {
  reason: 'response-not-kept', outcome: 'run', retryAfterMs: 0, fraction: 1,
};

const nextToken = createIdSource(12);

/** Creates the inbound side of a process. */
export const createReceiver = (options: ReceiverOptions): Receiver => {
  const {clock, metrics, eventLog} = options;
  const state = createInboundState({incarnation: options.incarnation, policy: options.policy});
  const entries = new Map<string, Entry>();
  const tokens = new Map<string, Entry>();
  const storedReplies = new Map<string, Reply>();
  let transport: Transport | undefined;
  let address = '';
  let callCount = 0;
  let ticketState: TicketState = 'unseen';
  let onDrained: (() => void) | undefined;

  const settle = (entry: Entry, reply: Reply) => {
    if (entry.settled) {
      return;
    }

    entry.settled = true;
    entry.signal.removeEventListener('abort', entry.onGone);
    entries.delete(entry.callId);
    tokens.delete(entry.token);
    metrics.countCall('inbound', reply.status, entry.call);
    metrics.recordLatency('inbound', entry.call, clock.now() - entry.arrivedAt);
    entry.resolve(reply);
  };

  const rejection = (entry: Entry, cause: Cause): Reply => {
    const {call} = entry;
    const {reason, outcome, retryAfterMs, fraction} = cause;
    const {status, message} = remedyFor(reason);
    metrics.countRejection(reason, 'inbound', call);
    const explainId = eventLog.explain({
      part: 'inbound', requestId: call.requestId, service: call.service, requestKind: call.requestKind, priority: call.priority, group: call.group, reason, outcome, fraction, remedy: message,
    });
    return rejectionReply({
      status, reason, outcome, explainId, message, retryAfterMs, fraction, retryBudget: entry.retryBudget,
    }, {[LOAD_HEADER]: inboundLoad(state).toFixed(3)});
  };

  const withFeedback = (entry: Entry, reply: Reply, rest: ParentRest): Reply => ({
    ...reply,
    headers: {
      ...reply.headers,
      [OUTCOME_HEADER]: reply.headers[OUTCOME_HEADER] ?? 'run',
      [FRACTION_HEADER]: String(responseFraction(state, entry.callId)),
      [LOAD_HEADER]: inboundLoad(state).toFixed(3),
      [RETRY_BUDGET_HEADER]: String(rest.retryBudget),
      ...(rest.gaveUp && {[GAVE_UP_HEADER]: '1'}),
    },
  });

  /** Keeps the reply until the decision says that it is no longer needed; callers that joined get it, too. */
  const storeReply = (entry: Entry, reply: Reply): number | undefined => {
    if (!Buffer.isBuffer(reply.body)) {
      return undefined;
    }

    storedReplies.set(entry.callId, reply);
    return reply.body.length;
  };

  const finish = (entry: Entry, attempt: Attempt, durationMs: number) => {
    const outcome = outcomeOf(attempt, durationMs);
    const rest = options.closeParent(entry.callId);
    entry.retryBudget = rest.retryBudget;
    const reply = attempt.kind === 'replied' ? withFeedback(entry, attempt.reply, rest) : undefined;
    const responseBytes = reply === undefined ? undefined : storeReply(entry, reply);
    apply({
      kind: 'backend-ended', callId: entry.callId, outcome, ...(responseBytes !== undefined && {responseBytes}),
    });
    // Failed attempts are settled by the rejections that the decision returns.
    if (reply !== undefined) {
      settle(entry, reply);
    } else if (entry.signal.aborted) {
      // The decision returns no rejection for a call whose caller has gone.
      settle(entry, callerGoneReply);
    }
  };

  const dispatch = async (entry: Entry, timeoutMs: number) => {
    const sentAt = clock.now();
    entry.token = `${entry.callId}.${nextToken()}`;
    tokens.set(entry.token, entry);
    const {call} = entry;
    options.openParent({
      callId: entry.callId, kind: `${call.service}/${call.requestKind}`, retryBudget: call.retryBudget, remainingMs: timeoutMs,
    });
    const attempt = transport === undefined
      ? {kind: 'not-connected'} as const
      : await transport.send({
        message: entry.message,
        headers: {
          [CALL_TOKEN_HEADER]: entry.token,
          [DEADLINE_HEADER]: String(Math.max(1, Math.floor(timeoutMs))),
          [REQUEST_ID_HEADER]: entry.call.requestId,
        },
        timeoutMs,
        silenceMs: undefined,
        signal: entry.abort.signal,
        newConnection: false,
      });
    if (attempt.kind === 'replied' && !Buffer.isBuffer(attempt.reply.body)) {
      // The slot stays taken until the last byte has passed; the reply is passed on meanwhile.
      settle(entry, withFeedback(entry, attempt.reply, options.closeParent(entry.callId)));
      const {status, body} = attempt.reply;
      body.once('close', () => {
        apply({kind: 'backend-ended', callId: entry.callId, outcome: {kind: 'responded', status, durationMs: clock.now() - sentAt}});
      });
      return;
    }

    finish(entry, attempt, clock.now() - sentAt);
  };

  const replay = (entry: Entry, leaderId: string) => {
    const reply = storedReplies.get(leaderId);
    settle(entry, reply ?? rejection(entry, NOT_KEPT));
  };

  const perform = (action: InboundAction) => {
    switch (action.kind) {
      case 'dispatch': {
        const entry = entries.get(action.callId);
        if (entry !== undefined) {
          void dispatch(entry, action.timeoutMs);
        }

        break;
      }

      case 'reject': {
        const entry = entries.get(action.callId);
        if (entry !== undefined) {
          settle(entry, rejection(entry, action));
        }

        break;
      }

      case 'join': {
        // The call waits for the `replay` or `reject` that follows.
        break;
      }

      case 'replay': {
        const entry = entries.get(action.callId);
        if (entry !== undefined) {
          replay(entry, action.leaderId);
        }

        break;
      }

      case 'cancel': {
        entries.get(action.callId)?.abort.abort();
        break;
      }

      case 'forget-response': {
        storedReplies.delete(action.leaderId);
        break;
      }

      case 'ticket-state': {
        ticketState = action.state;
        break;
      }

      case 'drained': {
        onDrained?.();
        break;
      }

      case 'report': {
        eventLog.report('inbound', action.cause);
        break;
      }
    }
  };

  const apply = (event: InboundEvent) => {
    const actions = decideInbound(state, event, clock.now(), options.random);
    for (const action of actions) {
      perform(action);
    }
  };

  const admit = async (request: ReceivedCall): Promise<Reply> => new Promise(resolve => {
    callCount++;
    const callId = callCount.toString(36);
    const onGone = () => {
      apply({kind: 'caller-gone', callId});
      // A call at the backend server settles when its exchange has ended.
      if (entry.token === '') {
        settle(entry, callerGoneReply);
      }
    };

    const entry: Entry = {
      ...request, callId, token: '', arrivedAt: clock.now(), resolve, abort: new AbortController(), onGone, settled: false, retryBudget: request.call.retryBudget,
    };
    entries.set(callId, entry);
    request.signal.addEventListener('abort', onGone, {once: true});
    const {call, ticket} = request;
    apply({
      kind: 'call-arrived',
      callId,
      call,
      epochMs: Date.now(),
      ...(ticket !== undefined && {ticketExpiresAt: ticket.expiresAt, ticketIncarnation: ticket.incarnation}),
    });
  });

  const connectTo = (backendServer: BackendServer) => {
    const {spec} = backendServer;
    if (spec.address === address) {
      return;
    }

    void transport?.close();
    address = spec.address;
    transport = createTransport({address, connections: Math.min(spec.slots, spec.connections)});
  };

  return {
    handle: async request => admit(request),
    askTicket(ask, ticket, content) {
      apply({
        kind: `ticket-${ask}-asked`, askId: ticket, ticket, epochMs: Date.now(), ticketExpiresAt: content.expiresAt, ticketIncarnation: content.incarnation,
      });
      return ticketState;
    },
    announce(backendServer) {
      connectTo(backendServer);
      const {
        service, slots, connections, coldStartMs,
      } = backendServer.spec;
      apply({
        kind: 'backend-announced', service, slots, connections, coldStartMs,
      });
    },
    backendLeft() {
      apply({kind: 'backend-left'});
    },
    async drain() {
      return new Promise(resolve => {
        onDrained = resolve;
        apply({kind: 'drain-started'});
      });
    },
    activeCall(token) {
      const entry = tokens.get(token);
      return entry === undefined
        ? undefined
        : {
          callId: entry.callId, call: entry.call, deadlineAt: entry.arrivedAt + entry.call.remainingMs, signal: entry.abort.signal,
        };
    },
    subCallStarted(callId, service) {
      apply({kind: 'sub-call-started', callId, service});
    },
    subCallEnded(callId, service, reply) {
      const fraction = numberHeader(reply.headers, FRACTION_HEADER) ?? 1;
      apply({
        kind: 'sub-call-ended', callId, service, fraction,
      });
    },
    setPolicy(policy) {
      apply({kind: 'policy-changed', policy});
    },
    tick() {
      apply({kind: 'tick', epochMs: Date.now()});
      metrics.setGauge('calls_in_flight', state.runningCount);
      metrics.setGauge('calls_waiting', state.queue.length);
      metrics.setGauge('concurrency_limit', allowedCalls(state.limit));
      metrics.setGauge('tickets', state.ledger.records.size + state.ledger.cancelledCount);
    },
    inFlight: () => entries.size,
    async close() {
      await transport?.close();
    },
  };
};
