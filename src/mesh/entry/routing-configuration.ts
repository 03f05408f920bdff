/** Routing configuration: the services that requests are sent to, and the timeouts, priorities and retries that apply. */

/** Service that receives a share of a route's requests, in proportion to its weight. */
export type RouteTarget = {service: string; weight: number};

/** Routing of the requests with one host and path prefix. */
export type Route = {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  /** Whether a request may run more than once. */
  idempotent: boolean;
  /** Longest time until the final response, in milliseconds. */
  timeoutMs: number;
  /** Target latency, in milliseconds; later responses are worth less. */
  targetMs: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Maximum number of backend servers that may receive one request. */
  attemptsMax: number;
  /** At least one. */
  targets: RouteTarget[];
  /** Whether requests need no API key although the configuration has workspaces. @default false */
  isPublic?: boolean;
};

/** Customer that sends requests with an API key. */
export type Workspace = {
  name: string;
  /** SHA-256 digests of its API keys, in base64url; the keys themselves leave the decoder of the configuration nowhere. */
  keyDigests: string[];
  /** Ranks its requests before the priority of the route does; 0 is the most urgent. */
  priority: number | undefined;
  /** Requests per second over the whole fleet; undefined for no limit. */
  ratePerS: number | undefined;
  /** Requests that may exceed the rate at once. */
  burst: number;
};

/** Limits for the requests and connections of clients. */
export type ClientLimits = {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
};

/** Maximum number of connections to each backend server of a service. */
export type ServiceLimits = {service: string; connections: number};

/** One version of the configuration. */
export type RoutingConfiguration = {
  version: number;
  routes: Route[];
  services: ServiceLimits[];
  limits: ClientLimits;
  /** Undefined when requests need no API key. */
  workspaces?: Workspace[];
};
