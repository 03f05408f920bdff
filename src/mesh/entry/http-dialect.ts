/** Interface for the HTTP headers that callers, backend servers and this system exchange; the platform adapter implements it. */
import type {IncomingHttpHeaders} from 'node:http';

/** Values of the request headers of a caller. */
export type RequestMetadata = {
  requestId: string | undefined;
  deadlineMs: number | undefined;
  /** API key; several keys are joined with commas, so that they are an unknown one. Undefined without the header. */
  apiKey: string | undefined;
};

/** Workspace that a forwarded request states: `unused` without workspaces in the configuration, `none` for a request without one. */
export type WorkspaceHeader = {kind: 'unused'} | {kind: 'none'} | {kind: 'named'; name: string};

/** What this system adds to the headers of a forwarded request. */
export type ForwardedOrigin = {callerService: string; workspace: WorkspaceHeader};

/** Values of the response headers of a backend server. */
export type ResponseMetadata = {
  requestId: string | undefined;
  /** Whether the response proves that the backend server produced it; a success response without that proof does not count as one. */
  isAuthentic: boolean;
  /** Whether the backend server states that it did not run the call. */
  notRun: boolean;
  /** Time for which the backend server keeps an idle connection open, in milliseconds. */
  keepAliveMs: number | undefined;
  /** Whether the backend server closes the connection after this response. */
  closesConnection: boolean;
  /** What the backend server states about itself. */
  statement: BackendStatement;
};

/** What a backend server states about itself in a response. */
export type BackendStatement = {
  /** Requests per second that it takes from all processes together; undefined when it names no limit. */
  ratePerSecond: number | undefined;
  /** Whether it is about to leave. */
  isLeaving: boolean;
};

/** Reads and writes the platform's HTTP headers. Raw headers alternate names and values, as in Node's `rawHeaders`. */
export type HttpDialect = {
  readRequest: (headers: IncomingHttpHeaders) => RequestMetadata;
  /** Request headers that are forwarded to the backend server, with the caller service and the workspace added. Other headers that the system sets itself are removed, and with workspaces the API key. */
  forwardedRequestHeaders: (rawHeaders: readonly string[], origin: ForwardedOrigin) => string[];
  /** Reads the caller service from forwarded headers. */
  readCaller: (rawHeaders: readonly string[]) => string | undefined;
  /** Request headers that are added for the backend server: the expected instance and the remaining time. */
  addedRequestHeaders: (instance: string, remainingMs: number) => string[];
  readResponse: (status: number, rawHeaders: readonly string[]) => ResponseMetadata;
  /** Response headers that are forwarded to the caller. */
  forwardedResponseHeaders: (rawHeaders: readonly string[]) => string[];
  requestIdHeaders: (requestId: string) => string[];
};
