/** Runs the inbound decision logic and performs its actions: forwards calls to the backend server of this host. */
import {Buffer} from 'node:buffer';
import {
  CALL_TOKEN_HEADER, DEADLINE_HEADER, FRACTION_HEADER, GAVE_UP_HEADER, LOAD_HEADER, OUTCOME_HEADER, REASON_HEADER, REQUEST_ID_HEADER, RETRY_BUDGET_HEADER,
} from '../shared/constants.js';
import type {CallContext} from '../shared/call-context.js';
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
  toBackendOutcome, type ActiveCall, type IncomingCall, type TicketOperation, type TicketState,
} from './incoming-call.js';
import {
  callerGoneReply, rejectionReply, type TransportResult, type Reply,
} from './message.js';
import type {Metrics} from './metrics.js';
import {remedyFor, type RejectionReason} from './remedies.js';
import type {ParentCallResult, Sender} from './sender.js';
import {createTransport, type Transport} from './transport.js';

/** Inbound side of a process: forwards calls from clients and other processes to the backend server of this host. */
export type Receiver = {
  /** Forwards a call to the backend server; the reply may be a rejection. */
  handle: (call: IncomingCall) => Promise<Reply>;
  /** Returns the state of a ticket; `cancel` also invalidates a ticket that has not been used. */
  handleTicketOperation: (operation: TicketOperation, ticket: string, content: Ticket) => TicketState;
  /** Sets the backend server of this host from its latest announcement. */
  setBackendServer: (backendServer: BackendServer) => void;
  /** Handles the departure of the backend server; new calls are rejected until another one is announced. */
  removeBackendServer: () => void;
  /** Rejects new calls; resolves when all calls in flight have ended. */
  drain: () => Promise<void>;
  /** Finds the call that the backend server is working on by its call token. */
  findActiveCall: (token: string) => ActiveCall | undefined;
  /** Records that the backend server has started a sub-call for a call. */
  subCallStarted: (callId: string, service: string) => void;
  /** Records that a sub-call has ended, with the admitted fraction that its reply reports. */
  subCallEnded: (callId: string, service: string, reply: Reply) => void;
  setPolicy: (policy: Policy) => void;
  /** Runs the time-based decisions and updates the gauges. */
  tick: () => void;
  /** Number of calls that have no reply yet. */
  inFlight: () => number;
  /** Closes the connections to the backend server. */
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
  /** Opens the retry budget that the sub-calls of a call share. */
  openParentCall: Sender['openParentCall'];
  /** Closes that budget and returns what the response of the call reports. */
  closeParentCall: Sender['closeParentCall'];
};

/** Call that has no reply yet. */
type PendingCall = IncomingCall & {
  callId: string;
  /** Call token that the backend server repeats on its sub-calls; empty until the call is sent to it. */
  token: string;
  arrivedAt: number;
  resolve: (reply: Reply) => void;
  abort: AbortController;
  onCallerGone: () => void;
  settled: boolean;
  /** Unused retry budget. */
  retryBudget: number;
};

/** Reason for a rejection and the feedback that it carries. */
type RejectionDetails = {reason: RejectionReason; outcome: 'run' | 'not-run' | 'unknown'; retryAfterMs: number; fraction: number};

const RESPONSE_NOT_KEPT: RejectionDetails = {
  reason: 'response-not-kept', outcome: 'run', retryAfterMs: 0, fraction: 1,
};

const nextToken = createIdSource(12);

