/** What the call path needs to know of the HTTP dialect that callers and backend servers speak; the adapter provides it. */
import type {IncomingHttpHeaders} from 'node:http';

/** What a caller states in its headers. */
export type RequestMetadata = {requestId: string | undefined; deadlineMs: number | undefined};

/** What a backend server states in its headers. */
export type ResponseMetadata = {
  requestId: string | undefined;
  /** Whether the answer bears what proves that the backend server made it; a success without it is none. */
  isGenuine: boolean;
  /** Whether it states that it did not run the call. */
  notRun: boolean;
  /** Time for which it keeps an idle connection, in milliseconds. */
  idleMs: number | undefined;
  /** Whether it closes the connection behind this answer. */
  closes: boolean;
};

/** Translation of the headers. */
export type HttpDialect = {
  readCaller: (headers: IncomingHttpHeaders) => RequestMetadata;
  /** Headers that travel to the backend server, those that the system sets itself excluded. */
  forwardedHeaders: (rawHeaders: readonly string[], callerService: string) => string[];
  /** Headers that are added for the backend server: the instance that is meant and the time that is left. */
  backendHeaders: (instance: string, remainingMs: number) => string[];
  readBackend: (status: number, rawHeaders: readonly string[]) => ResponseMetadata;
  /** Headers of an answer that travel to the caller. */
  answerHeaders: (rawHeaders: readonly string[]) => string[];
  requestIdHeaders: (requestId: string) => string[];
};
