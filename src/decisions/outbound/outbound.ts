/** Decides where calls that leave this process go, and what follows when an attempt fails. */
import {HOP_COUNT_MAX} from '../../shared/constants.js';
import type {Call} from '../../shared/call.js';
import type {Random} from '../../shared/random.js';
import {DEFAULT_RETRY_RATIO, findRequestKind, type Policy} from '../../objects/policy.js';
import {
  admit, createAdmissionFeedback, dropIdleRows, learnFraction, learntFraction, retryAfterMs, type AdmissionFeedback,
} from './admission-feedback.js';
import type {
  AttemptResult, Endpoint, Moment, Outcome, OutboundAction, OutboundEvent, OutboundOptions, OutboundRejection,
} from './events.js';
import {observationOf} from './observation.js';
import {
  closeParent, createRetryBudgets, expireParents, expirePools, giveBack, grant, joinPool, leavePool, openParent, takeRetry, type Pool, type RetryBudgets,
} from './retry-budget.js';
import {
  backoffMs, creditCall, judge, mayHaveRun, REASKS_MAX, retryAllowed, type RetryCase, type RetryReason,
} from './retry-policy.js';
import {
  chooseEndpoint, chooseForTicket, createRouting, endCall, endpointsInUse, findBound, hasOther,
  isFull, noteFraction, offerProbes, replaceEndpoints, startCall, updateEndpoints,
  type Binding, type Choice, type EndpointRecord, type Observation, type Routing,
} from './routing.js';

export type * from './events.js';

/** Part of its remaining time that a client's call may wait here to be admitted. */
const HOLD_SHARE = 0.4;
/** Usual time between two checks of a held call, in milliseconds. */
const HOLD_CHECK_MS = 100;
/** Calls that are held at most; their bodies stay unread at the client. */
export const HELD_MAX = 10_000;
/** Interval of the clean-up of what has expired, in milliseconds. */
const SWEEP_INTERVAL_MS = 1000;
/** Time after its deadline at which a call whose attempt never ended is dropped, in milliseconds. */
export const OVERDUE_GRACE_MS = 5000;

type Attempt = {
  attemptId: string;
  ask: number;
  record: EndpointRecord;
  probe: boolean;
  granted: number;
  timeoutMs: number;
};

type Pending = {
  callId: string;
  call: Call;
  parentCallId: string | undefined;
  binding: Binding | undefined;
  /** Whether the ticket was given by a client; the call then never leaves its bound host. */
  clientBound: boolean;
  pool: Pool;
  deadlineAt: number;
  fraction: number;
  attempts: number;
  retries: number;
  tried: string[];
  /** Whether an earlier attempt may have run the call. */
  maybeRun: boolean;
  /** Attempt under way; undefined while the call waits for its backoff. */
  attempt: Attempt | undefined;
};

type Arrival = Extract<OutboundEvent, {kind: 'call-arrived'}>;

/** Client's call that waits here until it is admitted or has waited for long enough. */
type Held = {event: Arrival; arrivedAt: number; until: number; wakeAt: number};

/** State of an outbound, changed in place by its decisions. */
export type OutboundState = {
  host: string;
  zone: string;
  policy: Policy;
  routing: Routing;
  feedback: AdmissionFeedback;
  budgets: RetryBudgets;
  calls: Map<string, Pending>;
  /** End of the backoff by call id, in milliseconds. */
  waiting: Map<string, number>;
  /** Calls that are not admitted yet, by call id. */
  held: Map<string, Held>;
  sweptAt: number;
};

/** Creates the state of an outbound that knows no endpoints. */
export const createOutboundState = (options: OutboundOptions): OutboundState => ({
  host: options.host,
  zone: options.zone,
  policy: options.policy,
  routing: createRouting(options.zone),
  feedback: createAdmissionFeedback(),
  budgets: createRetryBudgets(),
  calls: new Map(),
  waiting: new Map(),
  held: new Map(),
  sweptAt: 0,
});