/** Creates a receiver without a backend server. */
export const createReceiver = (options: ReceiverOptions): Receiver => {
  const {clock, metrics, eventLog} = options;
  const state = createInboundState({incarnation: options.incarnation, policy: options.policy});
  const pendingCalls = new Map<string, PendingCall>();
  const callsByToken = new Map<string, PendingCall>();
  const storedReplies = new Map<string, Reply>();
  let transport: Transport | undefined;
  let address = '';
  let callCount = 0;
  let ticketState: TicketState = 'unseen';
  let onDrained: (() => void) | undefined;

  const settle = (pending: PendingCall, reply: Reply) => {
    if (pending.settled) {
      return;
    }

    pending.settled = true;
    pending.signal.removeEventListener('abort', pending.onCallerGone);
    pendingCalls.delete(pending.callId);
    callsByToken.delete(pending.token);
    metrics.countCall('inbound', reply.status, pending.call);
    metrics.recordLatency('inbound', pending.call, clock.now() - pending.arrivedAt);
    pending.resolve(reply);
  };

  const createRejection = (pending: PendingCall, details: RejectionDetails): Reply => {
    const {call} = pending;
    const {reason, outcome, retryAfterMs, fraction} = details;
    const {status, message} = remedyFor(reason);
    metrics.countRejection(reason, 'inbound', call);
    const explainId = eventLog.recordRejection({
      part: 'inbound', requestId: call.requestId, service: call.service, requestKind: call.requestKind, priority: call.priority, group: call.group, reason, outcome, fraction, remedy: message,
    });
    return rejectionReply({
      status, reason, outcome, explainId, message, retryAfterMs, fraction, retryBudget: pending.retryBudget,
    }, {[LOAD_HEADER]: inboundLoad(state).toFixed(3)});
  };

  const withFeedbackHeaders = (pending: PendingCall, reply: Reply, parentResult: ParentCallResult): Reply => ({
    ...reply,
    headers: {
      ...reply.headers,
      [OUTCOME_HEADER]: reply.headers[OUTCOME_HEADER] ?? 'run',
      [FRACTION_HEADER]: String(responseFraction(state, pending.callId)),
      [LOAD_HEADER]: inboundLoad(state).toFixed(3),
      [RETRY_BUDGET_HEADER]: String(parentResult.retryBudget),
      ...(parentResult.gaveUp && {[GAVE_UP_HEADER]: '1'}),
    },
  });

  /** Stores a buffered reply for callers that joined the call or resend it, until the decision logic discards it. Returns its size. */
  const storeReply = (pending: PendingCall, reply: Reply): number | undefined => {
    if (!Buffer.isBuffer(reply.body)) {
      return undefined;
    }

    storedReplies.set(pending.callId, reply);
    return reply.body.length;
  };

  /** Ends a call whose exchange with the backend server has a buffered reply or has failed. */
  const handleBackendResult = (pending: PendingCall, result: TransportResult, durationMs: number) => {
    const outcome = toBackendOutcome(result, durationMs);
    const parentResult = options.closeParentCall(pending.callId);
    pending.retryBudget = parentResult.retryBudget;
    const reply = result.kind === 'replied' ? withFeedbackHeaders(pending, result.reply, parentResult) : undefined;
    const responseBytes = reply === undefined ? undefined : storeReply(pending, reply);
    handleEvent({
      kind: 'backend-ended', callId: pending.callId, outcome, ...(responseBytes !== undefined && {responseBytes}),
    });
    // A call without a reply is settled by the rejection that the decision logic returns.
    if (reply !== undefined) {
      settle(pending, reply);
    } else if (pending.signal.aborted) {
      // The decision logic returns no rejection for a call whose caller has gone.
      settle(pending, callerGoneReply);
    }
  };

  /** Sends a call to the backend server. */
  const dispatch = async (pending: PendingCall, timeoutMs: number) => {
    const sentAt = clock.now();
    pending.token = `${pending.callId}.${nextToken()}`;
    callsByToken.set(pending.token, pending);
    const {call} = pending;
    options.openParentCall({
      callId: pending.callId, kind: `${call.service}/${call.requestKind}`, retryBudget: call.retryBudget, remainingMs: timeoutMs,
    });
    const result = transport === undefined
      ? {kind: 'not-connected'} as const
      : await transport.send({
        message: pending.message,
        headers: {
          [CALL_TOKEN_HEADER]: pending.token,
          [DEADLINE_HEADER]: String(Math.max(1, Math.floor(timeoutMs))),
          [REQUEST_ID_HEADER]: pending.call.requestId,
        },
        timeoutMs,
        silenceTimeoutMs: undefined,
        signal: pending.abort.signal,
        newConnection: false,
      });
    if (result.kind === 'replied' && !Buffer.isBuffer(result.reply.body)) {
      // The caller gets the streamed reply at once, but the slot stays occupied until the last byte has been sent.
      settle(pending, withFeedbackHeaders(pending, result.reply, options.closeParentCall(pending.callId)));
      const {status, body} = result.reply;
      body.once('close', () => {
        handleEvent({kind: 'backend-ended', callId: pending.callId, outcome: {kind: 'responded', status, durationMs: clock.now() - sentAt}});
      });
      return;
    }

    handleBackendResult(pending, result, clock.now() - sentAt);
  };

  /** Answers a call with the stored reply of its leader, the first call with the same ticket. */
  const replayStoredReply = (pending: PendingCall, leaderId: string) => {
    const reply = storedReplies.get(leaderId);
    settle(pending, reply ?? createRejection(pending, RESPONSE_NOT_KEPT));
  };

  const performAction = (action: InboundAction) => {
    switch (action.kind) {
      case 'dispatch': {
        const pending = pendingCalls.get(action.callId);
        if (pending !== undefined) {
          void dispatch(pending, action.timeoutMs);
        }

        break;
      }

      case 'reject': {
        const pending = pendingCalls.get(action.callId);
        if (pending !== undefined) {
          settle(pending, createRejection(pending, action));
        }

        break;
      }

      case 'join': {
        // The call waits for the `replay` or `reject` action of the call that it joined.
        break;
      }

      case 'replay': {
        const pending = pendingCalls.get(action.callId);
        if (pending !== undefined) {
          replayStoredReply(pending, action.leaderId);
        }

        break;
      }

      case 'cancel': {
        pendingCalls.get(action.callId)?.abort.abort();
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

  /** Passes an event to the decision logic and performs the actions that it returns. */
  const handleEvent = (event: InboundEvent) => {
    const actions = decideInbound(state, event, clock.now(), options.random);
    for (const action of actions) {
      performAction(action);
    }
  };

  const receive = async (incoming: IncomingCall): Promise<Reply> => new Promise(resolve => {
    callCount++;
    const callId = callCount.toString(36);
    const onCallerGone = () => {
      handleEvent({kind: 'caller-gone', callId});
      // A call that was sent to the backend server settles when that exchange ends.
      if (pending.token === '') {
        settle(pending, callerGoneReply);
      }
    };

    const pending: PendingCall = {
      ...incoming, callId, token: '', arrivedAt: clock.now(), resolve, abort: new AbortController(), onCallerGone, settled: false, retryBudget: incoming.call.retryBudget,
    };
    pendingCalls.set(callId, pending);
    incoming.signal.addEventListener('abort', onCallerGone, {once: true});
    const {call, ticket} = incoming;
    handleEvent({
      kind: 'call-arrived',
      callId,
      call,
      epochMs: Date.now(),
      ...(ticket !== undefined && {ticketExpiresAt: ticket.expiresAt, ticketIncarnation: ticket.incarnation}),
    });
  });

  const connectToBackend = (backendServer: BackendServer) => {
    const {spec} = backendServer;
    if (spec.address === address) {
      return;
    }

    void transport?.close();
    address = spec.address;
    transport = createTransport({address, connections: Math.min(spec.slots, spec.connections)});
  };

  return {
    handle: async call => receive(call),
    handleTicketOperation(operation, ticket, content) {
      handleEvent({
        kind: `ticket-${operation}-asked`, askId: ticket, ticket, epochMs: Date.now(), ticketExpiresAt: content.expiresAt, ticketIncarnation: content.incarnation,
      });
      return ticketState;
    },
    setBackendServer(backendServer) {
      connectToBackend(backendServer);
      const {
        service, slots, connections, coldStartMs,
      } = backendServer.spec;
      handleEvent({
        kind: 'backend-announced', service, slots, connections, coldStartMs,
      });
    },
    removeBackendServer() {
      handleEvent({kind: 'backend-left'});
    },
    async drain() {
      return new Promise(resolve => {
        onDrained = resolve;
        handleEvent({kind: 'drain-started'});
      });
    },
    findActiveCall(token) {
      const pending = callsByToken.get(token);
      return pending === undefined
        ? undefined
        : {
          callId: pending.callId, call: pending.call, deadlineAt: pending.arrivedAt + pending.call.remainingMs, signal: pending.abort.signal,
        };
    },
    subCallStarted(callId, service) {
      handleEvent({kind: 'sub-call-started', callId, service});
    },
    subCallEnded(callId, service, reply) {
      const fraction = numberHeader(reply.headers, FRACTION_HEADER) ?? 1;
      handleEvent({
        kind: 'sub-call-ended', callId, service, fraction,
      });
    },
    setPolicy(policy) {
      handleEvent({kind: 'policy-changed', policy});
    },
    tick() {
      handleEvent({kind: 'tick', epochMs: Date.now()});
      metrics.setGauge('calls_in_flight', state.runningCount);
      metrics.setGauge('calls_waiting', state.queue.length);
      metrics.setGauge('concurrency_limit', allowedCalls(state.limit));
      metrics.setGauge('tickets', state.ledger.records.size + state.ledger.cancelledCount);
    },
    inFlight: () => pendingCalls.size,
    async close() {
      await transport?.close();
    },
  };
};
