/** Fits a least-squares line to measured points. */

/** Value of a quantity measured at one size. */
export type Point = {size: number; value: number};

/** Line `intercept + slope * size`; `residual` is the root mean square error of the values. */
export type FittedLine = {slope: number; intercept: number; residual: number};

const mean = (values: readonly number[]): number => {
  let total = 0;
  for (const value of values) {
    total += value;
  }

  return total / values.length;
};

/** Middle value; the mean of the two middle ones when their number is even. */
export const median = (values: readonly number[]): number => {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
};

/** Fits a line to points; throws a RangeError unless they have at least two different sizes. */
export const fitLine = (points: readonly Point[]): FittedLine => {
  const meanSize = mean(points.map(({size}) => size));
  const meanValue = mean(points.map(({value}) => value));
  const variance = mean(points.map(({size}) => (size - meanSize) ** 2));
  if (points.length === 0 || variance === 0) {
    throw new RangeError('a line needs points of at least two different sizes; measure another size');
  }

  const slope = mean(points.map(({size, value}) => (size - meanSize) * (value - meanValue))) / variance;
  const intercept = meanValue - (slope * meanSize);
  const residual = Math.sqrt(mean(points.map(({size, value}) => (value - intercept - (slope * size)) ** 2)));
  return {slope, intercept, residual};
};
