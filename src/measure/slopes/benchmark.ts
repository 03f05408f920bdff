/** Measures processor time and retained memory of operations in this process, as series over several sizes. */
import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {fitLine, median, type Point} from './line-fit.js';
import type {Series} from './series.js';

/** Runs of a measurement after the warm-up run. Their median is used, because other work on the machine disturbs single runs. */
export const REPETITIONS = 5;
const NANOSECONDS_PER_MICROSECOND = 1000;

/** Processor time that this process has used, in microseconds, including the helper threads of V8. */
export const processorMicroseconds = (): number => {
  const {user, system} = process.cpuUsage();
  return user + system;
};

/** Median processor time of one call of `operation`, in nanoseconds. */
export const measureCall = (calls: number, operation: (index: number) => void): number => {
  let index = 0;
  const runs = Array.from({length: REPETITIONS + 1}, () => {
    const before = processorMicroseconds();
    for (let call = 0; call < calls; call++) {
      operation(index++);
    }

    return (processorMicroseconds() - before) * NANOSECONDS_PER_MICROSECOND / calls;
  });
  // The first run is a warm-up for the JIT compiler.
  return median(runs.slice(1));
};

/** Runs the garbage collector; needs `--expose-gc`. */
export const collectGarbage = (): void => {
  if (globalThis.gc === undefined) {
    throw new Error('the garbage collector is not exposed; start with `node --expose-gc`');
  }

  globalThis.gc();
  globalThis.gc();
};

const measureUsedBytes = (): number => {
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
};

/** Median memory that the value returned by `create` retains, in bytes, including buffers outside the heap. */
export const measureRetainedBytes = async (create: () => unknown): Promise<number> => {
  const runs: number[] = [];
  for (let run = 0; run < 3; run++) {
    await nextTurn(); // eslint-disable-line no-await-in-loop
    const before = measureUsedBytes();
    const retained = [create()];
    runs.push(measureUsedBytes() - before);
    retained.length = 0;
  }

  return median(runs);
};

/** Creates a series from measured points and fits a line to them. */
export const createSeries = (name: string, unit: string, per: string, points: Point[]): Series => ({
  name, unit, per, points, fit: fitLine(points),
});

/** Measures a quantity at several sizes, in order. */
export const measureSeries = ({name, unit, per}: Pick<Series, 'name' | 'unit' | 'per'>, sizes: readonly number[], measure: (size: number) => number): Series => {
  // Warm-up; otherwise the first size would include JIT compilation.
  measure(sizes[0]!);
  return createSeries(name, unit, per, sizes.map(size => ({size, value: measure(size)})));
};

/** Like `measureSeries`, for an asynchronous measurement and without its warm-up. */
export const measureSeriesAsync = async (quantity: Pick<Series, 'name' | 'unit' | 'per'>, sizes: readonly number[], measure: (size: number) => Promise<number>): Promise<Series> => {
  const points: Point[] = [];
  for (const size of sizes) {
    points.push({size, value: await measure(size)}); // eslint-disable-line no-await-in-loop
  }

  return createSeries(quantity.name, quantity.unit, quantity.per, points);
};