/** Chooses the endpoint that a new ticket for the service is bound to; undefined when none can take calls. */
export const chooseTicketEndpoint = (state: OutboundState, wish: {service: string; priority: number}, now: number, random: Random): Endpoint | undefined =>
  chooseForTicket(state.routing, {...wish, avoided: []}, {now, random});

const isClientBound = (event: Arrival): boolean => event.boundHost !== undefined && event.rebindable !== true;

const markGivenUp = (state: OutboundState, parentCallId: string | undefined): void => {
  const pool = parentCallId === undefined ? undefined : state.budgets.parents.get(parentCallId);
  if (pool !== undefined) {
    pool.gaveUp = true;
  }
};

type Rejection = {callId: string; call: Call; parentCallId?: string | undefined; reason: OutboundRejection; outcome: Outcome};

const reject = (state: OutboundState, rejection: Rejection, {now, random}: Moment): OutboundAction => {
  const {callId, call, parentCallId, reason, outcome} = rejection;
  const fraction = learntFraction(state.feedback, call, now);
  markGivenUp(state, parentCallId);
  return {
    kind: 'reject', callId, reason, outcome, retryAfterMs: retryAfterMs(fraction, random), fraction,
  };
};

const removeCall = (state: OutboundState, pending: Pending, now: number): void => {
  state.calls.delete(pending.callId);
  state.waiting.delete(pending.callId);
  leavePool(state.budgets, pending.pool, pending.call.requestId, now);
};

/** Ends a call by a rejection. An earlier send of a client's ticket is unknown here, so `not-run` would be a guess. */
const rejectPending = (state: OutboundState, pending: Pending, reason: OutboundRejection, moment: Moment): OutboundAction[] => {
  removeCall(state, pending, moment.now);
  const outcome = pending.maybeRun || pending.clientBound ? 'unknown' : 'not-run';
  return [reject(state, {...pending, reason, outcome}, moment)];
};

const chooseBound = (state: OutboundState, pending: Pending, binding: Binding, now: number): Choice | {kind: 'unreachable'} => {
  const record = findBound(state.routing, pending.call.service, binding, now);
  if (record === undefined) {
    return {kind: 'unreachable'};
  }

  // A draining host still answers for its tickets; its inbound side rejects work that is new.
  return isFull(record) ? {kind: 'full'} : {kind: 'chosen', record, probe: false};
};

const chooseFree = (state: OutboundState, {call, tried}: Pending, moment: Moment): Choice =>
  chooseEndpoint(state.routing, {service: call.service, priority: call.priority, avoided: tried}, moment);

const chooseTarget = (state: OutboundState, pending: Pending, moment: Moment): Choice | {kind: 'unreachable'} => {
  if (pending.binding === undefined) {
    return chooseFree(state, pending, moment);
  }

  const bound = chooseBound(state, pending, pending.binding, moment.now);
  if (bound.kind === 'chosen' || pending.clientBound) {
    return bound;
  }

  // Nothing was sent under the ticket that this process issued, so another one is safe.
  pending.binding = undefined;
  return chooseFree(state, pending, moment);
};

const attemptAction = (pending: Pending, attempt: Attempt): OutboundAction => ({
  kind: 'attempt',
  callId: pending.callId,
  attemptId: attempt.attemptId,
  ask: attempt.ask,
  endpoint: attempt.record.endpoint,
  retryBudget: attempt.granted,
  fraction: pending.fraction,
  timeoutMs: attempt.timeoutMs,
  newConnection: attempt.ask > 1,
  ticketNeeded: !pending.call.idempotent && pending.binding === undefined,
});

