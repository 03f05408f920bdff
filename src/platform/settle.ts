/** Conditional writes whose response may be lost. */
import {z} from 'zod';
import {fail, ok, type Result} from '../shared/result.js';
import type {
  PlatformClient, PlatformFault, PlatformObject, PlatformWrite,
} from './client.js';

/** How an ambiguous write turned out. */
export type WriteOutcome =
  | {kind: 'applied'; object: PlatformObject}
  /** The object is as before the write. The write may still take effect if its request is under way. */
  | {kind: 'not-applied'}
  /** The object has another content. The write can no longer take effect; it may have been replaced since. */
  | {kind: 'superseded'; current: PlatformObject | undefined};

const WRITE_ATTEMPTS_MAX = 4;

const writeIdSchema = z.object({writeId: z.string()});

/** Reads the write id inside a value. */
export const writeIdOf = (value: unknown): string | undefined => writeIdSchema.safeParse(value).data?.writeId;

const isSameWrite = (current: PlatformObject | undefined, write: PlatformWrite): boolean => {
  const writeId = writeIdOf(write.value);
  return current !== undefined && writeId !== undefined && writeIdOf(current.value) === writeId;
};

/** Reads the object of an ambiguous write back and compares the `writeId` inside its value. */
export const determineWriteOutcome = async (client: PlatformClient, write: PlatformWrite): Promise<Result<WriteOutcome, PlatformFault>> => {
  const read = await client.read(write.kind, write.name);
  if (read.kind === 'error' && read.error.kind !== 'not-found') {
    return read;
  }

  const current = read.kind === 'ok' ? read.value : undefined;
  if (current !== undefined && isSameWrite(current, write)) {
    return ok({kind: 'applied', object: current});
  }

  return ok(current?.version === write.expectedVersion ? {kind: 'not-applied'} : {kind: 'superseded', current});
};

const isAmbiguous = (fault: PlatformFault): boolean => fault.kind === 'unreachable' || fault.kind === 'timed-out';

/**
Writes an object whose value holds a `writeId` and settles a lost response.

Repeating is harmless: the condition lets at most one of the repeated writes take effect. A fault
`unreachable` or `timed-out` is returned only when the outcome is still open after all attempts.
*/
export const writeSettled = async (client: PlatformClient, write: PlatformWrite, attemptsLeft = WRITE_ATTEMPTS_MAX): Promise<Result<PlatformObject, PlatformFault>> => {
  const result = await client.write(write);
  if (result.kind === 'ok') {
    return result;
  }

  // A repeated write meets its own first copy as a conflict.
  if (result.error.kind === 'conflict' && result.error.current !== undefined && isSameWrite(result.error.current, write)) {
    return ok(result.error.current);
  }

  if (!isAmbiguous(result.error)) {
    return result;
  }

  const outcome = await determineWriteOutcome(client, write);
  if (outcome.kind === 'ok') {
    switch (outcome.value.kind) {
      case 'applied': {
        return ok(outcome.value.object);
      }

      case 'superseded': {
        return fail({kind: 'conflict', message: 'another write replaced the object; read it and decide again', current: outcome.value.current});
      }

      case 'not-applied': {
        break;
      }
    }
  }

  return attemptsLeft > 1 ? writeSettled(client, write, attemptsLeft - 1) : result;
};
