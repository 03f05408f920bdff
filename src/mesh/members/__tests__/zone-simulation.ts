/** Simulates the processes of one zone in virtual time, with their links and a store: how readings and versions spread. */
import {Buffer} from 'node:buffer';
import {createRandom, type Random} from '../../../shared/random.js';
import {createDecisionLog} from '../../decision-log.js';
import {type createLearntRouteSpread} from '../../entry/learnt-routes.js';
import {createMemberDirectory} from '../member-directory.js';
import type {Message} from '../../message.js';
import type {RoutingConfiguration} from '../../entry/routing-configuration.js';
import {createStateExchange, type StateExchange} from '../../links/state-exchange.js';
import {createStoreReaders, readingTimes, type StoreReaders} from '../store-readers.js';
import {createAgenda} from './agenda.js';

/** `silent`: the store sends no response; `refused`: it refuses at once; `suspended`: the process does not run; `restarted`: it has lost its state and gets no response. */
export type Failure = 'silent' | 'refused' | 'suspended' | 'restarted';

/** Simulated process. */
export type SimulatedProcess = {
  name: string;
  /** Version in force; 0 for none. */
  version: number;
  failure: Failure | undefined;
};

/** Simulated zone; times are in milliseconds. */
export type Zone = {
  processes: readonly SimulatedProcess[];
  /** Processes in the order in which they are to read the store. */
  ranked: () => SimulatedProcess[];
  /** Confirms a new version in the store and returns it. */
  change: () => number;
  fail: (process: SimulatedProcess, failure: Failure) => void;
  recover: (process: SimulatedProcess) => void;
  /** Loses all configuration messages to a process. */
  loseConfigurations: (process: SimulatedProcess) => void;
  run: (milliseconds: number) => void;
  now: () => number;
  /** Calls to the store. */
  calls: () => number;
  random: Random;
};

type Process = SimulatedProcess & {
  exchange: StateExchange;
  readers: StoreReaders;
  configuration: RoutingConfiguration | undefined;
  losesConfigurations: boolean;
  /** Raised when the process is restarted, so that earlier callbacks are dropped. */
  life: number;
  isRequesting: boolean;
  backoffMs: number;
  retryAt: number;
  /** Links that are being opened or are open, by the time from which they are open. */
  links: Map<string, number>;
};

const TICK_MS = 50;
const REVIEW_MS = 400;
const PING_MS = 1000;
/** Time that a link takes to open. */
const CONNECT_MS = 20;
const STORE_LATENCY_MS = 8;
/** Longest delay of a message between two processes. */
const TRANSIT_MAX_MS = 10;
/** Links of each process for its calls, beside those for readings. */
const CALL_LINKS = 8;

const log = createDecisionLog({
  node: 'n', level: 'error', linesPerSecond: {
    debug: 0, info: 0, warn: 0, error: 0,
  },
});

const createConfiguration = (version: number): RoutingConfiguration => ({
  version, routes: [], services: [], limits: {
    headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
  },
});