const startAttempt = (state: OutboundState, pending: Pending, choice: Extract<Choice, {kind: 'chosen'}>, {now, random}: Moment): OutboundAction => {
  pending.attempts++;
  pending.tried.push(choice.record.endpoint.host);
  pending.attempt = {
    attemptId: `${pending.callId}.${pending.attempts}`,
    ask: 1,
    record: choice.record,
    probe: choice.probe,
    granted: grant(pending.pool, pending.call.idempotent, random),
    timeoutMs: pending.deadlineAt - now,
  };
  startCall(state.routing, choice.record);
  return attemptAction(pending, pending.attempt);
};

const send = (state: OutboundState, pending: Pending, moment: Moment): OutboundAction[] => {
  if (moment.now >= pending.deadlineAt) {
    return rejectPending(state, pending, 'deadline', moment);
  }

  const choice = chooseTarget(state, pending, moment);
  switch (choice.kind) {
    case 'chosen': {
      return [startAttempt(state, pending, choice, moment)];
    }

    case 'absent': {
      return rejectPending(state, pending, 'no-backend-server', moment);
    }

    case 'full': {
      return rejectPending(state, pending, 'backend-servers-full', moment);
    }

    case 'unreachable': {
      return rejectPending(state, pending, 'ticket-host-unreachable', moment);
    }
  }
};

const refusal = (state: OutboundState, {call, boundEndpoint}: Arrival): OutboundRejection | undefined => {
  if (call.remainingMs <= 0) {
    return 'deadline';
  }

  if (call.hops >= HOP_COUNT_MAX) {
    return 'hop-limit';
  }

  return boundEndpoint !== undefined || state.routing.services.has(call.service) ? undefined : 'no-backend-server';
};

const accept = (state: OutboundState, event: Arrival, fraction: number, now: number): Pending => {
  const {callId, call, parentCallId, boundHost, boundIncarnation, boundEndpoint} = event;
  const pending: Pending = {
    callId,
    call,
    parentCallId,
    binding: boundHost === undefined ? undefined : {host: boundHost, incarnation: boundIncarnation, endpoint: boundEndpoint},
    clientBound: isClientBound(event),
    pool: joinPool(state.budgets, call, parentCallId),
    deadlineAt: now + call.remainingMs,
    fraction,
    attempts: 0,
    retries: 0,
    tried: [],
    maybeRun: false,
    attempt: undefined,
  };
  state.calls.set(callId, pending);
  return pending;
};

const retryRatio = (state: OutboundState, {service, requestKind}: Call): number =>
  findRequestKind(state.policy, service, requestKind)?.retryRatio ?? DEFAULT_RETRY_RATIO;

const begin = (state: OutboundState, event: Arrival, fraction: number, moment: Moment): OutboundAction[] => {
  const {call} = event;
  const service = state.routing.services.get(call.service);
  if (service !== undefined) {
    creditCall(service.bucket, retryRatio(state, call));
  }

  return send(state, accept(state, event, fraction, moment.now), moment);
};

const rejectUnadmitted = (state: OutboundState, event: Arrival, moment: Moment): OutboundAction =>
  reject(state, {...event, reason: 'admission', outcome: isClientBound(event) ? 'unknown' : 'not-run'}, moment);

/** Keeps a call that is not admitted: a short surge passes while it waits, and a rejected client would come back with more load. */
const hold = (state: OutboundState, event: Arrival, {now, random}: Moment): void => {
  state.held.set(event.callId, {
    event, arrivedAt: now, until: now + (event.call.remainingMs * HOLD_SHARE), wakeAt: now + (HOLD_CHECK_MS * (0.5 + random())),
  });
};

const admitOrHold = (state: OutboundState, event: Arrival, moment: Moment): OutboundAction[] => {
  const admission = admit(state.feedback, event.call, moment.now);
  // The work above a sub-call has been spent, so it is not rejected here; the request's first hop is thinned instead.
  if (admission.admitted || event.parentCallId !== undefined) {
    return begin(state, event, admission.fraction, moment);
  }

  if (state.held.size >= HELD_MAX) {
    return [rejectUnadmitted(state, event, moment)];
  }

  hold(state, event, moment);
  return [];
};

