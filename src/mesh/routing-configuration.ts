/** Routing configuration: which requests go to which services, and what may be done with them. */

/** Service that gets a share of a route's requests. */
export type RouteTarget = {service: string; weight: number};

/** Treatment of the requests of one host and path prefix. */
export type Route = {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  /** Whether a request may run more than once. */
  idempotent: boolean;
  /** Longest time until the final answer, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer is worth most, in milliseconds. */
  targetMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Backend servers that one request may be sent to. */
  attemptsMax: number;
  /** At least one. */
  targets: RouteTarget[];
};

/** Limits of what a client may send. */
export type ClientLimits = {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
};

/** Connections that the backend servers of a service accept each. */
export type ServiceLimits = {service: string; connections: number};

/** One version of the configuration. */
export type RoutingConfiguration = {
  version: number;
  routes: Route[];
  services: ServiceLimits[];
  limits: ClientLimits;
};
