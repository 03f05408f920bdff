/** Simulates the rate limiters of a fleet in virtual time, with faulty links, suspensions, restarts and changes of members and limits. */
import {createRandom, type Random} from '../../../shared/random.js';
import {createDecisionLog} from '../../decision-log.js';
import type {Workspace} from '../../entry/routing-configuration.js';
import {createAgenda} from '../../members/__tests__/agenda.js';
import type {Member, Message} from '../../message.js';
import {LOAN_MS} from '../times.js';
import {createWorkspaceRateLimiter, type Permit, type WorkspaceRateLimiter} from '../workspace-rate-limiter.js';

/** Messages of rate limits. */
export type LimitMessage = Extract<Message, {type: 'permits-wanted' | 'permits'}>;

/** Probabilities of faults of a message, each by itself. */
export type Faults = {lost: number; doubled: number; late: number};

/** Options of a simulation. `tamper` changes messages on their way, so that a guard of the protocol has no effect. */
export type SimulationOptions = {
  seed: number;
  zones: number;
  processes: number;
  limits: Record<string, {ratePerS: number; burst: number}>;
  faults?: Faults;
  tamper?: (message: LimitMessage, from: string, to: string, receiverClock: number) => LimitMessage;
  /** Whether a process that starts takes its fraction for free at once. @default false */
  skipsStartWait?: boolean;
  /** Replaces the clock of a process, for example by one that stands still during a suspension. */
  clockOf?: (simulated: {now: () => number; name: string; suspendedMs: () => number}) => () => number;
};

/** Simulated fleet. */
export type Simulation = {
  now: () => number;
  run: (milliseconds: number) => Promise<void>;
  names: () => string[];
  zoneOf: (name: string) => string;
  /** Sends a request of a workspace at a process; `ranShare` is the probability that it runs. */
  request: (name: string, workspace: string) => void;
  /** Sends requests at a rate at processes that `choose` names, with intervals of 0.4 to 1.6 of the mean; returns the end of the load. */
  load: (workspace: string, ratePerS: number, choose: () => string, factor?: () => number) => () => void;
  cutZone: (zone: string) => void;
  cutProcess: (name: string) => void;
  heal: () => void;
  suspend: (name: string, milliseconds: number) => void;
  /** Ends a process and starts it again with empty memory after a time. */
  restart: (name: string, milliseconds: number) => void;
  add: (zone: string) => string;
  remove: (name: string) => void;
  setLimits: (limits: Record<string, {ratePerS: number; burst: number}>, delayMaxMs: number) => void;
  counts: () => {used: number; refused: number; longestWaitMs: number; messages: number};
  resetCounts: () => void;
  /** Largest part of the bound that was used in any window, over all workspaces. */
  worst: () => {share: number; used: number; bound: number; at: number};
  /** Largest sum of the fractions that coordinators counted at one time. */
  lentMax: () => number;
  coordinatorOf: (name: string) => string | undefined;
  lines: () => string[];
};

const TICK_MS = 50;
const REVIEW_MS = 400;
const CONNECT_MS = 20;
const SILENT_MS = 1000;
const UNREACHABLE_MS = 2000;
/** Window of a limit, and what the platform tolerates beyond it: a share of the limit and a number of requests. */
const WINDOW_MS = 5000;
const QUOTA_OVERAGE = 0.1;
const QUOTA_SLACK = 20;
const MEMBERS_DELAY_MS = 2000;
const OBSERVATION_MS = 25;

type Process = Member & {
  life: number;
  isAlive: boolean;
  suspendedUntil: number;
  suspendedMs: number;
  limiter: WorkspaceRateLimiter;
  clock: () => number;
  clockOrigin: number;
  workspaces: Workspace[];
  members: Member[];
  generation: number;
  isCut: boolean;
  /** Linked processes, by the time from which the link is wanted. */
  links: Map<string, number>;
  inbox: Array<() => void>;
};

const toWorkspaces = (limits: Record<string, {ratePerS: number; burst: number}>): Workspace[] => Object.entries(limits).map(([name, limit]) => ({
  name, keyDigests: [], priority: undefined, ...limit,
}));

/** Requests of one workspace that may run in one window. */
export const windowBound = ({ratePerS, burst}: {ratePerS: number; burst: number}): number => (((ratePerS * WINDOW_MS / 1000) + burst) * (1 + QUOTA_OVERAGE)) + QUOTA_SLACK;

