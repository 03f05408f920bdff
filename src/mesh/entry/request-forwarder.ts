/** Forwards a request of a caller to a backend server: admission, attempts, retries, deadline and final outcome. */
import type {Buffer} from 'node:buffer';
import type {Random} from '../../shared/random.js';
import type {CrashGuard, SuspectedContent} from '../inbound/crash-guard.js';
import type {DecisionLog} from '../decision-log.js';
import {createErrorBoundary} from '../error-boundary.js';
import type {Destination, Fleet} from '../links/fleet.js';
import type {CallHeader, CallResult} from '../message.js';
import type {Dependencies} from './dependencies.js';
import type {AdmissionController} from './admission.js';
import type {
  FailureReason, ForwardedRequest, RequestHandle, RequestOutcome,
} from './forwarded-request.js';
import type {RetryBudget} from './retry-budget.js';
import {chooseCandidate} from './selection.js';

/** Options of request forwarding. */
export type ForwardingOptions = {
  now: () => number;
  random: Random;
  log: DecisionLog;
  fleet: Pick<Fleet, 'candidates' | 'isConnecting'>;
  /** Zone of this host. */
  zone: string;
  budget: RetryBudget;
  crashGuard: Pick<CrashGuard, 'assess' | 'beginTrial' | 'recordFor'>;
  admission: Pick<AdmissionController, 'admit' | 'admittedShare' | 'callOrigin' | 'retryAfterMs'>;
  dependencies: Pick<Dependencies, 'recordOutcome'>;
  /** Whether clients send requests to the route. Only those pass admission control: refusing a call within a running request would waste the work done for it. */
  isClientRoute: (route: string) => boolean;
};

/** Longest time for which a request waits for links to the backend servers of its service, in milliseconds. */
const CONNECT_WAIT_MS = 500;
/** Interval at which a waiting request looks for an open link, in milliseconds. */
const CONNECT_POLL_MS = 20;
/** Refusals by backend servers after which the request fails. */
const REFUSALS_MAX = 4;
/** Shortest `Retry-After` sent to a caller, in milliseconds. */
const RETRY_AFTER_MIN_MS = 50;
/** Largest random extension of `Retry-After`, as a factor of it, so that callers do not retry at the same moment. */
const RETRY_AFTER_JITTER = 1;
/** `Retry-After` when no backend server is known, in milliseconds: one appears after a restart or with its next announcement. */
const RETRY_AFTER_NO_BACKEND_MS = 300;
/** Share of the route's target latency that is sent as `Retry-After` when admission control rejects a request. */
const RETRY_AFTER_TARGET_SHARE = 0.2;
/** Shortest time in which an attempt can complete, in milliseconds; with less left, a request is not retried. */
const ATTEMPT_MIN_MS = 5;

const FIRST_SERVER_ERROR_STATUS = 500;

