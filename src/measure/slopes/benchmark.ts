/** Measures processor time and heap of work in this thread. */
import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {fitLine, median, type Point} from './line-fit.js';
import type {Series} from './series.js';

/** Repetitions whose median counts; other work on the machine disturbs single ones. */
export const REPETITIONS = 5;
const NANOSECONDS_PER_MICROSECOND = 1000;

/** Processor time of the process in microseconds, helper threads of V8 included. */
export const processorMicroseconds = (): number => {
  const {user, system} = process.cpuUsage();
  return user + system;
};

/** Median processor time of one call of `work`, in nanoseconds. */
export const measureCall = (calls: number, operation: (index: number) => void): number => {
  let index = 0;
  const runs = Array.from({length: REPETITIONS + 1}, () => {
    const before = processorMicroseconds();
    for (let call = 0; call < calls; call++) {
      operation(index++);
    }

    return (processorMicroseconds() - before) * NANOSECONDS_PER_MICROSECOND / calls;
  });
  // The first run warms up the compiler.
  return median(runs.slice(1));
};

/** Runs the garbage collector; needs `--expose-gc`. */
export const collectGarbage = (): void => {
  if (globalThis.gc === undefined) {
    throw new Error('the garbage collector is not reachable; start with `node --expose-gc`');
  }

  globalThis.gc();
  globalThis.gc();
};

const measureUsedBytes = (): number => {
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
};

/** Bytes of memory that what `create` returns keeps alive, buffers outside of the heap included. */
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

/** Series with the line fitted to its points. */
export const createSeries = (name: string, unit: string, per: string, points: Point[]): Series => ({
  name, unit, per, points, fit: fitLine(points),
});

/** Measures a quantity at several sizes, one after another. */
export const measureSeries = ({name, unit, per}: Pick<Series, 'name' | 'unit' | 'per'>, sizes: readonly number[], measure: (size: number) => number): Series => {
  // Measured once in vain, or the first size would pay for the compilation of the code.
  measure(sizes[0]!);
  return createSeries(name, unit, per, sizes.map(size => ({size, value: measure(size)})));
};

/** As `measureSizes`, for a measurement that waits. */
export const measureSeriesAsync = async (quantity: Pick<Series, 'name' | 'unit' | 'per'>, sizes: readonly number[], measure: (size: number) => Promise<number>): Promise<Series> => {
  const points: Point[] = [];
  for (const size of sizes) {
    points.push({size, value: await measure(size)}); // eslint-disable-line no-await-in-loop
  }

  return createSeries(quantity.name, quantity.unit, quantity.per, points);
};
