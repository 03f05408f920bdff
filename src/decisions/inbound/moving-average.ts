/** Moving averages of durations. */
import {BASELINE_FALL, BASELINE_RISE, RECENT_SMOOTHING} from './constants.js';

/** Recent mean of a duration and its mean without load, in milliseconds. */
export type DurationAverages = {recentMs: number; baselineMs: number};

/** Moves an estimate towards a sample. */
export const updateMean = (estimate: number, sample: number, weight: number): number => estimate + (weight * (sample - estimate));

/** Adds a sample. The base follows the recent mean, as single durations vary too widely to find the mean without load. */
export const withSample = (average: DurationAverages | undefined, sampleMs: number): DurationAverages => {
  if (average === undefined) {
    return {recentMs: sampleMs, baselineMs: sampleMs};
  }

  const recentMs = updateMean(average.recentMs, sampleMs, RECENT_SMOOTHING);
  return {recentMs, baselineMs: updateMean(average.baselineMs, recentMs, recentMs < average.baselineMs ? BASELINE_FALL : BASELINE_RISE)};
};
