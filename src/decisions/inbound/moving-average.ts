/** Exponentially weighted moving averages of durations. */
import {BASELINE_FALL, BASELINE_RISE, RECENT_EWMA_WEIGHT} from './constants.js';

/** Recent average of a duration, and its baseline without load, in milliseconds. */
export type DurationAverages = {recentMs: number; baselineMs: number};

/** Returns an exponentially weighted moving average after a sample. */
export const updateMean = (estimate: number, sample: number, weight: number): number => estimate + (weight * (sample - estimate));

/** Returns the averages after a sample. The baseline follows the recent average, because single durations vary too widely. */
export const withSample = (average: DurationAverages | undefined, sampleMs: number): DurationAverages => {
  if (average === undefined) {
    return {recentMs: sampleMs, baselineMs: sampleMs};
  }

  const recentMs = updateMean(average.recentMs, sampleMs, RECENT_EWMA_WEIGHT);
  return {recentMs, baselineMs: updateMean(average.baselineMs, recentMs, recentMs < average.baselineMs ? BASELINE_FALL : BASELINE_RISE)};
};