/** Starts a fleet whose members have been listed for long. */
export const createSimulation = (options: SimulationOptions): Simulation => {
  const random: Random = createRandom(options.seed);
  const faults = options.faults ?? {lost: 0, doubled: 0, late: 0};
  const agenda = createAgenda();
  const processes = new Map<string, Process>();
  const cutZones = new Set<string>();
  const blocked = new Map<string, {isBlocked: boolean; since: number}>();
  const arrivedAt = new Map<string, number>();
  const lines: string[] = [];
  const log = createDecisionLog({
    node: 'simulation',
    level: 'info',
    linesPerSecond: {
      debug: 0, info: 100_000, warn: 100_000, error: 100_000,
    },
    wallClock: () => time,
    sink(line) {
      lines.push(line);
      return 0;
    },
  });
  let time = 0;
  let {limits} = options;
  /** Limits that some process may still apply, each up to a time. */
  let earlierLimits: Array<{limits: Record<string, {ratePerS: number; burst: number}>; until: number}> = [];
  let members: Member[] = [];
  let nextName = 0;
  /** Requests that wait; their promises are settled between two events. */
  let waiting = 0;
  const usedAt = new Map<string, number[]>();
  let worst = {
    share: 0, used: 0, bound: 0, at: 0,
  };
  let counts = {
    used: 0, refused: 0, longestWaitMs: 0, messages: 0,
  };

  const at = (milliseconds: number, run: () => void): void => {
    agenda.add(time + milliseconds, run);
  };

  /** Runs work of a process at its time, or after its suspension, unless it has ended meanwhile. */
  const runIn = (process: Process, milliseconds: number, work: () => void): void => {
    const {life} = process;
    const attempt = (): void => {
      if (process.life !== life || !process.isAlive) {
        return;
      }

      if (process.suspendedUntil > time) {
        agenda.add(process.suspendedUntil + (random() * 5), attempt);
      } else {
        work();
      }
    };

    agenda.add(time + milliseconds, attempt);
  };

  const isSeparated = (a: Process, b: Process): boolean =>
    a.isCut || b.isCut || (a.zone !== b.zone && (cutZones.has(a.zone) || cutZones.has(b.zone)));

  const isBlocked = (a: Process, b: Process): boolean => isSeparated(a, b) || b.suspendedUntil > time;

  const isOpen = (from: Process, to: string): boolean => {
    const peer = processes.get(to);
    const linkedAt = from.links.get(to);
    if (peer === undefined || !peer.isAlive || linkedAt === undefined || time - linkedAt < CONNECT_MS) {
      return false;
    }

    const key = `${from.node}|${to}`;
    const is = isBlocked(from, peer);
    const known = blocked.get(key);
    if (known?.isBlocked !== is) {
      blocked.set(key, {isBlocked: is, since: known === undefined ? time - SILENT_MS : time});
    }

    const {since} = blocked.get(key)!;
    return is ? time - since < SILENT_MS : time - since >= CONNECT_MS;
  };

  const reachability = (from: Process, to: string): 'open' | 'connecting' | 'unreachable' => {
    const linkedAt = from.links.get(to);
    if (linkedAt === undefined) {
      return 'connecting';
    }

    if (isOpen(from, to)) {
      return 'open';
    }

    const since = Math.max(linkedAt, blocked.get(`${from.node}|${to}`)?.since ?? 0);
    return time - since > UNREACHABLE_MS ? 'unreachable' : 'connecting';
  };

  const deliver = (from: Process, to: Process, message: LimitMessage): void => {
    const {life} = to;
    const run = (): void => {
      if (to.life !== life || !to.isAlive) {
        return;
      }

      if (isSeparated(from, to)) {
        // Data of a connection is sent again until it is closed.
        if (random() < 0.5) {
          at(300, run);
        }

        return;
      }

      if (to.suspendedUntil > time) {
        to.inbox.push(run);
        return;
      }

      counts.messages++;
      const arrived = options.tamper?.(message, from.node, to.node, to.clockOrigin + to.clock()) ?? message;
      if (arrived.type === 'permits') {
        to.limiter.receive(from.node, arrived);
        return;
      }

      const answer = to.limiter.answer(from.node, arrived);
      if (answer !== undefined) {
        transmit(to, from, answer);
      }
    };

    // Messages of a connection keep their order, except for those that are late.
    const key = `${from.node}|${to.node}`;
    const arrivesAt = Math.max(arrivedAt.get(key) ?? 0, time + (from.zone === to.zone ? 0.3 : 1) + (random() * 2));
    arrivedAt.set(key, arrivesAt);
    agenda.add(arrivesAt + (random() < faults.late ? random() * 3000 : 0), run);
  };

  function transmit(from: Process, to: Process, message: LimitMessage): void {
    if (random() < faults.lost) {
      return;
    }

    deliver(from, to, message);
    if (random() < faults.doubled) {
      deliver(from, to, message);
    }
  }

  const start = (process: Process): void => {
    process.life++;
    process.isAlive = true;
    process.links = new Map();
    for (const key of [...blocked.keys()].filter(each => each.startsWith(`${process.node}|`))) {
      blocked.delete(key);
    }

    process.inbox = [];
    process.suspendedUntil = 0;
    process.suspendedMs = 0;
    const startedAt = time;
    const simulated = {now: () => time - startedAt, name: process.node, suspendedMs: () => process.suspendedMs};
    const own = options.clockOf?.(simulated) ?? simulated.now;
    let startOffsetMs = options.skipsStartWait ? -LOAN_MS : 0;
    process.clock = own;
    process.clockOrigin = Math.floor(random() * (2 ** 40));
    process.limiter = createWorkspaceRateLimiter({
      self: process,
      now: () => own() + startOffsetMs,
      log,
      workspaces: () => process.workspaces,
      fleet: {generation: () => process.generation, members: () => process.members},
      isOpen: node => isOpen(process, node),
      send(node, message) {
        const peer = processes.get(node);
        if (peer !== undefined && isOpen(process, node)) {
          transmit(process, peer, message as LimitMessage);
        }
      },
      firstExchange: Math.floor(time * 1000),
      clockOrigin: process.clockOrigin,
      schedule(milliseconds, run) {
        runIn(process, milliseconds, run);
      },
    });
    startOffsetMs = 0;
    const tick = (): void => {
      process.limiter.tick();
      runIn(process, TICK_MS, tick);
    };

    const review = (): void => {
      const contacts = process.limiter.contacts(node => reachability(process, node));
      process.links = new Map(contacts.map(node => [node, process.links.get(node) ?? time]));
      runIn(process, REVIEW_MS, review);
    };

    runIn(process, random() * TICK_MS, tick);
    runIn(process, random() * REVIEW_MS, review);
  };

  const updateMembers = (process: Process): void => {
    process.members = members;
    process.generation++;
  };

  /** Tells all processes of the members; those that are cut off hear of it later. */
  const spreadMembers = (): void => {
    for (const process of processes.values()) {
      const hear = (): void => {
        if (process.isCut || cutZones.has(process.zone)) {
          at(100, hear);
        } else {
          updateMembers(process);
        }
      };

      at(random() * MEMBERS_DELAY_MS, hear);
    }
  };

  const create = (zone: string): Process => {
    const name = `p${nextName}`;
    nextName++;
    const process: Process = {
      node: name, address: name, zone, service: 's', life: 0, isAlive: false, suspendedUntil: 0, suspendedMs: 0, limiter: undefined as unknown as WorkspaceRateLimiter, clock: () => time, clockOrigin: 0, workspaces: toWorkspaces(limits), members: [], generation: 0, isCut: false, links: new Map(), inbox: [],
    };
    processes.set(name, process);
    members = [...members, {
      node: name, address: name, zone, service: 's',
    }];
    return process;
  };

  const boundOf = (workspace: string): number => Math.max(...[limits, ...earlierLimits.filter(({until}) => until > time - WINDOW_MS).map(entry => entry.limits)].map(all => all[workspace] === undefined ? 0 : windowBound(all[workspace])));

  const recordUse = (workspace: string): void => {
    counts.used++;
    const times = usedAt.get(workspace) ?? [];
    usedAt.set(workspace, times);
    times.push(time);
    while (times[0]! <= time - WINDOW_MS) {
      times.shift();
    }

    const bound = boundOf(workspace);
    if (times.length / bound > worst.share) {
      worst = {
        share: times.length / bound, used: times.length, bound, at: time,
      };
    }
  };

  const request = (name: string, workspace: string): void => {
    const process = processes.get(name);
    if (process === undefined) {
      return;
    }

    runIn(process, 0, () => {
      const limit = process.workspaces.find(entry => entry.name === workspace);
      if (limit === undefined) {
        return;
      }

      const askedAt = time;
      const settle = (permit: Permit): void => {
        counts.longestWaitMs = Math.max(counts.longestWaitMs, time - askedAt);
        if (permit.kind === 'limited') {
          counts.refused++;
        } else if (random() < 0.05) {
          runIn(process, random() * 100, permit.giveBack);
        } else {
          recordUse(workspace);
        }
      };

      const permit = process.limiter.acquire(limit);
      if (permit instanceof Promise) {
        waiting++;
        void (async () => {
          const settled = await permit;
          waiting--;
          settle(settled);
        })();
      } else {
        settle(permit);
      }
    });
  };

  for (let index = 0; index < options.processes; index++) {
    create(`z${index % options.zones}`);
  }

  for (const process of processes.values()) {
    updateMembers(process);
    start(process);
  }

  let lentMax = 0;
  const observeLoans = (): void => {
    const running = [...processes.values()].filter(process => process.isAlive && process.suspendedUntil <= time);
    lentMax = Math.max(lentMax, running.reduce((sum, process) => sum + process.limiter.status().lentFraction, 0));
    at(OBSERVATION_MS, observeLoans);
  };

  observeLoans();

  const simulation: Simulation = {
    now: () => time,
    async run(milliseconds) {
      const until = time + milliseconds;
      for (let event = agenda.takeUntil(until); event !== undefined; event = agenda.takeUntil(until)) {
        time = Math.max(time, event.at);
        event.run();
        if (waiting > 0) {
          await Promise.resolve(); // eslint-disable-line no-await-in-loop
          await Promise.resolve(); // eslint-disable-line no-await-in-loop
        }
      }

      time = until;
    },
    names: () => [...processes.values()].map(process => process.node),
    zoneOf: name => processes.get(name)!.zone,
    request,
    load(workspace, ratePerS, choose, factor = () => 1) {
      let isOn = true;
      const next = (): void => {
        if (isOn) {
          request(choose(), workspace);
          at((0.4 + (random() * 1.2)) * 1000 / (ratePerS * factor()), next);
        }
      };

      next();
      return () => {
        isOn = false;
      };
    },
    cutZone(zone) {
      cutZones.add(zone);
    },
    cutProcess(name) {
      processes.get(name)!.isCut = true;
    },
    heal() {
      cutZones.clear();
      for (const process of processes.values()) {
        process.isCut = false;
      }
    },
    suspend(name, milliseconds) {
      const process = processes.get(name)!;
      if (!process.isAlive || process.suspendedUntil > time) {
        return;
      }

      process.suspendedUntil = time + milliseconds;
      at(milliseconds, () => {
        process.suspendedMs += milliseconds;
        const {inbox} = process;
        process.inbox = [];
        for (const run of inbox) {
          at(random() * 5, run);
        }
      });
    },
    restart(name, milliseconds) {
      const process = processes.get(name)!;
      process.isAlive = false;
      process.life++;
      at(milliseconds, () => {
        if (!process.isAlive && processes.has(name)) {
          updateMembers(process);
          start(process);
        }
      });
    },
    add(zone) {
      const process = create(zone);
      updateMembers(process);
      start(process);
      process.limiter.recordListed();
      spreadMembers();
      return process.node;
    },
    remove(name) {
      members = members.filter(({node}) => node !== name);
      const process = processes.get(name)!;
      updateMembers(process);
      spreadMembers();
    },
    setLimits(next, delayMaxMs) {
      earlierLimits.push({limits, until: time + delayMaxMs});
      earlierLimits = earlierLimits.filter(({until}) => until > time - WINDOW_MS);
      limits = next;
      const workspaces = toWorkspaces(next);
      for (const process of processes.values()) {
        at(random() * delayMaxMs, () => {
          process.workspaces = workspaces;
        });
      }
    },
    counts: () => counts,
    resetCounts() {
      counts = {
        used: 0, refused: 0, longestWaitMs: 0, messages: 0,
      };
    },
    worst: () => worst,
    lentMax: () => lentMax,
    coordinatorOf: name => processes.get(name)!.limiter.status().coordinator,
    lines: () => lines,
  };
  return simulation;
};
