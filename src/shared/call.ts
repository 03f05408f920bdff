/** Context of a call, as it travels between processes. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {HOP_COUNT_MAX, REQUEST_ID_MAX_LENGTH} from './constants.js';
import {fail, ok, type Result} from './result.js';

/** Schema of the context of a call. */
export const callContextSchema = z.strictObject({
  /** Id of the client's request, the same for every call of its tree. */
  requestId: z.string().min(1).max(REQUEST_ID_MAX_LENGTH),
  /** Id of this attempt; a repeated ask on a new connection has the same one. */
  attemptId: z.string().min(1).max(128),
  /** Service that is called. */
  service: z.string().min(1).max(128),
  /** Request kind within the service that is called. */
  requestKind: z.string().min(1).max(128),
  /** Request kind of the client's request, `service/kind`. */
  rootKind: z.string().min(1).max(257),
  /** Position in the order of priorities; 0 is the most urgent. */
  priority: z.number().int().min(0).max(63),
  /** Client group that the request is accounted to. */
  group: z.string().min(1).max(128),
  /** Keyed hash of the request id in [0, 1). */
  admissionHash: z.number().min(0).lt(1),
  /** Admitted fraction that has been applied to the request so far, in (0, 1]. */
  fraction: z.number().gt(0).max(1),
  /** Retries that this call and its sub-calls may still use. */
  retryBudget: z.number().int().min(0).max(255),
  /** Remaining time in milliseconds. */
  remainingMs: z.number().min(0),
  /** Hops passed so far. */
  hops: z.number().int().min(0).max(HOP_COUNT_MAX),
  /** Whether running the call twice is harmless. */
  idempotent: z.boolean(),
  /** Ticket, for a call that is not idempotent. */
  ticket: z.string().max(512).optional(),
});

/** Context of a call. */
export type Call = z.infer<typeof callContextSchema>;

/** Why a call header was not accepted. */
export type CallContextError = {kind: 'malformed-call-header'; message: string};

/** Encodes a context for the call header. */
export const encodeCall = (call: Call): string => Buffer.from(JSON.stringify(call)).toString('base64url');

/** Decodes and checks a call header. */
export const decodeCall = (header: string): Result<Call, CallContextError> => {
  try {
    const parsed = callContextSchema.safeParse(JSON.parse(Buffer.from(header, 'base64url').toString()));
    return parsed.success
      ? ok(parsed.data)
      : fail({kind: 'malformed-call-header', message: `${z.prettifyError(parsed.error)}; upgrade both processes to the same release`});
  } catch {
    return fail({kind: 'malformed-call-header', message: 'the call header is not base64url JSON; send calls through jujubewelld'});
  }
};
