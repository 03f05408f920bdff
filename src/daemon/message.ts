/** Requests and replies as they pass through a process. */
import {Buffer} from 'node:buffer';
import {type Readable} from 'node:stream';
import {
  EXPLAIN_HEADER, FRACTION_HEADER, OUTCOME_HEADER, REASON_HEADER, RETRY_AFTER_HEADER, RETRY_BUDGET_HEADER,
} from '../shared/constants.js';
import type {Headers} from './headers.js';
import type {ReplayBody} from './replay-body.js';

/** Request on its way to a backend server. */
export type RequestMessage = {
  method: string;
  /** Path and query after the service segment. */
  path: string;
  /** Headers that travel on. */
  headers: Headers;
  body: ReplayBody;
};

/** Reply on its way to the caller. A buffer is whole; a stream may still fail. */
export type Reply = {
  status: number;
  headers: Headers;
  body: Buffer | Readable;
};

/** How an attempt to obtain a reply ended. */
export type TransportResult =
  | {kind: 'replied'; reply: Reply}
  | {kind: 'not-connected'}
  | {kind: 'lost'}
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

/** Replies up to this size are received whole before they are passed on, so that a lost connection can still be retried. In bytes. */
export const BUFFERED_REPLY_BYTES_MAX = 64 * 1024;

/** Builds the reply of a rejection: a JSON body and the same facts as headers. */
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

/** Reply for a caller that has gone; nobody receives it. */
export const callerGoneReply: Reply = {status: 499, headers: {'content-length': '0'}, body: Buffer.alloc(0)};
