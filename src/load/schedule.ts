/** Arrival schedule, computed before the run so that responses cannot delay arrivals. */
import type {Random} from '../shared/random.js';
import type {LoadGroup, LoadKind, LoadSettings} from './settings.js';

/** A scheduled request; times are in milliseconds from the start of the schedule. */
export type Arrival = {
  atMs: number;
  id: string;
  kind: LoadKind;
  group: LoadGroup;
  deviceIndex: number;
};

/** Scheduled restart of one device. */
export type DeviceRestart = {atMs: number; deviceIndex: number};

/** Events of a run that follow from the settings and the seed alone. */
export type Schedule = {
  /** Ordered by time. */
  arrivals: Arrival[];
  /** Ordered by time. */
  restarts: DeviceRestart[];
};

const rateFactorAt = (settings: LoadSettings, kind: LoadKind, group: LoadGroup, atMs: number): number =>
  settings.phases
    .filter(phase => atMs >= phase.fromMs && atMs < phase.toMs
      && (phase.kinds?.includes(kind.name) ?? true)
      && (phase.groups?.includes(group.name) ?? true))
    .reduce((product, phase) => product * phase.factor, 1);

const drawExponential = (random: Random, mean: number): number => -Math.log(1 - random()) * mean;

/** Draws the arrival times of a Poisson process with a variable rate, by thinning a process of the highest rate. */
const drawPoissonTimes = (rateAt: (atMs: number) => number, highestRate: number, durationMs: number, random: Random): number[] => {
  const times: number[] = [];
  const meanGapMs = 1000 / highestRate;
  for (let atMs = drawExponential(random, meanGapMs); atMs < durationMs; atMs += drawExponential(random, meanGapMs)) {
    if (random() * highestRate < rateAt(atMs)) {
      times.push(atMs);
    }
  }

  return times;
};

type ArrivalWithoutId = Omit<Arrival, 'id'>;

const createArrivals = (settings: LoadSettings, kind: LoadKind, group: LoadGroup, random: Random): ArrivalWithoutId[] => {
  const totalShare = settings.groups.reduce((sum, {share}) => sum + share, 0);
  const rate = kind.ratePerSecond * group.share / totalShare;
  const rateAt = (atMs: number) => rate * rateFactorAt(settings, kind, group, atMs);
  const phaseStarts = [0, ...settings.phases.map(phase => phase.fromMs)];
  const highestRate = Math.max(...phaseStarts.map(startMs => rateAt(startMs)), ...settings.phases.map(phase => rateAt(phase.toMs)));
  return highestRate === 0
    ? []
    : drawPoissonTimes(rateAt, highestRate, settings.durationMs, random).map(atMs => ({
      atMs, kind, group, deviceIndex: Math.floor(random() * settings.devices),
    }));
};

/** Picks an item with a probability proportional to its weight. */
const pickWeighted = <Item>(items: readonly Item[], weightOf: (item: Item) => number, random: Random): Item => {
  const totalWeight = items.reduce((sum, item) => sum + weightOf(item), 0);
  let remainingWeight = random() * totalWeight;
  return items.find(item => {
    remainingWeight -= weightOf(item);
    return remainingWeight < 0;
  }) ?? items.at(-1)!;
};

const createBurst = (settings: LoadSettings, restart: DeviceRestart, count: number, random: Random): ArrivalWithoutId[] =>
  Array.from({length: Math.floor(count + random())}, () => ({
    atMs: restart.atMs,
    kind: pickWeighted(settings.kinds, kind => kind.ratePerSecond, random),
    group: pickWeighted(settings.groups, group => group.share, random),
    deviceIndex: restart.deviceIndex,
  }));

/** Computes the schedule of a run; the same settings and random sequence give the same schedule. */
export const createSchedule = (settings: LoadSettings, random: Random): Schedule => {
  const restartsAndBursts = settings.restarts.flatMap(restart =>
    Array.from({length: Math.round(settings.devices * restart.share)}, (_, deviceIndex) => {
      const deviceRestart: DeviceRestart = {atMs: restart.atMs + (random() * restart.spreadMs), deviceIndex};
      return {deviceRestart, burst: createBurst(settings, deviceRestart, restart.burstPerDevice, random)};
    }));
  const poissonArrivals = settings.kinds.flatMap(kind => settings.groups.flatMap(group => createArrivals(settings, kind, group, random)));
  const arrivals = [...poissonArrivals, ...restartsAndBursts.flatMap(({burst}) => burst)]
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, index) => ({...arrival, id: `${settings.name}-${settings.seed}-${index}`}));
  return {
    arrivals,
    restarts: restartsAndBursts.map(({deviceRestart}) => deviceRestart).sort((a, b) => a.atMs - b.atMs),
  };
};
