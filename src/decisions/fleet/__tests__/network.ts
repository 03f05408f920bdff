/** Simulated network that connects fleet decisions through a message queue, with faults drawn from a seed. */
import type {Configuration} from '../../../objects/configuration.js';
import {createRandom, type Random} from '../../../shared/random.js';
import {comparePositions} from '../configuration.js';
import {
  createFleetState, decideFleet, type FleetAction, type FleetEvent, type FleetReport, type FleetState, type ZoneStatus,
} from '../fleet.js';

type Process = {state: FleetState; pausedUntil: number; down: boolean; nextTickAt: number; watching: boolean};

type CutPredicate = (from: FleetState, to: FleetState) => boolean;

const neverCut: CutPredicate = () => false;

type ActionHandler<Action> = (network: Network, process: Process, action: Action) => void;

const actionHandlers: {[Kind in FleetAction['kind']]: ActionHandler<Extract<FleetAction, {kind: Kind}>>} = {
  send(network, process, action) {
    network.send(process, action);
  },
  'watch-platform'(network, process, {read}) {
    network.watch(process, read ? 'read' : 'watch');
  },
  'stop-watching': (_, process) => Object.assign(process, {watching: false}),
  'write-configuration'(network, process, action) {
    network.writeBack(process, action);
  },
  'write-status'(network, process, {status}) {
    network.writeStatus(process, status);
  },
  report: (network, process, {report}) => network.reports.push({host: process.state.self.host, report}),
  'members-changed'(network, process, action) {
    network.memberChanges.push({process, action});
  },
  'configuration-in-force': () => undefined,
};

/** Processes of a fleet, one platform and a clock that `run` advances. */
export class Network {
  now = 0;
  /** Whether messages from one process to another are dropped. */
  cut: CutPredicate = neverCut;
  faults = {lost: 0, duplicated: 0, delayMs: 5};
  processes = new Map<string, Process>();
  platform = {
    downUntil: 0, version: 0, head: undefined as Configuration | undefined, cutZones: new Set<string>(), silentWatches: false, loseAnswers: false,
    reads: 0, writes: 0, statusWrites: 0, statuses: new Map<string, ZoneStatus>(),
  };

  memberChanges: Array<{process: Process; action: Extract<FleetAction, {kind: 'members-changed'}>}> = [];
  revertedHosts: string[] = [];
  reports: Array<{host: string; report: FleetReport}> = [];
  sent: Array<{from: string; to: string; kind: string; bytes: number}> = [];
  readonly random: Random;
  #queue: Array<{at: number; process: Process; event: FleetEvent}> = [];

  constructor(seed: number) {
    this.random = createRandom(seed);
  }

  /** Starts a process; it replaces the one with the same address. */
  start(host: string, zone: string, contacts: string[], startedAt = 1000 + this.now): Process {
    const address = `a-${host}`;
    const own = {host, zone, address};
    const state = createFleetState({
      ...own, incarnation: `${startedAt}-${this.random()}`, startedAt, contacts,
    });
    const nextTickAt = this.now + (this.random() * 100);
    const process = {
      state, nextTickAt, pausedUntil: 0, down: false, watching: false,
    };
    Object.assign(this.processes.get(address) ?? {}, {down: true});
    this.processes.set(address, process);
    return process;
  }

  /** Writes a configuration as an operator does: conditionally on the version that was read. */
  apply(configuration: Configuration, expectedVersion = this.platform.version): boolean {
    if (this.platform.version !== expectedVersion) {
      return false;
    }

    Object.assign(this.platform, {head: configuration, version: expectedVersion + 1});
    for (const process of this.processes.values()) {
      if (process.watching && !this.platform.silentWatches) {
        this.deliverView(process, 'watch');
      }
    }

    return true;
  }

  run(milliseconds: number): void {
    for (const end = this.now + milliseconds; this.now < end; this.now += 10) {
      const due = this.#queue.filter(({at}) => at <= this.now).sort((a, b) => a.at - b.at);
      this.#queue = this.#queue.filter(({at}) => at > this.now);
      for (const {process, event} of due) {
        this.decide(process, event);
      }

      for (const process of [...this.processes.values()].filter(({nextTickAt, pausedUntil}) => this.now >= Math.max(nextTickAt, pausedUntil))) {
        process.nextTickAt = this.now + 100;
        this.decide(process, {kind: 'tick'});
      }
    }
  }

  decide(process: Process, event: FleetEvent): void {
    if (process.down) {
      return;
    }

    if (this.now < process.pausedUntil) {
      this.schedule(process, event, process.pausedUntil - this.now);
      return;
    }

    const before = process.state.configuration.current;
    for (const action of decideFleet(process.state, event, this.now, this.random)) {
      (actionHandlers[action.kind] as ActionHandler<FleetAction>)(this, process, action);
    }

    if (comparePositions(process.state.configuration.current, before) < 0) {
      this.revertedHosts.push(process.state.self.host);
    }
  }

  schedule(process: Process, event: FleetEvent, delay = 1 + (this.random() * this.faults.delayMs)): void {
    this.#queue.push({at: this.now + delay, process, event});
  }

  send(from: Process, {address, message}: Extract<FleetAction, {kind: 'send'}>): void {
    const text = JSON.stringify(message);
    this.sent.push({
      from: from.state.self.address, to: address, kind: message.body.kind, bytes: text.length,
    });
    const target = this.processes.get(address);
    if (target === undefined || this.random() < this.faults.lost || this.cut(from.state, target.state)) {
      return;
    }

    for (let copies = this.random() < this.faults.duplicated ? 2 : 1; copies > 0; copies--) {
      this.schedule(target, {kind: 'message-received', message: JSON.parse(text) as typeof message});
    }
  }

  watch(process: Process, by: 'read' | 'watch'): void {
    process.watching = true;
    this.platform.reads += by === 'read' ? 1 : 0;
    this.deliverView(process, by);
  }

  writeBack(process: Process, {configuration, expectedVersion}: Extract<FleetAction, {kind: 'write-configuration'}>): void {
    this.platform.writes++;
    if (this.canReachPlatform(process)) {
      this.apply(configuration, expectedVersion ?? 0);
    }

    this.deliverView(process, 'write', this.platform.loseAnswers);
  }

  writeStatus(process: Process, status: ZoneStatus): void {
    this.platform.statusWrites++;
    this.platform.statuses.set(status.zone, structuredClone(status));
    this.schedule(process, {kind: 'status-written'});
  }

  canReachPlatform(process: Process): boolean {
    return this.now >= this.platform.downUntil && !this.platform.cutZones.has(process.state.self.zone);
  }

  deliverView(process: Process, by: 'read' | 'watch' | 'write', lost = false): void {
    const {head, version} = this.platform;
    const view = {by, configuration: structuredClone(head), version: version === 0 ? undefined : version};
    this.schedule(process, this.canReachPlatform(process) && !lost ? {kind: 'configuration-read', view} : {kind: 'configuration-failed', message: 'timed out'});
  }
}
