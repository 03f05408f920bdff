/** Takes a request of a caller to a backend server: attempts, retries, deadline and the final answer. */
import type {Buffer} from 'node:buffer';
import type {Random} from '../shared/random.js';
import type {Admission} from './admission.js';
import type {DecisionLog} from './decision-log.js';
import type {Dependencies} from './dependencies.js';
import type {Destination, Fleet} from './fleet.js';
import type {CallHead, DoorResult} from './message.js';
import type {CallRank, RetryBudget} from './retry-budget.js';
import type {Route} from './routing-configuration.js';
import {chooseCandidate} from './selection.js';

/** Why a request gets an answer of the system instead of one of a backend server. */
export type FailureReason =
  /** No backend server of the service is known or takes calls. */
  | 'no-backend-server'
  /** Every backend server refused the call for lack of room. */
  | 'no-room'
  | 'deadline'
  /** Requests of the kind fail further down for lack of room. */
  | 'no-room-below'
  | 'attempts-spent'
  | 'retry-budget-spent'
  | 'outcome-unknown';

/** Final outcome of a request. */
export type Outcome =
  | {kind: 'answered'; status: number; rawHeaders: string[]; body: Buffer; framed: boolean; lackingBelow: string[]}
  /** The request has not run and will not. */
  | {kind: 'not-run'; reason: FailureReason; retryAfterMs: number}
  /** The request may have run. */
  | {kind: 'unknown'; reason: FailureReason; timedOut: boolean};

/** A request of a caller. */
export type Request = {
  requestId: string;
  route: Route;
  service: string;
  /** Rank among the calls to the service. */
  rank: CallRank;
  method: string;
  path: string;
  rawHeaders: string[];
  body: Buffer;
  /** Whether the client seems to have sent it before. */
  isReturn: boolean;
  /** Version of the configuration that chose the route. */
  configurationVersion: number;
  /** Time at which the request arrived, in milliseconds of the clock. */
  arrivedAt: number;
  /** Time at which it gets its final answer at the latest. */
  deadlineAt: number;
};

/** A request on its way. */
export type RequestHandle = {cancel: () => void};

/** Options of the call path. */
export type CallPathOptions = {
  now: () => number;
  random: Random;
  log: DecisionLog;
  fleet: Pick<Fleet, 'candidates'>;
  zone: string;
  budget: RetryBudget;
  admission: Pick<Admission, 'admit' | 'share'>;
  dependencies: Pick<Dependencies, 'note'>;
  /** Whether clients use the route; calls of requests under way are not refused because of the services below. */
  isClientRoute: (route: string) => boolean;
};

/** Backend servers that are asked for room before a request is refused. */
const REFUSALS_MAX = 4;
/** Shortest time to come back that is stated, in milliseconds. */
const RETRY_AFTER_MIN_MS = 50;
/** Window over which callers are spread when they come back, as a factor of the stated time. */
const RETRY_AFTER_SPREAD = 1;
/** Time to come back when no backend server is known, in milliseconds: one takes a restart or an announcement to appear. */
const RETRY_AFTER_ABSENT_MS = 300;
/** Part of the target time after which a request comes back that was refused because of the services below. */
const RETURN_SHARE = 0.2;
/** Time that is needed to run an attempt at all, in milliseconds. */
const ATTEMPT_MIN_MS = 5;

const SERVER_ERROR = 500;

