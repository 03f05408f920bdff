/** Conditional writes that determine their outcome when the response is lost. */
import {z} from 'zod';
import {fail, ok, type Result} from '../shared/result.js';
import type {
  PlatformClient, PlatformError, PlatformObject, PlatformWrite,
} from './client.js';

/** Outcome of a write whose response was lost. */
export type WriteOutcome =
  | {kind: 'applied'; object: PlatformObject}
  /** The object is unchanged. The write can still take effect if its request is in flight. */
  | {kind: 'not-applied'}
  /** The object was changed or deleted since. This write can no longer take effect; it may have been applied and then replaced. */
  | {kind: 'superseded'; current: PlatformObject | undefined};

const WRITE_ATTEMPTS_MAX = 4;

const writeIdSchema = z.object({writeId: z.string()});

/** Returns the `writeId` of a value, if it has one. */
export const writeIdOf = (value: unknown): string | undefined => writeIdSchema.safeParse(value).data?.writeId;

const isSameWrite = (current: PlatformObject | undefined, write: PlatformWrite): boolean => {
  const writeId = writeIdOf(write.value);
  return current !== undefined && writeId !== undefined && writeIdOf(current.value) === writeId;
};

/** Determines the outcome of a write by reading the object and comparing its `writeId`. */
export const determineWriteOutcome = async (client: PlatformClient, write: PlatformWrite): Promise<Result<WriteOutcome, PlatformError>> => {
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

const isAmbiguous = (error: PlatformError): boolean => error.kind === 'unreachable' || error.kind === 'timed-out';

/**
Writes an object whose value has a `writeId`. If the response is lost, determines the outcome and retries if necessary.

Retries are safe, because the condition lets at most one of the writes take effect. The errors
`unreachable` and `timed-out` are returned only if the outcome is still unknown after all attempts.
*/
export const writeWithRetries = async (client: PlatformClient, write: PlatformWrite, attemptsLeft = WRITE_ATTEMPTS_MAX): Promise<Result<PlatformObject, PlatformError>> => {
  const result = await client.write(write);
  if (result.kind === 'ok') {
    return result;
  }

  // A retry conflicts with the earlier attempt if that one was applied.
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

  return attemptsLeft > 1 ? writeWithRetries(client, write, attemptsLeft - 1) : result;
};
