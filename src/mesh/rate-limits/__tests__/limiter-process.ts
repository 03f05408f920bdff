/** One process with a rate limiter, in manual time. */
import {createDecisionLog, type DecisionLog} from '../../decision-log.js';
import type {Workspace} from '../../entry/routing-configuration.js';
import type {Member, Message} from '../../message.js';
import {createWorkspaceRateLimiter, type WorkspaceRateLimiter} from '../workspace-rate-limiter.js';

/** Options of a process. */
export type LimiterProcessOptions = {
  self: string;
  workspace: Workspace;
  /** Listed members, all in the zone of this process. */
  members: string[];
  /** Whether links to the other members are open. @default true */
  isOpen?: boolean;
};

/** Process whose time passes only by `advance`. */
export type LimiterProcess = {
  limiter: WorkspaceRateLimiter;
  /** Lets time pass in steps of a millisecond, with the ticks of the limiter. */
  advance: (milliseconds: number) => void;
  now: () => number;
  /** Messages sent to other members. */
  sent: Message[];
  log: DecisionLog;
};

const TICK_MS = 50;

/** Creates a process at time 0. */
export const createLimiterProcess = ({self, workspace, members, isOpen = true}: LimiterProcessOptions): LimiterProcess => {
  const sent: Message[] = [];
  const log = createDecisionLog({
    node: self,
    level: 'error',
    linesPerSecond: {
      debug: 0, info: 0, warn: 0, error: 0,
    },
  });
  const workspaces = [workspace];
  const listed: Member[] = members.map(node => ({
    node, address: node, zone: 'z', service: 's',
  }));
  let timers: Array<{at: number; run: () => void}> = [];
  let time = 0;
  const limiter = createWorkspaceRateLimiter({
    self: {node: self, zone: 'z'},
    now: () => time,
    log,
    workspaces: () => workspaces,
    fleet: {generation: () => 1, members: () => listed},
    isOpen: () => isOpen,
    send(_node, message) {
      sent.push(message);
    },
    firstExchange: 1,
    clockOrigin: 0,
    schedule(milliseconds, run) {
      timers.push({at: time + milliseconds, run});
    },
  });
  const advanceOne = (): void => {
    time++;
    const due = timers.filter(({at}) => at <= time);
    timers = timers.filter(({at}) => at > time);
    for (const {run} of due) {
      run();
    }

    if (time % TICK_MS === 0) {
      limiter.tick();
    }
  };

  return {
    limiter,
    advance(milliseconds) {
      for (let step = 0; step < milliseconds; step++) {
        advanceOne();
      }
    },
    now: () => time,
    sent,
    log,
  };
};