const recheck = (state: OutboundState, held: Held, moment: Moment): OutboundAction[] => {
  const {now, random} = moment;
  const {event} = held;
  const remainingMs = event.call.remainingMs - (now - held.arrivedAt);
  const call = {...event.call, remainingMs};
  const admission = admit(state.feedback, call, now);
  if (admission.admitted && remainingMs > 0) {
    state.held.delete(event.callId);
    return begin(state, {...event, call}, admission.fraction, moment);
  }

  if (now >= held.until) {
    state.held.delete(event.callId);
    return [rejectUnadmitted(state, event, moment)];
  }

  held.wakeAt = now + (HOLD_CHECK_MS * (0.5 + random()));
  return [];
};

const checkHeld = (state: OutboundState, moment: Moment): OutboundAction[] =>
  [...state.held.values()].filter(({wakeAt}) => wakeAt <= moment.now).flatMap(held => recheck(state, held, moment));

const arrive = (state: OutboundState, event: Arrival, moment: Moment): OutboundAction[] => {
  const {call} = event;
  if (state.calls.has(event.callId) || state.held.has(event.callId)) {
    return [];
  }

  const outcome = isClientBound(event) ? 'unknown' : 'not-run';
  const refused = refusal(state, event);
  if (refused !== undefined) {
    const reason = refused === 'no-backend-server' && isClientBound(event) ? 'ticket-host-unreachable' : refused;
    return [reject(state, {...event, reason, outcome}, moment)];
  }

  return admitOrHold(state, event, moment);
};

const release = (state: OutboundState, attempt: Attempt, observation: Observation, moment: Moment): void => {
  endCall(state.routing, {record: attempt.record, probe: attempt.probe, observation}, moment);
};

const returnedTokens = (result: AttemptResult, granted: number): number => {
  switch (result.kind) {
    case 'responded':
    case 'rejected': {
      return result.retryBudget;
    }

    case 'not-connected': {
      return granted;
    }

    case 'lost':
    case 'silent':
    case 'timed-out': {
      return 0;
    }
  }
};

const learn = (state: OutboundState, {call}: Pending, {record}: Attempt, {result, now}: {result: AttemptResult; now: number}): void => {
  if (result.kind !== 'responded' && result.kind !== 'rejected') {
    return;
  }

  const endpoints = endpointsInUse(state.routing, call.service);
  learnFraction(state.feedback, call, {fraction: result.fraction, endpoints}, now);
  noteFraction(state.routing, record, {priority: call.priority, fraction: result.fraction}, now);
};

/** Asks again on a new connection. The first ask may have been delivered, so its grant counts as spent. */
const askAgain = (pending: Pending, attempt: Attempt, {now, random}: Moment): OutboundAction[] => {
  const {service, requestKind, priority} = pending.call;
  attempt.ask++;
  attempt.granted = grant(pending.pool, pending.call.idempotent, random);
  attempt.timeoutMs = pending.deadlineAt - now;
  return [
    {
      kind: 'retry-counted', service, requestKind, priority, reason: 'silent-reask',
    },
    attemptAction(pending, attempt),
  ];
};

const forward = (state: OutboundState, pending: Pending, end: {attemptId: string; result: Extract<AttemptResult, {fraction: number}>; failed: boolean}, now: number): OutboundAction[] => {
  const {attemptId, result, failed} = end;
  removeCall(state, pending, now);
  if (failed || (result.kind === 'responded' && result.gaveUp)) {
    markGivenUp(state, pending.parentCallId);
  }

  const rejectedOutcome = result.kind === 'rejected' && !pending.maybeRun ? result.outcome : 'unknown';
  return [{
    kind: 'forward',
    callId: pending.callId,
    attemptId,
    fraction: result.fraction,
    retryBudget: pending.parentCallId === undefined ? pending.pool.left : 0,
    outcome: result.kind === 'responded' ? 'run' : rejectedOutcome,
  }];
};

