/** The blocked contents that a process keeps in its entry in the store, so that they stay blocked when all processes end at the same moment. */
import * as z from 'zod/mini';
import type {CrashRecord} from '../inbound/crash-records.js';

const recordSchema = z.object({
  content: z.string(),
  blamed: z.array(z.object({id: z.string(), at: z.number()})),
  cleared: z.array(z.string()),
});

const entrySchema = z.object({crashRecords: z.array(recordSchema)});

/** Reads the records in the value of a member object; none when it has none that can be read. */
export const decodeCrashRecords = (value: unknown): CrashRecord[] => {
  const parsed = entrySchema.safeParse(value);
  return parsed.success ? parsed.data.crashRecords : [];
};