/** Creates a zone whose processes start within a moment of each other. */
export const createZone = ({size, boundMs, seed}: {size: number; boundMs: number; seed: number}): Zone => {
  const random = createRandom(seed);
  const times = readingTimes(boundMs);
  const agenda = createAgenda();
  const names = Array.from({length: size}, (_, index) => `host-${index}`);
  let time = 0;
  let stored = 1;
  let calls = 0;
  /** Watches that wait in the store. */
  const watches = new Set<() => void>();

  const after = (process: Process, milliseconds: number, run: () => void): void => {
    const {life} = process;
    const runWhenAwake = (): void => {
      if (process.life !== life) {
        return;
      }

      if (process.failure === 'suspended') {
        agenda.add(time + TICK_MS, runWhenAwake);
      } else {
        run();
      }
    };

    agenda.add(time + milliseconds, runWhenAwake);
  };

  const apply = (process: Process, configuration: RoutingConfiguration): void => {
    if (configuration.version > process.version) {
      process.version = configuration.version;
      process.configuration = configuration;
      announce(process);
    }
  };

  const transmit = (from: Process, to: Process, message: Message, body: Buffer = Buffer.alloc(0)): void => {
    const life = {from: from.life, to: to.life};
    after(to, 1 + (random() * TRANSIT_MAX_MS), () => {
      if (life.from !== from.life || life.to !== to.life || (message.type === 'configuration' && to.losesConfigurations)) {
        return;
      }

      to.exchange.onMessage({
        send(reply, replyBody) {
          transmit(to, from, reply, replyBody);
        },
      }, message, body, from.name);
    });
  };

  const openLinks = (process: Process): Process[] => [...process.links].filter(([, openAt]) => openAt <= time).map(([name]) => byName.get(name)!);
  const acceptedLinks = (process: Process): Process[] => processes.filter(peer => (peer.links.get(process.name) ?? Number.POSITIVE_INFINITY) <= time);

  const announce = (process: Process): void => {
    const message: Message = {type: 'known', known: process.exchange.known()};
    const open = openLinks(process);
    for (const peer of process.readers.isReader() ? [...open, ...acceptedLinks(process)] : open.slice(0, 8)) {
      transmit(process, peer, message);
    }
  };

  const recordRead = (process: Process, readAt: number): void => {
    process.readers.recordOwn(readAt);
    for (const peer of acceptedLinks(process)) {
      transmit(process, peer, {type: 'known', known: process.exchange.known()});
    }
  };

  /** Failed request: the next one follows after a pause that grows. */
  const endWithFailure = (process: Process): void => {
    process.isRequesting = false;
    process.retryAt = time + (process.backoffMs * (0.5 + random()));
    process.backoffMs = Math.min(process.readers.retryMaxMs(), process.backoffMs * 2);
  };

  /** Sends a request of a process; the store answers after `waitMs`, or before if its version is newer than `known`. */
  const request = (process: Process, waitMs: number, known: number): void => {
    calls++;
    process.isRequesting = true;
    const requestedAt = time;
    const {life} = process;
    const isUnanswered = (): boolean => process.failure === 'silent' || process.failure === 'restarted';
    if (process.failure === 'refused') {
      after(process, STORE_LATENCY_MS, () => {
        endWithFailure(process);
      });
      return;
    }

    let isAnswered = false;
    const answer = (): void => {
      if (!watches.delete(answer) || isUnanswered() || process.life !== life) {
        return;
      }

      const version = stored;
      after(process, STORE_LATENCY_MS / 2, () => {
        isAnswered = true;
        process.isRequesting = false;
        process.backoffMs = 100;
        apply(process, createConfiguration(version));
        recordRead(process, known === 0 || version > known ? requestedAt : Math.min(time, requestedAt + waitMs));
        readNext(process);
      });
    };

    watches.add(answer);
    agenda.add(time + (STORE_LATENCY_MS / 2) + waitMs, answer);
    if (stored > known) {
      agenda.add(time + (STORE_LATENCY_MS / 2), answer);
    }

    after(process, waitMs + times.responseMs, () => {
      if (!isAnswered) {
        watches.delete(answer);
        endWithFailure(process);
      }
    });
  };

  const readNext = (process: Process): void => {
    if (process.isRequesting || time < process.retryAt) {
      return;
    }

    if (!process.readers.isReader()) {
      process.backoffMs = 100;
      return;
    }

    const ownAt = process.readers.ownAt();
    if (time - ownAt > times.watchMs) {
      request(process, 0, 0);
    } else {
      request(process, Math.max(1, ownAt + times.watchMs - time), process.version);
    }
  };

  const review = (process: Process): void => {
    const reachability = (name: string) => byName.get(name)!.failure === 'suspended' ? 'unreachable' as const : 'open' as const;
    const position = names.indexOf(process.name);
    const callPeers = Array.from({length: Math.min(CALL_LINKS, size - 1)}, (_, index) => names[(position + index + 1) % size]!);
    const wanted = new Set([...process.readers.contacts(reachability), ...callPeers]);
    for (const name of wanted) {
      if (!process.links.has(name)) {
        process.links.set(name, time + CONNECT_MS);
        const peer = byName.get(name)!;
        after(process, CONNECT_MS, () => {
          transmit(process, peer, {type: 'known', known: process.exchange.known()});
          transmit(peer, process, {type: 'known', known: peer.exchange.known()});
        });
      }
    }

    for (const name of [...process.links.keys()].filter(known => !wanted.has(known))) {
      process.links.delete(name);
    }
  };

  const repeat = (process: Process, intervalMs: number, run: () => void): void => {
    after(process, intervalMs, () => {
      run();
      repeat(process, intervalMs, run);
    });
  };

  const start = (process: Process): void => {
    process.life++;
    process.version = 0;
    process.configuration = undefined;
    process.links = new Map();
    process.isRequesting = false;
    process.retryAt = 0;
    process.backoffMs = 100;
    process.readers = createStoreReaders({
      zone: 'z', self: process.name, incarnation: String(process.life), now: () => time, times, onNews() {
        announce(process);
      },
    });
    process.readers.setMembers(names, true);
    process.exchange = createStateExchange({
      now: () => time,
      log,
      directory: createMemberDirectory(),
      learntRoutes: {
        all: () => ({origins: [], edges: [], dependencies: []}), merge: () => undefined,
      } as unknown as ReturnType<typeof createLearntRouteSpread>,
      storeReaders: process.readers,
      crashGuard: {all: () => [], merge: () => undefined},
      rateLimits: {answer: () => undefined, receive: () => undefined},
      configuration: () => process.configuration,
      onConfiguration(configuration) {
        apply(process, configuration);
      },
    });
    after(process, random() * REVIEW_MS, () => {
      request(process, 0, 0);
      review(process);
      repeat(process, TICK_MS, () => {
        process.readers.tick();
        readNext(process);
      });
      repeat(process, REVIEW_MS, () => {
        review(process);
      });
      repeat(process, PING_MS, () => {
        for (const peer of openLinks(process)) {
          transmit(process, peer, {type: 'ping', sentAt: time, known: process.exchange.known()});
          transmit(peer, process, {type: 'pong', known: peer.exchange.known(), load: undefined as never});
        }
      });
    });
  };

  const processes: Process[] = names.map(name => ({
    name, version: 0, failure: undefined, life: 0, losesConfigurations: false,
  } as unknown as Process));
  const byName = new Map(processes.map(process => [process.name, process]));
  for (const process of processes) {
    start(process);
  }

  return {
    processes,
    ranked: () => [...processes].sort((a, b) => a.readers.rank() - b.readers.rank()),
    change() {
      stored++;
      for (const answer of watches) {
        answer();
      }

      return stored;
    },
    fail(process, failure) {
      process.failure = failure;
      if (failure === 'restarted') {
        start(process as Process);
      }
    },
    recover(process) {
      process.failure = undefined;
    },
    loseConfigurations(process) {
      (process as Process).losesConfigurations = true;
    },
    run(milliseconds) {
      const until = time + milliseconds;
      for (let event = agenda.takeUntil(until); event !== undefined; event = agenda.takeUntil(until)) {
        time = event.at;
        event.run();
      }

      time = until;
    },
    now: () => time,
    calls: () => calls,
    random,
  };
};
