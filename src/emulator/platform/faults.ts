/** Faults that the emulated platform can be told to show. */
import {z} from 'zod';

/** Schema of the faults in effect; absent fields stay as they are. */
export const faultsSchema = z.strictObject({
  /** `refuse` closes the connection of each call, `hang` accepts calls and never answers them. */
  outage: z.enum(['none', 'refuse', 'hang']),
  /** Time added to the latency of each call, in milliseconds. */
  slowMs: z.number().min(0).max(600_000),
  /** Number of coming writes and deletions that take effect but whose response is lost. */
  loseResponses: z.number().int().min(0),
  /** How a lost response shows: the connection closes, or nothing more comes. */
  lossKind: z.enum(['close', 'hang']),
  /** `silent` keeps open watches connected without sending changes or bookmarks. */
  watch: z.enum(['normal', 'silent']),
});

/** Faults in effect. */
export type Faults = z.infer<typeof faultsSchema>;

/** No fault. */
export const NO_FAULTS: Faults = {
  outage: 'none',
  slowMs: 0,
  loseResponses: 0,
  lossKind: 'close',
  watch: 'normal',
};
