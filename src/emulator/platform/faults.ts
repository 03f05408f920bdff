/** Faults that can be injected into the platform emulator. */
import {z} from 'zod';

/** Schema of the injected faults. The admin API accepts a subset of the fields and leaves the others unchanged. */
export const faultsSchema = z.strictObject({
  /** `refuse` closes the connection of each call; `hang` accepts calls and never responds. */
  outage: z.enum(['none', 'refuse', 'hang']),
  /** Delay added to the latency of each call, in milliseconds. */
  slowMs: z.number().min(0).max(600_000),
  /** Number of further writes and deletions that take effect but whose response is lost. */
  loseResponses: z.number().int().min(0),
  /** How a response is lost: `close` closes the connection, `hang` keeps it open without a response. */
  lossKind: z.enum(['close', 'hang']),
  /** `silent` keeps watches connected without sending changes or bookmarks. */
  watch: z.enum(['normal', 'silent']),
});

/** Injected faults. */
export type Faults = z.infer<typeof faultsSchema>;

/** Normal operation, without injected faults. */
export const NO_FAULTS: Faults = {
  outage: 'none',
  slowMs: 0,
  loseResponses: 0,
  lossKind: 'close',
  watch: 'normal',
};
