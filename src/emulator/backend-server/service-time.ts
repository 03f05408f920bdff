/** Service time distribution of an emulated backend server. */
import type {Random} from '../../shared/random.js';
import type {BackendServerSettings, EmulatedRequestKind} from './settings.js';

const standardNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** Draws a log-normal service time with the given mean, in milliseconds. */
export const drawServiceTime = ({meanMs, sigma}: EmulatedRequestKind['serviceTime'], random: Random): number =>
  meanMs * Math.exp((sigma * standardNormal(random)) - ((sigma ** 2) / 2));

/** Returns the factor on service times at an age since the start; it decreases linearly from the cold start factor to 1. */
export const coldStartFactor = ({milliseconds, factor}: BackendServerSettings['coldStart'], ageMs: number): number =>
  ageMs >= milliseconds ? 1 : factor - ((factor - 1) * (ageMs / milliseconds));
