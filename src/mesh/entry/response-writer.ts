/** Writes the final responses to requests of callers: those of backend servers, and errors of this process itself. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {DecisionLog} from '../decision-log.js';
import type {HttpDialect} from './http-dialect.js';
import {hasBody} from './request-body.js';
import type {RequestOutcome} from './forwarded-request.js';

/** An error response of this process itself. */
export type ErrorResponse = {status: number; reason: string; retryAfterMs?: number};

/** Writes responses; one that has begun or whose caller has gone is left alone. */
export type ResponseWriter = {
  writeError: (request: IncomingMessage, response: ServerResponse, requestId: string | undefined, error: ErrorResponse) => void;
  writeOutcome: (request: IncomingMessage, response: ServerResponse, requestId: string, outcome: RequestOutcome) => void;
};

/** Options of the writer. */
export type ResponseWriterOptions = {
  dialect: HttpDialect;
  log: Pick<DecisionLog, 'count'>;
  /** Whether the connection of a request closes with its response. */
  shouldCloseConnection: (request: IncomingMessage) => boolean;
};

/** Longest body that is written as text, in bytes. Node writes it together with the head, which costs less than two pieces. */
const TEXT_BODY_MAX_BYTES = 4096;

/** Ends a response; latin1 maps each byte to one character and back. */
const endResponse = (response: ServerResponse, body: Buffer | undefined): void => {
  if (body === undefined || body.length > TEXT_BODY_MAX_BYTES) {
    response.end(body);
  } else {
    response.end(body.toString('latin1'), 'latin1');
  }
};

/** Creates a writer. */
export const createResponseWriter = ({dialect, log, shouldCloseConnection}: ResponseWriterOptions): ResponseWriter => {
  const writeError = (request: IncomingMessage, response: ServerResponse, requestId: string | undefined, {status, reason, retryAfterMs}: ErrorResponse): void => {
    if (response.destroyed || response.headersSent) {
      return;
    }

    const body = Buffer.from(`${JSON.stringify({error: reason})}\n`);
    const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    if (requestId !== undefined) {
      headers.push(...dialect.requestIdHeaders(requestId));
    }

    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', (retryAfterMs / 1000).toFixed(3));
    }

    if (shouldCloseConnection(request) || (hasBody(request) && !request.complete)) {
      headers.push('Connection', 'close');
    }

    log.count('refusals', reason);
    response.writeHead(status, headers);
    response.end(body);
  };

  const writeOutcome = (request: IncomingMessage, response: ServerResponse, requestId: string, outcome: RequestOutcome): void => {
    switch (outcome.kind) {
      case 'answered': {
        if (response.destroyed || response.headersSent) {
          return;
        }

        const headers = dialect.forwardedResponseHeaders(outcome.rawHeaders);
        const isBodiless = request.method === 'HEAD' || outcome.status === 204 || outcome.status === 304;
        if (outcome.framed && !isBodiless) {
          headers.push('Content-Length', String(outcome.body.length));
        }

        // A response without a declared length may have been truncated. It must not look complete, so the connection ends it here as well.
        response.useChunkedEncodingByDefault = outcome.framed;
        if (!outcome.framed || shouldCloseConnection(request)) {
          headers.push('Connection', 'close');
        }

        response.writeHead(outcome.status, headers);
        endResponse(response, isBodiless ? undefined : outcome.body);
        return;
      }

      case 'not-run': {
        writeError(request, response, requestId, {status: 503, reason: outcome.reason, retryAfterMs: outcome.retryAfterMs});
        return;
      }

      case 'unknown': {
        writeError(request, response, requestId, {status: outcome.timedOut ? 504 : 502, reason: outcome.reason});
      }
    }
  };

  return {writeError, writeOutcome};
};