type Ended = {attemptId: string; result: AttemptResult; retry: RetryReason | undefined};

const conclude = (state: OutboundState, pending: Pending, {attemptId, result, retry}: Ended, moment: Moment): OutboundAction[] => {
  switch (result.kind) {
    case 'responded':
    case 'rejected': {
      return forward(state, pending, {attemptId, result, failed: true}, moment.now);
    }

    case 'not-connected': {
      return rejectPending(state, pending, pending.clientBound ? 'ticket-host-unreachable' : 'retries-exhausted', moment);
    }

    case 'lost':
    case 'silent': {
      return rejectPending(state, pending, retry === undefined ? 'connection-lost' : 'retries-exhausted', moment);
    }

    case 'timed-out': {
      return rejectPending(state, pending, 'deadline', moment);
    }
  }
};

/** Wait before the retry; the same backend server is asked again only after the time that it asked for. */
const retryWaitMs = (state: OutboundState, pending: Pending, result: AttemptResult, random: Random): number => {
  const wait = backoffMs(pending.retries, random);
  const elsewhere = !pending.clientBound && hasOther(state.routing, pending.call.service, pending.tried);
  return result.kind === 'rejected' && !elsewhere ? Math.max(wait, result.retryAfterMs) : wait;
};

const isHopeless = (state: OutboundState, pending: Pending, result: AttemptResult, now: number): boolean =>
  result.kind === 'rejected' && (
    // The bound process has cancelled the ticket that it rejected.
    pending.clientBound
    || (result.reason === 'admission' && pending.call.admissionHash >= learntFraction(state.feedback, pending.call, now)));

const planRetry = (state: OutboundState, pending: Pending, ended: Ended & {retry: RetryReason}, moment: Moment): OutboundAction[] => {
  const {service, requestKind, priority} = pending.call;
  const bucket = state.routing.services.get(service)?.bucket;
  const wakeAt = moment.now + retryWaitMs(state, pending, ended.result, moment.random);
  const allowed = bucket !== undefined && wakeAt < pending.deadlineAt
    && !isHopeless(state, pending, ended.result, moment.now)
    && retryAllowed(bucket, retryRatio(state, pending.call), moment.now);
  if (!allowed || !takeRetry(pending.pool)) {
    return conclude(state, pending, ended, moment);
  }

  bucket.tokens--;
  pending.retries++;
  if (!pending.clientBound) {
    pending.binding = undefined;
  }

  state.waiting.set(pending.callId, wakeAt);
  return [
    {
      kind: 'retry-counted', service, requestKind, priority, reason: ended.retry,
    },
    {kind: 'wake', wakeAt},
  ];
};

const finishAttempt = (state: OutboundState, pending: Pending, event: Extract<OutboundEvent, {kind: 'attempt-ended'}>, moment: Moment): OutboundAction[] => {
  const attempt = pending.attempt!;
  const {result, attemptId} = event;
  const retryCase: RetryCase = {idempotent: pending.call.idempotent, replayable: event.replayable, askedBefore: attempt.ask > 1};
  pending.attempt = undefined;
  release(state, attempt, observationOf(result, {timeoutMs: attempt.timeoutMs, latencyMs: attempt.record.latencyMs}), moment);
  giveBack(pending.pool, attempt.granted, returnedTokens(result, attempt.granted));
  learn(state, pending, attempt, {result, now: moment.now});
  const verdict = judge(result, retryCase);
  if (verdict.kind === 'succeeded') {
    return forward(state, pending, {attemptId, result: result as Extract<AttemptResult, {kind: 'responded'}>, failed: false}, moment.now);
  }

  pending.maybeRun ||= mayHaveRun(result, retryCase);
  const {retry} = verdict;
  return retry === undefined
    ? conclude(state, pending, {attemptId, result, retry}, moment)
    : planRetry(state, pending, {attemptId, result, retry}, moment);
};