/** Forwards a request. `onOutcome` is called once, unless the request is cancelled. */
export const forwardRequest = (options: ForwardingOptions, request: ForwardedRequest, onOutcome: (outcome: RequestOutcome) => void): RequestHandle => {
  const {now, random, log, budget} = options;
  const {route} = request;
  const boundary = createErrorBoundary(log, 'request');
  const triedNodes = new Set<string>();
  let attempts = 0;
  let refusals = 0;
  let mayHaveRun = false;
  /** Whether this request is the one that is run although its content is blocked. */
  let isTrial = false;
  /** Whether the last backend server asked refused the request because of crashes. */
  let isHeldBack = false;
  let retryAfterMs = 0;
  let ended = false;
  let reported = false;
  let pendingSend: {cancel: () => void} | undefined;
  let connectTimer: NodeJS.Timeout | undefined;
  let failedResponse: Extract<RequestOutcome, {kind: 'answered'}> | undefined;

  const end = (): void => {
    ended = true;
    clearTimeout(timer);
    clearTimeout(connectTimer);
    pendingSend?.cancel();
  };

  const report = (outcome: RequestOutcome): void => {
    if (!reported) {
      reported = true;
      onOutcome(outcome);
    }
  };

  const finish = (outcome: RequestOutcome): void => {
    if (ended) {
      return;
    }

    end();
    recordDependencies(outcome);
    logOutcome(outcome);
    report(outcome);
  };

  /** Runs a step of the request; an unexpected error ends the request, which may have run by then. */
  const runStep = (step: () => void): void => {
    boundary.run(request.requestId, step, () => {
      end();
      report({kind: 'unknown', reason: 'internal-error', timedOut: false});
    });
  };

  const logOutcome = (outcome: RequestOutcome): void => {
    const failed = outcome.kind !== 'answered' || outcome.status >= FIRST_SERVER_ERROR_STATUS;
    log.write(failed ? 'info' : 'debug', 'request-ended', {
      request: request.requestId,
      route: route.name,
      service: request.service,
      priority: request.priority,
      workspace: request.workspace?.name,
      version: request.configurationVersion,
      outcome: outcome.kind,
      ...(outcome.kind === 'answered' ? {status: outcome.status, lackingBelow: outcome.lackingBelow} : {reason: outcome.reason}),
      tried: [...triedNodes],
      sends: attempts,
      refusals,
      admittedShare: options.admission.admittedShare(request),
      ms: Math.round(now() - request.arrivedAt),
    });
  };

  const recordDependencies = (outcome: RequestOutcome): void => {
    if (outcome.kind === 'answered' && options.isClientRoute(route.name)) {
      options.dependencies.recordOutcome({route: route.name, priority: route.priority, overloadedServices: outcome.status >= FIRST_SERVER_ERROR_STATUS ? outcome.lackingBelow : []});
    }
  };

  const withJitter = (milliseconds: number): number => Math.round(Math.max(RETRY_AFTER_MIN_MS, milliseconds) * (1 + (random() * RETRY_AFTER_JITTER)));

  const fail = (reason: FailureReason): void => {
    if (failedResponse !== undefined) {
      finish(failedResponse);
    } else if (mayHaveRun) {
      finish({kind: 'unknown', reason, timedOut: reason === 'deadline'});
    } else {
      finish({kind: 'not-run', reason, retryAfterMs: withJitter(reason === 'no-backend-server' ? RETRY_AFTER_NO_BACKEND_MS : retryAfterMs)});
    }
  };

  const timer = setTimeout(() => {
    // A call in progress may run until its cancellation arrives.
    mayHaveRun ||= pendingSend !== undefined;
    fail('deadline');
  }, Math.max(0, request.deadlineAt - now()));

  /** Why an attempt that reached a backend server may not be retried; undefined when it may. */
  const findRetryObstacle = (): FailureReason | undefined => {
    if (attempts >= route.attemptsMax) {
      return 'attempts-spent';
    }

    if (request.deadlineAt - now() < ATTEMPT_MIN_MS) {
      return 'deadline';
    }

    return budget.tryAcquire(request.service, request.rank) ? undefined : 'retry-budget-spent';
  };

  /** What is known against the request; undefined when there is nothing. */
  const findSuspicion = (): SuspectedContent | undefined => options.crashGuard.assess(request, request.body);

  /** Ends the request if it is blocked, or has been on trial; returns whether it did. */
  const failIfBlocked = (suspected: SuspectedContent | undefined): boolean => {
    if (suspected === undefined || (isTrial && attempts === 0)) {
      return false;
    }

    const {content, suspicion} = suspected;
    if (suspicion.kind !== 'blocked' && !isTrial) {
      return false;
    }

    retryAfterMs = suspicion.kind === 'blocked' ? suspicion.retryAfterMs : retryAfterMs;
    log.write('info', 'request-held-back', {request: request.requestId, content, crashes: suspicion.crashes});
    fail('crash-suspect');
    return true;
  };

  const retry = (cause: string, node: string): void => {
    if (failIfBlocked(findSuspicion())) {
      return;
    }

    const obstacle = findRetryObstacle();
    if (obstacle === undefined) {
      log.count('retries', cause);
      log.write('info', 'request-retried', {
        request: request.requestId, route: route.name, cause, failedAt: node, sends: attempts,
      });
      sendAttempt();
    } else {
      fail(obstacle);
    }
  };

  const handleResponse = (destination: Destination, result: Extract<CallResult, {kind: 'answered'}>, body: Buffer): void => {
    const outcome: RequestOutcome = {
      kind: 'answered', status: result.status, rawHeaders: result.rawHeaders, body, framed: result.framed, lackingBelow: result.lackingBelow,
    };
    const failed = result.status >= FIRST_SERVER_ERROR_STATUS;
    destination.recordOutcome(failed && !result.failedBelow);
    if (route.idempotent && !result.framed) {
      mayHaveRun = true;
      retry('unframed', destination.node);
    } else if (failed && route.idempotent && !result.failedBelow) {
      failedResponse = outcome;
      mayHaveRun = true;
      retry(`status-${result.status}`, destination.node);
    } else {
      finish(outcome);
    }
  };

  const handleRefusal = (destination: Destination, result: Extract<CallResult, {kind: 'refused'}>): void => {
    retryAfterMs = retryAfterMs === 0 ? result.retryAfterMs : Math.min(retryAfterMs, result.retryAfterMs);
    refusals++;
    isHeldBack = result.reason === 'crash-suspect';
    if (result.reason === 'deadline-passed') {
      fail('deadline');
      return;
    }

    if (result.arrived) {
      destination.recordOutcome(true);
      retry(result.reason, destination.node);
      return;
    }

    attempts--;
    if (refusals >= REFUSALS_MAX) {
      fail(isHeldBack ? 'crash-suspect' : 'no-room');
    } else {
      sendAttempt();
    }
  };

  const handleResult = (destination: Destination, result: CallResult, body: Buffer): void => {
    pendingSend = undefined;
    if (ended) {
      return;
    }

    switch (result.kind) {
      case 'answered': {
        handleResponse(destination, result, body);
        return;
      }

      case 'refused': {
        handleRefusal(destination, result);
        return;
      }

      case 'lost': {
        mayHaveRun = true;
        destination.recordOutcome(true);
        if (route.idempotent) {
          retry('lost', destination.node);
        } else {
          fail('outcome-unknown');
        }
      }
    }
  };

  /** Whether the links to the service are just being opened, after its first use or a restart of this process. */
  const canWaitForLinks = (): boolean =>
    attempts === 0 && refusals === 0 && now() - request.arrivedAt < CONNECT_WAIT_MS && options.fleet.isConnecting(request.service);

  const sendAttempt = (): void => {
    const candidate = chooseCandidate(options.fleet.candidates(request.service), {
      zone: options.zone, route: route.name, targetMs: route.targetMs, excludedNodes: triedNodes, requiresLive: !route.idempotent,
    }, random);
    if (candidate === undefined && canWaitForLinks()) {
      connectTimer = setTimeout(runStep, CONNECT_POLL_MS, sendAttempt);
      return;
    }

    if (candidate === undefined) {
      fail(refusals === 0 ? 'no-backend-server' : (isHeldBack ? 'crash-suspect' : 'no-room'));
      return;
    }

    const suspected = findSuspicion();
    if (failIfBlocked(suspected)) {
      return;
    }

    if (suspected?.suspicion.kind === 'on-trial') {
      isTrial = true;
      options.crashGuard.beginTrial(suspected.content);
    }

    triedNodes.add(candidate.node);
    attempts++;
    if (attempts === 1 && refusals === 0) {
      budget.recordRequest(request.service);
    }

    const call: CallHeader = {
      requestId: request.requestId,
      service: request.service,
      method: request.method,
      path: request.path,
      rawHeaders: request.rawHeaders,
      idempotent: route.idempotent,
      isRepeat: attempts > 1,
      priority: request.priority,
      ...(request.workspace === undefined ? {} : callOrigin),
      route: route.name,
      remainingMs: request.deadlineAt - now(),
      targetMs: request.arrivedAt + route.targetMs - now(),
      crashRecord: suspected === undefined ? undefined : options.crashGuard.recordFor(suspected),
      isTrial,
    };
    log.write('debug', 'request-sent', {
      request: request.requestId, route: route.name, to: candidate.node, sends: attempts, load: candidate.load,
    });
    let endedSynchronously = false;
    const handle = candidate.destination.send(call, request.body, (result, body) => {
      endedSynchronously = true;
      runStep(() => {
        handleResult(candidate.destination, result, body);
      });
    });
    if (!endedSynchronously) {
      pendingSend = handle;
    }
  };

  const isClientRequest = options.isClientRoute(route.name);
  /** As of the arrival of the request, when its admission is decided. */
  const callOrigin = isClientRequest ? options.admission.callOrigin(request) : {workspace: request.workspace?.name};
  if (!isClientRequest || options.admission.admit(request, random)) {
    runStep(sendAttempt);
  } else {
    finish({
      kind: 'not-run',
      reason: 'no-room-below',
      retryAfterMs: options.admission.retryAfterMs(request.workspace, request.deadlineAt - now()) ?? withJitter(route.targetMs * RETRY_AFTER_TARGET_SHARE),
    });
  }

  return {
    cancel() {
      const isUnsent = !ended && attempts === 0 && pendingSend === undefined;
      if (!ended) {
        end();
      }

      return isUnsent;
    },
  };
};
