/** Schema of the file of capacity figures. */
import {z} from 'zod';

const pointSchema = z.strictObject({size: z.number(), value: z.number()});

/** Schema of one quantity measured at several sizes, with the line fitted to it. */
export const seriesSchema = z.strictObject({
  /** Name by which docs/CAPACITY.md refers to the quantity. */
  name: z.string(),
  /** Unit of the values. */
  unit: z.string(),
  /** What the sizes count. */
  per: z.string(),
  points: z.array(pointSchema).min(2),
  fit: z.strictObject({slope: z.number(), intercept: z.number(), residual: z.number()}),
});

/** Schema of all figures. */
export const capacityFiguresSchema = z.strictObject({
  command: z.string(),
  seed: z.number(),
  date: z.string(),
  nodeVersion: z.string(),
  /** Cores of the machine. */
  cores: z.number(),
  /** Load averages over 1, 5 and 15 minutes before and after the measurement, which show other work on the machine. */
  loadBefore: z.array(z.number()),
  loadAfter: z.array(z.number()),
  elapsedSeconds: z.number(),
  /** Resident set size with all modules loaded, before any measurement, in bytes. */
  residentBytesAtStart: z.number(),
  /** Largest resident set size of the measuring process, in bytes. */
  residentBytesMax: z.number(),
  method: z.string(),
  series: z.array(seriesSchema),
});

/** Quantity measured at several sizes. */
export type Series = z.infer<typeof seriesSchema>;
/** Content of the file of capacity figures. */
export type CapacityFigures = z.infer<typeof capacityFiguresSchema>;
