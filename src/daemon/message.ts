/** HTTP requests and replies that a process forwards, and the replies of rejections. */
import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {
  EXPLAIN_HEADER, FRACTION_HEADER, OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_HEADER, RETRY_BUDGET_HEADER,
} from '../shared/constants.js';
import type {Headers} from './headers.js';
import type {ReplayBody} from './replay-body.js';

/** HTTP request that is forwarded to a backend server. */
export type RequestMessage = {
  method: string;
  /** Path and query after the service segment. */
  path: string;
  /** Headers that are forwarded. */
  headers: Headers;
  body: ReplayBody;
};

/** HTTP response that is returned to the caller. A buffered body is complete; a stream may still fail. */
export type Reply = {
  status: number;
  headers: Headers;
  body: Buffer | Readable;
};

/** Result of sending a request: a reply, or the way in which the exchange failed. */
export type TransportResult =
  | {kind: 'replied'; reply: Reply}
  /** No connection could be opened, so nothing was sent. */
  | {kind: 'not-connected'}
  /** The exchange failed in another way; the request may have been received. */
  | {kind: 'lost'}
  /** The connection was abandoned because the server had gone silent on it. */
  | {kind: 'silent'}
  | {kind: 'timed-out'};

/** Content of a rejection. */
export type Rejection = {
  status: number;
  reason: string;
  outcome: 'run' | 'not-run' | 'unknown';
  explainId: string;
  message: string;
  retryAfterMs: number;
  fraction: number;
  /** Unused retry budget. */
  retryBudget: number;
};

/** Maximum size of replies that are buffered before they are forwarded, in bytes. A connection that is lost while such a reply arrives can still be retried. */
export const BUFFERED_REPLY_BYTES_MAX = 64 * 1024;

/** Builds the reply of a rejection; headers repeat the fields of its JSON body. */
export const rejectionReply = (rejection: Rejection, extraHeaders: Headers = {}): Reply => {
  const body = Buffer.from(JSON.stringify({
    error: rejection.reason,
    outcome: rejection.outcome,
    message: rejection.message,
    explain: rejection.explainId,
  }));
  return {
    status: rejection.status,
    headers: {
      'content-type': 'application/json',
      'content-length': String(body.length),
      ...(rejection.retryAfterMs > 0 && {'retry-after': String(Math.ceil(rejection.retryAfterMs / 1000)), [RETRY_AFTER_HEADER]: String(Math.ceil(rejection.retryAfterMs))}),
      [REASON_HEADER]: rejection.reason,
      [OUTCOME_HEADER]: rejection.outcome,
      [EXPLAIN_HEADER]: rejection.explainId,
      [FRACTION_HEADER]: String(rejection.fraction),
      [RETRY_BUDGET_HEADER]: String(rejection.retryBudget),
      ...extraHeaders,
    },
    body,
  };
};

/** Placeholder reply for a caller that has gone; it is never delivered. */
export const callerGoneReply: Reply = {status: 499, headers: {'content-length': '0'}, body: Buffer.alloc(0)};
