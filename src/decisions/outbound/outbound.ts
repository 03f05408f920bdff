/** Decides where calls that leave this process go, and what follows when an attempt fails. */
import type {Call} from '../../shared/call.js';
import type {Random} from '../../shared/random.js';
import type {Policy} from '../../objects/policy.js';

/** Backend server that calls can be sent to, through the process on its host. */
export type Endpoint = {
  host: string;
  zone: string;
  /** Incarnation of the process on the host. */
  incarnation: string;
  service: string;
  /** Address of the process for calls, `ip:port`. */
  address: string;
  slots: number;
  connections: number;
  /** Whether it is leaving; it then gets no new calls. */
  draining: boolean;
  /** Age of the backend server when it was announced to this process, in milliseconds, and its cold start time. */
  coldStartMs: number;
};

/** Reason for which a outbound rejects a call. */
export type OutboundRejection =
  | 'no-backend-server'
  | 'admission'
  | 'deadline'
  | 'hop-limit'
  | 'retries-exhausted'
  | 'ticket-host-unreachable';

/** How an attempt ended. */
export type AttemptResult =
  /** The whole head of a response arrived. `fraction`, `load` and `retryBudget` come from its headers. */
  | {kind: 'responded'; status: number; durationMs: number; fraction: number; load: number; retryBudget: number}
  /** The process that held the call rejected it and has not passed it on. */
  | {kind: 'rejected'; reason: string; fraction: number; load: number; retryBudget: number; retryAfterMs: number}
  /** The connection could not be opened; nothing was sent. */
  | {kind: 'not-connected'}
  /** The connection was lost, or the response broke off, after sending had begun. */
  | {kind: 'lost'}
  /** No sign of life on the connection in time. */
  | {kind: 'silent'}
  | {kind: 'timed-out'};

/** What happened. */
export type OutboundEvent =
  /** `replayable` tells whether the body can be sent again; `boundHost` names the host that the call's ticket is bound to. */
  | {kind: 'call-arrived'; callId: string; call: Call; boundHost?: string; boundIncarnation?: string}
  | {kind: 'attempt-ended'; callId: string; attemptId: string; result: AttemptResult; replayable: boolean}
  | {kind: 'caller-gone'; callId: string}
  | {kind: 'endpoints-changed'; endpoints: readonly Endpoint[]}
  | {kind: 'policy-changed'; policy: Policy}
  | {kind: 'tick'};

/** What the shell has to do. */
export type OutboundAction =
  /** Send the call to the endpoint. `ticketNeeded` asks for a ticket bound to the endpoint; the same `attemptId` asks again on a new connection. */
  | {kind: 'attempt'; callId: string; attemptId: string; endpoint: Endpoint; retryBudget: number; fraction: number; timeoutMs: number; newConnection: boolean}
  | {kind: 'reject'; callId: string; reason: OutboundRejection; outcome: 'not-run' | 'unknown'; retryAfterMs: number; fraction: number}
  /** Pass on the response or rejection of an attempt. */
  | {kind: 'forward'; callId: string; attemptId: string; fraction: number; retryBudget: number}
  | {kind: 'cancel-attempt'; callId: string; attemptId: string}
  | {kind: 'retry-counted'; service: string; requestKind: string; priority: number; reason: string}
  | {kind: 'report'; cause: string};

/** Options of a outbound. */
export type OutboundOptions = {
  host: string;
  zone: string;
  policy: Policy;
};

type Pending = {call: Call; arrivedAt: number; attempts: number; retryBudget: number};

/** State of a outbound, changed in place by its decisions. */
export type OutboundState = {
  host: string;
  zone: string;
  policy: Policy;
  endpoints: Map<string, Endpoint[]>;
  calls: Map<string, Pending>;
};

/** Creates the state of a outbound that knows no endpoints. */
export const createOutboundState = (options: OutboundOptions): OutboundState => ({
  host: options.host,
  zone: options.zone,
  policy: options.policy,
  endpoints: new Map(),
  calls: new Map(),
});

const reject = (callId: string, reason: OutboundRejection, outcome: 'not-run' | 'unknown'): OutboundAction =>
  ({
    kind: 'reject', callId, reason, outcome, retryAfterMs: 1000, fraction: 1,
  });

const candidatesFor = (state: OutboundState, service: string): Endpoint[] => {
  const all = (state.endpoints.get(service) ?? []).filter(endpoint => !endpoint.draining);
  const local = all.filter(endpoint => endpoint.zone === state.zone);
  return local.length > 0 ? local : all;
};

const arrive = (state: OutboundState, event: Extract<OutboundEvent, {kind: 'call-arrived'}>, now: number, random: Random): OutboundAction[] => {
  const {callId, call, boundHost} = event;
  const known = state.endpoints.get(call.service) ?? [];
  const candidates = boundHost === undefined
    ? candidatesFor(state, call.service)
    : known.filter(endpoint => endpoint.host === boundHost && endpoint.incarnation === event.boundIncarnation);
  const endpoint = candidates[Math.floor(random() * candidates.length)];
  if (endpoint === undefined) {
    return [boundHost === undefined ? reject(callId, 'no-backend-server', 'not-run') : reject(callId, 'ticket-host-unreachable', 'unknown')];
  }

  state.calls.set(callId, {
    call, arrivedAt: now, attempts: 1, retryBudget: call.retryBudget,
  });
  return [{
    kind: 'attempt', callId, attemptId: `${callId}.1`, endpoint, retryBudget: call.retryBudget, fraction: call.fraction, timeoutMs: call.remainingMs, newConnection: false,
  }];
};

const endAttempt = (state: OutboundState, event: Extract<OutboundEvent, {kind: 'attempt-ended'}>): OutboundAction[] => {
  state.calls.delete(event.callId);
  const {result} = event;
  switch (result.kind) {
    case 'responded':
    case 'rejected': {
      return [{
        kind: 'forward', callId: event.callId, attemptId: event.attemptId, fraction: result.fraction, retryBudget: result.retryBudget,
      }];
    }

    case 'not-connected': {
      return [reject(event.callId, 'retries-exhausted', 'not-run')];
    }

    case 'lost':
    case 'silent': {
      return [reject(event.callId, 'retries-exhausted', 'unknown')];
    }

    case 'timed-out': {
      return [reject(event.callId, 'deadline', 'unknown')];
    }
  }
};

const groupByService = (endpoints: readonly Endpoint[]): Map<string, Endpoint[]> => {
  const groups = new Map<string, Endpoint[]>();
  for (const endpoint of endpoints) {
    groups.set(endpoint.service, [...(groups.get(endpoint.service) ?? []), endpoint]);
  }

  return groups;
};

/** Decides on one event; `now` is in milliseconds of a clock that never goes back. */
export const decideOutbound = (state: OutboundState, event: OutboundEvent, now: number, random: Random): OutboundAction[] => {
  switch (event.kind) {
    case 'call-arrived': {
      return arrive(state, event, now, random);
    }

    case 'attempt-ended': {
      return endAttempt(state, event);
    }

    case 'caller-gone': {
      const pending = state.calls.get(event.callId);
      state.calls.delete(event.callId);
      return pending === undefined ? [] : [{kind: 'cancel-attempt', callId: event.callId, attemptId: `${event.callId}.${pending.attempts}`}];
    }

    case 'endpoints-changed': {
      state.endpoints = groupByService(event.endpoints);
      return [];
    }

    case 'policy-changed': {
      state.policy = event.policy;
      return [];
    }

    case 'tick': {
      return [];
    }
  }
};