/** Starts a request. `onOutcome` is called once, unless the request is cancelled. */
export const startRequest = (options: CallPathOptions, request: Request, onOutcome: (outcome: Outcome) => void): RequestHandle => {
  const {now, random, log, budget} = options;
  const {route} = request;
  const avoided = new Set<string>();
  let sends = 0;
  let refusals = 0;
  let mayHaveRun = false;
  let retryAfterMs = 0;
  let ended = false;
  let current: {cancel: () => void} | undefined;
  let failedAnswer: Extract<Outcome, {kind: 'answered'}> | undefined;

  const finish = (outcome: Outcome): void => {
    if (ended) {
      return;
    }

    ended = true;
    clearTimeout(timer);
    current?.cancel();
    noteDependencies(outcome);
    logEnd(outcome);
    onOutcome(outcome);
  };

  const logEnd = (outcome: Outcome): void => {
    const failed = outcome.kind !== 'answered' || outcome.status >= SERVER_ERROR;
    log.write(failed ? 'info' : 'debug', 'request-ended', {
      request: request.requestId,
      route: route.name,
      service: request.service,
      priority: route.priority,
      version: request.configurationVersion,
      outcome: outcome.kind,
      ...(outcome.kind === 'answered' ? {status: outcome.status, lackingBelow: outcome.lackingBelow} : {reason: outcome.reason}),
      tried: [...avoided],
      sends,
      refusals,
      admittedShare: options.admission.share(route),
      ms: Math.round(now() - request.arrivedAt),
    });
  };

  const noteDependencies = (outcome: Outcome): void => {
    if (outcome.kind === 'answered' && options.isClientRoute(route.name)) {
      options.dependencies.note({route: route.name, priority: route.priority, lacking: outcome.status >= SERVER_ERROR ? outcome.lackingBelow : []});
    }
  };

  const spread = (milliseconds: number): number => Math.round(Math.max(RETRY_AFTER_MIN_MS, milliseconds) * (1 + (random() * RETRY_AFTER_SPREAD)));

  const fail = (reason: FailureReason): void => {
    if (failedAnswer !== undefined) {
      finish(failedAnswer);
    } else if (mayHaveRun) {
      finish({kind: 'unknown', reason, timedOut: reason === 'deadline'});
    } else {
      finish({kind: 'not-run', reason, retryAfterMs: spread(reason === 'no-backend-server' ? RETRY_AFTER_ABSENT_MS : retryAfterMs)});
    }
  };

  const timer = setTimeout(() => {
    // A call that is still on its way may run until its cancellation arrives.
    mayHaveRun ||= current !== undefined;
    fail('deadline');
  }, Math.max(0, request.deadlineAt - now()));

  /** Whether another send is allowed after one that reached a backend server. */
  const mayRepeat = (): FailureReason | undefined => {
    if (sends >= route.attemptsMax) {
      return 'attempts-spent';
    }

    if (request.deadlineAt - now() < ATTEMPT_MIN_MS) {
      return 'deadline';
    }

    return budget.take(request.service, request.rank) ? undefined : 'retry-budget-spent';
  };

  const repeat = (cause: string, node: string): void => {
    const obstacle = mayRepeat();
    if (obstacle === undefined) {
      log.count('retries', cause);
      log.write('info', 'request-retried', {
        request: request.requestId, route: route.name, cause, failedAt: node, sends,
      });
      attempt();
    } else {
      fail(obstacle);
    }
  };

  const onAnswered = (destination: Destination, result: Extract<DoorResult, {kind: 'answered'}>, body: Buffer): void => {
    const outcome: Outcome = {
      kind: 'answered', status: result.status, rawHeaders: result.rawHeaders, body, framed: result.framed, lackingBelow: result.lackingBelow,
    };
    const failed = result.status >= SERVER_ERROR;
    destination.note(failed && !result.failedBelow);
    if (route.idempotent && !result.framed) {
      mayHaveRun = true;
      repeat('unframed', destination.node);
    } else if (failed && route.idempotent && !result.failedBelow) {
      failedAnswer = outcome;
      mayHaveRun = true;
      repeat(`status-${result.status}`, destination.node);
    } else {
      finish(outcome);
    }
  };

  const onRefused = (destination: Destination, result: Extract<DoorResult, {kind: 'refused'}>): void => {
    retryAfterMs = retryAfterMs === 0 ? result.retryAfterMs : Math.min(retryAfterMs, result.retryAfterMs);
    refusals++;
    if (result.reason === 'deadline-passed') {
      fail('deadline');
      return;
    }

    if (result.arrived) {
      destination.note(true);
      repeat(result.reason, destination.node);
      return;
    }

    sends--;
    if (refusals >= REFUSALS_MAX) {
      fail('no-room');
    } else {
      attempt();
    }
  };

  const onResult = (destination: Destination, result: DoorResult, body: Buffer): void => {
    current = undefined;
    if (ended) {
      return;
    }

    switch (result.kind) {
      case 'answered': {
        onAnswered(destination, result, body);
        return;
      }

      case 'refused': {
        onRefused(destination, result);
        return;
      }

      case 'lost': {
        mayHaveRun = true;
        destination.note(true);
        if (route.idempotent) {
          repeat('lost', destination.node);
        } else {
          fail('outcome-unknown');
        }
      }
    }
  };

  const attempt = (): void => {
    const choice = chooseCandidate(options.fleet.candidates(request.service), {
      zone: options.zone, route: route.name, targetMs: route.targetMs, avoided, needsLive: !route.idempotent,
    }, random);
    if (choice === undefined) {
      fail(refusals === 0 ? 'no-backend-server' : 'no-room');
      return;
    }

    avoided.add(choice.node);
    sends++;
    if (sends === 1 && refusals === 0) {
      budget.noteRequest(request.service);
    }

    const call: CallHead = {
      requestId: request.requestId,
      service: request.service,
      method: request.method,
      path: request.path,
      rawHeaders: request.rawHeaders,
      idempotent: route.idempotent,
      isRepeat: sends > 1,
      priority: route.priority,
      route: route.name,
      remainingMs: request.deadlineAt - now(),
      targetMs: request.arrivedAt + route.targetMs - now(),
    };
    log.write('debug', 'request-sent', {
      request: request.requestId, route: route.name, to: choice.node, sends, load: choice.load,
    });
    let answeredAtOnce = false;
    const handle = choice.target.send(call, request.body, (result, body) => {
      answeredAtOnce = true;
      onResult(choice.target, result, body);
    });
    if (!answeredAtOnce) {
      current = handle;
    }
  };

  if (!options.isClientRoute(route.name) || options.admission.admit(route, request.isReturn, random)) {
    attempt();
  } else {
    retryAfterMs = route.targetMs * RETURN_SHARE;
    fail('no-room-below');
  }

  return {
    cancel() {
      if (!ended) {
        ended = true;
        clearTimeout(timer);
        current?.cancel();
      }
    },
  };
};
