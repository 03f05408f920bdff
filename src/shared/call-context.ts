/** Call context: the metadata that one jujubewelld process sends to another in the header of each call. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {HOP_COUNT_MAX, REQUEST_ID_MAX_LENGTH} from './constants.js';
import {fail, ok, type Result} from './result.js';

/** Schema of a call context. */
export const callContextSchema = z.strictObject({
  /** Id of the client's request, shared by all calls that it causes. */
  requestId: z.string().min(1).max(REQUEST_ID_MAX_LENGTH),
  /** Id of this attempt; unchanged when the attempt is sent again on a new connection. */
  attemptId: z.string().min(1).max(128),
  /** Called service. */
  service: z.string().min(1).max(128),
  /** Request kind within the called service. */
  requestKind: z.string().min(1).max(128),
  /** Request kind of the client's request, `service/kind`. */
  rootKind: z.string().min(1).max(257),
  /** Priority; 0 is the most urgent. */
  priority: z.number().int().min(0).max(63),
  /** Client group that the request counts towards. */
  group: z.string().min(1).max(128),
  /** Salted hash of the request id, in [0, 1). */
  admissionHash: z.number().min(0).lt(1),
  /** Admitted fraction applied to the request so far, in (0, 1]. */
  fraction: z.number().gt(0).max(1),
  /** Retries that this call and its sub-calls may still use. */
  retryBudget: z.number().int().min(0).max(255),
  /** Remaining time in milliseconds. */
  remainingMs: z.number().min(0),
  /** Number of hops so far. */
  hops: z.number().int().min(0).max(HOP_COUNT_MAX),
  /** Whether the call can be run more than once without further effect. */
  idempotent: z.boolean(),
  /** Ticket of a call that is not idempotent. */
  ticket: z.string().max(512).optional(),
});

/** Metadata that travels with a call. */
export type CallContext = z.infer<typeof callContextSchema>;

/** Reason why a call header was rejected. */
export type CallContextError = {kind: 'malformed-call-header'; message: string};

/** Encodes a call context as the value of the call header. */
export const encodeCallContext = (call: CallContext): string => Buffer.from(JSON.stringify(call)).toString('base64url');

/** Decodes and validates the value of a call header. */
export const decodeCallContext = (header: string): Result<CallContext, CallContextError> => {
  try {
    const parsed = callContextSchema.safeParse(JSON.parse(Buffer.from(header, 'base64url').toString()));
    return parsed.success
      ? ok(parsed.data)
      : fail({kind: 'malformed-call-header', message: `${z.prettifyError(parsed.error)}; upgrade both processes to the same release`});
  } catch {
    return fail({kind: 'malformed-call-header', message: 'the call header is not base64url JSON; send calls through jujubewelld'});
  }
};
