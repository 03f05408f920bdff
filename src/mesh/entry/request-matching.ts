/** Finds the route and the sender of a request by the configuration in force. */
import type {IncomingMessage} from 'node:http';
import {headBytes} from '../client-limits/request-head.js';
import type {RequestMetadata} from './http-dialect.js';
import type {ErrorResponse} from './response-writer.js';
import type {RouteTable} from './route-table.js';
import type {Route, Workspace} from './routing-configuration.js';

/** Route and sender of a request; `workspace` is undefined for calls of backend servers, and without workspaces in the configuration. */
export type MatchedRequest = {route: Route; workspace: Workspace | undefined};

/** State of the process that decides about requests. */
export type MatchingOptions = {
  /** Undefined until a configuration is known. */
  table: RouteTable | undefined;
  /** Whether the process takes no more requests because it is stopping. */
  isStopping: boolean;
  /** Header lines that a request may have. */
  headerLinesMax: number;
};

/** `Retry-After` while no configuration is known, in milliseconds. */
const RETRY_AFTER_STARTING_MS = 200;
/** `Retry-After` while the process is stopping, in milliseconds; by then the client is routed to another host. */
const RETRY_AFTER_STOPPING_MS = 100;

/** Finds the route and the workspace of a request, or the error response for one that is not forwarded. */
export const matchRequest = (request: IncomingMessage, {requestId, apiKey}: RequestMetadata, {table, isStopping, headerLinesMax}: MatchingOptions): MatchedRequest | ErrorResponse => {
  if (table === undefined) {
    return {status: 503, reason: 'no-configuration', retryAfterMs: RETRY_AFTER_STARTING_MS};
  }

  if (isStopping) {
    return {status: 503, reason: 'stopping', retryAfterMs: RETRY_AFTER_STOPPING_MS};
  }

  if (request.rawHeaders.length > 2 * headerLinesMax) {
    return {status: 431, reason: 'too-many-header-lines'};
  }

  if (headBytes(request) > table.configuration.limits.headerBytes) {
    return {status: 431, reason: 'headers-too-large'};
  }

  const route = table.findRoute(request.headers.host ?? '', request.url ?? '/');
  if (route === undefined) {
    return {status: 404, reason: 'no-route'};
  }

  const identity = table.workspaces.identify(apiKey, route);
  if (identity.kind === 'missing-key' || identity.kind === 'unknown-key') {
    return {status: 401, reason: identity.kind};
  }

  return requestId === undefined
    ? {status: 400, reason: 'request-id-missing'}
    : {route, workspace: identity.kind === 'workspace' ? identity.workspace : undefined};
};
