/** Decides what happens to calls for the backend server of this host. */
import type {Call} from '../../shared/call.js';
import type {Random} from '../../shared/random.js';
import type {Policy} from '../../objects/policy.js';

/** Reason for which a inbound rejects a call. */
export type InboundRejection =
  | 'admission'
  | 'queue-time'
  | 'displaced'
  | 'deadline'
  | 'dependency-slow'
  | 'draining'
  | 'no-backend-server'
  | 'ticket-missing'
  | 'ticket-expired'
  | 'ticket-other-incarnation'
  | 'ticket-cancelled'
  | 'ledger-full';

/** How an attempt at the backend server ended. */
export type BackendOutcome =
  | {kind: 'responded'; status: number; durationMs: number}
  | {kind: 'not-sent'}
  | {kind: 'lost'}
  | {kind: 'timed-out'};

/** What happened. */
export type InboundEvent =
  | {kind: 'call-arrived'; callId: string; call: Call; ticketExpiresAt?: number; ticketIncarnation?: string}
  | {kind: 'caller-gone'; callId: string}
  | {kind: 'backend-ended'; callId: string; outcome: BackendOutcome; responseBytes?: number}
  | {kind: 'sub-call-started'; callId: string; service: string}
  | {kind: 'sub-call-ended'; callId: string; service: string; fraction: number}
  | {kind: 'ticket-cancel-asked'; askId: string; ticket: string; ticketExpiresAt: number}
  | {kind: 'backend-announced'; service: string; slots: number; connections: number; coldStartMs: number}
  | {kind: 'backend-left'}
  | {kind: 'drain-started'}
  | {kind: 'policy-changed'; policy: Policy}
  | {kind: 'tick'};

/** What the shell has to do. */
export type InboundAction =
  | {kind: 'dispatch'; callId: string; timeoutMs: number}
  | {kind: 'reject'; callId: string; reason: InboundRejection; outcome: 'not-run' | 'unknown'; retryAfterMs: number; fraction: number}
  | {kind: 'join'; callId: string; leaderId: string}
  | {kind: 'replay'; callId: string; leaderId: string}
  | {kind: 'cancel'; callId: string}
  | {kind: 'forget-response'; leaderId: string}
  | {kind: 'ticket-state'; askId: string; state: 'unseen' | 'cancelled' | 'running' | 'completed' | 'unknown'; leaderId?: string}
  | {kind: 'drained'}
  | {kind: 'report'; cause: string};

/** Options of a inbound. */
export type InboundOptions = {
  /** Incarnation of this process. */
  incarnation: string;
  policy: Policy;
};

type Waiting = {callId: string; call: Call; arrivedAt: number};

/** State of a inbound, changed in place by its decisions. */
export type InboundState = {
  incarnation: string;
  policy: Policy;
  service: string | undefined;
  slots: number;
  draining: boolean;
  running: Map<string, Waiting>;
  waiting: Waiting[];
};

/** Creates the state of a inbound without a backend server. */
export const createInboundState = (options: InboundOptions): InboundState => ({
  incarnation: options.incarnation,
  policy: options.policy,
  service: undefined,
  slots: 0,
  draining: false,
  running: new Map(),
  waiting: [],
});

const reject = (callId: string, reason: InboundRejection): InboundAction =>
  ({
    kind: 'reject', callId, reason, outcome: 'not-run', retryAfterMs: 1000, fraction: 1,
  });

const dispatchNext = (state: InboundState, now: number): InboundAction[] => {
  const actions: InboundAction[] = [];
  while (state.running.size < state.slots && state.waiting.length > 0) {
    const next = state.waiting.shift()!;
    const timeoutMs = next.call.remainingMs - (now - next.arrivedAt);
    if (timeoutMs <= 0) {
      actions.push(reject(next.callId, 'deadline'));
      continue;
    }

    state.running.set(next.callId, next);
    actions.push({kind: 'dispatch', callId: next.callId, timeoutMs});
  }

  return actions;
};

const arrive = (state: InboundState, event: Extract<InboundEvent, {kind: 'call-arrived'}>, now: number): InboundAction[] => {
  if (state.service === undefined) {
    return [reject(event.callId, 'no-backend-server')];
  }

  if (state.draining) {
    return [reject(event.callId, 'draining')];
  }

  state.waiting.push({callId: event.callId, call: event.call, arrivedAt: now});
  return dispatchNext(state, now);
};

/** Decides on one event; `now` is in milliseconds of a clock that never goes back. */
export const decideInbound = (state: InboundState, event: InboundEvent, now: number, _random: Random): InboundAction[] => {
  switch (event.kind) {
    case 'call-arrived': {
      return arrive(state, event, now);
    }

    case 'backend-ended': {
      state.running.delete(event.callId);
      return dispatchNext(state, now);
    }

    case 'caller-gone': {
      state.waiting = state.waiting.filter(({callId}) => callId !== event.callId);
      return state.running.has(event.callId) ? [{kind: 'cancel', callId: event.callId}] : [];
    }

    case 'backend-announced': {
      state.service = event.service;
      state.slots = event.slots;
      return dispatchNext(state, now);
    }

    case 'backend-left': {
      state.service = undefined;
      return [];
    }

    case 'drain-started': {
      state.draining = true;
      return [];
    }

    case 'policy-changed': {
      state.policy = event.policy;
      return [];
    }

    case 'sub-call-started':
    case 'sub-call-ended':
    case 'ticket-cancel-asked':
    case 'tick': {
      return [];
    }
  }
};

/** What each response reports about this process. */
export type InboundFeedback = {
  /** Admitted fraction of the call's priority and client group. */
  fraction: number;
  /** Calls in flight and waiting over the concurrency limit. */
  load: number;
};

/** Feedback for the response of a call. */
export const inboundFeedback = (state: InboundState, _call: Call): InboundFeedback => ({
  fraction: 1,
  load: state.slots === 0 ? 1 : (state.running.size + state.waiting.length) / state.slots,
});
