/** Limits for what the connections of callers may cost, and their defaults. */

/** Limits of the connections of callers. */
export type ConnectionLimits = {
  /** Open connections; one more closes another. */
  connections: number;
  /** Header lines of one request. */
  headerLines: number;
  /** Unanswered requests of one connection above which no more are read from it. */
  pipelinedRequests: number;
  /** Memory of one connection above which no further request is read from it, in bytes; a single request may hold more. */
  connectionBytes: number;
  /** Longest time without a byte of a body that is being received, in milliseconds; undefined for the idle timeout of the configuration. */
  bodyProgressMs: number | undefined;
};

/** Defaults that no client within the limits of a configuration reaches. */
export const CONNECTION_LIMIT_DEFAULTS: ConnectionLimits = {
  // Fits into 250 MB, the smallest host: 64 KiB each for socket, parser and one read, beside the account, which counts twice until it is collected, and 76 MB for the runtime.
  connections: 512,
  // A head of 16,384 bytes has at most 4,096 lines of 4 bytes.
  headerLines: 4096,
  // Clients pipeline a few requests.
  pipelinedRequests: 64,
  // Holds several requests with the longest heads.
  connectionBytes: 4 * 1024 * 1024,
  bodyProgressMs: undefined,
};
