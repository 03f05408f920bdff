/** Outlier ejection: takes backend servers that keep failing out of use for a time, then probes them with single calls. */
import type {DecisionContext} from './events.js';

/** Consecutive failures that eject a backend server. */
export const EJECTION_FAILURES = 5;
const EJECTION_BASE_MS = 1000;
const EJECTION_MAX_MS = 60_000;
/** Time in service after which earlier ejections no longer lengthen the next one, in milliseconds. */
const EJECTION_RESET_MS = 60_000;
/**
 * Maximum share of a service's endpoints that may be ejected. Failures of more of them point to a common cause,
 * where ejection would only concentrate the load on the rest.
 */
const EJECTED_SHARE_MAX = 1 / 3;

/** Failure record and ejection state of an endpoint. */
export type EndpointHealth = {
  state: 'serving' | 'ejected' | 'probing';
  /** Consecutive failures. */
  failures: number;
  /** Whether all consecutive failures were failures to connect. */
  connectOnly: boolean;
  ejections: number;
  ejectedUntil: number;
  reinstatedAt: number;
};

/** Endpoint counts of a service that limit its ejections. */
export type EjectionQuota = {endpoints: number; ejected: number};

/** Creates the record of an endpoint without failures. */
export const createHealth = (): EndpointHealth => ({
  state: 'serving', failures: 0, connectOnly: true, ejections: 0, ejectedUntil: 0, reinstatedAt: Number.NEGATIVE_INFINITY,
});

const isWithinQuota = (quota: EjectionQuota): boolean =>
  quota.endpoints > 1 && quota.ejected < Math.max(1, Math.floor(quota.endpoints * EJECTED_SHARE_MAX));

const eject = (health: EndpointHealth, {now, random}: DecisionContext): void => {
  const isReset = health.state === 'serving' && now - health.reinstatedAt > EJECTION_RESET_MS;
  health.ejections = isReset ? 1 : health.ejections + 1;
  const durationMs = Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * (2 ** (health.ejections - 1)));
  health.ejectedUntil = now + (durationMs * (0.75 + (random() / 2)));
  health.state = 'ejected';
};

/** Failed call; `probe` is set when it was sent to test an ejected endpoint. */
export type CallFailure = {cause: 'connect' | 'other'; probe: boolean; quota: EjectionQuota};

/** Records a failed call; ejects the endpoint after several in a row, or at once after a failed probe. */
export const recordFailure = (health: EndpointHealth, {cause, probe, quota}: CallFailure, context: DecisionContext): void => {
  health.connectOnly = (health.failures === 0 || health.connectOnly) && cause === 'connect';
  health.failures++;
  const probeFailed = probe && health.state === 'probing';
  const reachedThreshold = health.state === 'serving' && health.failures >= EJECTION_FAILURES;
  if (probeFailed || (reachedThreshold && (health.connectOnly || isWithinQuota(quota)))) {
    eject(health, context);
  }
};

/** Records a successful call, which reinstates an ejected endpoint. */
export const recordSuccess = (health: EndpointHealth, now: number): void => {
  health.failures = 0;
  if (health.state !== 'serving') {
    health.state = 'serving';
    health.reinstatedAt = now;
  }
};

/** Returns an endpoint to the ejected state after an inconclusive probe, so that another call can probe it. */
export const recordInconclusive = (health: EndpointHealth, probe: boolean): void => {
  if (probe && health.state === 'probing') {
    health.state = 'ejected';
  }
};
