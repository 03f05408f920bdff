/** Planned stop of a process: it is drained within the grace period, so that no request in flight is cut off. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {DecisionLog} from './decision-log.js';
import type {CallerListener} from './entry/caller-listener.js';
import type {InboundProxy} from './inbound/inbound-proxy.js';
import type {Registration} from './store/registration.js';

/** Options of a planned stop. */
export type PlannedStopOptions = {
  now: () => number;
  log: Pick<DecisionLog, 'write'>;
  /** Time between the stop signal and the end of the process, in milliseconds. */
  graceMs: number;
  callerListener: Pick<CallerListener, 'drainConnections' | 'refuseRequests' | 'inFlight'>;
  inboundProxy: Pick<InboundProxy, 'drain' | 'hasBackendLeft' | 'inFlight'>;
  registration: Pick<Registration, 'unregister'>;
  /** Longest time that an accepted request may take, in milliseconds; it has to end before the process does. */
  requestMaxMs: () => number;
  /** Closes all connections and listeners. */
  kill: () => void;
};

/** Shortest time for which a stopping process still accepts requests, in milliseconds: the platform checks readiness every second and needs two failed checks. */
const STOP_ACCEPT_MS = 2700;
/** Part of the grace period that is reserved for closing, in milliseconds. */
const STOP_RESERVE_MS = 400;
const IDLE_POLL_MS = 50;

/** Creates the function that stops the process; it resolves when the process may exit. */
export const createPlannedStop = (options: PlannedStopOptions) => {
  const {now, log, callerListener, inboundProxy, registration, requestMaxMs} = options;

  const waitUntilIdle = async (deadlineAt: number): Promise<void> => {
    /* eslint-disable no-await-in-loop */
    while (now() < deadlineAt && callerListener.inFlight() + inboundProxy.inFlight() > 0) {
      await sleep(IDLE_POLL_MS);
    }
    /* eslint-enable no-await-in-loop */
  };

  return async (): Promise<void> => {
    const stopRequestedAt = now();
    const deadlineAt = stopRequestedAt + options.graceMs - STOP_RESERVE_MS;
    callerListener.drainConnections();
    if (inboundProxy.hasBackendLeft()) {
      await Promise.race([registration.unregister(), sleep(STOP_RESERVE_MS)]);
    }

    // The backend server keeps running, so it gets calls as long as they can end before this process does.
    await sleep(Math.max(0, STOP_ACCEPT_MS - requestMaxMs()));
    inboundProxy.drain();
    await sleep(Math.max(0, stopRequestedAt + STOP_ACCEPT_MS - now()));
    await waitUntilIdle(deadlineAt - requestMaxMs());
    callerListener.refuseRequests();
    await waitUntilIdle(deadlineAt);
    log.write('info', 'stopping', {entry: callerListener.inFlight(), door: inboundProxy.inFlight(), ms: Math.round(now() - stopRequestedAt)});
    options.kill();
  };
};
