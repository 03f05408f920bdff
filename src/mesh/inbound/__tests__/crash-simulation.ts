/** Simulates backend servers, the processes next to them and their callers in virtual time, while one request crashes each backend server that runs it. */
import {createRandom} from '../../../shared/random.js';
import {createCrashRecords, type CrashRecord, type CrashRecords} from '../crash-records.js';
import {createAgenda} from '../../members/__tests__/agenda.js';

/** Load of a simulation; times are in milliseconds. */
export type CrashLoad = {
  hosts: number;
  deadlyPerSecond: number;
  /** Time that the deadly request runs before the crash. */
  deadlyRunMs: number;
  /** Time at which a third of the hosts loses its backend servers; undefined for never. */
  lostZoneAt?: number;
  seed: number;
};

/** Result of a simulation. */
export type CrashOutcome = {
  /** Runs of the deadly request. */
  deadlyRuns: number;
  /** Requests other than the deadly one that were refused as blocked. */
  refusedInnocents: string[];
};

type Run = {content: string; end: (isLost: boolean) => void};
type Host = {records: CrashRecords; isUp: boolean; starts: number; running: Set<Run>};

const DURATION_MS = 20_000;
const RESTART_MS = 3000;
const ATTEMPTS_MAX = 4;
/** Time until a crash is told from the loss of a connection. */
const DETECTION_MS = 12;
const POPULAR_PER_SECOND = 20;
const UNIQUE_PER_SECOND = 80;
const TRANSIT_MAX_MS = 4;

/** Runs a simulation. */
export const simulateCrashes = ({hosts: hostCount, deadlyPerSecond, deadlyRunMs, lostZoneAt, seed}: CrashLoad): CrashOutcome => {
  const random = createRandom(seed);
  const agenda = createAgenda();
  const outcome: CrashOutcome = {deadlyRuns: 0, refusedInnocents: []};
  let time = 0;
  const after = (milliseconds: number, run: () => void): void => {
    agenda.add(time + milliseconds, run);
  };

  const names = Array.from({length: hostCount}, (_, index) => `h${index}`);
  const hosts: Host[] = names.map(self => ({
    records: createCrashRecords({now: () => time, self, nodes: () => names}), isUp: true, starts: 1, running: new Set(),
  }));

  const publish = (from: Host, changed: CrashRecord[]): void => {
    for (const host of hosts.filter(other => other !== from)) {
      after(1 + (random() * TRANSIT_MAX_MS), () => {
        host.records.merge(changed);
      });
    }
  };

  const crash = (host: Host): void => {
    const lost = [...host.running];
    const id = `${hosts.indexOf(host)}/${host.starts}`;
    host.running.clear();
    host.isUp = false;
    after(RESTART_MS, () => {
      host.isUp = true;
      host.starts++;
    });
    after(DETECTION_MS, () => {
      publish(host, host.records.blame({id, at: time}, lost.map(({content}) => content)));
      for (const {end} of lost) {
        end(true);
      }
    });
  };

  const isIsolated = (host: Host, content: string): boolean => ['isolated', 'blocked', 'on-trial'].includes(host.records.assess(content).kind);

  /** Runs a call, or returns whether it was refused. */
  const run = (host: Host, content: string, onEnd: (isLost: boolean) => void): boolean => {
    const {kind} = host.records.assess(content);
    if (kind === 'blocked' || kind === 'on-trial' || (kind === 'isolated' && [...host.running].some(running => isIsolated(host, running.content)))) {
      return false;
    }

    const call: Run = {content, end: onEnd};
    host.running.add(call);
    const isDeadly = content === 'deadly';
    outcome.deadlyRuns += isDeadly ? 1 : 0;
    after(isDeadly ? deadlyRunMs : 100 + (random() * 500), () => {
      if (!host.running.has(call)) {
        return;
      }

      if (isDeadly) {
        crash(host);
        return;
      }

      host.running.delete(call);
      const cleared = host.records.clear(content);
      if (cleared !== undefined) {
        after(50, () => {
          publish(host, [cleared]);
        });
      }

      call.end(false);
    });
    return true;
  };

  const attempt = (entry: Host, content: string, tried: ReadonlySet<Host>, attempts: number): void => {
    if (['blocked', 'on-trial'].includes(entry.records.assess(content).kind)) {
      if (content !== 'deadly') {
        outcome.refusedInnocents.push(content);
      }

      return;
    }

    const candidates = hosts.filter(host => host.isUp && !tried.has(host));
    const host = candidates[Math.floor(random() * candidates.length)];
    if (host === undefined || attempts === 0) {
      return;
    }

    const record = entry.records.recordOf(content);
    after(1 + (random() * TRANSIT_MAX_MS), () => {
      if (record !== undefined) {
        host.records.merge([record]);
      }

      const retry = (left: number): void => {
        after(1 + (random() * TRANSIT_MAX_MS), () => {
          attempt(entry, content, new Set([...tried, host]), left);
        });
      };

      const isRun = host.isUp && run(host, content, isLost => {
        if (isLost) {
          entry.records.merge([host.records.recordOf(content)].filter(known => known !== undefined));
          retry(attempts - 1);
        }
      });
      if (!isRun) {
        retry(attempts);
      }
    });
  };

  const arrive = (perSecond: number, nextContent: () => string): void => {
    if (perSecond === 0) {
      return;
    }

    after(random() * 2000 / perSecond, () => {
      attempt(hosts[Math.floor(random() * hosts.length)]!, nextContent(), new Set(), ATTEMPTS_MAX);
      arrive(perSecond, nextContent);
    });
  };

  let unique = 0;
  arrive(UNIQUE_PER_SECOND, () => {
    unique++;
    return `unique-${unique}`;
  });
  arrive(POPULAR_PER_SECOND, () => 'popular');
  after(2000, () => {
    arrive(deadlyPerSecond, () => 'deadly');
  });
  if (lostZoneAt !== undefined) {
    after(lostZoneAt, () => {
      for (const host of hosts.filter((_, index) => index % 3 === 0)) {
        crash(host);
      }
    });
  }

  for (let event = agenda.takeUntil(DURATION_MS); event !== undefined; event = agenda.takeUntil(DURATION_MS)) {
    time = event.at;
    event.run();
  }

  return outcome;
};
