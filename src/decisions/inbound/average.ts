/** Moving averages of durations. */
import {BASE_FALL, BASE_RISE, RECENT_SMOOTHING} from './constants.js';

/** Recent mean of a duration and its mean without load, in milliseconds. */
export type Average = {recentMs: number; baseMs: number};

/** Moves an estimate towards a sample. */
export const blend = (estimate: number, sample: number, weight: number): number => estimate + (weight * (sample - estimate));

/** Adds a sample. The base follows the recent mean, as single durations vary too widely to find the mean without load. */
export const withSample = (average: Average | undefined, sampleMs: number): Average => {
  if (average === undefined) {
    return {recentMs: sampleMs, baseMs: sampleMs};
  }

  const recentMs = blend(average.recentMs, sampleMs, RECENT_SMOOTHING);
  return {recentMs, baseMs: blend(average.baseMs, recentMs, recentMs < average.baseMs ? BASE_FALL : BASE_RISE)};
};
