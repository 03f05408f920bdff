/** Responses to requests whose body could not be taken. */
import type {Buffer} from 'node:buffer';
import type {RequestBody} from './request-body.js';
import type {ErrorResponse} from './response-writer.js';

const RETRY_AFTER_MEMORY_MS = 500;
/** Responses to requests whose body could not be taken; none of them has run. */
export const BODY_REFUSALS: Record<Exclude<RequestBody, Buffer | 'aborted'>, ErrorResponse> = {
  stalled: {status: 408, reason: 'body-stalled'},
  late: {status: 408, reason: 'body-late'},
  'too-large': {status: 413, reason: 'body-too-large'},
  'memory-full': {status: 503, reason: 'memory-full', retryAfterMs: RETRY_AFTER_MEMORY_MS},
};