const endAttempt = (state: OutboundState, event: Extract<OutboundEvent, {kind: 'attempt-ended'}>, moment: Moment): OutboundAction[] => {
  const pending = state.calls.get(event.callId);
  const attempt = pending?.attempt;
  if (pending === undefined || attempt?.attemptId !== event.attemptId || attempt.ask !== event.ask) {
    return [];
  }

  const asksAgain = event.result.kind === 'silent' && event.replayable && attempt.ask <= REASKS_MAX && moment.now < pending.deadlineAt;
  return asksAgain ? askAgain(pending, attempt, moment) : finishAttempt(state, pending, event, moment);
};

const abandon = (state: OutboundState, pending: Pending, moment: Moment): OutboundAction[] => {
  const {attempt, callId} = pending;
  if (attempt === undefined) {
    return [];
  }

  release(state, attempt, {kind: 'nothing'}, moment);
  return [{kind: 'cancel-attempt', callId, attemptId: attempt.attemptId}];
};

const leave = (state: OutboundState, callId: string, moment: Moment): OutboundAction[] => {
  state.held.delete(callId);
  const pending = state.calls.get(callId);
  if (pending === undefined) {
    return [];
  }

  removeCall(state, pending, moment.now);
  return abandon(state, pending, moment);
};

const dropOverdue = (state: OutboundState, moment: Moment): OutboundAction[] =>
  [...state.calls.values()]
    .filter(pending => pending.deadlineAt + OVERDUE_GRACE_MS <= moment.now)
    .flatMap(pending => {
      pending.maybeRun ||= pending.attempt !== undefined;
      return [...abandon(state, pending, moment), ...rejectPending(state, pending, 'deadline', moment)];
    });

const sweep = (state: OutboundState, moment: Moment): OutboundAction[] => {
  if (moment.now - state.sweptAt < SWEEP_INTERVAL_MS) {
    return [];
  }

  state.sweptAt = moment.now;
  expirePools(state.budgets, moment.now);
  expireParents(state.budgets, moment.now);
  dropIdleRows(state.feedback, service => state.routing.services.has(service), moment.now);
  return dropOverdue(state, moment);
};

const wake = (state: OutboundState, moment: Moment): OutboundAction[] => {
  const due = [...state.waiting].filter(([, wakeAt]) => wakeAt <= moment.now);
  return due.flatMap(([callId]) => {
    state.waiting.delete(callId);
    return send(state, state.calls.get(callId)!, moment);
  });
};

const tick = (state: OutboundState, moment: Moment): OutboundAction[] => {
  offerProbes(state.routing, moment.now);
  return [...wake(state, moment), ...checkHeld(state, moment), ...sweep(state, moment)];
};

/** Decides on one event; `now` is in milliseconds of a clock that never goes back. */
export const decideOutbound = (state: OutboundState, event: OutboundEvent, now: number, random: Random): OutboundAction[] => {
  const moment = {now, random};
  switch (event.kind) {
    case 'call-arrived': {
      return arrive(state, event, moment);
    }

    case 'attempt-ended': {
      return endAttempt(state, event, moment);
    }

    case 'caller-gone': {
      return leave(state, event.callId, moment);
    }

    case 'parent-opened': {
      openParent(state.budgets, event, now);
      return [];
    }

    case 'parent-closed': {
      const {parentCallId} = event;
      return [{kind: 'parent-left', parentCallId, ...closeParent(state.budgets, parentCallId)}];
    }

    case 'endpoints-changed': {
      replaceEndpoints(state.routing, event.endpoints, now);
      return [];
    }

    case 'endpoints-updated': {
      updateEndpoints(state.routing, event, now);
      return [];
    }

    case 'policy-changed': {
      state.policy = event.policy;
      return [];
    }

    case 'tick': {
      return tick(state, moment);
    }
  }
};
