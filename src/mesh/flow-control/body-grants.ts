/** Grants long request bodies to the peers that hold them, by priority and deadline, when the account has room. */
import type {DecisionLog} from '../decision-log.js';
import type {RefusalReason} from '../message.js';
import type {BodyAccount, HeldBody} from './body-account.js';

/** Memory of the body of a call. */
export type CallBody = HeldBody & {
  /** Records that the call is submitted to the inbound proxy, which counts it from then on. */
  recordSubmitted: () => void;
};

/** Call whose body waits at the peer that sent it. */
export type GrantRequest = {
  /** Length of the body, in bytes. */
  bytes: number;
  /** Lower numbers are more urgent. */
  priority: number;
  /** Time until which the call may run, in milliseconds of the clock. */
  deadlineAt: number;
  /** Called when the body may be sent; its memory is counted from then on. */
  onGranted: (held: CallBody) => void;
  /** Called when the call is refused before its body was granted. */
  onRefused: (reason: RefusalReason, retryAfterMs: number) => void;
};

/** Request for a grant. */
export type WaitingBody = {
  /** Removes the request if it waits. */
  withdraw: () => void;
};

/** Grants of one process, for all of its peers. */
export type BodyGrants = {
  /** Grants a body, now or later. */
  request: (request: GrantRequest) => WaitingBody;
  /** Removes the requests that wait, and then grants those behind them. */
  withdrawAll: (waiting: readonly WaitingBody[]) => void;
  /** Counts a body that its peer sends without a grant; undefined when there is no room, and the call has to be refused. */
  holdUngranted: (bytes: number) => CallBody | undefined;
  /** Memory that the bodies hold, in bytes. */
  heldBytes: () => number;
  /** Number of bodies that wait. */
  waiting: () => number;
  /** Number of calls whose body waits or is held, and which are not submitted yet. */
  unsubmitted: () => number;
  /** Refuses the calls that have waited too long; called periodically. */
  tick: () => void;
};

/** Options of the grants. */
export type BodyGrantsOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'count'>;
  account: BodyAccount;
  /** Whether released memory leaves room for another body. @default () => true */
  hasRoom?: () => boolean;
  /** Why no call can run now, for example because the backend server drains; undefined when calls can run. */
  obstacle: () => RefusalReason | undefined;
};

/** Time after which a body that is refused now may find room, in milliseconds; longer than it takes to pass on a body to a backend server that reads. */
export const MEMORY_RETRY_AFTER_MS = 500;
/** Share of the remaining time that a body may wait; the rest is needed to send it and to run the call, here or elsewhere. */
const WAIT_SHARE = 0.5;
/** Bodies that wait at most. */
const WAITING_MAX = 1000;

type Entry = GrantRequest & {waitUntil: number; waiting: WaitingBody};

const isBefore = (left: Entry, right: Entry): boolean =>
  left.priority === right.priority ? left.deadlineAt < right.deadlineAt : left.priority < right.priority;

/** Creates grants without requests. */
export const createBodyGrants = ({now, log, account, obstacle, hasRoom = () => true}: BodyGrantsOptions): BodyGrants => {
  /** In the order in which they are granted. The first one is not overtaken by shorter ones, so that each is granted at some time. */
  let entries: Entry[] = [];
  /** Calls whose body is held, and which are not submitted yet. */
  let unsubmittedCount = 0;

  const refuse = (entry: Entry, reason: RefusalReason): void => {
    log.count('body_grants', `refused-${reason}`);
    entry.onRefused(reason, MEMORY_RETRY_AFTER_MS);
  };

  /** Why a call that has just arrived is refused at once. */
  const findRefusal = ({deadlineAt}: Entry): RefusalReason | undefined =>
    obstacle() ?? (deadlineAt <= now() ? 'deadline-passed' : (entries.length >= WAITING_MAX ? 'memory-full' : undefined));

  const grantNext = (): void => {
    for (let [next] = entries; next !== undefined && hasRoom(); [next] = entries) {
      const held = account.holdGranted(next.bytes);
      if (held === undefined) {
        return;
      }

      entries.shift();
      log.count('body_grants', 'granted');
      next.onGranted(track(held));
    }
  };

  /** Grants the next bodies when the memory of this one is released. */
  const track = ({release}: HeldBody): CallBody => {
    let isHeld = true;
    let isUncounted = false;
    unsubmittedCount++;
    const uncount = (): void => {
      unsubmittedCount -= isUncounted ? 0 : 1;
      isUncounted = true;
    };

    return {
      recordSubmitted: uncount,
      release() {
        if (isHeld) {
          isHeld = false;
          uncount();
          release();
          grantNext();
        }
      },
    };
  };

  const withdrawAll = (waiting: readonly WaitingBody[]): void => {
    const withdrawn = new Set(waiting);
    entries = entries.filter(entry => !withdrawn.has(entry.waiting));
    grantNext();
  };

  return {
    request(request) {
      const waiting: WaitingBody = {
        withdraw() {
          withdrawAll([waiting]);
        },
      };
      const entry: Entry = {...request, waiting, waitUntil: now() + ((request.deadlineAt - now()) * WAIT_SHARE)};
      const reason = findRefusal(entry);
      if (reason !== undefined) {
        refuse(entry, reason);
        return waiting;
      }

      const position = entries.findIndex(other => isBefore(entry, other));
      entries.splice(position === -1 ? entries.length : position, 0, entry);
      grantNext();
      if (entries.includes(entry)) {
        log.count('body_grants', 'delayed');
      }

      return waiting;
    },
    withdrawAll,
    holdUngranted(bytes) {
      const held = account.holdUngranted(bytes);
      return held === undefined ? undefined : track(held);
    },
    heldBytes: account.heldBytes,
    waiting: () => entries.length,
    unsubmitted: () => unsubmittedCount + entries.length,
    tick() {
      if (entries.length === 0) {
        return;
      }

      const reason = obstacle();
      const isRefused = ({waitUntil}: Entry): boolean => reason !== undefined || waitUntil <= now();
      const refused = entries.filter(entry => isRefused(entry));
      entries = entries.filter(entry => !isRefused(entry));
      for (const entry of refused) {
        refuse(entry, reason ?? 'memory-full');
      }

      grantNext();
    },
  };
};
